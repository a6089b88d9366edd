//! Placement: which target gets a send, and what waits.
//!
//! Load patterns answered:
//! - a target that pauses for some hundred milliseconds: its oldest send is
//!   overdue, so new work goes to its siblings at once, and what must wait
//!   for it counts as hopeless;
//! - targets that turn slow: work follows the expected time of an answer;
//! - a target that is down: connections are tried apart from requests, so
//!   that no caller waits for the trial;
//! - more work than connections: a bounded queue for each service, most
//!   urgent first.

mod admission;
mod choice;
mod directory;
mod queue;
mod reachability;

use std::time::Duration;

use base::{DomainName, HashMap, HashSet, RegionName, ServiceName, TargetName, Time};

use self::{admission::Drain, choice::Candidate, queue::Queue};
pub use self::{
    admission::{Admission, Arrival},
    choice::Placement,
    queue::Waiting,
};
use crate::{
    budget::{RetryBudget, RetryLimits},
    latency::LatencyQuantile,
    route::{Regions, Service},
    target::{ReportedLoad, SendResult, Target},
};

/// Quantile of a class's latencies after which a send is hedged.
const HEDGE_QUANTILE: f64 = 0.88;

/// Time an answer is expected to take before anything was measured.
const DEFAULT_EXPECTED: Duration = Duration::from_millis(20);

/// Share of a target's connections that hosts use. The rest is for hosts that
/// are not known yet and for connections that a lost host left behind.
const GIVEN_SHARE: f64 = 0.85;

/// Index of a service, stable while the process lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(usize);

/// Index of a target, never used again for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(u64);

/// Index of a class of requests with similar work: the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClassKey(usize);

/// What bounds all placement.
#[derive(Clone, Debug)]
pub struct Limits {
    pub retry: RetryLimits,
    /// Requests in a second to a cold target, as a multiple of what it bears,
    /// and beside that, over all hosts.
    pub cold_ratio: f64,
    pub cold_slack: f64,
    /// Time by which a send into another failure domain is expected to be
    /// slower.
    pub cross_domain: Duration,
    /// A target that leaves is a last resort for this long.
    pub leaving_for: Duration,
}

/// All targets, by service, and their state. `W` is what waits in queues.
#[derive(Debug)]
pub struct Targets<W> {
    limits: Limits,
    home: DomainName,
    regions: Regions,
    hosts: usize,
    knows_hosts: bool,
    service_keys: HashMap<ServiceName, ServiceKey>,
    services: Vec<ServiceState<W>>,
    target_keys: HashMap<TargetName, TargetKey>,
    targets: HashMap<TargetKey, Target>,
    next_target: u64,
    next_send: u64,
    evacuated: HashSet<DomainName>,
    class_keys: HashMap<std::sync::Arc<str>, ClassKey>,
    classes: Vec<LatencyQuantile>,
    rotation: usize,
    /// When a target of each domain answered last.
    domain_answers: HashMap<DomainName, Time>,
}

#[derive(Debug)]
struct ServiceState<W> {
    name: ServiceName,
    settings: Option<Service>,
    targets: Vec<TargetKey>,
    budget: RetryBudget,
    queue: Queue<W>,
    drain: Drain,
}

/// A send that was placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Send {
    pub id: u64,
    pub target: TargetKey,
    pub service: ServiceKey,
    pub class: ClassKey,
}

/// What a request asks of placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    pub service: ServiceKey,
    pub class: ClassKey,
    /// Targets that had this request before.
    pub tried: &'a [TargetKey],
    /// Regions allowed; empty: all.
    pub regions: &'a [RegionName],
}

