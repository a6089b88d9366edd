//! Services, pools with their targets, and failure domains, and the
//! configuration that they form.

use std::{sync::Arc, time::Duration};

use base::{
    DomainName, HashMap, PoolName, RegionName, Revision, ServiceName, ShardId, TargetName, TeamName,
};

/// What a service prefers when not every shard answers in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// Answer early with the shards received so far.
    Latency,
    /// Spend the remaining time on the missing shards.
    Coverage,
}

/// Whether a failure domain takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DomainState {
    In,
    Out,
}

/// A service: a customer of the tier.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: ServiceName,
    pub team: TeamName,
    pub pool: PoolName,
    /// Weight relative to other services when a target's slots are shared.
    pub weight: u32,
    pub deadline: Duration,
    /// Minimum coverage of an answer, 0 to 1.
    pub min_coverage: f64,
    pub prefer: Preference,
    /// Maximum number of requests in flight on each entry host.
    pub max_in_flight: u32,
    pub max_body_bytes: u64,
    /// Whether the service may send non-idempotent requests, which need tickets.
    pub allows_non_idempotent: bool,
}

/// A partitioned data set and the targets that hold it.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub name: PoolName,
    pub team: TeamName,
    /// Version of the partition map; a repartitioning sets a new one.
    pub map: u32,
    /// Number of shards in this map. Shards are numbered from 0.
    pub shards: u32,
    pub targets: Vec<Arc<Target>>,
}

/// A back end holding one shard of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub name: TargetName,
    pub pool: PoolName,
    pub shard: ShardId,
    pub domain: DomainName,
    /// `ip:port`.
    pub address: std::net::SocketAddr,
    /// Maximum number of requests in flight when the target is warm.
    pub slots: u32,
    /// Maximum number of connections from all hosts together.
    pub connections: u32,
    /// Maximum number of requests in flight when the target is cold.
    pub cold_slots: u32,
    /// Set by an operator; the target then gets no new work.
    pub leaving: bool,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Domain {
    pub name: DomainName,
    pub region: RegionName,
    pub state: DomainState,
}

/// The targets of all pools by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetIndex(HashMap<TargetName, Arc<Target>>);

/// All documents in force, immutable once built.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    pub revision: Revision,
    pub services: HashMap<ServiceName, Arc<Service>>,
    pub pools: HashMap<PoolName, Arc<Pool>>,
    pub domains: HashMap<DomainName, Arc<Domain>>,
    targets: TargetIndex,
}

impl Configuration {
    pub fn new(
        revision: Revision,
        services: impl IntoIterator<Item = Service>,
        pools: impl IntoIterator<Item = Pool>,
        domains: impl IntoIterator<Item = Domain>,
    ) -> Self {
        let services = services.into_iter().map(|it| (it.name.clone(), Arc::new(it))).collect();
        let pools: HashMap<_, _> =
            pools.into_iter().map(|it| (it.name.clone(), Arc::new(it))).collect();
        let domains = domains.into_iter().map(|it| (it.name.clone(), Arc::new(it))).collect();
        let all = pools.values().flat_map(|pool: &Arc<Pool>| pool.targets.iter());
        let targets = TargetIndex(all.map(|it| (it.name.clone(), Arc::clone(it))).collect());
        Configuration { revision, services, pools, domains, targets }
    }

    pub fn target(&self, name: &TargetName) -> Option<&Arc<Target>> {
        self.targets.0.get(name)
    }

    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.0.values()
    }

    /// Returns whether the domain takes new work. A domain without a document
    /// does.
    pub fn is_domain_in(&self, name: &DomainName) -> bool {
        self.domains.get(name).is_none_or(|it| it.state == DomainState::In)
    }
}
