//! State shared by all parts of the forwarding tier on one host.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use base::{DomainName, HashSet, TargetName, Time};
use forward::{
    CallerLimits, Configuration, LatencyQuantile, RouteTable, TargetReport, Targets,
    customers::{CustomerTable, FreshnessProof},
    memory::{MemoryBudget, budget_bytes},
    peers::{Host, Peers},
    placement::{Limits, ServiceKey, outbound::OutboundChange},
    route::RouteEntry,
    senders::{MAX_SENDER_AGE, phase},
    stopping::Stop,
    suspects::Suspects,
    target::SendResult,
};
use slog::{Logger, info, warn};
use telemetry::{FrontMetrics, metrics::MetricsError};
use tokio::sync::Notify;

use crate::{
    Clock, FrontSettings,
    feeds::{ChangeLogs, Feed},
    memory::Memory,
    messages::{Event, Waiter},
    pool::Pools,
    shown_version::ShownVersion,
    tokens::Quota,
};

/// Reference-counted [`Cx`]; all tasks of a host run on one thread.
pub type SharedCx = Rc<Cx>;

pub struct Cx {
    pub cfg: FrontSettings,
    pub clock: Clock,
    pub log: Logger,
    pub(crate) metrics: FrontMetrics,
    pub(crate) targets: RefCell<Targets<Waiter>>,
    pub(crate) configuration: RefCell<Option<Rc<Configuration>>>,
    pub(crate) table: RefCell<Option<Rc<RouteTable>>>,
    /// Customers of the configuration in force.
    pub(crate) customers: RefCell<Rc<CustomerTable>>,
    /// Proof that the configuration in force is the newest one.
    pub(crate) proof: Cell<FreshnessProof>,
    /// Whether requests with keys were accepted when that was last logged.
    pub(crate) accepted_keys: Cell<bool>,
    pub(crate) limits: Cell<CallerLimits>,
    pub(crate) pools: RefCell<Pools>,
    /// Planned stop in progress.
    pub(crate) stop: Cell<Option<Stop>>,
    /// Wakes the queries in progress when a planned stop begins.
    pub(crate) stop_begun: Notify,
    has_targets: Cell<bool>,
    /// Whether the targets feed is followed, at the source or at a reader; while it
    /// is not, targets are learned from peers.
    pub(crate) follows_targets: Cell<bool>,
    /// What this host got of each feed, for hosts that follow it.
    pub(crate) change_logs: ChangeLogs,
    /// Same as `follows_targets`, for the configuration and evacuations.
    pub(crate) follows_operations: Cell<bool>,
    /// Domains that a network partition separates from this host while it is
    /// on the smaller side.
    pub(crate) cut_off: RefCell<HashSet<DomainName>>,
    /// Same as `cut_off`, but judged by these domains' hosts alone.
    pub(crate) separated: RefCell<HashSet<DomainName>>,
    /// Whether a partition keeps this host from serving a route in use, so
    /// that callers should go to other hosts.
    pub(crate) is_isolated: Cell<bool>,
    /// Whether no target answers this host.
    pub(crate) has_lost_targets: Cell<bool>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) in_progress: InProgress,
    pub(crate) memory: Rc<Memory>,
    pub(crate) suspects: RefCell<Suspects>,
    /// Time that requests passed on to senders and their answers are on the way.
    pub(crate) relay_transit: RefCell<LatencyQuantile>,
    pub(crate) shown_version: ShownVersion,
    pub(crate) quota: Quota,
}

/// Quantile of the time on the way that senders are told to expect.
const TRANSIT_QUANTILE: f64 = 0.9;

/// Limit of log lines on work that leaves the domain in one sweep. The next sweeps report
/// the rest.
const OUTBOUND_LINES: usize = 8;

/// Counter of requests in progress; also the guard that counts one of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct InProgress(Rc<()>);

impl InProgress {
    /// Counts a request until the returned guard is dropped.
    pub(crate) fn enter(&self) -> InProgress {
        self.clone()
    }

    pub(crate) fn count(&self) -> usize {
        Rc::strong_count(&self.0) - 1
    }
}

impl Cx {
    pub fn new(cfg: FrontSettings, log: Logger) -> Result<SharedCx, MetricsError> {
        let metrics = FrontMetrics::new(&SendResult::NAMES)?;
        let mut targets = Targets::new(cfg.limits.clone(), cfg.domain.clone(), cfg.regions.clone());
        targets.set_phase(phase(cfg.peers));
        targets.set_spillover(cfg.spillover);
        let clock = Clock::start();
        targets.set_started(clock.now());
        let own = Host {
            address: cfg.peers,
            domain: cfg.domain.clone(),
            capacity: cfg.capacity,
            reads_source: false,
            has_lost_targets: false,
        };
        let peers = Peers::new(own, cfg.seeds.clone());
        let quota = Quota::new(&peers, clock.now());
        let budget = MemoryBudget::new(budget_bytes(cfg.memory_bytes), cfg.address_part);
        let memory = Memory::new(budget, clock, log.clone(), metrics.clone());
        Ok(Rc::new(Cx {
            cfg,
            metrics,
            clock,
            log,
            targets: RefCell::new(targets),
            configuration: RefCell::new(None),
            table: RefCell::new(None),
            customers: RefCell::default(),
            proof: Cell::default(),
            accepted_keys: Cell::new(true),
            limits: Cell::new(CallerLimits::default()),
            pools: RefCell::new(Pools::default()),
            stop: Cell::new(None),
            stop_begun: Notify::new(),
            has_targets: Cell::new(false),
            follows_targets: Cell::new(false),
            change_logs: ChangeLogs::default(),
            follows_operations: Cell::new(false),
            cut_off: RefCell::new(HashSet::default()),
            separated: RefCell::new(HashSet::default()),
            is_isolated: Cell::new(false),
            has_lost_targets: Cell::new(false),
            peers: RefCell::new(peers),
            in_progress: InProgress::default(),
            memory,
            suspects: RefCell::new(Suspects::default()),
            relay_transit: RefCell::new(LatencyQuantile::new(TRANSIT_QUANTILE)),
            shown_version: ShownVersion::default(),
            quota,
        }))
    }

