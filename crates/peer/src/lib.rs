//! Links between the hosts of a fleet: capnp-rpc over TCP for batches of
//! subqueries, and UDP datagrams for small fleet messages.
//!
//! This crate makes no policy decisions. It carries messages, reports whether
//! work without an answer may have run, and replaces or closes links that no
//! longer respond. The [`HostService`] behind the server interprets the
//! messages.

#[allow(clippy::all, clippy::unimplemented, unused_qualifications)]
mod generated;

pub mod datagram;
pub mod identity;
pub mod links;
pub mod server;
mod wire;

pub use crate::{
    datagram::DatagramSocket,
    identity::Identity,
    links::{LinkError, Links},
    server::{HostService, serve},
    wire::Frame,
};
