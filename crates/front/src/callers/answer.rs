//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use forward::{merge::merge_top, retry_after::retry_after};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;

use super::read::strip_hop_headers;
use crate::{HeaderNames, targets::TargetAnswer};

pub(super) type Answer = Response<Full<Bytes>>;

/// A failure of this tier's own.
pub(super) fn failure(status: StatusCode, message: &'static str) -> Answer {
    let body = format!("{{\"error\":\"{message}\"}}");
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// The request did not run and will not; come back after `expected`.
pub(super) fn not_run(message: &'static str, expected: Duration, left: Duration) -> Answer {
    let mut answer = failure(StatusCode::SERVICE_UNAVAILABLE, message);
    let wait = format!("{:.3}", retry_after(expected, left).as_secs_f64());
    if let Ok(wait) = HeaderValue::from_str(&wait) {
        answer.headers_mut().insert(header::RETRY_AFTER, wait);
    }
    answer
}

/// A failure after which the connection is closed.
pub(super) fn closing(status: StatusCode, message: &'static str) -> Answer {
    let mut answer = failure(status, message);
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// A target's answer as it came.
pub(super) fn pass_on(answer: TargetAnswer) -> Answer {
    let mut headers = answer.headers;
    strip_hop_headers(&mut headers);
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = headers;
    response
}

/// The greatest records of the parts, and which parts they are from.
pub(super) fn merged(
    names: &HeaderNames,
    parts: &[TargetAnswer],
    missing: usize,
    top: usize,
) -> Answer {
    let body = merge_top(parts.iter().map(|it| &*it.body), top);
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    let headers = answer.headers_mut();
    let mut stamps = Vec::new();
    for stamp in parts.iter().filter_map(|it| it.headers.get(&names.stamp)) {
        if !stamps.is_empty() {
            stamps.extend_from_slice(b", ");
        }
        stamps.extend_from_slice(stamp.as_bytes());
    }
    if let Ok(stamps) = HeaderValue::from_bytes(&stamps) {
        headers.insert(names.part_stamps.clone(), stamps);
    }
    headers.insert(names.missing_parts.clone(), HeaderValue::from(missing));
    answer
}
