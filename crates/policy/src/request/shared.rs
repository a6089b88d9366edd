//! State shared by all requests of one host, and the context of one step of a
//! request.

use std::time::Duration;

use base::{DomainName, HashMap, HostName, PoolName, TargetName, Time};
use documents::{
    Configuration,
    model::{Hedging, PolicySettings},
};
use rand::rngs::SmallRng;

use super::{budget::Budgets, latency::PoolLoad, quarantine::Quarantine, table::TargetTable};

/// Quantile of the pool's recent latencies after which a subquery is hedged. It
/// is high enough that hedges leave some of the extra load budget to retries.
const HEDGE_QUANTILE: f64 = 0.96;
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

/// Maps targets to the hosts that own them.
pub trait Routes {
    /// Returns the primary and the standby owner of `target`.
    fn owners(&self, target: &TargetName) -> Option<(HostName, Option<HostName>)>;
}

/// State shared by all requests of one host.
#[derive(Clone, Debug)]
pub struct SharedState {
    pub table: TargetTable,
    pub budgets: Budgets,
    pub pools: HashMap<PoolName, PoolLoad>,
    pub quarantine: Quarantine,
    hedging: Hedging,
}

/// Context of one step of a request.
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

    /// Returns the time after which an unanswered subquery is hedged; `None` if
    /// it must not be hedged.
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

    /// Returns the median of the pool's recent latencies; zero while unknown.
    pub fn median_latency(&self, pool: &PoolName) -> Duration {
        let load = self.pools.get(pool);
        load.and_then(|it| it.latency.quantile(0.5)).unwrap_or_default()
    }

    /// Returns a latency that few subqueries of the pool exceed; `None` while
    /// unknown.
    pub fn high_latency(&self, pool: &PoolName) -> Option<Duration> {
        let latency = self.pools.get(pool)?.latency.quantile(HEDGE_QUANTILE)?;
        Some(latency.max(MIN_HEDGE_DELAY))
    }

    /// Removes targets, services and pools that are no longer configured.
    pub fn retain_configured(&mut self, configuration: &Configuration) {
        self.table.retain_configured(configuration);
        self.budgets.retain_configured(configuration);
        self.pools.retain(|name, _| configuration.pools.contains_key(name));
    }
}
