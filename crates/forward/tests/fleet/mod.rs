//! Simulation of several hosts: its state, time steps and faults.

mod checks;
mod hosts;
mod queries;
mod source;
mod targets;

use std::{net::SocketAddr, time::Duration};

use base::{DomainName, HashMap, HashSet, TargetName, Time};
use forward::{TargetReport, budget::RetryLimits};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use self::{
    hosts::{Host, new_host},
    queries::Record,
    source::Change,
    targets::Target,
};

pub const HOSTS: usize = 6;
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];
pub const SERVICES: usize = 4;
pub const TARGETS_PER_SERVICE: usize = 3;
pub const MAX_CONNECTIONS: u32 = 24;
pub const WARMUP: Duration = Duration::from_secs(3);
pub const WARMUP_RATE: f64 = 12.0;
pub const COLD_RATIO: f64 = 1.5;
pub const COLD_SLACK: f64 = 5.0;
pub const RETRY: RetryLimits =
    RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 30.0 };
pub const DRAIN: Duration = Duration::from_secs(3);
pub const LEAVING_FOR: Duration = Duration::from_millis(2_400);
/// Time within which a host connected to the source receives each change.
pub const MAX_UPDATE_DELAY: Duration = Duration::from_millis(400);
/// Time from a change until hosts receive it.
pub const UPDATE_DELAY: Duration = Duration::from_millis(100);
/// Time after which the address of an ended target is reused.
pub const REUSE_AFTER: Duration = Duration::from_secs(2);

/// Limits that targets state, in requests per second.
pub const STATED_LIMITS: [f64; 3] = [1.0, 5.0, 20.0];

/// Probabilities per millisecond: of a fault, and of a request at each host.
const FAULT_CHANCE: f64 = 0.002;
const REQUEST_CHANCE: f64 = 0.02;

pub struct World {
    pub seed: u64,
    pub rng: SmallRng,
    pub now: Time,
    pub hosts: Vec<Host>,
    pub targets: Vec<Target>,
    pub changes: Vec<(Time, Change)>,
    /// Changes to be published later.
    pub scheduled_changes: Vec<(Time, Change)>,
    pub evacuated: HashMap<DomainName, Time>,
    pub partition: Option<(DomainName, Time)>,
    /// Addresses of ended targets, with the time of the end.
    pub free_addresses: Vec<(Time, SocketAddr)>,
    /// What was observed of each query, by its number.
    pub records: Vec<Record>,
    pub requests: Vec<Vec<Time>>,
    pub extra: Vec<Vec<Time>>,
    pub events: u64,
    pub queries_ended: u64,
    pub answered: u64,
    pub next_born: u64,
}

impl World {
    pub fn new(seed: u64) -> World {
        base::invariant::panic_when_broken();
        let mut world = World {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            now: Time::ZERO,
            hosts: Vec::new(),
            targets: Vec::new(),
            changes: Vec::new(),
            scheduled_changes: Vec::new(),
            evacuated: HashMap::default(),
            partition: None,
            free_addresses: Vec::new(),
            records: Vec::new(),
            requests: vec![Vec::new(); SERVICES],
            extra: vec![Vec::new(); SERVICES],
            events: 0,
            queries_ended: 0,
            answered: 0,
            next_born: 1,
        };
        for service in 0..SERVICES {
            for replica in 0..TARGETS_PER_SERVICE {
                world.add_target(service, DOMAINS[replica % DOMAINS.len()]);
            }
        }
        for host in 0..HOSTS {
            world.hosts.push(new_host(host, Time::ZERO));
        }
        world
    }

    pub fn step(&mut self) {
        self.now += Duration::from_millis(1);
        if self.rng.random_bool(FAULT_CHANCE) {
            self.fault();
        }
        if self.partition.as_ref().is_some_and(|(_, until)| *until <= self.now) {
            self.partition = None;
        }
        self.publish_scheduled();
        for host in 0..HOSTS {
            self.step_host(host);
        }
    }

    fn fault(&mut self) {
        self.events += 1;
        let host = self.rng.random_range(0..HOSTS);
        let target = self.rng.random_range(0..self.targets.len());
        match self.rng.random_range(0..14) {
            0 => self.restart_host(host),
            1 => self.hosts[host].frozen_until = self.after(4_000),
            2 => self.hosts[host].source_lost_until = self.after(8_000),
            3 => {
                let domain = self.any_domain();
                self.partition = Some((domain, self.after(6_000)));
            }
            4 => self.targets[target].is_up ^= true,
            5 => self.drain_and_replace(target),
            6 => self.lapse_entry(target),
            7 => self.evacuate(),
            8 => self.restart(target),
            9 => self.crash_permanently(target),
            10 => self.targets[target].pauses_until = self.after(1_500),
            12 => {
                let limit = STATED_LIMITS[self.rng.random_range(0..STATED_LIMITS.len())];
                self.targets[target].stated_limit = Some((limit, self.after(15_000)));
                self.targets[target].told.clear();
                self.targets[target].limited_arrivals.clear();
            }
            11 => self.hosts[host].slow_until = self.after(5_000),
            _ => {
                let until = self.now + Duration::from_millis(3_000);
                self.hosts.iter_mut().for_each(|it| it.source_lost_until = until);
            }
        }
    }

    /// Returns a random time at most `ms` from now.
    fn after(&mut self, ms: u64) -> Time {
        self.now + Duration::from_millis(self.rng.random_range(200..ms))
    }

    pub fn any_domain(&mut self) -> DomainName {
        DomainName::new(DOMAINS[self.rng.random_range(0..DOMAINS.len())])
    }

    fn step_host(&mut self, host: usize) {
        if self.hosts[host].frozen_until > self.now {
            return;
        }
        self.receive_updates(host);
        self.gossip(host);
        self.finish_sends(host);
        if self.rng.random_bool(REQUEST_CHANCE) {
            self.begin_query(host);
        }
        self.poll_queries(host);
        self.maintain(host);
    }

    pub fn is_connected(&self, from: &str, to: &str) -> bool {
        let Some((domain, _)) = &self.partition else { return true };
        (from == domain.as_str()) == (to == domain.as_str())
    }

    pub fn target_named(&self, name: &TargetName) -> Option<usize> {
        self.targets.iter().position(|it| it.report.name == *name && !it.is_over)
    }

    pub fn publish(&mut self, report: TargetReport) {
        self.changes.push((self.now, Change::Listed(report)));
    }

    pub fn evacuated_domains(&self) -> HashSet<DomainName> {
        self.evacuated.keys().cloned().collect()
    }
}
