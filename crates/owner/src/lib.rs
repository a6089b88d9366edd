//! The owner of targets on one host: an actor around
//! [`policy::owner::OwnerCore`] that carries out its actions on real
//! connections.
//!
//! `policy` decides which job is sent when and over which connection, and how
//! a result is rated. This crate ensures that each connection id stands for one
//! TCP connection with one request at a time, that the lease is checked right
//! before the first byte is sent, and that each subquery gets exactly one part.

mod actor;
mod cx;
mod handle;
mod protocol;
mod recorder;

pub use crate::{
    cx::OwnerCx,
    handle::OwnerHandle,
    protocol::{HttpConnection, HttpProtocol, ProtocolError, Query, TargetProtocol},
};
