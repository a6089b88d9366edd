//! HTTP interface for callers.

mod execute;
mod health;
mod query;

use base::{Reason, RequestId, Time};
use documents::Service;
use policy::message::Refusal;
use rocket::{
    Build, Data, Request, Rocket, Route,
    data::ToByteUnit,
    http::Method,
    route::{Handler, Outcome},
};
use slog::info;
use telemetry::metrics::label;

use crate::{
    cx::EntryCx,
    filter::{self, Head},
    http::{self, Reply},
    interfaces::{Owners, State},
};

/// Index of the path segment with the service's name.
const SERVICE_SEGMENT: usize = 2;

/// Builds the server for callers. The daemon configures its address, port,
/// workers and shutdown.
pub fn callers_rocket<S: State, O: Owners>(cx: EntryCx<S, O>) -> Rocket<Build> {
    let handler = |call| CallHandler { cx: cx.clone(), call };
    let routes = vec![
        Route::new(Method::Post, "/v1/services/<service>/query", handler(Call::Query)),
        Route::new(Method::Post, "/v1/services/<service>/tickets", handler(Call::Mint)),
        Route::new(Method::Post, "/v1/services/<service>/execute", handler(Call::Execute)),
        Route::new(Method::Get, "/healthz", handler(Call::Healthz)),
        Route::new(Method::Get, "/readyz", handler(Call::Readyz)),
    ];
    rocket::custom(http::server_config()).mount("/", routes).register("/", [http::catcher()])
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Query,
    Mint,
    Execute,
    Healthz,
    Readyz,
}

struct CallHandler<S, O> {
    cx: EntryCx<S, O>,
    call: Call,
}

impl<S, O> Clone for CallHandler<S, O> {
    fn clone(&self) -> Self {
        CallHandler { cx: self.cx.clone(), call: self.call }
    }
}

#[rocket::async_trait]
impl<S: State, O: Owners> Handler for CallHandler<S, O> {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let reply = match self.call {
            Call::Query => query::answer(&self.cx, head(req), data).await,
            Call::Mint => execute::mint(&self.cx, &head(req)),
            Call::Execute => {
                let ticket = req.headers().get_one("godwityard-ticket");
                execute::execute(&self.cx, head(req), ticket, data).await
            }
            Call::Healthz => health::healthz(),
            Call::Readyz => health::readyz(&self.cx),
        };
        Outcome::Success(reply.into_response())
    }
}

fn head(req: &Request<'_>) -> Head {
    let header = |name| req.headers().get_one(name).map(str::to_owned);
    Head {
        service: req
            .param::<&str>(SERVICE_SEGMENT)
            .and_then(Result::ok)
            .unwrap_or_default()
            .to_owned(),
        deadline_ms: header("godwityard-deadline-ms"),
        min_coverage: header("godwityard-min-coverage"),
        shard: header("godwityard-shard"),
        content_length: header("content-length").and_then(|it| it.parse().ok()),
    }
}

/// Counts and logs a refusal, and returns the reply for the caller.
fn refuse<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    id: RequestId,
    head: &Head,
    refusal: &Refusal,
) -> Reply {
    cx.metrics().refusals.add(1, &[label("reason", refusal.reason.as_str())]);
    info!(cx.log(), "request refused"; "request" => %id, "service" => &head.service,
        "reason" => %refusal.reason, "outcome" => %refusal.outcome, "detail" => &refusal.detail);
    Reply::refusal(id, refusal)
}

fn count_request<S: State, O: Owners>(cx: &EntryCx<S, O>, started: Time, result: &'static str) {
    let latency = cx.now().since(started).as_secs_f64() * 1_000.0;
    cx.metrics().requests.add(1, &[label("result", result)]);
    cx.metrics().request_latency.record(latency, &[label("result", result)]);
}

/// Reads the whole body, if it is no longer than the service allows.
async fn read_body(data: Data<'_>, service: &Service) -> Result<Vec<u8>, Refusal> {
    let body = data.open(service.max_body_bytes.bytes()).into_bytes().await;
    let body = body.map_err(|_| filter::refuse(Reason::BadRequest, "the body was cut off"))?;
    if !body.is_complete() {
        return Err(filter::too_large(service));
    }
    Ok(body.into_inner())
}
