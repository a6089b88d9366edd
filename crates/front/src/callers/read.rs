//! Reads a caller's request completely, within its limits.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, Uri, header, request::Parts, uri::Scheme};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::{
    answer::Refusal,
    body::{self, BodyError, BodyLimits},
};

/// Result of [`framing_fields`] for a head with both fields that state a body's
/// length.
pub(super) const BOTH_FRAMINGS: usize = CONTENT_LENGTH | TRANSFER_ENCODING;

const CONTENT_LENGTH: usize = 1;
const TRANSFER_ENCODING: usize = 2;

/// Limit on the time in which the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns the bits of the fields in a piece of a head that state a body's
/// length.
pub(super) fn framing_fields(bytes: &[u8]) -> usize {
    let mut found = 0;
    for line in bytes.split(|it| *it == b'\n') {
        if line == b"\r" || line.is_empty() {
            break;
        }
        let name = line.split(|it| *it == b':').next().unwrap_or_default();
        if name.eq_ignore_ascii_case(b"content-length") {
            found |= CONTENT_LENGTH;
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            found |= TRANSFER_ENCODING;
        }
    }
    found
}

/// Replaces an absolute target by its path; its host then goes before that of the field.
pub(super) fn use_origin_form(head: &mut Parts) {
    if head.uri.scheme() != Some(&Scheme::HTTP) {
        return;
    }
    let (Some(authority), Some(path)) = (head.uri.authority(), head.uri.path_and_query()) else {
        return;
    };
    if authority.as_str().contains('@') {
        return;
    }
    let Ok(host) = HeaderValue::from_str(authority.as_str()) else { return };
    let uri = Uri::from(path.clone());
    head.headers.insert(header::HOST, host);
    head.uri = uri;
}

pub(super) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large());
    }
    let reading = body::read_body(body, BodyLimits::bytes(max_bytes));
    match timeout(time_limit, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(too_large()),
        Ok(Err(BodyError::TooManyPieces | BodyError::Broken(_))) | Err(_) => {
            Err(Refusal::closing(StatusCode::REQUEST_TIMEOUT, "the body did not come in"))
        }
    }
}

/// Reads what is left of a refused request, so that the refusal reaches a caller that is
/// still sending, and the connection can be used further. If it doesn't come in soon, the
/// connection is closed after the answer.
pub(crate) async fn discard(
    refusal: Refusal,
    headers: &HeaderMap,
    body: Incoming,
    max_bytes: usize,
) -> Refusal {
    if body.is_end_stream() {
        return refusal;
    }
    // A caller that waits for `100 Continue` is told without its body.
    let is_awaited = headers.contains_key(header::EXPECT);
    let reading = body::skip_body(body, BodyLimits::bytes(max_bytes));
    let is_read = !is_awaited && matches!(timeout(DISCARD_TIMEOUT, reading).await, Ok(Ok(())));
    Refusal { closes_connection: refusal.closes_connection || !is_read, ..refusal }
}

fn too_large() -> Refusal {
    Refusal::closing(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
}
