//! I/O of the forwarding tier: connections from callers, connections to
//! targets, and datagrams between hosts.
//!
//! Decisions about routes, targets and answers are made in `forward`. Nothing
//! here depends on a platform: header names are settings, and configurations
//! and target reports are passed in. This is not a proxy library: each request
//! is read completely, and each answer is checked completely before its first
//! byte is sent.

mod answer;
mod body;
mod callers;
mod clock;
mod configuration;
mod customers;
mod cx;
mod feeds;
pub mod follow;
mod format;
mod in_force;
mod isolation;
mod leaving;
mod log_line;
mod memory;
mod messages;
mod names;
mod pages;
mod peer_keys;
mod peer_server;
mod peers;
mod pool;
mod port_connections;
mod query;
mod quota;
mod relay;
mod run;
mod scatter;
mod settings;
mod shown_version;
mod socket;
mod state;
mod targets;
#[cfg(test)]
mod tests;
mod tokens;

pub use crate::{
    clock::Clock,
    cx::{Cx, SharedCx},
    names::HeaderNames,
    peer_keys::{MessageKind, PeerKeys, PeerKeysError},
    run::{run, serve, serve_until},
    settings::{FrontSettings, FrontSettingsBuilder},
    socket::connect,
};
