//! What an entry host, an owner and a target tell each other, as plain data.
//! Wire formats convert to and from these types at the rim.

use std::{sync::Arc, time::Duration};

use base::{
    AttemptId, Incarnation, Missing, Outcome, PoolName, Reason, RequestId, ServiceName, ShardId,
    Snapshot, TargetName,
};

/// One shard's part of a request, addressed to one target.
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
    /// Whether these are hedges or retries, not first sends.
    pub is_extra: bool,
    /// Hash of service and body; survives a resend through another host.
    pub fingerprint: u64,
    pub body: Arc<[u8]>,
    pub subqueries: Vec<Subquery>,
}

/// What became of one subquery. Exactly one part follows each subquery, but
/// for a cancelled one, which may have none.
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

/// What an owner knows of one of its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus {
    pub target: TargetName,
    pub incarnation: Incarnation,
    pub is_leaving: bool,
    /// False once the target is believed down.
    pub is_up: bool,
    /// Requests at once that the owner now allows.
    pub limit: u32,
    pub in_flight: u32,
    /// Predicted wait of a new subquery.
    pub wait: Duration,
    /// Snapshots that the target holds, as it last told.
    pub snapshots: Vec<Snapshot>,
}

/// Permission to run one non-idempotent request once, at the host that
/// minted it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    pub minter: base::HostName,
    pub incarnation: Incarnation,
    /// Unguessable.
    pub secret: u128,
}

/// A non-idempotent request handed to the minter of its ticket.
#[derive(Clone, Debug, PartialEq)]
pub struct Redemption {
    pub ticket: Ticket,
    pub service: ServiceName,
    pub time_left: Duration,
    /// Shard to run on; every shard if none.
    pub shard: Option<ShardId>,
    pub body: Arc<[u8]>,
}

/// What the minter answers: an HTTP status and the JSON body for the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct RedemptionReply {
    pub status: u16,
    pub body: Arc<[u8]>,
}

/// A refusal of a whole request, as the caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    pub reason: Reason,
    pub outcome: Outcome,
    pub detail: String,
    pub retry_after: Option<Duration>,
}
