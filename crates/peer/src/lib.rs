//! Links between hosts of one fleet: capnp-rpc over TCP for batches of
//! subqueries, and UDP datagrams for small fleet messages.
//!
//! It decides nothing: it carries messages, vouches for the outcome of what it
//! carried, and gives up links that have gone silent. What a message means is
//! up to the [`HostService`] behind the server.

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
