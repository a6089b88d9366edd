//! Actions that the owner requests, and its events for logs and metrics.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{
    AttemptId, Incarnation, Missing, PoolName, RequestId, ServiceName, ShardId, Snapshot,
    TargetName, Time,
};

use super::input::{ConnectionId, RequesterId};
use crate::message::{Batch, Part};

#[derive(Clone, Debug)]
pub enum Action {
    /// Opens a connection and reads the target's load report over it.
    Open {
        target: TargetName,
        connection: ConnectionId,
        address: SocketAddr,
    },
    /// Sends a job. The lease and the deadline must be checked again right before
    /// the first byte, since the process may have paused after the decision.
    Send {
        target: TargetName,
        connection: ConnectionId,
        job: Job,
        valid_until: Option<Time>,
    },
    /// Reads the target's load report over an idle connection.
    Probe {
        target: TargetName,
        connection: ConnectionId,
    },
    CancelAttempt {
        target: TargetName,
        connection: ConnectionId,
        attempt: AttemptId,
    },
    Close {
        target: TargetName,
        connection: ConnectionId,
    },
    Reply {
        requester: RequesterId,
        part: Part,
    },
    Emit {
        target: TargetName,
        event: TargetEvent,
    },
}

/// One subquery held by the owner.
#[derive(Clone, Debug)]
pub struct Job {
    pub attempt: AttemptId,
    pub shard: ShardId,
    pub requester: RequesterId,
    pub queued_at: Time,
    /// Slot time charged to the service when the job left the queue.
    pub charged: Duration,
    pub batch: Arc<JobBatch>,
}

/// Data shared by the jobs of one batch.
#[derive(Clone, Debug)]
pub struct JobBatch {
    pub request: RequestId,
    pub service: ServiceName,
    pub pool: PoolName,
    pub snapshot: Snapshot,
    pub deadline: Time,
    pub is_idempotent: bool,
    /// Weight of the service in the fair queue.
    pub weight: u32,
    pub body: Arc<[u8]>,
}

/// A decision about a target or a change of its state, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetEvent {
    Assigned { slots: u32, connections: u32 },
    Released,
    LimitRaised { to: u32 },
    LimitLowered { to: u32, cause: LimitCause },
    ConnectionClosed { connection: ConnectionId, cause: CloseCause },
    Up { incarnation: Incarnation },
    Down,
    Leaving { incarnation: Incarnation },
    QueueFailed { jobs: usize, missing: Missing },
    Refused { service: ServiceName, missing: Missing },
}

/// Why a target's limit was lowered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitCause {
    StartsCold,
    NewIncarnation,
    DomainReturned,
    Shed,
    ConnectionLost,
    ConnectionRefused,
    LatencyJump,
    NoAnswer,
    LongIdle,
    Unhealthy,
    /// Answers became too slow after the last raise.
    RiseTooSlow,
}

/// Why a connection was closed early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// An attempt got no answer in time, or a control call failed or timed out.
    /// Idle connections without a success since such an attempt are closed too.
    Silent,
    WrongAnswer,
    Lost,
}

impl JobBatch {
    pub(super) fn new(batch: &Batch, weight: u32, now: Time) -> Self {
        JobBatch {
            request: batch.request,
            service: batch.service.clone(),
            pool: batch.pool.clone(),
            snapshot: batch.snapshot,
            deadline: now + batch.time_left,
            is_idempotent: batch.is_idempotent,
            weight,
            body: Arc::clone(&batch.body),
        }
    }
}

impl LimitCause {
    pub const fn as_str(self) -> &'static str {
        match self {
            LimitCause::StartsCold => "starts_cold",
            LimitCause::NewIncarnation => "new_incarnation",
            LimitCause::DomainReturned => "domain_returned",
            LimitCause::Shed => "shed",
            LimitCause::ConnectionLost => "connection_lost",
            LimitCause::ConnectionRefused => "connection_refused",
            LimitCause::LatencyJump => "latency_jump",
            LimitCause::NoAnswer => "no_answer",
            LimitCause::LongIdle => "long_idle",
            LimitCause::Unhealthy => "unhealthy",
            LimitCause::RiseTooSlow => "rise_too_slow",
        }
    }
}

impl CloseCause {
    pub const fn as_str(self) -> &'static str {
        match self {
            CloseCause::Silent => "silent",
            CloseCause::WrongAnswer => "wrong_answer",
            CloseCause::Lost => "lost",
        }
    }
}
