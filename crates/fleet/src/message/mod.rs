//! Messages between nodes, as plain data. The driver encodes them.
//!
//! Small messages are sent as datagrams, which may be lost, duplicated or
//! delayed; the state machines tolerate all three. Messages that may be large
//! are sent over links.

use std::{net::SocketAddr, sync::Arc};

use base::{DomainName, HostName, Incarnation, Revision};

/// Maximum number of membership records in one datagram.
pub const MAX_RECORDS_PER_DATAGRAM: usize = 8;

/// A message of one incarnation of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub sender: HostName,
    pub incarnation: Incarnation,
    pub body: Body,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Probes the receiver; answered by `Ack`.
    Ping {
        seq: u64,
        gossip: Gossip,
    },
    Ack {
        seq: u64,
        gossip: Gossip,
    },
    /// Asks the receiver to ping `address` and to report the answer with an
    /// `IndirectAck`.
    PingRequest {
        seq: u64,
        address: SocketAddr,
    },
    /// Reports to the requester of a `PingRequest` that the host at `address`
    /// answered.
    IndirectAck {
        seq: u64,
        address: SocketAddr,
    },
    /// Digests of the sender's records by domain; answered by `Members` for the
    /// domains that differ.
    Digest {
        domains: Vec<DomainDigest>,
    },
    /// Membership records.
    Members {
        records: Vec<Record>,
    },
    /// The sender's configuration is complete up to `revision`; the receiver
    /// forwards the announcement as a node of the tree rooted at `root`.
    Announce {
        root: HostName,
        revision: Revision,
    },
    /// Asks for documents with revisions above `after`.
    Pull {
        after: Revision,
    },
    Documents(Documents),
    /// Claims rights from a voter; answered by `Verdict`.
    Claim {
        seq: u64,
        claims: Vec<Claim>,
    },
    /// A voter's answers to the claim `seq`.
    Verdict {
        seq: u64,
        verdicts: Vec<Verdict>,
    },
    /// The sender releases rights that it held; its claims before `seq` are
    /// void.
    Release {
        seq: u64,
        rights: Vec<Right>,
    },
    /// A primary asks the standby to lend the slots reserved for the standby
    /// right; answered by `Loan`.
    Borrow {
        seq: u64,
        groups: Vec<GroupId>,
    },
    /// The standby lends its slots of `groups` and leaves them unused for
    /// [`LEND_DURATION`](crate::lease::LEND_DURATION).
    Loan {
        seq: u64,
        groups: Vec<GroupId>,
    },
}

/// Membership and configuration state piggybacked on each probe.
#[derive(Clone, Debug, PartialEq)]
pub struct Gossip {
    /// The sender's own record.
    pub own: Record,
    /// Digest of all membership records that the sender holds.
    pub members: u64,
    /// The sender's configuration is complete up to this revision.
    pub revision: Revision,
    /// Whether a peer or the platform confirmed `revision`.
    pub is_confirmed: bool,
    /// Recent membership changes.
    pub records: Vec<Record>,
    /// Last known revisions of some hosts.
    pub revisions: Vec<HostRevision>,
}

/// State of a host. Among records of the same incarnation and epoch, a later
/// state supersedes an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    Alive,
    /// Does not answer probes; still counted as running.
    Suspect,
    /// Did not refute the suspicion in time, or was never reached.
    Dead,
    /// Announced that it left.
    Left,
    /// Ended long ago; no longer counted among the voters. Kept as a tombstone.
    Forgotten,
}

/// State of one host as known to the sender. Supersedes records of the same
/// host with a lower (incarnation, epoch, state).
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub host: HostName,
    pub domain: DomainName,
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    /// Incremented only by the host itself, to refute a suspicion or to change
    /// its flags.
    pub epoch: u32,
    pub state: MemberState,
    /// The host is stopping and acquires no further targets.
    pub is_leaving: bool,
    /// The host holds confirmed configuration and may own targets.
    pub is_serving: bool,
    /// The voters of the host's domain admitted it as a voter.
    pub is_voter: bool,
    /// Order in which hosts became voters; lower is earlier.
    pub seniority: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct HostRevision {
    /// Stable hash of the host's name.
    pub host: u64,
    pub incarnation: Incarnation,
    pub revision: Revision,
}

#[derive(Clone, Debug, PartialEq)]
pub struct DomainDigest {
    pub domain: DomainName,
    pub members: u64,
}

/// Documents in order of revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Documents {
    /// Revision from the pull request.
    pub after: Revision,
    /// `records` is complete for revisions above `after` up to this one.
    pub upto: Revision,
    /// The sender's configuration is complete up to this revision.
    pub revision: Revision,
    /// Whether a peer or the platform confirmed `revision`.
    pub is_confirmed: bool,
    pub records: Vec<DocumentRecord>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct DocumentRecord {
    pub key: Arc<str>,
    pub revision: Revision,
    /// `None` if the document was deleted.
    pub text: Option<Arc<str>>,
}

/// Identifies a group of targets that are assigned together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);

/// One of the two rights to a group of targets. The shares of the two rights
/// are disjoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Right {
    pub group: GroupId,
    pub role: Role,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    Primary,
    Standby,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    pub right: Right,
    /// Hash of the voter set that the claimant uses; a grant is valid only
    /// between hosts that agree on the voter set.
    pub voters: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub right: Right,
    pub voters: u64,
    pub answer: Answer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The right is promised to the claimant.
    Granted {
        /// The last holder released the right itself, or was the claimant.
        was_released: bool,
    },
    /// The right is promised to another host, or the claim is outdated.
    Held,
    /// The voter knows a different voter set.
    OtherVoters,
    /// The voter may not know of an earlier promise and refuses until any such
    /// promise must have expired.
    Waiting,
}

impl Message {
    /// Whether the message may exceed a datagram and must be sent over a link.
    pub fn is_bulk(&self) -> bool {
        match &self.body {
            Body::Digest { .. } | Body::Documents(_) => true,
            Body::Members { records } => records.len() > MAX_RECORDS_PER_DATAGRAM,
            _ => false,
        }
    }
}
