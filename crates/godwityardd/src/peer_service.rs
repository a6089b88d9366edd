//! Handles the calls of peers to this host.

use std::net::SocketAddr;

use base::{AttemptId, PoolName, RequestId};
use entry::EntryCx;
use owner::OwnerHandle;
use peer::HostService;
use policy::message::{Batch, Part, Redemption, RedemptionReply, TargetStatus};
use tokio::sync::mpsc;

use crate::{fleet_driver::Delivery, owners::FleetOwners, view::SharedView};

#[derive(Clone)]
pub struct PeerService {
    pub owner: OwnerHandle,
    pub entry: EntryCx<SharedView, FleetOwners>,
    pub deliveries: mpsc::Sender<Delivery>,
}

impl HostService for PeerService {
    fn run(&self, batch: Batch, parts: mpsc::Sender<Part>) {
        self.owner.run(batch, parts);
    }

    fn cancel(&self, request: RequestId, attempts: Vec<AttemptId>) {
        self.owner.cancel(request, attempts);
    }

    async fn status(&self, pool: PoolName) -> Vec<TargetStatus> {
        self.owner.status(Some(pool)).await
    }

    async fn redeem(&self, redemption: Redemption) -> RedemptionReply {
        entry::redeem(&self.entry, redemption).await
    }

    fn deliver(&self, from: SocketAddr, message: Vec<u8>) {
        // If the driver falls behind, the frame is dropped like a lost datagram;
        // digests repair the loss.
        let _ = self.deliveries.try_send(Delivery { from, message });
    }
}
