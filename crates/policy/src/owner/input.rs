//! Inputs of the owner: work, results, reports, configuration, shares and
//! ticks.

use std::sync::Arc;

use base::{
    AttemptId, Incarnation, Missing, Outcome, RequestId, ShardId, Share, Snapshot, TargetName,
};
use documents::Configuration;

use crate::message::{Batch, TargetStatus};

/// Identifies the receiver of a batch's parts; chosen by the caller of
/// [`OwnerCore`](super::OwnerCore).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequesterId(pub u64);

/// Identifies one connection to a target. Not reused after the connection is
/// closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

#[derive(Clone, Debug)]
pub enum Input {
    Submit {
        requester: RequesterId,
        batch: Batch,
    },
    Cancel {
        request: RequestId,
        attempts: Vec<AttemptId>,
    },
    AttemptFinished {
        target: TargetName,
        connection: ConnectionId,
        attempt: AttemptId,
        result: AttemptResult,
    },
    Opened {
        target: TargetName,
        connection: ConnectionId,
        report: LoadReport,
    },
    OpenFailed {
        target: TargetName,
        connection: ConnectionId,
    },
    ControlFinished {
        target: TargetName,
        connection: ConnectionId,
        result: ControlResult,
    },
    Configure(Arc<Configuration>),
    /// Replaces the set of shares. Targets that are not listed are released.
    Assign(Vec<(TargetName, Share)>),
    /// Statuses that other owners reported for targets which may be assigned
    /// to this host later.
    Learn(Vec<TargetStatus>),
    /// Makes the owner refuse new work and finish what it has admitted.
    Drain,
    Tick,
}

/// Result of an attempt as received from the connection, not yet checked
/// against the attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
    Answer {
        head: AnswerHead,
        body: Arc<[u8]>,
    },
    Refusal {
        head: AnswerHead,
        kind: RefusalKind,
        outcome: Option<Outcome>,
    },
    NotSent(NotSent),
    /// The body was shorter or longer than announced, of unknown length, or too
    /// long to accept.
    Truncated,
    /// The connection ended after part of the request may have been sent.
    Lost,
}

/// Reason why nothing of an attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    /// The connection was found closed.
    ConnectionClosed,
    StaleLease,
    DeadlinePassed,
}

/// Reason that a target gave for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    SnapshotNotHeld,
    Leaving,
    Cancelled,
    Shed,
    DeadlinePassed,
    Error,
}

/// Metadata of an answer or a refusal, with the state of its target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    pub attempt: Option<AttemptId>,
    pub shard: Option<ShardId>,
    pub snapshot: Option<Snapshot>,
    pub incarnation: Option<Incarnation>,
    pub is_leaving: bool,
    /// Snapshots held by the target.
    pub snapshots: Option<Vec<Snapshot>>,
}

/// A target's report of its own state, which may be outdated or wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    pub incarnation: Incarnation,
    pub is_leaving: bool,
    pub is_healthy: bool,
    pub snapshots: Vec<Snapshot>,
}

/// Result of a probe or a cancellation.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlResult {
    Report(LoadReport),
    Cancelled,
    Failed,
}

impl RefusalKind {
    /// Returns the reason stated in the part of the refused attempt.
    pub fn missing(self) -> Missing {
        match self {
            RefusalKind::SnapshotNotHeld => Missing::WrongSnapshot,
            RefusalKind::Leaving => Missing::TargetLeaving,
            RefusalKind::Cancelled => Missing::Cancelled,
            RefusalKind::Shed => Missing::Shed,
            RefusalKind::DeadlinePassed => Missing::Deadline,
            RefusalKind::Error => Missing::TargetError,
        }
    }
}
