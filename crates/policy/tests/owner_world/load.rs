//! Open-loop load in virtual time: arrivals do not depend on answers, and
//! latency counts from the intended start.

use std::{collections::BTreeMap, time::Duration};

use base::{Missing, ServiceName, TargetName, Time};
use rand::Rng;

use super::{TICK, World};

/// Load of one service.
#[derive(Clone, Debug)]
pub struct Demand {
    pub service: ServiceName,
    pub per_second: f64,
    pub time_left: Duration,
}

/// Result of one subquery.
#[derive(Clone, Debug)]
pub struct Completion {
    pub service: ServiceName,
    pub latency: Duration,
    /// None for an answer.
    pub missing: Option<Missing>,
}

impl Demand {
    pub fn new(service: impl Into<ServiceName>, per_second: f64) -> Self {
        Demand { service: service.into(), per_second, time_left: Duration::from_millis(100) }
    }
}

impl World {
    /// Submits `demands` to `target` for `time` and returns the results.
    pub fn run_load(
        &mut self,
        target: &TargetName,
        demands: &[Demand],
        time: Duration,
    ) -> Vec<Completion> {
        self.completions.clear();
        let mut completions = self.run_load_without_drain(target, demands, time);
        self.run_for(Duration::from_secs(1));
        completions.append(&mut self.completions);
        completions
    }

    /// Like [`World::run_load`], but does not wait for the subqueries that are
    /// pending at the end.
    pub fn run_load_without_drain(
        &mut self,
        target: &TargetName,
        demands: &[Demand],
        time: Duration,
    ) -> Vec<Completion> {
        let end = self.now + time;
        let mut arrivals = BTreeMap::new();
        for (i, demand) in demands.iter().enumerate() {
            let first = self.now + self.interarrival_time(demand);
            arrivals.insert((first, i), demand);
        }
        let mut tick = self.now + TICK;
        while let Some(entry) = arrivals.first_entry().filter(|it| it.key().0 <= end) {
            let (&(at, i), &demand) = (entry.key(), entry.get());
            entry.remove();
            tick = self.run_until(at, tick);
            self.submit(&demand.service, target, demand.time_left, true);
            let next = at + self.interarrival_time(demand);
            arrivals.insert((next, i), demand);
        }
        self.run_until(end, tick);
        std::mem::take(&mut self.completions)
    }

    fn run_until(&mut self, end: Time, mut tick: Time) -> Time {
        while tick <= end {
            self.run_events_until(tick);
            self.now = tick;
            self.handle_input(policy::owner::Input::Tick);
            tick += TICK;
        }
        self.run_events_until(end);
        self.now = end;
        tick
    }

    fn interarrival_time(&mut self, demand: &Demand) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / demand.per_second)
    }
}

/// Returns the fraction of a service's subqueries, counted up to its fair
/// share, that were answered.
pub fn satisfaction(completions: &[Completion], service: &ServiceName, fair: f64) -> f64 {
    let own = completions.iter().filter(|it| it.service == *service);
    let submitted = own.clone().count() as f64;
    let answered = own.filter(|it| it.missing.is_none()).count() as f64;
    (answered / submitted.min(fair)).min(1.0)
}

/// Returns Jain's fairness index, at most 1.
pub fn jain(values: &[f64]) -> f64 {
    let sum = values.iter().sum::<f64>();
    let squares = values.iter().map(|it| it * it).sum::<f64>();
    sum * sum / (values.len() as f64 * squares)
}

/// Returns the quantile `q` of the latency of the completions that `wanted`
/// selects.
pub fn quantile(
    completions: &[Completion],
    q: f64,
    wanted: impl Fn(&Completion) -> bool,
) -> Duration {
    let mut all =
        completions.iter().filter(|it| wanted(it)).map(|it| it.latency).collect::<Vec<_>>();
    all.sort();
    let Some(last) = all.len().checked_sub(1) else { return Duration::ZERO };
    all[((last as f64) * q).round() as usize]
}
