//! Membership: which hosts are running, learned from probes, gossip and leave
//! announcements.
//!
//! Hosts of one failure domain probe each other, one host per period, so that
//! the cost per host does not grow with the fleet. Only hosts of a domain
//! detect failures of its hosts: an unreachable domain keeps its last known
//! state. A few hosts per domain, selected by hashing, probe hosts of other
//! domains and thereby exchange gossip between domains; digests repair what
//! gossip missed.

mod probe;
mod table;

use std::net::SocketAddr;

use base::{DomainName, HostName, Incarnation, Revision};

pub(crate) use self::{
    probe::{Probe, Prober},
    table::{Table, host_hash, placeholder},
};
pub use crate::message::MemberState;

/// Time between two probes that a host sends within its domain.
pub const PROBE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// A host as known to this node.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub host: HostName,
    pub domain: DomainName,
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub state: MemberState,
    pub is_leaving: bool,
    /// Holds confirmed configuration.
    pub is_serving: bool,
    /// Last known revision of the host's configuration.
    pub revision: Revision,
}

impl MemberState {
    /// Whether the host counts as running.
    pub fn is_up(self) -> bool {
        self <= MemberState::Suspect
    }
}
