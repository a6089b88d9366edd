//! The entry's way to owners: this host's own directly, others' over links.

use std::net::SocketAddr;

use base::{AttemptId, HostName, Missing, Outcome, PoolName, RequestId};
use entry::interfaces::{LinkError, Owners, State};
use owner::OwnerHandle;
use peer::Links;
use policy::message::{Batch, Part, PartResult, Redemption, RedemptionReply, TargetStatus};
use tokio::sync::mpsc;

use crate::view::SharedView;

#[derive(Clone)]
pub struct FleetOwners {
    view: SharedView,
    local: OwnerHandle,
    links: Links,
}

impl FleetOwners {
    pub fn new(view: SharedView, local: OwnerHandle, links: Links) -> Self {
        FleetOwners { view, local, links }
    }

    fn is_local(&self, host: &HostName) -> bool {
        host == self.view.host()
    }

    fn address(&self, host: &HostName) -> Option<SocketAddr> {
        self.view.view().addresses.get(host).copied()
    }
}

impl Owners for FleetOwners {
    fn run(&self, owner: &HostName, batch: Batch, parts: mpsc::Sender<Part>) {
        if self.is_local(owner) {
            return self.local.run(batch, parts);
        }
        match self.address(owner) {
            Some(address) => self.links.run(address, batch, parts),
            None => fail_all(&batch, &parts),
        }
    }

    fn cancel(&self, owner: &HostName, request: RequestId, attempts: Vec<AttemptId>) {
        if self.is_local(owner) {
            return self.local.cancel(request, attempts);
        }
        if let Some(address) = self.address(owner) {
            self.links.cancel(address, request, attempts);
        }
    }

    async fn status(&self, owner: &HostName, pool: &PoolName) -> Vec<TargetStatus> {
        if self.is_local(owner) {
            return self.local.status(Some(pool.clone())).await;
        }
        let Some(address) = self.address(owner) else { return Vec::new() };
        let statuses = self.links.status(address, pool.clone()).await;
        // What another owner proved of a target holds when it is handed over.
        self.local.learn(statuses.clone());
        statuses
    }

    async fn redeem(
        &self,
        minter: &HostName,
        redemption: Redemption,
    ) -> Result<RedemptionReply, LinkError> {
        let address = self.address(minter).ok_or(LinkError::NotSent)?;
        self.links.redeem(address, redemption).await.map_err(|err| match err {
            peer::LinkError::NotSent => LinkError::NotSent,
            peer::LinkError::NoAnswer => LinkError::NoAnswer,
        })
    }
}

/// Answers every subquery of a batch for an owner that is not known.
fn fail_all(batch: &Batch, parts: &mpsc::Sender<Part>) {
    for subquery in &batch.subqueries {
        let part = Part {
            attempt: subquery.attempt,
            shard: subquery.shard,
            target: subquery.target.clone(),
            result: PartResult::Failed {
                missing: Missing::OwnerUnreachable,
                outcome: Outcome::NotRun,
            },
            queued: Default::default(),
            service_time: Default::default(),
            status: None,
        };
        // A full channel means that nobody reads parts any more.
        let _ = parts.try_send(part);
    }
}
