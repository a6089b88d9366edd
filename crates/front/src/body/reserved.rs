//! Reads bodies into memory that is reserved before it is filled.

use std::net::IpAddr;

use bytes::{Bytes, BytesMut};
use forward::memory::Kind;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::{BodyError, BodyLimits};
use crate::memory::Guard;

/// Memory that is reserved for a body of unstated length before its first byte. Most
/// bodies fit.
pub(crate) const FIRST_BYTES: usize = 4 * 1024;

/// Memory that is reserved for a message.
pub(crate) struct Reserved {
    pub memory: Guard,
    pub kind: Kind,
    pub owner: Option<IpAddr>,
    /// Part of the memory that is for the body.
    pub body_bytes: usize,
    /// Part of it that is for anything else.
    pub other_bytes: usize,
}

/// Reads a body; trailers are dropped. Pieces are copied, as each would keep the buffer
/// of its connection.
pub(crate) async fn read_reserved<B>(
    mut body: B,
    limits: BodyLimits,
    reserved: &Reserved,
) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut all = BytesMut::with_capacity(reserved.body_bytes);
    let mut pieces = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        pieces += 1;
        let length = all.len() + data.len();
        if length > limits.bytes {
            return Err(BodyError::TooLarge);
        }
        if pieces > limits.pieces {
            return Err(BodyError::TooManyPieces);
        }
        if length > all.capacity() {
            let larger = (all.capacity() * 2).max(length).min(limits.bytes);
            let grown = reserved.memory.grow(reserved.kind, reserved.other_bytes + larger).await;
            grown.map_err(|_| BodyError::Exhausted)?;
            let smaller = std::mem::replace(&mut all, BytesMut::with_capacity(larger));
            all.extend_from_slice(&smaller);
        }
        all.extend_from_slice(&data);
        reserved.memory.record_progress(data.len(), None);
    }
    Ok(all.freeze())
}
