//! What nodes tell each other, as plain data. The driver encodes it.
//!
//! Small messages travel as datagrams and may be lost, doubled or late; the
//! state machines expect all three. Those that may be large go by link.

use std::{net::SocketAddr, sync::Arc};

use base::{DomainName, HostName, Incarnation, Revision};

use crate::{assignment::GroupId, membership::MemberState};

/// Most membership records in one datagram.
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
    /// Asks whether the receiver lives.
    Ping {
        seq: u64,
        gossip: Gossip,
    },
    Ack {
        seq: u64,
        gossip: Gossip,
    },
    /// Asks the receiver to ping `address` and to pass the answer on.
    PingRequest {
        seq: u64,
        address: SocketAddr,
    },
    /// Passes on that the host at `address` answered.
    IndirectAck {
        seq: u64,
        address: SocketAddr,
    },
    /// What the sender holds of each domain; answered by `Members`.
    Digest {
        domains: Vec<DomainDigest>,
    },
    /// Membership records.
    Members {
        records: Vec<Record>,
    },
    /// The sender's configuration is complete up to `revision`; the receiver
    /// passes the news on as a node of the tree rooted at `root`.
    Announce {
        root: HostName,
        revision: Revision,
    },
    /// Asks for documents with revisions above `after`.
    Pull {
        after: Revision,
    },
    Documents(Documents),
    /// Asks a voter for rights.
    Claim {
        seq: u64,
        claims: Vec<Claim>,
    },
    /// A voter's answers to the claim `seq`.
    Verdict {
        seq: u64,
        verdicts: Vec<Verdict>,
    },
    /// The sender gives up rights that it held; claims before `seq` are void.
    Release {
        seq: u64,
        rights: Vec<Right>,
    },
    /// A primary asks the standby for the slot the standby holds back.
    Borrow {
        seq: u64,
        groups: Vec<GroupId>,
    },
    /// The standby does not use its slots of `groups` for the time asked.
    Loan {
        seq: u64,
        groups: Vec<GroupId>,
    },
}

/// What rides on each probe.
#[derive(Clone, Debug, PartialEq)]
pub struct Gossip {
    /// The sender's own record.
    pub own: Record,
    /// Hash over all records that the sender holds.
    pub members: u64,
    /// The sender's configuration is complete up to this revision.
    pub revision: Revision,
    /// Whether a peer or the platform confirmed that revision.
    pub is_confirmed: bool,
    /// Recent changes of membership.
    pub records: Vec<Record>,
    /// Revisions of some hosts, as last heard.
    pub revisions: Vec<HostRevision>,
}

/// One host as the sender believes it to be. Supersedes a record with a lower
/// (incarnation, epoch, state).
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub host: HostName,
    pub domain: DomainName,
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    /// Raised only by the host itself, to refute a suspicion or to change its
    /// flags.
    pub epoch: u32,
    pub state: MemberState,
    /// The host is stopping and takes on nothing new.
    pub is_leaving: bool,
    /// The host holds confirmed configuration and may own targets.
    pub is_serving: bool,
    /// The voters of its domain admitted the host as one of them.
    pub is_voter: bool,
    /// Lower for those who became voters earlier.
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
    /// The revision asked for.
    pub after: Revision,
    /// Everything above `after` up to here is in `records`.
    pub upto: Revision,
    /// The sender is complete up to here.
    pub revision: Revision,
    /// Whether a peer or the platform confirmed `revision`.
    pub is_confirmed: bool,
    pub records: Vec<DocumentRecord>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct DocumentRecord {
    pub key: Arc<str>,
    pub revision: Revision,
    /// None if deleted.
    pub text: Option<Arc<str>>,
}

/// One of the two rights to a group of targets; their shares are disjoint.
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
    /// Hash of the voters that the claimant asks; a grant counts only between
    /// hosts that agree on them.
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
        /// The last holder gave the right up itself, or was the claimant.
        was_released: bool,
    },
    /// Promised to another.
    Held,
    /// The voter's view of the voters differs.
    OtherVoters,
    /// The voter may have forgotten a promise and waits until it must be over.
    Waiting,
}

impl Message {
    /// Whether the message may exceed a datagram and must go by link.
    pub fn is_bulk(&self) -> bool {
        match &self.body {
            Body::Digest { .. } | Body::Documents(_) => true,
            Body::Members { records } => records.len() > MAX_RECORDS_PER_DATAGRAM,
            _ => false,
        }
    }
}
