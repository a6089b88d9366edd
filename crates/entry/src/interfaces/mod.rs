//! What the entry needs of the rest of the host, as small traits. The daemon
//! implements them over its links and state; tests implement them over plain
//! data.

use std::{future::Future, sync::Arc};

use base::{AttemptId, DomainName, HostName, PoolName, RequestId, TargetName, Time};
use documents::Configuration;
use policy::message::{Batch, Part, Redemption, RedemptionReply, TargetStatus};
use tokio::sync::mpsc;

/// Which hosts hold a target's connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    pub primary: HostName,
    pub standby: Option<HostName>,
}

/// A host of the fleet as this host sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct HostView {
    pub host: HostName,
    pub domain: DomainName,
    pub address: std::net::SocketAddr,
    pub incarnation: base::Incarnation,
    pub is_alive: bool,
    pub is_leaving: bool,
    /// Revision in force there, as last heard.
    pub revision: base::Revision,
}

/// Configuration and membership as they stand now.
pub trait State: Clone + Send + Sync + 'static {
    fn now(&self) -> Time;
    fn host(&self) -> &HostName;
    fn domain(&self) -> &DomainName;
    fn incarnation(&self) -> base::Incarnation;
    fn configuration(&self) -> Arc<Configuration>;
    /// Why the host is not ready for callers, if it is not.
    fn not_ready(&self) -> Option<String>;
    fn hosts(&self) -> Vec<HostView>;
    /// Findings against documents that are not in force.
    fn findings(&self) -> Vec<String>;
    fn route(&self, target: &TargetName) -> Option<Route>;
}

/// The owners of targets, on this host and on others.
pub trait Owners: Clone + Send + Sync + 'static {
    /// Hands a batch to an owner. Exactly one part follows each subquery; a
    /// lost or silent owner gives `Missing::OwnerUnreachable` with the outcome
    /// that can be vouched for.
    fn run(&self, owner: &HostName, batch: Batch, parts: mpsc::Sender<Part>);

    /// Cancels attempts, down to the targets. Best effort.
    fn cancel(&self, owner: &HostName, request: RequestId, attempts: Vec<AttemptId>);

    /// What the owner knows of its targets of a pool; empty if unreachable.
    fn status(
        &self,
        owner: &HostName,
        pool: &PoolName,
    ) -> impl Future<Output = Vec<TargetStatus>> + Send;

    /// Hands a redemption to the host that minted its ticket.
    /// `Err` says whether the message may have arrived.
    fn redeem(
        &self,
        minter: &HostName,
        redemption: Redemption,
    ) -> impl Future<Output = Result<RedemptionReply, LinkError>> + Send;
}

/// A message to another host that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LinkError {
    #[error("the host was not reached; nothing was sent")]
    NotSent,
    #[error("the message was sent and no answer came")]
    NoAnswer,
}