    /// Chooses the senders anew from the hosts that are known now.
    pub(crate) fn update_senders(&self) {
        let Some(table) = self.table.borrow().clone() else { return };
        let routes: Vec<Rc<RouteEntry>> = table.routes().cloned().collect();
        let (now, peers) = (self.clock.now(), self.peers.borrow());
        let hosts = peers.usable_hosts(now, MAX_SENDER_AGE);
        let mut targets = self.targets.borrow_mut();
        let before = targets.sender_role();
        targets.update_senders(peers.own(), &hosts, &routes, now);
        let role = targets.sender_role();
        if role != before {
            info!(self.log, "front: senders changed"; "senders" => role.senders,
                "is_sender" => role.is_sender, "live_hosts" => hosts.len());
        }
    }

    /// Applies a report that was read with the whole feed or from a peer, an
    /// unknown time after it was made.
    pub(crate) fn update_target_late(&self, report: TargetReport) {
        self.targets.borrow_mut().apply_late_report(report, self.clock.now());
    }

    /// Applies a report of a change that was made at most `age` ago.
    pub fn update_target(&self, report: TargetReport, age: Duration) {
        self.targets.borrow_mut().apply_change(report, age, self.clock.now());
    }

    /// Marks the target as no longer listed by the platform, since `since` at the
    /// latest.
    pub(crate) fn unlist_target(&self, name: &TargetName, since: Time) {
        self.targets.borrow_mut().mark_unlisted(name, since);
    }

    /// Applies a complete list of targets: all others are marked as no longer
    /// listed.
    pub fn retain_listed(&self, listed: &HashSet<TargetName>) {
        let now = self.clock.now();
        let mut targets = self.targets.borrow_mut();
        let progress = self.change_logs.of(Feed::Targets).progress();
        let since = progress.missing_since(targets.leaving_for(), now);
        targets.retain_listed(listed, since, now);
        drop(targets);
        self.mark_targets_known();
    }

    /// Records that target reports have arrived, though perhaps not all.
    pub(crate) fn mark_targets_known(&self) {
        self.has_targets.set(true);
    }

    pub fn set_evacuated(&self, domains: HashSet<DomainName>) {
        if *self.targets.borrow().evacuated() != domains {
            warn!(self.log, "front: evacuated domains changed"; "domains" => ?domains);
        }
        self.targets.borrow_mut().set_evacuated(domains, self.clock.now());
    }

    /// Adds or removes one evacuated domain.
    pub fn set_evacuation(&self, domain: DomainName, is_evacuated: bool) {
        let mut domains = self.targets.borrow().evacuated().clone();
        if is_evacuated {
            domains.insert(domain);
        } else {
            domains.remove(&domain);
        }
        self.set_evacuated(domains);
    }

    pub fn set_limits(&self, limits: Limits) {
        self.targets.borrow_mut().set_limits(limits);
    }

    /// Returns whether this host should receive callers.
    pub fn is_ready(&self) -> bool {
        let knows_enough = self.table.borrow().is_some() && self.has_targets.get();
        let is_leaving = self.is_stopping() || self.is_isolated.get();
        knows_enough && !is_leaving && !self.should_leave_callers()
    }

    /// Returns whether callers should open their next connection to another
    /// host.
    pub(crate) fn should_close_connections(&self) -> bool {
        self.is_stopping() || self.is_isolated.get()
    }

    /// Begins a planned stop. Queries in progress end with it at the latest.
    pub(crate) fn begin_stop(&self, stop: Stop) {
        self.stop.set(Some(stop));
        self.stop_begun.notify_waiters();
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Wakes the next part that waits for a connection to `service`. Waiters
    /// whose query has ended are skipped.
    pub(crate) fn wake_waiting(&self, service: ServiceKey) {
        loop {
            let next = self.targets.borrow_mut().pop_waiting(service, self.clock.now());
            let Some(waiter) = next else { return };
            if waiter.tx.send(Event::Place { index: waiter.index }).is_ok() {
                return;
            }
        }
    }

    /// Wakes the parts that wait for `service` in vain, as its targets asked for pauses.
    pub(crate) fn wake_paused(&self, service: ServiceKey) {
        loop {
            let next = self.targets.borrow_mut().pop_paused(service, self.clock.now());
            let Some(waiter) = next else { return };
            // An error means that the query has ended.
            let _ = waiter.tx.send(Event::Place { index: waiter.index });
        }
    }

    fn log_outbound_changes(&self) {
        let now = self.clock.now();
        let changes = self.targets.borrow_mut().take_outbound_changes(OUTBOUND_LINES, now);
        for OutboundChange { service, share, reason } in changes {
            info!(self.log, "front: share of a service's work that leaves the domain changed";
                "service" => %service, "share" => format!("{share:.2}"),
                "reason" => reason.as_str());
        }
    }

    /// Removes expired targets and suspects, and wakes one waiting part of each
    /// service.
    pub(crate) fn sweep(&self) {
        self.targets.borrow_mut().remove_unlisted(self.clock.now());
        self.targets.borrow_mut().expire_limits(self.clock.now());
        self.suspects.borrow_mut().remove_expired(self.clock.now());
        self.log_outbound_changes();
        let services = self.targets.borrow().services_with_waiting();
        for service in services {
            self.wake_waiting(service);
        }
    }
}
