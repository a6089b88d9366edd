//! Reads a caller's request completely, within its limits.

use std::{net::IpAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use forward::memory::{Kind, NEW_FOR, SMALL_BYTES};
use http::{HeaderMap, HeaderValue, StatusCode, Uri, header, request::Parts, uri::Scheme};
use hyper::body::{Body, Incoming};
use tokio::{sync::Notify, time::timeout};

use crate::{
    SharedCx,
    answer::Refusal,
    body::{self, BodyError, BodyLimits, FIRST_BYTES, Reserved},
    memory::{Exhausted, Guard, head_bytes},
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

/// Reserves memory for the head of a request, and for what is known of its body.
pub(super) async fn reserve(
    cx: &SharedCx,
    owner: Option<IpAddr>,
    headers: &HeaderMap,
    body: &Incoming,
    left: Duration,
) -> Result<Reserved, Refusal> {
    let max_bytes = cx.limits.get().body_bytes;
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large());
    }
    let (kind, body_bytes) = match body.size_hint().exact() {
        _ if body.is_end_stream() => (Kind::Requests, 0),
        Some(stated) => (Kind::Bodies, stated as usize),
        None => (Kind::Bodies, FIRST_BYTES.min(max_bytes)),
    };
    let head_bytes = head_bytes(headers);
    // A large head must not wait, as it takes memory meanwhile.
    let bytes = head_bytes + body_bytes;
    let memory = if head_bytes > SMALL_BYTES {
        cx.memory.reserve_now(kind, owner, bytes)
    } else {
        cx.memory.reserve(kind, owner, bytes).await
    };
    let memory = memory.map_err(|Exhausted| {
        let inputs = format!("{head_bytes} bytes of the head, {body_bytes} of the body");
        short_of_memory(left).with_inputs(inputs)
    })?;
    Ok(Reserved { memory, kind, owner, body_bytes, other_bytes: head_bytes })
}

/// Reads a body into memory that was reserved for its beginning.
pub(super) async fn read_body(
    body: Incoming,
    reserved: Reserved,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<(Bytes, Guard), Refusal> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), reserved.memory));
    }
    let evicted = Rc::new(Notify::new());
    reserved.memory.signal_to(&evicted);
    let reading = body::read_reserved(body, BodyLimits::bytes(max_bytes), &reserved);
    let result = tokio::select! {
        biased;
        () = evicted.notified() => {
            let reason = "the body comes in too slowly";
            return Err(Refusal::closing(StatusCode::REQUEST_TIMEOUT, reason));
        }
        result = timeout(time_limit, reading) => result,
    };
    match result {
        Ok(Ok(body)) => {
            reserved.memory.keep_request(reserved.owner);
            Ok((body, reserved.memory))
        }
        Ok(Err(BodyError::TooLarge)) => Err(too_large()),
        Ok(Err(BodyError::Exhausted)) => {
            Err(Refusal { closes_connection: true, ..short_of_memory(time_limit) })
        }
        Ok(Err(BodyError::TooManyPieces | BodyError::Broken(_))) | Err(_) => {
            Err(Refusal::closing(StatusCode::REQUEST_TIMEOUT, "the body did not come in"))
        }
    }
}

fn short_of_memory(left: Duration) -> Refusal {
    Refusal::not_run("too little memory is left", NEW_FOR, left)
}

/// Reads what is left of a refused request, so that the refusal reaches a caller that is
/// still sending, and the connection can be used further. If it doesn't come in soon, the
/// connection is closed after the answer.
///
/// Takes the head in order to drop it: its fields take many times their bytes.
pub(crate) async fn discard(
    refusal: Refusal,
    head: Parts,
    body: Incoming,
    max_bytes: usize,
) -> Refusal {
    if body.is_end_stream() {
        return refusal;
    }
    // A caller that waits for `100 Continue` is told without its body.
    let is_awaited = head.headers.contains_key(header::EXPECT);
    drop(head);
    let reading = body::skip_body(body, BodyLimits::bytes(max_bytes));
    let is_read = !is_awaited && matches!(timeout(DISCARD_TIMEOUT, reading).await, Ok(Ok(())));
    Refusal { closes_connection: refusal.closes_connection || !is_read, ..refusal }
}

fn too_large() -> Refusal {
    Refusal::closing(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
}
