//! State machine of one host: handles inputs and returns actions.

mod admission;
mod api;
mod configuration;
mod gossip;
mod rights;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{Finding, HostName, Place, Share, TargetName, Time};
use documents::Configuration;
use rand::{SeedableRng, rngs::SmallRng};

pub use self::api::{Action, Input, ListedHost, NotReady};
use self::{admission::Admission, configuration::PullState, rights::Rights};
use crate::{
    assignment::{Groups, Routes},
    configuration::{Reader, Store},
    lease::VOTER_CHANGE_WAIT,
    membership::{Member, MemberState, Prober, Table, placeholder},
    message::{Body, Message, Record},
    settings::NodeSettings,
};

/// A call of [`Node::handle`] that is late by more than this indicates that the
/// process was paused.
const MAX_TICK_LAG: Duration = Duration::from_secs(1);

/// Maximum time for which a host waits for contact with a peer after a pause.
const RESUME_WAIT: Duration = Duration::from_secs(2);

/// Time between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reads of the platform's list of hosts.
const LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Time between two reads of the platform's list of hosts before the first
/// answer.
const FIRST_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum time between the leave announcement and the end of the host, so that
/// peers learn of it.
const MIN_LEAVE_DURATION: Duration = Duration::from_millis(500);

/// Number of watchers of a domain, the hosts that long-poll the platform.
const WATCHERS_PER_DOMAIN: usize = 2;

/// State machine of one host.
#[derive(Debug)]
pub struct Node {
    cfg: NodeSettings,
    rng: SmallRng,
    started: Time,
    table: Table,
    prober: Prober,
    routes: Routes,
    rights: Rights,
    admission: Admission,
    store: Store,
    reader: Reader,
    pull_state: PullState,
    phase: Phase,
    is_watcher: bool,
    /// When the last message from another host was received.
    last_received: Option<Time>,
    last_digest: Time,
    next_list: Time,
    next_housekeeping: Time,
    wakeup: Time,
    /// Version of the electorate and when it last changed.
    electorate: (u64, Time),
    out: Vec<Action>,
}

/// Phase of the host's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Starting,
    Ready,
    /// Resumed after a pause; an answer to a probe with a sequence number above
    /// `seq` shows that peers are in contact again.
    Paused {
        since: Time,
        seq: u64,
    },
    Leaving {
        since: Time,
    },
    Left,
}

impl Node {
    pub fn new(cfg: NodeSettings, now: Time) -> Node {
        let own = Record {
            incarnation: cfg.incarnation,
            state: MemberState::Alive,
            ..placeholder(cfg.host.clone(), cfg.domain.clone(), cfg.address)
        };
        let mut rng = SmallRng::seed_from_u64(cfg.seed);
        let mut table = Table::new(own, now);
        for seed in cfg.seeds.iter().filter(|it| it.host != cfg.host) {
            let seed = placeholder(seed.host.clone(), seed.domain.clone(), seed.address);
            table.merge(Record { is_voter: true, ..seed }, now);
        }
        let electorate = (table.electorate_version(), now);
        Node {
            prober: Prober::new(now, &mut rng),
            rights: Rights::new(now),
            admission: Admission::default(),
            reader: Reader::new(now),
            cfg,
            rng,
            started: now,
            table,
            routes: Routes::default(),
            store: Store::default(),
            pull_state: PullState::default(),
            phase: Phase::Starting,
            is_watcher: false,
            last_received: None,
            last_digest: Time::ZERO,
            next_list: now,
            next_housekeeping: now,
            wakeup: now,
            electorate,
            out: Vec::new(),
        }
    }

