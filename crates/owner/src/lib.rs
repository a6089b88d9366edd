//! The owner of targets on one host: an actor around
//! [`policy::owner::OwnerCore`] that carries its actions out on real
//! connections.
//!
//! It decides nothing on its own: which job goes when, over which connection,
//! and what a result is worth is decided in `policy`. Its own duty is that a
//! connection slot is one TCP connection with one request at a time, that the
//! lease is checked right before the first byte, and that each subquery gets
//! exactly one part.

mod actor;
mod handle;
mod protocol;
mod recorder;

pub use crate::{
    handle::{OwnerCx, OwnerHandle},
    protocol::{HttpConnection, HttpProtocol, ProtocolError, Query, TargetProtocol},
};
