//! State that all requests of one host share, and what a step of a request
//! may look at.

use std::time::Duration;

use base::{DomainName, HashMap, HostName, PoolName, TargetName, Time};
use documents::{
    Configuration,
    model::{Hedging, PolicySettings},
};
use rand::rngs::SmallRng;

use super::{budget::Budgets, latency::PoolLoad, quarantine::Quarantine, table::TargetTable};

/// Hedges start at this quantile of what the pool does now, so that they stay
/// under the budget of extra load while retries have some of it too.
const HEDGE_QUANTILE: f64 = 0.96;
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

/// Which hosts hold a target's connections: primary and standby.
pub trait Routes {
    fn owners(&self, target: &TargetName) -> Option<(HostName, Option<HostName>)>;
}

#[derive(Clone, Debug)]
pub struct SharedState {
    pub table: TargetTable,
    pub budgets: Budgets,
    pub pools: HashMap<PoolName, PoolLoad>,
    pub quarantine: Quarantine,
    hedging: Hedging,
}

/// What one step of a request looks at and changes.
pub struct QueryCx<'a, R> {
    pub now: Time,
    pub configuration: &'a Configuration,
    /// Failure domain of this host.
    pub domain: &'a DomainName,
    pub routes: &'a R,
    pub shared: &'a mut SharedState,
    pub rng: &'a mut SmallRng,
}

impl SharedState {
    pub fn new(cfg: &PolicySettings) -> Self {
        SharedState {
            table: TargetTable::default(),
            budgets: Budgets::new(cfg.extra_load_budget),
            pools: HashMap::default(),
            quarantine: Quarantine::default(),
            hedging: cfg.hedging,
        }
    }

    /// How long a subquery may stay unanswered before it is hedged; `None` if
    /// it is not to be hedged.
    pub fn hedge_delay(&self, pool: &PoolName) -> Option<Duration> {
        let load = self.pools.get(pool)?;
        if load.is_shedding() {
            return None;
        }
        match self.hedging {
            Hedging::Off => None,
            Hedging::Fixed(delay) => Some(delay),
            Hedging::LiveQuantile => self.high_latency(pool),
        }
    }

    /// The median latency of the pool now; zero while it is not known.
    pub fn median_latency(&self, pool: &PoolName) -> Duration {
        let load = self.pools.get(pool);
        load.and_then(|it| it.latency.quantile(0.5)).unwrap_or_default()
    }

    /// A latency that few subqueries of the pool exceed.
    pub fn high_latency(&self, pool: &PoolName) -> Option<Duration> {
        let latency = self.pools.get(pool)?.latency.quantile(HEDGE_QUANTILE)?;
        Some(latency.max(MIN_HEDGE_DELAY))
    }

    /// Drops what no document names any more.
    pub fn retain_configured(&mut self, configuration: &Configuration) {
        self.table.retain_configured(configuration);
        self.budgets.retain_configured(configuration);
        self.pools.retain(|name, _| configuration.pools.contains_key(name));
    }
}
