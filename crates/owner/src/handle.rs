//! Handle through which the rest of the host uses the owner.

use std::{sync::Arc, time::Duration};

use base::{AttemptId, Missing, Outcome, PoolName, RequestId, Share, TargetName};
use documents::Configuration;
use policy::message::{Batch, Part, PartResult, Subquery, TargetStatus};
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    actor::{Actor, Command, deliver},
    cx::OwnerCx,
    protocol::{HttpProtocol, TargetProtocol},
};

/// Capacity of the actor's command queue. Batches that exceed it are refused.
const MAX_QUEUED_COMMANDS: usize = 4_096;

/// Handle of the owner's actor, which ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct OwnerHandle {
    commands: mpsc::Sender<Command>,
    configuration: Arc<watch::Sender<Arc<Configuration>>>,
    shares: Arc<watch::Sender<Vec<(TargetName, Share)>>>,
}

impl OwnerHandle {
    /// Starts the owner on the current tokio runtime.
    pub fn start(cx: OwnerCx) -> Self {
        Self::start_with(cx, HttpProtocol)
    }

    /// Starts the owner with `protocol` for the calls to targets.
    pub fn start_with<P: TargetProtocol>(cx: OwnerCx, protocol: P) -> Self {
        let (commands, commands_rx) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let (configuration, configuration_rx) = watch::channel(Arc::default());
        let (shares, shares_rx) = watch::channel(Vec::new());
        let actor = Actor::new(cx, protocol, commands_rx, configuration_rx, shares_rx);
        tokio::spawn(actor.run());
        OwnerHandle { commands, configuration: Arc::new(configuration), shares: Arc::new(shares) }
    }

    /// Runs a batch. Sends exactly one part for each subquery to `parts`.
    pub fn run(&self, batch: Batch, parts: mpsc::Sender<Part>) {
        let Err(err) = self.commands.try_send(Command::Run { batch, parts }) else { return };
        let Command::Run { batch, parts } = err.into_inner() else { return };
        for subquery in batch.subqueries {
            deliver(&parts, refused_part(subquery));
        }
    }

    /// Cancels attempts, also at the targets. Best effort.
    pub fn cancel(&self, request: RequestId, attempts: Vec<AttemptId>) {
        let _ = self.commands.try_send(Command::Cancel { request, attempts });
    }

    /// Replaces the configuration.
    pub fn configure(&self, cfg: Arc<Configuration>) {
        self.configuration.send_replace(cfg);
    }

    /// Replaces the set of shares. A target that is not listed is released:
    /// attempts in flight are finished, and its connections are closed.
    pub fn assign(&self, shares: Vec<(TargetName, Share)>) {
        self.shares.send_replace(shares);
    }

    /// Records target statuses of other hosts' owners, so that a target that
    /// moves to this host need not prove its limit again. Best effort.
    pub fn learn(&self, statuses: Vec<TargetStatus>) {
        let _ = self.commands.try_send(Command::Learn { statuses });
    }

    /// Returns the status of the assigned targets, or of those of one pool.
    pub async fn status(&self, pool: Option<PoolName>) -> Vec<TargetStatus> {
        let (reply, status) = oneshot::channel();
        if self.commands.send(Command::Status { pool, reply }).await.is_err() {
            return Vec::new();
        }
        status.await.unwrap_or_default()
    }

    /// Refuses new work and waits until nothing is queued or in flight.
    pub async fn drain(&self) {
        let (reply, drained) = oneshot::channel();
        if self.commands.send(Command::Drain { reply }).await.is_ok() {
            let _ = drained.await;
        }
    }
}

fn refused_part(subquery: Subquery) -> Part {
    Part {
        attempt: subquery.attempt,
        shard: subquery.shard,
        target: subquery.target,
        result: PartResult::Failed { missing: Missing::Refused, outcome: Outcome::NotRun },
        queued: Duration::ZERO,
        service_time: Duration::ZERO,
        status: None,
    }
}
