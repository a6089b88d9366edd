//! Placement: which target gets a send, and which sends wait in a queue.
//!
//! Load patterns answered:
//! - a target that pauses for some hundred milliseconds: its oldest send is
//!   overdue, so new sends go to other targets at once, and late queries do not
//!   wait for it once it counts as unresponsive;
//! - targets that turn slow: sends go where the expected latency is lowest;
//! - a target that is down: it is probed by connections without requests, so that
//!   no caller waits for the probe;
//! - more work than connections: a bounded queue for each service, most urgent
//!   first;
//! - targets that state a limit of requests: what exceeds this host's share goes to
//!   other targets, and is refused at once if none of them takes it in time.

mod admission;
mod choice;
mod directory;
mod leaving;
mod limits;
pub mod outbound;
mod overload;
mod pauses;
mod queue;
mod reach;
mod reach_checks;
mod reachability;
mod senders;
mod slow_targets;
mod turns;

use std::time::Duration;

use base::{DomainName, HashMap, HashSet, RegionName, ServiceName, TargetName, Time};

use self::{
    admission::DrainRate,
    choice::{Candidate, Purpose},
    leaving::LeavingTargets,
    outbound::{CrossingCost, Outbound},
    pauses::AskedPauses,
    queue::Queue,
    reach::Reach,
};
pub use self::{
    admission::{Admission, Arrival},
    choice::Placement,
    overload::PartTime,
    queue::Waiting,
    senders::SenderRole,
    slow_targets::SlowTargets,
};
use crate::{
    budget::{RetryBudget, RetryLimits},
    latency::LatencyQuantile,
    route::{Regions, Service},
    target::{ReportedLoad, SendResult, Target},
};

/// Quantile of a class's latencies that is used as its hedge delay.
const HEDGE_QUANTILE: f64 = 0.88;

/// Expected latency of a class without samples.
const DEFAULT_EXPECTED_LATENCY: Duration = Duration::from_millis(20);

/// Share of a target's connections that the known hosts use. The rest is for hosts
/// that are not known yet and for connections left open by a lost host.
const USABLE_CONNECTION_SHARE: f64 = 0.85;

/// Index of a service, stable for the lifetime of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(usize);

/// Identifies a target; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(u64);

/// Index of a class of requests with similar work: the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClassKey(usize);

/// Limits that apply to all placement.
#[derive(Clone, Debug)]
pub struct Limits {
    pub retry: RetryLimits,
    /// Limit of requests per second to a cold target from all hosts: this multiple
    /// of the target's cold capacity, plus `cold_slack`.
    pub cold_ratio: f64,
    pub cold_slack: f64,
    /// Expected added latency of a send to another failure domain.
    pub cross_domain: Duration,
    /// Time for which a leaving target is used as a fallback.
    pub leaving_for: Duration,
}

/// All services and their targets, as this host knows them. `W` identifies a
/// waiter in a queue.
#[derive(Debug)]
pub struct Targets<W> {
    limits: Limits,
    home: DomainName,
    regions: Regions,
    hosts: usize,
    is_host_count_known: bool,
    started_at: Option<Time>,
    sender_role: SenderRole,
    /// Services of queries that are too wide for some hosts to send.
    wide_services: HashSet<ServiceKey>,
    service_keys: HashMap<ServiceName, ServiceKey>,
    services: Vec<ServiceState<W>>,
    target_keys: HashMap<TargetName, TargetKey>,
    targets: HashMap<TargetKey, Target>,
    next_target: u64,
    next_send: u64,
    leaving: LeavingTargets,
    evacuated: HashSet<DomainName>,
    class_keys: HashMap<std::sync::Arc<str>, ClassKey>,
    classes: Vec<LatencyQuantile>,
    rotation: usize,
    /// Targets that state a limit, or did so lately.
    limited: HashSet<TargetKey>,
    pauses: AskedPauses,
    /// This host's turn among the hosts (0 to 1), at which it begins to keep a limit.
    phase: f64,
    /// Time of the last answer from each domain.
    domain_answers: HashMap<DomainName, Time>,
    reach: Reach,
    /// Target that the last check of reach ended with.
    last_checked: Option<TargetKey>,
    /// Hosts that requests are passed on to while this host cannot serve them.
    helpers: Option<ServiceKey>,
    crossing_cost: CrossingCost,
}

