//! The configuration in force: services, pools with their targets, and
//! failure domains.

use std::{sync::Arc, time::Duration};

use base::{
    DomainName, HashMap, PoolName, RegionName, Revision, ServiceName, ShardId, TargetName, TeamName,
};

/// What a service wants when not every shard answers in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// Answer early with what there is.
    Latency,
    /// Spend the remaining time on the missing shards.
    Coverage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DomainState {
    In,
    Out,
}

/// One service's document.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: ServiceName,
    pub team: TeamName,
    pub pool: PoolName,
    /// Share of a turn at a target relative to other services.
    pub weight: u32,
    pub deadline: Duration,
    /// Least coverage of an answer, 0 to 1.
    pub min_coverage: f64,
    pub prefer: Preference,
    /// Requests at once per entry host.
    pub max_in_flight: u32,
    pub max_body_bytes: u64,
    /// Whether the service may send non-idempotent requests (with tickets).
    pub allows_non_idempotent: bool,
}

/// A partitioned data set and the targets that hold it.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub name: PoolName,
    pub team: TeamName,
    /// Version of the partition map; a new one when shards are redrawn.
    pub map: u32,
    /// Shards in this map, numbered from 0.
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
    /// Requests the target runs at once when warm.
    pub slots: u32,
    /// Connections the target accepts, over all hosts.
    pub connections: u32,
    /// Requests at once that a cold target bears.
    pub cold_slots: u32,
    /// Set by an operator: the target gets no new work.
    pub leaving: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Domain {
    pub name: DomainName,
    pub region: RegionName,
    pub state: DomainState,
}

/// Where a target stands within the configuration.
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

    /// Whether the domain takes new work; a domain without a document does.
    pub fn is_domain_in(&self, name: &DomainName) -> bool {
        self.domains.get(name).is_none_or(|it| it.state == DomainState::In)
    }
}
