//! What the owner is told: work, results, reports, configuration, shares and
//! the passing of time.

use std::sync::Arc;

use base::{
    AttemptId, Incarnation, Missing, Outcome, RequestId, ShardId, Share, Snapshot, TargetName,
};
use documents::Configuration;

use crate::message::{Batch, TargetStatus};

/// Who waits for the parts of a batch; chosen by the caller of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequesterId(pub u64);

/// One connection to one target, never used again once closed.
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
    /// The full set of shares; a target that is not listed is let go.
    Assign(Vec<(TargetName, Share)>),
    /// What other owners say of targets that may be assigned here later.
    Learn(Vec<TargetStatus>),
    /// Refuses new work from now on; admitted work is finished.
    Drain,
    Tick,
}

/// What became of an attempt, as the connection saw it. Nothing in it has
/// been checked against the attempt.
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
    /// The body was shorter or longer than announced, or of unknown length.
    Truncated,
    /// The connection ended after a byte may have been sent.
    Lost,
}

/// Why no byte of an attempt reached a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    /// The connection was found closed.
    ConnectionClosed,
    StaleLease,
    DeadlinePassed,
}

/// What a refusing target gave as the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    SnapshotNotHeld,
    Leaving,
    Cancelled,
    Shed,
    DeadlinePassed,
    Error,
}

/// What an answer or a refusal says of itself and of its target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    pub attempt: Option<AttemptId>,
    pub shard: Option<ShardId>,
    pub snapshot: Option<Snapshot>,
    pub incarnation: Option<Incarnation>,
    pub is_leaving: bool,
    /// Snapshots that the target holds.
    pub snapshots: Option<Vec<Snapshot>>,
}

/// A target's own report of its state. It may lag or mislead.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    pub incarnation: Incarnation,
    pub is_leaving: bool,
    pub is_healthy: bool,
    pub snapshots: Vec<Snapshot>,
}

/// What became of a probe or a cancellation.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlResult {
    Report(LoadReport),
    Cancelled,
    Failed,
}

impl RefusalKind {
    /// How the part of the refused attempt names the reason.
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
