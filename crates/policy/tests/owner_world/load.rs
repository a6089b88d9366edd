//! Open-loop load in virtual time: arrivals are drawn ahead of the run, and
//! latency counts from the intended start.

use std::{collections::BTreeMap, time::Duration};

use base::{Missing, ServiceName, TargetName, Time};
use rand::Rng;

use super::{TICK, World};

/// What one service asks for.
#[derive(Clone, Debug)]
pub struct Demand {
    pub service: ServiceName,
    pub per_second: f64,
    pub time_left: Duration,
}

/// What became of one subquery.
#[derive(Clone, Debug)]
pub struct Served {
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
    /// Asks `target` as the demands say and returns what became of it.
    pub fn drive(
        &mut self,
        target: &TargetName,
        demands: &[Demand],
        time: Duration,
    ) -> Vec<Served> {
        self.served.clear();
        let mut served = self.drive_only(target, demands, time);
        self.run_for(Duration::from_secs(1));
        served.append(&mut self.served);
        served
    }

    /// The same without waiting for what is still under way at the end.
    pub fn drive_only(
        &mut self,
        target: &TargetName,
        demands: &[Demand],
        time: Duration,
    ) -> Vec<Served> {
        let end = self.now + time;
        let mut arrivals = BTreeMap::new();
        for (i, demand) in demands.iter().enumerate() {
            let first = self.now + self.gap(demand);
            arrivals.insert((first, i), demand);
        }
        let mut tick = self.now + TICK;
        while let Some(entry) = arrivals.first_entry().filter(|it| it.key().0 <= end) {
            let (&(at, i), &demand) = (entry.key(), entry.get());
            entry.remove();
            tick = self.pass_until(at, tick);
            self.submit(&demand.service, target, demand.time_left, true);
            let next = at + self.gap(demand);
            arrivals.insert((next, i), demand);
        }
        self.pass_until(end, tick);
        std::mem::take(&mut self.served)
    }

    fn pass_until(&mut self, end: Time, mut tick: Time) -> Time {
        while tick <= end {
            self.run_events_until(tick);
            self.now = tick;
            self.tell(policy::owner::Input::Tick);
            tick += TICK;
        }
        self.run_events_until(end);
        self.now = end;
        tick
    }

    fn gap(&mut self, demand: &Demand) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / demand.per_second)
    }
}

/// The share of what a service asked, up to its fair share, that it got.
pub fn satisfaction(served: &[Served], service: &ServiceName, fair: f64) -> f64 {
    let own = served.iter().filter(|it| it.service == *service);
    let asked = own.clone().count() as f64;
    let answered = own.filter(|it| it.missing.is_none()).count() as f64;
    (answered / asked.min(fair)).min(1.0)
}

/// Jain's index of fairness, 1 at best.
pub fn jain(values: &[f64]) -> f64 {
    let sum = values.iter().sum::<f64>();
    let squares = values.iter().map(|it| it * it).sum::<f64>();
    sum * sum / (values.len() as f64 * squares)
}

/// A quantile of the latency of what `wanted` picks.
pub fn quantile(served: &[Served], q: f64, wanted: impl Fn(&Served) -> bool) -> Duration {
    let mut all = served.iter().filter(|it| wanted(it)).map(|it| it.latency).collect::<Vec<_>>();
    all.sort();
    let Some(last) = all.len().checked_sub(1) else { return Duration::ZERO };
    all[((last as f64) * q).round() as usize]
}
