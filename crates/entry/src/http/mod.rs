//! Shared by both HTTP interfaces: server settings, JSON responses, and refusals
//! of requests that match no route.

use std::io::Cursor;

use base::{Outcome, Reason, RequestId};
use policy::message::Refusal;
use rocket::{
    Catcher, Request, Response,
    catcher::BoxFuture,
    config::{Config, Ident, LogLevel, Shutdown},
    http::{ContentType, Header, Status},
};

use crate::{
    entropy,
    wire::{RefusalBody, http_status},
};

/// A complete response.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u64>,
}

/// Returns server settings that leave signals, logs and addresses to the daemon.
pub(crate) fn server_config() -> Config {
    Config {
        log_level: LogLevel::Off,
        cli_colors: false,
        ident: Ident::none(),
        shutdown: Shutdown { ctrlc: false, signals: Default::default(), ..Shutdown::default() },
        ..Config::release_default()
    }
}

/// Returns the catcher that refuses requests which match no route or whose
/// handler panicked.
pub(crate) fn catcher() -> Catcher {
    Catcher::new(None, refuse_unrouted)
}

impl Reply {
    pub(crate) fn json(status: u16, body: &impl serde::Serialize) -> Self {
        // Bodies are plain data with string keys, so serialisation cannot fail.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Reply { status, body, retry_after_s: None }
    }

    pub(crate) fn refusal(request: RequestId, refusal: &Refusal) -> Self {
        let status = http_status(refusal.reason);
        let retry_after_s = refusal.retry_after.map(|it| it.as_secs().max(1));
        Reply { retry_after_s, ..Reply::json(status, &RefusalBody::new(request, refusal)) }
    }

    pub(crate) fn into_response<'r>(self) -> Response<'r> {
        let mut response = Response::build();
        response.status(Status::new(self.status));
        response.header(ContentType::JSON);
        if let Some(seconds) = self.retry_after_s {
            response.header(Header::new("Retry-After", seconds.to_string()));
        }
        response.sized_body(self.body.len(), Cursor::new(self.body));
        response.finalize()
    }
}

pub(crate) fn new_request_id() -> RequestId {
    RequestId(entropy::random_u128())
}

fn refuse_unrouted<'r>(status: Status, req: &'r Request<'_>) -> BoxFuture<'r> {
    let is_internal = status.code >= 500;
    let (reason, outcome) = match is_internal {
        true => (Reason::Internal, Outcome::MayHaveRun),
        false => (Reason::BadRequest, Outcome::NotRun),
    };
    let detail = format!("{} {}: {}", req.method(), req.uri().path(), status.reason_lossy());
    let refusal = Refusal { reason, outcome, detail, retry_after: None };
    let mut reply = Reply::refusal(new_request_id(), &refusal);
    reply.status = status.code;
    Box::pin(async move { Ok(reply.into_response()) })
}
