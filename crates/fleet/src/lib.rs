//! State machines of one host in the fleet, free of I/O: membership, the
//! assignment of targets to hosts, and the configuration in force.
//!
//! The crate opens no sockets, reads no clock and draws random numbers only
//! from the seed in its settings. A driver passes inputs to [`Node::handle`]
//! and carries out the returned actions. Nothing is stored on disk; a node
//! rebuilds its state from its peers and the platform.
//!
//! Exclusive use of a target depends on leases granted by voters (see
//! [`lease`]), not on hosts agreeing about membership.

pub mod assignment;
pub mod configuration;
pub mod lease;
pub mod membership;
pub mod message;
pub mod node;
pub mod settings;

mod hash;

pub use crate::{
    configuration::IndexEntry,
    membership::{Member, MemberState},
    message::Message,
    node::{Action, Input, ListedHost, Node, NotReady},
    settings::{NodeSettings, NodeSettingsBuilder},
};
