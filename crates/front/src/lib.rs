//! The forwarding tier's input and output: callers' connections, connections
//! to targets, and datagrams between hosts.
//!
//! It decides nothing about routes, targets or answers: `forward` does. It
//! knows no platform: header names are settings, configurations and reports
//! of targets are handed in. It is not a proxy library: each request is read
//! whole, and each answer is checked whole before its first byte goes out.

mod callers;
mod clock;
mod cx;
pub mod follow;
mod isolation;
mod names;
mod peers;
mod run;
mod scatter;
mod settings;
mod socket;
mod state;
mod targets;

pub use crate::{
    callers::{serve, serve_until},
    clock::Clock,
    cx::{Cx, SharedCx},
    names::HeaderNames,
    run::run,
    settings::{FrontSettings, FrontSettingsBuilder},
    socket::connect,
};
