//! Reading a caller's request whole, within its limits.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use super::refusal::Refusal;

/// A head states the length of its body in both ways.
pub(super) const BOTH_FRAMINGS: usize = LENGTH | CHUNKED;

const LENGTH: usize = 1;
const CHUNKED: usize = 2;

/// Headers that concern one connection only.
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

/// Which of the two ways of stating a body's length are in a piece of a head.
pub(super) fn framing_fields(bytes: &[u8]) -> usize {
    let mut found = 0;
    for line in bytes.split(|it| *it == b'\n') {
        if line == b"\r" || line.is_empty() {
            break;
        }
        let name = line.split(|it| *it == b':').next().unwrap_or_default();
        if name.eq_ignore_ascii_case(b"content-length") {
            found |= LENGTH;
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            found |= CHUNKED;
        }
    }
    found
}

pub(super) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    within: Duration,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large());
    }
    let reading = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(within, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) | Err(_) => {
            Err(Refusal::closing(StatusCode::REQUEST_TIMEOUT, "the body did not come in"))
        }
    }
}

fn too_large() -> Refusal {
    Refusal::closing(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
}

/// Removes what concerns the connection that the message came on.
pub(super) fn strip_hop_headers(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        strip_named(headers);
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
}

/// Removes the headers that `Connection` names.
fn strip_named(headers: &mut HeaderMap) {
    let values: Vec<HeaderValue> = headers.get_all(header::CONNECTION).iter().cloned().collect();
    for value in values.iter().filter_map(|it| it.to_str().ok()) {
        for name in value.split(',').map(str::trim) {
            headers.remove(name);
        }
    }
}