    /// Handles an input received at `now` and returns the actions to carry out.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        if self.phase == Phase::Left {
            return Vec::new();
        }
        if now.since(self.wakeup) > MAX_TICK_LAG {
            self.resume(now);
        }
        match input {
            Input::Tick => {}
            Input::Message { from, message } => self.receive(now, from, message),
            Input::Resumed => self.resume(now),
            Input::PlatformHosts(hosts) => self.handle_host_list(now, hosts),
            Input::Leave => self.leave(now),
            Input::PlatformIndex { .. }
            | Input::PlatformDocument { .. }
            | Input::PlatformDocumentMissing { .. }
            | Input::PlatformFailed => self.handle_platform_input(now, input),
        }
        self.tick(now);
        std::mem::take(&mut self.out)
    }

    /// Returns the latest time for the next [`Node::handle`], with [`Input::Tick`]
    /// if there is no other input.
    pub fn next_wakeup(&self) -> Time {
        self.wakeup
    }

    /// Returns all known hosts except forgotten ones, this host included.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.table.members()
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.store.configuration()
    }

    /// Returns the findings on documents that are not in force, and on a platform
    /// with an outdated revision.
    pub fn findings(&self) -> Vec<Finding> {
        let mut findings = self.store.findings();
        if let Some(older_revision) = self.reader.older_revision() {
            let held = self.store.complete_revision();
            let message = format!(
                "the platform's newest revision {older_revision} is below {held} in force; \
                 changes are not taken until it publishes above {held}"
            );
            let place = Place { source: "platform".into(), line: 0, column: 0 };
            findings.push(Finding::new(place, message));
        }
        findings
    }

    pub fn readiness(&self) -> Result<(), NotReady> {
        match self.phase {
            Phase::Starting => Err(NotReady::Unconfirmed),
            Phase::Ready => Ok(()),
            Phase::Paused { .. } => Err(NotReady::Paused),
            Phase::Leaving { .. } | Phase::Left => Err(NotReady::Leaving),
        }
    }

    /// Returns the primary and the standby assigned to a target, both in the
    /// target's domain.
    pub fn owners(&self, target: &TargetName) -> Option<(HostName, Option<HostName>)> {
        let route = self.routes.of_target(target)?;
        Some((route.primary.clone(), route.standby.clone()))
    }

    /// Returns the share of each target that this host may use at `now`.
    pub fn shares(&self, now: Time) -> Vec<(TargetName, Share)> {
        self.rights.shares(now, self.routes.groups())
    }

    fn tick(&mut self, now: Time) {
        if now >= self.next_housekeeping {
            self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
            self.housekeeping(now);
        }
        self.send_probes(now);
        self.read_platform(now);
        self.announce_revision(now);
        self.update_phase(now);
        self.request_admission(now);
        self.update_routes(now);
        self.update_rights(now);
        self.read_host_list(now);
        self.wakeup = self.compute_wakeup(now);
    }

    fn housekeeping(&mut self, now: Time) {
        self.table.expire(now);
        self.rights.expire(now);
        self.is_watcher = self.table.is_selected("watcher", WATCHERS_PER_DOMAIN);
        let own = self.table.own();
        let (host, incarnation) = (own.host.clone(), own.incarnation);
        self.table.record_revision(&host, incarnation, self.store.configuration().revision);
    }

    fn compute_wakeup(&self, now: Time) -> Time {
        let reader = self.reader.next_wakeup(now, self.platform_rate(now));
        let times = [self.next_housekeeping, self.prober.next_wakeup()];
        let admission = self.admission_wakeup();
        let more = [reader, admission, self.rights.next_wakeup(now)].into_iter().flatten();
        let next = times.into_iter().chain(more).min();
        // The lower bound keeps an overdue time from making the driver busy-loop.
        next.unwrap_or(now).max(now + Duration::from_millis(1))
    }

    fn update_phase(&mut self, now: Time) {
        match self.phase {
            Phase::Starting => {
                let newest = self.pull_state.newest_reported();
                if self.store.is_confirmed() && self.store.complete_revision() >= newest {
                    self.phase = Phase::Ready;
                }
            }
            Phase::Paused { since, .. } => {
                let has_peers = self.table.len() > 1;
                if !has_peers || now.since(since) >= RESUME_WAIT {
                    self.phase = Phase::Ready;
                }
            }
            Phase::Leaving { since } => self.finish_leaving_if_done(now, since),
            Phase::Ready => self.start_serving_if_ready(now),
            Phase::Left => {}
        }
    }

    /// Makes this host a candidate for ownership once all voters must know of it.
    fn start_serving_if_ready(&mut self, now: Time) {
        let (_, changed) = self.electorate;
        let own = self.table.own();
        if own.is_serving || !own.is_voter || now.since(changed) < VOTER_CHANGE_WAIT {
            return;
        }
        // Records of its previous incarnation may make a host a voter before it
        // knows the other hosts.
        let is_only_voter = self.table.voters(&own.domain).count() == 1;
        if is_only_voter && !self.can_assume_alone(now) {
            return;
        }
        self.table.update_own(now, |it| it.is_serving = true);
    }

    fn leave(&mut self, now: Time) {
        if matches!(self.phase, Phase::Leaving { .. }) {
            return;
        }
        self.phase = Phase::Leaving { since: now };
        self.table.update_own(now, |it| it.is_leaving = true);
        self.broadcast_own();
    }

    fn finish_leaving_if_done(&mut self, now: Time, since: Time) {
        if now.since(since) < MIN_LEAVE_DURATION || !self.rights.is_empty() {
            return;
        }
        self.table.update_own(now, |it| it.state = MemberState::Left);
        self.broadcast_own();
        self.phase = Phase::Left;
        self.out.push(Action::Left);
    }

    /// Resets leases, probes and suspicions after a pause of the process, since
    /// they may be outdated.
    fn resume(&mut self, now: Time) {
        self.table.reset_suspicions(now);
        self.prober.reset(now);
        self.rights.reset(now);
        if matches!(self.phase, Phase::Ready | Phase::Paused { .. }) {
            self.phase = Phase::Paused { since: now, seq: self.prober.next_seq() };
        }
    }

    fn update_routes(&mut self, now: Time) {
        let changed = self.table.take_changed();
        if !self.pull_state.is_pending(now) && self.store.rebuild() {
            let groups = Groups::new(&self.store.configuration(), self.cfg.group_size);
            self.routes.set_groups(groups, &self.table);
            self.rights.mark_stale();
            self.out.push(Action::ConfigurationChanged);
        }
        if !changed.is_empty() {
            self.routes.refresh(&changed, &self.table);
            self.rights.mark_stale();
        }
        let version = self.table.electorate_version();
        if self.electorate.0 != version {
            self.electorate = (version, now);
            self.rights.mark_stale();
        }
    }

    fn read_host_list(&mut self, now: Time) {
        if now < self.next_list {
            return;
        }
        let interval = if self.table.has_list() { LIST_INTERVAL } else { FIRST_LIST_INTERVAL };
        self.next_list = now + interval;
        let is_first = now == self.started;
        if is_first || self.is_watcher || self.platform_rate(now).is_isolated {
            self.out.push(Action::ReadHosts);
        }
    }

    fn handle_host_list(&mut self, now: Time, hosts: Vec<ListedHost>) {
        self.table.record_list_read(now);
        for listed in hosts {
            if self.table.record(&listed.host).is_some() {
                self.table.apply_listed(&listed.host, listed.is_leaving, now);
            } else if !listed.is_leaving {
                self.table.merge(placeholder(listed.host, listed.domain, listed.address), now);
            }
        }
    }

    fn send(&mut self, to: SocketAddr, body: Body) {
        let sender = self.cfg.host.clone();
        let message = Message { sender, incarnation: self.cfg.incarnation, body };
        self.out.push(Action::Send { to, message });
    }
}
