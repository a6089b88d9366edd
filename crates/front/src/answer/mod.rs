//! Builds the caller's answer from targets' answers.

mod body;
mod refusal;

use bytes::Bytes;
use forward::merge::merge_top;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};

pub(crate) use self::{
    body::AnswerBody,
    refusal::{Refusal, UNAVAILABLE_WAIT},
};
use crate::{HeaderNames, messages::TargetAnswer};

/// Headers that apply to one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

pub(crate) type Answer = Response<AnswerBody>;

/// Returns a target's answer without its hop-by-hop headers.
pub(crate) fn forwarded(answer: TargetAnswer) -> Answer {
    let mut headers = answer.headers;
    strip_hop_headers(&mut headers);
    let mut response = Response::new(AnswerBody::reserved(answer.body, answer.memory));
    *response.status_mut() = answer.status;
    *response.headers_mut() = headers;
    response
}

/// Returns the `top` greatest records of all parts, with the signatures of the
/// parts and the number of missing ones.
pub(crate) fn merged(
    names: &HeaderNames,
    parts: &[TargetAnswer],
    missing: usize,
    top: usize,
) -> Answer {
    let body = merge_top(parts.iter().map(|it| &*it.body), top);
    let memory = parts.iter().find_map(|it| it.memory.clone());
    // The records are a part of all that the parts hold, which are dropped next.
    if let Some(memory) = &memory {
        memory.resize(body.capacity());
    }
    let mut answer = Response::new(AnswerBody::reserved(Bytes::from(body), memory));
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

/// Returns whether callers take the status to mean that the request did not
/// run. A target's answer with such a status but without the `not_run` header
/// is no proof of that, so it is not forwarded.
pub(crate) fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Removes headers that apply only to the connection on which the message was
/// received, and `Content-Length`, which hyper sets for the body that is sent.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        strip_named(headers);
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
}

/// Removes the headers listed in `Connection`.
fn strip_named(headers: &mut HeaderMap) {
    let values: Vec<HeaderValue> = headers.get_all(header::CONNECTION).iter().cloned().collect();
    for value in values.iter().filter_map(|it| it.to_str().ok()) {
        for name in value.split(',').map(str::trim) {
            headers.remove(name);
        }
    }
}
