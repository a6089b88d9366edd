//! Reads bodies of messages completely, in one piece of memory.
//!
//! Each chunk of a body would cost far more than its bytes if it were kept as it came, so
//! a sender of very small ones could fill the memory though it stays under the limit.

mod reserved;
#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

pub(crate) use self::reserved::{FIRST_BYTES, Reserved, read_reserved};

/// Limits on a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    pub bytes: usize,
    /// Limit on the number of its pieces, which cost time each.
    pub pieces: usize,
}

impl BodyLimits {
    /// Only limits the bytes, for bodies that come in within a short time.
    pub(crate) fn bytes(bytes: usize) -> BodyLimits {
        BodyLimits { bytes, pieces: usize::MAX }
    }
}

#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum BodyError<E> {
    #[error("it is too large")]
    TooLarge,
    #[error("it has too many pieces")]
    TooManyPieces,
    #[error("no memory is left for it")]
    Exhausted,
    #[error("it broke off: {0}")]
    Broken(#[from] E),
}

/// Reads a body and drops it.
pub(crate) async fn skip_body<B>(mut body: B, limits: BodyLimits) -> Result<(), BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        length += frame?.data_ref().map_or(0, Bytes::len);
        if length > limits.bytes {
            return Err(BodyError::TooLarge);
        }
    }
    Ok(())
}

/// Reads a body; trailers are dropped.
pub(crate) async fn read_body<B>(
    mut body: B,
    limits: BodyLimits,
) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut first = Bytes::new();
    let mut all = BytesMut::new();
    let mut pieces = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        pieces += 1;
        let length = first.len().max(all.len()) + data.len();
        if length > limits.bytes {
            return Err(BodyError::TooLarge);
        }
        if pieces > limits.pieces {
            return Err(BodyError::TooManyPieces);
        }
        if pieces == 1 {
            first = data;
            continue;
        }
        if pieces == 2 {
            all.extend_from_slice(&first);
            first = Bytes::new();
        }
        all.extend_from_slice(&data);
    }
    Ok(if pieces > 1 { all.freeze() } else { first })
}
