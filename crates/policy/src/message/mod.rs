//! Messages between entry hosts, owners and targets, as plain data. Wire formats
//! are converted to and from these types where messages are sent and received.

use std::{sync::Arc, time::Duration};

use base::{
    AttemptId, Incarnation, Missing, Outcome, PoolName, Reason, RequestId, ServiceName, ShardId,
    Snapshot, TargetName,
};

/// Request for one shard's result, addressed to one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Subquery {
    pub attempt: AttemptId,
    pub shard: ShardId,
    pub target: TargetName,
}

/// All subqueries of one request for targets of one owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    pub request: RequestId,
    pub service: ServiceName,
    pub pool: PoolName,
    pub snapshot: Snapshot,
    pub time_left: Duration,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether these are hedges, retries or restarts, not first sends.
    pub is_extra: bool,
    /// Hash of service and body; the same if the request is sent again through
    /// another host.
    pub fingerprint: u64,
    pub body: Arc<[u8]>,
    pub subqueries: Vec<Subquery>,
}

/// Result of one subquery. Exactly one part follows each subquery, except that a
/// cancelled one may have none.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    pub attempt: AttemptId,
    pub shard: ShardId,
    pub target: TargetName,
    pub result: PartResult,
    /// Time the owner held the subquery before the send.
    pub queued: Duration,
    /// Time from send to answer.
    pub service_time: Duration,
    pub status: Option<TargetStatus>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum PartResult {
    Answer { snapshot: Snapshot, body: Arc<[u8]> },
    Failed { missing: Missing, outcome: Outcome },
}

/// Status of a target, as known to its owner.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus {
    pub target: TargetName,
    pub incarnation: Incarnation,
    pub is_leaving: bool,
    /// False if the owner considers the target down.
    pub is_up: bool,
    /// Concurrent requests that the owner currently allows.
    pub limit: u32,
    pub in_flight: u32,
    /// Predicted wait of a new subquery.
    pub wait: Duration,
    /// Snapshots that the target last reported to hold.
    pub snapshots: Vec<Snapshot>,
}

/// Permission to run one non-idempotent request once, at the host that
/// minted it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    pub minter: base::HostName,
    pub incarnation: Incarnation,
    /// Random, so that tickets cannot be guessed.
    pub secret: u128,
}

/// A non-idempotent request, sent to the minter of its ticket.
#[derive(Clone, Debug, PartialEq)]
pub struct Redemption {
    pub ticket: Ticket,
    pub service: ServiceName,
    pub time_left: Duration,
    /// Shard to run on; every shard if `None`.
    pub shard: Option<ShardId>,
    pub body: Arc<[u8]>,
}

/// Reply to a [`Redemption`]: HTTP status and JSON body for the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct RedemptionReply {
    pub status: u16,
    pub body: Arc<[u8]>,
}

/// Refusal of a whole request, as reported to the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    pub reason: Reason,
    pub outcome: Outcome,
    pub detail: String,
    pub retry_after: Option<Duration>,
}
