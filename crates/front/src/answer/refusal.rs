//! Error answers of this tier itself.

use std::time::Duration;

use base::CustomerName;
use bytes::Bytes;
use forward::retry_after::retry_after;
use http::{HeaderValue, Response, StatusCode, header};

use super::{Answer, AnswerBody};

/// Time after which callers may retry while this host cannot serve them: it has
/// no configuration, has reached its limit, or no target takes the request.
pub(crate) const UNAVAILABLE_WAIT: Duration = Duration::from_millis(300);

/// An error answer of this tier, as opposed to one forwarded from a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub status: StatusCode,
    pub reason: &'static str,
    /// Values that led to the refusal, for the log.
    pub inputs: Option<String>,
    /// Customer that sent the request, for the log.
    pub customer: Option<CustomerName>,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed after this answer.
    pub closes_connection: bool,
}

impl Refusal {
    pub(crate) fn new(status: StatusCode, reason: &'static str) -> Refusal {
        Refusal {
            status,
            reason,
            inputs: None,
            customer: None,
            retry_after: None,
            closes_connection: false,
        }
    }

    /// Returns a refusal of a malformed request.
    pub(crate) fn bad_request(reason: &'static str) -> Refusal {
        Refusal::new(StatusCode::BAD_REQUEST, reason)
    }

    /// Returns a refusal that closes the connection, for requests whose rest
    /// cannot be read.
    pub(crate) fn closing(status: StatusCode, reason: &'static str) -> Refusal {
        Refusal { closes_connection: true, ..Refusal::new(status, reason) }
    }

    pub(crate) fn with_inputs(self, inputs: String) -> Refusal {
        Refusal { inputs: Some(inputs), ..self }
    }

    /// Returns a refusal of a request that did not run and will not. Capacity is
    /// expected after `expected`; the caller's deadline ends in `left`.
    pub(crate) fn not_run(reason: &'static str, expected: Duration, left: Duration) -> Refusal {
        let retry_after = Some(retry_after(expected, left));
        Refusal { retry_after, ..Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason) }
    }

    /// Returns a refusal of a request that did not run and will not, as targets ask for a
    /// pause that is over after `wait`.
    pub(crate) fn paused(wait: Duration) -> Refusal {
        let retry_after = Some(wait);
        let reason = "targets ask for a pause";
        Refusal { retry_after, ..Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason) }
    }
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Answer {
        let body = format!("{{\"error\":\"{}\"}}", refusal.reason);
        let mut answer = Response::new(AnswerBody::new(Bytes::from(body)));
        *answer.status_mut() = refusal.status;
        let headers = answer.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if refusal.status == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if refusal.closes_connection {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let wait = refusal.retry_after.map(|it| format!("{:.3}", it.as_secs_f64()));
        if let Some(wait) = wait.and_then(|it| HeaderValue::from_str(&it).ok()) {
            headers.insert(header::RETRY_AFTER, wait);
        }
        answer
    }
}