#[derive(Debug)]
struct ServiceState<W> {
    name: ServiceName,
    kind: ServiceKind,
    settings: Option<Service>,
    targets: Vec<TargetKey>,
    budget: RetryBudget,
    queue: Queue<W>,
    drain_rate: DrainRate,
    outbound: Outbound,
}

/// What a service's requests are sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServiceKind {
    Targets,
    /// Hosts of this tier, which send to targets themselves.
    Hosts,
}

/// A send that was placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Send {
    pub id: u64,
    pub target: TargetKey,
    pub service: ServiceKey,
    pub class: ClassKey,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    pub service: ServiceKey,
    pub class: ClassKey,
    /// Targets that this request was sent to before.
    pub tried: &'a [TargetKey],
    /// Regions whose targets may be used; all if empty.
    pub regions: &'a [RegionName],
}

impl<W> Targets<W> {
    pub fn new(limits: Limits, home: DomainName, regions: Regions) -> Targets<W> {
        Targets {
            limits,
            home,
            regions,
            hosts: 1,
            is_host_count_known: false,
            started_at: None,
            sender_role: SenderRole::default(),
            wide_services: HashSet::default(),
            service_keys: HashMap::default(),
            services: Vec::new(),
            target_keys: HashMap::default(),
            targets: HashMap::default(),
            next_target: 0,
            next_send: 0,
            leaving: LeavingTargets::default(),
            evacuated: HashSet::default(),
            class_keys: HashMap::default(),
            classes: Vec::new(),
            rotation: 0,
            limited: HashSet::default(),
            pauses: AskedPauses::default(),
            phase: 1.0,
            domain_answers: HashMap::default(),
            reach: Reach::default(),
            last_checked: None,
            helpers: None,
            crossing_cost: CrossingCost::default(),
        }
    }

    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the time for which a target that leaves is used as a fallback.
    pub fn leaving_for(&self) -> Duration {
        self.limits.leaving_for
    }

    /// Sets the time at which this host started. In its first window of the retry budget, a
    /// host that it replaces may have used the slack.
    pub fn set_started(&mut self, now: Time) {
        self.started_at = Some(now);
    }

