//! What hosts tell each other.

use std::{net::SocketAddr, time::Duration};

use base::DomainName;

use crate::{suspects::Strike, target::LeavingTarget};

/// A host of the tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Address for other hosts.
    pub address: SocketAddr,
    pub domain: DomainName,
    /// Processing capacity in thousandths of a core.
    pub capacity: u32,
    /// Reads the configuration and the targets at their source.
    pub reads_source: bool,
    /// No target answers the host.
    pub has_lost_targets: bool,
}

/// A host that another one knows of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    pub host: Host,
    /// Time since the host was last seen.
    pub age: Duration,
}

/// A domain from which the sender's domain got a digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenDomain {
    pub domain: DomainName,
    /// Time since the last digest.
    pub age: Duration,
}

/// One gossip message.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    pub from: Host,
    /// Version of the configuration in force at the sender.
    pub version: u64,
    /// Age of the sender's proof that this is the newest version, if it states it.
    pub proof_age: Option<Duration>,
    /// Some of the hosts known to the sender, in turn.
    pub hosts: Vec<ListedHost>,
    /// Other domains heard by the sender's domain.
    pub domains: Vec<SeenDomain>,
    /// Recent strikes against requests that crashed targets.
    pub strikes: Vec<Strike>,
    /// Some of the targets that said lately that they leave, in turn.
    pub leaving: Vec<LeavingTarget>,
    /// The sender wants a digest in return.
    pub asks_for_reply: bool,
}
