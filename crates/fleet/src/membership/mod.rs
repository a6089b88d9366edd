//! Membership.

use std::net::SocketAddr;

use base::{DomainName, HostName, Incarnation, Revision};

/// What the fleet believes of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    Alive,
    /// Does not answer probes; still counted as alive.
    Suspect,
    /// Did not refute the suspicion in time.
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