    /// Sets the number of hosts that share each target's limits, including this one.
    /// Until this is called, a single connection to each target is used.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
        self.is_host_count_known = true;
    }

    /// Returns the key of a service, which is added if it is new.
    pub fn service(&mut self, name: &ServiceName) -> ServiceKey {
        if let Some(&key) = self.service_keys.get(name) {
            return key;
        }
        let key = ServiceKey(self.services.len());
        self.service_keys.insert(name.clone(), key);
        self.services.push(ServiceState {
            name: name.clone(),
            kind: ServiceKind::Targets,
            settings: None,
            targets: Vec::new(),
            budget: RetryBudget::default(),
            queue: Queue::default(),
            drain_rate: DrainRate::default(),
            outbound: Outbound::default(),
        });
        key
    }

    /// Returns the key of a route's class, which is added if it is new.
    pub fn class(&mut self, route: &std::sync::Arc<str>) -> ClassKey {
        if let Some(&key) = self.class_keys.get(route) {
            return key;
        }
        let key = ClassKey(self.classes.len());
        self.class_keys.insert(route.clone(), key);
        self.classes.push(LatencyQuantile::new(HEDGE_QUANTILE));
        key
    }

    /// Returns a number that is different for each call, for decisions in which equal
    /// choices take turns.
    pub(crate) fn next_rotation(&mut self) -> usize {
        self.rotation = self.rotation.wrapping_add(1);
        self.rotation
    }

    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(&key)
    }

    /// Records a request in the budget of `service`.
    pub fn record_request(&mut self, service: ServiceKey, now: Time) {
        let limits = self.limits.retry;
        self.services[service.0].budget.record_request(now, &limits);
    }

    /// Takes one extra send to `service` from its budget; returns false if there is
    /// none left.
    pub fn take_retry(&mut self, service: ServiceKey, now: Time) -> bool {
        let limits = self.limits.retry;
        let mut share = self.limit_share(service);
        if self.started_at.is_some_and(|at| now.since(at) <= limits.window) {
            share = limits.first_slack_share(share);
        }
        self.services[service.0].budget.try_take(now, &limits, share)
    }

    /// Returns the age at which a send of `class` is hedged.
    pub fn hedge_delay(&self, class: ClassKey) -> Option<Duration> {
        self.classes[class.0].get()
    }

    /// Returns the expected latency of `class`.
    pub fn expected_latency(&self, class: ClassKey) -> Duration {
        self.classes[class.0].typical().unwrap_or(DEFAULT_EXPECTED_LATENCY)
    }

    /// Returns the mean latency of `class`, slow targets included.
    pub fn mean_latency(&self, class: ClassKey) -> Duration {
        self.classes[class.0].mean().unwrap_or(DEFAULT_EXPECTED_LATENCY)
    }

    /// Makes the expected latency of `class` that of another one until it has samples.
    pub fn expect_like(&mut self, class: ClassKey, other: ClassKey) {
        if self.classes[class.0].mean().is_none() {
            self.classes[class.0] = self.classes[other.0].clone();
        }
    }

    /// Selects a target for a part that states no objective, and records the send as in
    /// flight there.
    pub fn place(&mut self, req: &PlacementRequest<'_>, now: Time) -> Placement {
        let candidate = self.choose(req, Purpose::Needed, None, now);
        self.placement(req, candidate, now)
    }

    /// Selects a target for a part whose answer is late after `in_time_until`, and records
    /// the send as in flight there.
    pub fn place_in_time(
        &mut self,
        req: &PlacementRequest<'_>,
        in_time_until: Time,
        now: Time,
    ) -> Placement {
        let in_time_until = self.limits_outbound().then_some(in_time_until);
        let candidate = self.choose(req, Purpose::Needed, in_time_until, now);
        self.placement(req, candidate, now)
    }

    /// Places an extra send for a part that is late, if a target is available and the
    /// retry budget allows it. Targets that state a limit get none.
    pub fn place_hedge(&mut self, req: &PlacementRequest<'_>, now: Time) -> Option<Send> {
        let candidate = self.choose(req, Purpose::Hedge, None, now);
        self.hedge_to(req, candidate, now)
    }

    /// Same as `place_hedge`, for a part whose answer is late after `in_time_until`. Targets
    /// of other domains get it only if it `may_leave`.
    pub fn place_hedge_in_time(
        &mut self,
        req: &PlacementRequest<'_>,
        in_time_until: Time,
        may_leave: bool,
        now: Time,
    ) -> Option<Send> {
        let purpose = if may_leave { Purpose::Hedge } else { Purpose::LocalHedge };
        let in_time_until = self.limits_outbound().then_some(in_time_until);
        let candidate = self.choose(req, purpose, in_time_until, now);
        self.hedge_to(req, candidate, now)
    }

    fn hedge_to(
        &mut self,
        req: &PlacementRequest<'_>,
        candidate: Candidate,
        now: Time,
    ) -> Option<Send> {
        let Candidate::Usable(target) = candidate else { return None };
        self.take_retry(req.service, now).then(|| self.record_send(req, target, now))
    }

    fn placement(
        &mut self,
        req: &PlacementRequest<'_>,
        candidate: Candidate,
        now: Time,
    ) -> Placement {
        match candidate {
            Candidate::Usable(target) => Placement::Send(self.record_send(req, target, now)),
            other => other.into(),
        }
    }

    fn record_send(&mut self, req: &PlacementRequest<'_>, target: TargetKey, now: Time) -> Send {
        let share = self.limit_share(req.service);
        let expected = self.expected_latency(req.class);
        self.next_send += 1;
        let id = self.next_send;
        if let Some(it) = self.targets.get_mut(&target) {
            it.start_send(id, now, expected);
            it.allowance.use_limit(share, now);
        }
        Send { id, target, service: req.service, class: req.class }
    }

    /// Records the end of a send.
    pub fn finish_send(&mut self, send: &Send, now: Time, result: SendResult) {
        if !self.are_hosts(send.service) {
            self.reach.record_result(result, now);
        }
        let Some(target) = self.targets.get_mut(&send.target) else { return };
        let took = target.finish_send(send.id, now, result);
        if matches!(result, SendResult::Answered | SendResult::Shed | SendResult::Failed) {
            reachability::record_answer(&mut self.domain_answers, &target.report.domain, now);
        }
        // A send that timed out also shows that such requests take long.
        if matches!(result, SendResult::Answered | SendResult::Silent)
            && let Some(took) = took
        {
            self.classes[send.class.0].record(took);
        }
        let service = &mut self.services[send.service.0];
        service.drain_rate.record_end(now, service.queue.len() > 0);
        let is_finished = target.is_gone() && target.sends_in_flight() == 0;
        if is_finished {
            self.remove(send.target);
        }
    }

    /// Returns the targets to be probed now by opening a connection.
    pub fn due_probes(&mut self, now: Time) -> Vec<TargetKey> {
        let due = self.targets.iter_mut().filter_map(|(key, it)| {
            let is_wanted = !it.is_gone() && it.take_probe(now);
            is_wanted.then_some(*key)
        });
        due.collect()
    }

    /// Records that a probe connected to the target; returns its service.
    pub fn probe_succeeded(&mut self, target: TargetKey, now: Time) -> Option<ServiceKey> {
        let is_host = self.is_host(target);
        let it = self.targets.get_mut(&target)?;
        if !is_host {
            self.reach.record_sign(now);
        }
        if it.is_down() {
            it.probe_succeeded(now);
            // The target may have restarted.
            self.assume_cold(target, now);
        }
        self.service_of(target)
    }

    pub fn record_load(&mut self, target: TargetKey, load: ReportedLoad) {
        if let Some(it) = self.targets.get_mut(&target) {
            it.record_load(load);
        }
    }

    /// Records that the target is cold for at least `cold_for`.
    pub fn record_cold(&mut self, target: TargetKey, now: Time, cold_for: Duration) {
        if let Some(it) = self.targets.get_mut(&target) {
            it.extend_cold(now + cold_for);
        }
    }

    /// Returns this host's share of the connections to one target of `service`.
    pub fn connection_share(&self, service: ServiceKey) -> usize {
        let settings = &self.services[service.0].settings;
        let Some(settings) = settings.as_ref().filter(|_| self.is_host_count_known) else {
            return 1;
        };
        let usable = f64::from(settings.max_connections) * USABLE_CONNECTION_SHARE;
        ((usable * self.limit_share(service)) as usize).max(1)
    }

    /// Returns whether this host has more than its share of connections to the
    /// target, `idle` of them being idle.
    pub fn has_surplus(&self, target: TargetKey, idle: usize) -> bool {
        let Some(service) = self.service_of(target) else { return true };
        let used = self.targets.get(&target).map_or(0, Target::sends_in_flight);
        used + idle > self.connection_share(service)
    }

    fn is_silent(&self, target: &Target, now: Time) -> bool {
        target.is_down() || target.silence_ratio(now) > SILENT_RATIO
    }
}

/// Multiple of the expected latency after which a target that does not answer is
/// silent, and gets no new sends until it answers.
const SILENT_RATIO: f64 = 3.0;
