//! Builds the caller's answer from targets' answers.

use bytes::Bytes;
use forward::merge::merge_top;
use http::{HeaderValue, Response};
use http_body_util::Full;

use super::read::strip_hop_headers;
use crate::{HeaderNames, messages::TargetAnswer};

pub(crate) type Answer = Response<Full<Bytes>>;

/// Returns a target's answer without its hop-by-hop headers.
pub(crate) fn forwarded(answer: TargetAnswer) -> Answer {
    let mut headers = answer.headers;
    strip_hop_headers(&mut headers);
    let mut response = Response::new(Full::new(answer.body));
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
