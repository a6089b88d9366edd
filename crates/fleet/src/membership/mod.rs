//! Membership: which hosts live, learned from probes, gossip and goodbyes.
//!
//! Hosts of one failure domain probe each other; one probe a period, so the
//! cost per host does not grow with the fleet. Only hosts of a domain judge
//! that domain's hosts: a domain that is cut off stays as it was last heard.
//! A few hosts per domain, chosen by hashing, probe hosts of other domains and
//! so carry news between domains; digests repair what gossip missed.

mod probe;
mod table;

use std::net::SocketAddr;

use base::{DomainName, HostName, Incarnation, Revision};

pub(crate) use self::{
    probe::{Probe, Prober},
    table::{Table, host_hash, placeholder},
};

/// Time between two probes of one host.
pub const PROBE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// What the fleet believes of a host; a later one supersedes an earlier one
/// of the same incarnation and epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    Alive,
    /// Does not answer probes; still counted as alive.
    Suspect,
    /// Did not refute the suspicion in time, or was never heard.
    Dead,
    /// Said goodbye.
    Left,
    /// Ended long ago; no longer counted among the voters.
    Forgotten,
}

/// A host as this node sees it.
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
    /// Revision in force there, as last heard.
    pub revision: Revision,
}

impl MemberState {
    /// Whether the host counts as running.
    pub fn is_up(self) -> bool {
        self <= MemberState::Suspect
    }
}
