//! Calls from the entry to owners: directly on this host, over links on others.

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
        // A target that moves to this host then starts from what its former
        // owner measured.
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

/// Fails every subquery of a batch for an owner whose address is not known.
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
        // A full channel means that the receiver has stopped reading.
        let _ = parts.try_send(part);
    }
}