impl<W> Targets<W> {
    pub fn new(limits: Limits, home: DomainName, regions: Regions) -> Targets<W> {
        Targets {
            limits,
            home,
            regions,
            hosts: 1,
            knows_hosts: false,
            service_keys: HashMap::default(),
            services: Vec::new(),
            target_keys: HashMap::default(),
            targets: HashMap::default(),
            next_target: 0,
            next_send: 0,
            evacuated: HashSet::default(),
            class_keys: HashMap::default(),
            classes: Vec::new(),
            rotation: 0,
            domain_answers: HashMap::default(),
        }
    }

    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Hosts that share each target's limits with this one, itself included.
    /// Until this is called, a single connection a target is used.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
        self.knows_hosts = true;
    }

    pub fn service(&mut self, name: &ServiceName) -> ServiceKey {
        if let Some(&key) = self.service_keys.get(name) {
            return key;
        }
        let key = ServiceKey(self.services.len());
        self.service_keys.insert(name.clone(), key);
        self.services.push(ServiceState {
            name: name.clone(),
            settings: None,
            targets: Vec::new(),
            budget: RetryBudget::default(),
            queue: Queue::default(),
            drain: Drain::default(),
        });
        key
    }

    pub fn class(&mut self, route: &std::sync::Arc<str>) -> ClassKey {
        if let Some(&key) = self.class_keys.get(route) {
            return key;
        }
        let key = ClassKey(self.classes.len());
        self.class_keys.insert(route.clone(), key);
        self.classes.push(LatencyQuantile::new(HEDGE_QUANTILE));
        key
    }

    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(&key)
    }

    /// Counts a request for the budget of `service`.
    pub fn record_request(&mut self, service: ServiceKey, now: Time) {
        let limits = self.limits.retry;
        self.services[service.0].budget.record_request(now, &limits);
    }

    /// Takes one extra send to `service` from its budget.
    pub fn take_retry(&mut self, service: ServiceKey, now: Time) -> bool {
        let (limits, hosts) = (self.limits.retry, self.hosts);
        self.services[service.0].budget.try_take(now, &limits, hosts)
    }

    /// Time after which a send of `class` is late enough for a hedge.
    pub fn hedge_delay(&self, class: ClassKey) -> Option<Duration> {
        self.classes[class.0].get()
    }

    /// Time that an answer of `class` usually takes.
    pub fn expected_latency(&self, class: ClassKey) -> Duration {
        self.classes[class.0].mean().unwrap_or(DEFAULT_EXPECTED)
    }

    /// Chooses a target and counts the send as in flight there.
    pub fn place(&mut self, ask: &PlacementRequest<'_>, now: Time) -> Placement {
        let choice = self.choose(ask, now);
        let Candidate::Usable(target) = choice else { return choice.into() };
        let expected = self.expected_latency(ask.class);
        self.next_send += 1;
        let id = self.next_send;
        if let Some(it) = self.targets.get_mut(&target) {
            it.start_send(id, now, expected);
        }
        Placement::Send(Send { id, target, service: ask.service, class: ask.class })
    }

    /// Notes the end of a send.
    pub fn finish_send(&mut self, send: &Send, now: Time, result: SendResult) {
        let Some(target) = self.targets.get_mut(&send.target) else { return };
        let took = target.finish_send(send.id, now, result);
        if matches!(result, SendResult::Answered | SendResult::Shed | SendResult::Failed) {
            reachability::note_answer(&mut self.domain_answers, &target.report.domain, now);
        }
        // A send that was given up tells that such requests take long.
        if matches!(result, SendResult::Answered | SendResult::Silent)
            && let Some(took) = took
        {
            self.classes[send.class.0].record(took);
        }
        let service = &mut self.services[send.service.0];
        service.drain.note(now, service.queue.len() > 0);
        let is_finished = target.is_gone() && target.sends_in_flight() == 0;
        if is_finished {
            self.remove(send.target);
        }
    }

    /// Targets to be tried now by opening a connection.
    pub fn due_probes(&mut self, now: Time) -> Vec<TargetKey> {
        let due = self.targets.iter_mut().filter_map(|(key, it)| {
            let is_wanted = !it.is_gone() && it.take_trial(now);
            is_wanted.then_some(*key)
        });
        due.collect()
    }

    /// A trial reached the target; returns its service.
    pub fn probe_succeeded(&mut self, target: TargetKey, now: Time) -> Option<ServiceKey> {
        let it = self.targets.get_mut(&target)?;
        if it.is_down() {
            it.probe_succeeded(now);
            // It may have started anew.
            self.assume_cold(target, now);
        }
        self.service_of(target)
    }

    pub fn record_load(&mut self, target: TargetKey, load: ReportedLoad) {
        if let Some(it) = self.targets.get_mut(&target) {
            it.load = Some(load);
        }
    }

    /// The target says how much longer it is cold.
    pub fn record_cold(&mut self, target: TargetKey, now: Time, cold_for: Duration) {
        if let Some(it) = self.targets.get_mut(&target) {
            it.cold_until = it.cold_until.max(now + cold_for);
        }
    }

    /// Connections of this host to one target of `service`.
    pub fn connection_share(&self, service: ServiceKey) -> usize {
        let settings = &self.services[service.0].settings;
        let Some(settings) = settings.as_ref().filter(|_| self.knows_hosts) else { return 1 };
        let given = f64::from(settings.max_connections) * GIVEN_SHARE;
        ((given / self.hosts as f64) as usize).max(1)
    }

    /// Whether this host has more than its share of connections to the target,
    /// with `idle` of them idle.
    pub fn has_surplus(&self, target: TargetKey, idle: usize) -> bool {
        let Some(service) = self.service_of(target) else { return true };
        let used = self.targets.get(&target).map_or(0, Target::sends_in_flight);
        used + idle > self.connection_share(service)
    }

    fn is_silent(&self, target: &Target, now: Time) -> bool {
        target.is_down() || target.silence_ratio(now) > SILENT_RATIO
    }
}

/// A target from which nothing came for this many times as long as an answer
/// usually takes is silent.
const SILENT_RATIO: f64 = 3.0;
