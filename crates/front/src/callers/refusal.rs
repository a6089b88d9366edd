//! Requests that this tier ends by itself, and why.

use std::time::Duration;

use bytes::Bytes;
use forward::retry_after::retry_after;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;

use super::answer::Answer;

/// A failure of this tier's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    pub status: StatusCode,
    pub reason: &'static str,
    /// What decided it, for the log.
    pub inputs: Option<String>,
    /// When the caller should come back.
    pub retry_after: Option<Duration>,
    /// The connection cannot be used further.
    pub closes: bool,
}

impl Refusal {
    pub(super) fn new(status: StatusCode, reason: &'static str) -> Refusal {
        Refusal { status, reason, inputs: None, retry_after: None, closes: false }
    }

    /// The request is not proper.
    pub(super) fn bad(reason: &'static str) -> Refusal {
        Refusal::new(StatusCode::BAD_REQUEST, reason)
    }

    /// The rest of the request cannot be read.
    pub(super) fn closing(status: StatusCode, reason: &'static str) -> Refusal {
        Refusal { closes: true, ..Refusal::new(status, reason) }
    }

    pub(super) fn with_inputs(self, inputs: String) -> Refusal {
        Refusal { inputs: Some(inputs), ..self }
    }

    /// The request did not run and will not; room is expected in `expected`,
    /// and the caller has `left` until its deadline.
    pub(super) fn not_run(reason: &'static str, expected: Duration, left: Duration) -> Refusal {
        let retry_after = Some(retry_after(expected, left));
        Refusal { retry_after, ..Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason) }
    }
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Answer {
        let body = format!("{{\"error\":\"{}\"}}", refusal.reason);
        let mut answer = Response::new(Full::new(Bytes::from(body)));
        *answer.status_mut() = refusal.status;
        let headers = answer.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if refusal.closes {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let wait = refusal.retry_after.map(|it| format!("{:.3}", it.as_secs_f64()));
        if let Some(wait) = wait.and_then(|it| HeaderValue::from_str(&it).ok()) {
            headers.insert(header::RETRY_AFTER, wait);
        }
        answer
    }
}
