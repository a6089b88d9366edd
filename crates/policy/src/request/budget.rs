//! Token buckets that limit extra load (hedges and retries).
//!
//! First sends earn tokens; each extra send spends one token of its service and
//! one of its target. Extra sends thus stay within the configured fraction of
//! first sends, apart from a small initial balance with which a service that sends
//! little can retry too.

use base::{HashMap, ServiceName, TargetName};
use documents::Configuration;

/// Balance of a service or target without earlier sends.
const INITIAL_TOKENS: f64 = 2.0;
const MAX_SERVICE_TOKENS: f64 = 20.0;
const MAX_TARGET_TOKENS: f64 = 10.0;

#[derive(Clone, Debug)]
pub struct Budgets {
    /// Tokens earned by one first send.
    rate: f64,
    services: HashMap<ServiceName, f64>,
    targets: HashMap<TargetName, f64>,
}

impl Budgets {
    /// `rate` is the allowed ratio of extra sends to first sends, 0 to 1.
    pub fn new(rate: f64) -> Self {
        Budgets { rate, services: HashMap::default(), targets: HashMap::default() }
    }

    /// Credits a first send to its service and to every replica of its shard,
    /// since an extra send goes to another replica than the first one.
    pub fn earn<'a>(
        &mut self,
        service: &ServiceName,
        replicas: impl Iterator<Item = &'a TargetName>,
    ) {
        earn(self.services.entry(service.clone()), self.rate, MAX_SERVICE_TOKENS);
        for target in replicas {
            earn(self.targets.entry(target.clone()), self.rate, MAX_TARGET_TOKENS);
        }
    }

    /// Spends the tokens for one extra send. Returns false, and spends nothing,
    /// if the service or the target has too few.
    pub fn try_spend(&mut self, service: &ServiceName, target: &TargetName) -> bool {
        if self.rate == 0.0 {
            return false;
        }
        let service = self.services.entry(service.clone()).or_insert(INITIAL_TOKENS);
        let target = self.targets.entry(target.clone()).or_insert(INITIAL_TOKENS);
        if *service < 1.0 || *target < 1.0 {
            return false;
        }
        *service -= 1.0;
        *target -= 1.0;
        base::always!(*service >= 0.0 && *target >= 0.0, "budget-not-negative")
    }

    /// Removes services and targets that are no longer configured.
    pub fn retain_configured(&mut self, configuration: &Configuration) {
        self.services.retain(|name, _| configuration.services.contains_key(name));
        self.targets.retain(|name, _| configuration.target(name).is_some());
    }
}

fn earn<K>(entry: std::collections::hash_map::Entry<'_, K, f64>, rate: f64, max: f64) {
    let tokens = entry.or_insert(INITIAL_TOKENS);
    *tokens = (*tokens + rate).min(max);
}
