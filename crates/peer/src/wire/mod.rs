//! Conversion between capnp messages and plain data types such as those of
//! `policy::message`. Input from peers is validated here: a malformed field is
//! an error, never a panic.

mod batch;
mod fleet;
mod frame;
mod hello;
mod part;
mod redemption;
mod suspects;

use base::{AttemptId, RequestId, Snapshot};

use crate::generated::peer_capnp::{id, snapshot};

pub use self::frame::Frame;
pub(crate) use self::{
    batch::{read_batch, write_batch},
    hello::{read_hello, write_hello},
    part::{read_part, read_status, write_part, write_status},
    redemption::{read_redemption, write_redemption},
};

pub(crate) type Result<T> = std::result::Result<T, capnp::Error>;

/// Largest body accepted from a peer, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 8 << 20;

/// Largest message, in words of 8 bytes; bounds the memory that a peer can make
/// this host use.
const MAX_MESSAGE_WORDS: usize = 4 << 20;

/// Returns the limits for reading a message from a peer.
pub(crate) fn message_limits() -> capnp::message::ReaderOptions {
    let mut limits = capnp::message::ReaderOptions::new();
    limits.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    limits.nesting_limit(16);
    limits
}

pub(crate) fn malformed(what: &str) -> capnp::Error {
    capnp::Error::failed(format!("malformed message: {what}"))
}

pub(crate) fn text(reader: capnp::text::Reader<'_>) -> Result<&str> {
    reader.to_str().map_err(|_| malformed("text is not UTF-8"))
}

/// Reads a name, which must be valid as a name in a document.
pub(crate) fn name<N: for<'a> From<&'a str>>(reader: capnp::text::Reader<'_>) -> Result<N> {
    let text = text(reader)?;
    if !base::name::is_valid(text) {
        return Err(malformed("not a name"));
    }
    Ok(N::from(text))
}

pub(crate) fn body(bytes: &[u8]) -> Result<std::sync::Arc<[u8]>> {
    if bytes.len() > MAX_BODY_BYTES {
        return Err(malformed("body too long"));
    }
    Ok(bytes.into())
}

pub(crate) fn write_request_id(mut to: id::Builder<'_>, it: RequestId) {
    let (high, low) = it.halves();
    to.set_high(high);
    to.set_low(low);
}

pub(crate) fn read_request_id(from: id::Reader<'_>) -> RequestId {
    RequestId::from_halves(from.get_high(), from.get_low())
}

pub(crate) fn write_attempt_id(mut to: id::Builder<'_>, it: AttemptId) {
    let (high, low) = it.halves();
    to.set_high(high);
    to.set_low(low);
}

pub(crate) fn read_attempt_id(from: id::Reader<'_>) -> AttemptId {
    AttemptId::from_halves(from.get_high(), from.get_low())
}

pub(crate) fn write_snapshot(mut to: snapshot::Builder<'_>, it: Snapshot) {
    to.set_map(it.map);
    to.set_index(it.index);
}

pub(crate) fn read_snapshot(from: snapshot::Reader<'_>) -> Snapshot {
    Snapshot { map: from.get_map(), index: from.get_index() }
}

pub(crate) fn micros(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
