//! Traits through which this crate uses the rest of the host. The daemon
//! implements them with its links and state, tests with plain data.

use std::{future::Future, sync::Arc};

use base::{AttemptId, DomainName, HostName, PoolName, RequestId, TargetName, Time};
use documents::Configuration;
use policy::message::{Batch, Part, Redemption, RedemptionReply, TargetStatus};
use tokio::sync::mpsc;

/// The hosts that hold a target's connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    pub primary: HostName,
    pub standby: Option<HostName>,
}

/// A host of the fleet, as known to this host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostView {
    pub host: HostName,
    pub domain: DomainName,
    pub address: std::net::SocketAddr,
    pub incarnation: base::Incarnation,
    pub is_alive: bool,
    pub is_leaving: bool,
    /// Configuration revision in force there, as last reported.
    pub revision: base::Revision,
}

/// Current configuration and membership of this host.
pub trait State: Clone + Send + Sync + 'static {
    fn now(&self) -> Time;
    fn host(&self) -> &HostName;
    fn domain(&self) -> &DomainName;
    fn incarnation(&self) -> base::Incarnation;
    fn configuration(&self) -> Arc<Configuration>;
    /// Returns why the host is not ready for callers, or `None` if it is ready.
    fn not_ready(&self) -> Option<String>;
    fn hosts(&self) -> Vec<HostView>;
    /// Returns validation findings for documents that are not in force.
    fn findings(&self) -> Vec<String>;
    fn route(&self, target: &TargetName) -> Option<Route>;
}

/// Access to the owners of targets, on this host and on others.
pub trait Owners: Clone + Send + Sync + 'static {
    /// Sends a batch to an owner. Exactly one part follows each subquery; for an
    /// unreachable or silent owner it is `Missing::OwnerUnreachable` with the
    /// outcome that can be guaranteed.
    fn run(&self, owner: &HostName, batch: Batch, parts: mpsc::Sender<Part>);

    /// Cancels attempts at the owner and its targets. Best effort.
    fn cancel(&self, owner: &HostName, request: RequestId, attempts: Vec<AttemptId>);

    /// Returns the status of the owner's targets of `pool`; empty if the owner is
    /// unreachable.
    fn status(
        &self,
        owner: &HostName,
        pool: &PoolName,
    ) -> impl Future<Output = Vec<TargetStatus>> + Send;

    /// Sends a redemption to the host that minted its ticket. The error tells
    /// whether the message may have arrived.
    fn redeem(
        &self,
        minter: &HostName,
        redemption: Redemption,
    ) -> impl Future<Output = Result<RedemptionReply, LinkError>> + Send;
}

/// Why a message to another host got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LinkError {
    #[error("the host was not reached; nothing was sent")]
    NotSent,
    #[error("the message was sent and no answer came")]
    NoAnswer,
}
