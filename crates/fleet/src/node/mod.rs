//! One host's state machine: takes in what happened, returns what to do.

mod admission;
mod api;
mod configuration;
mod gossip;
mod rights;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{Finding, HostName, Place, Share, TargetName, Time};
use documents::Configuration;
use rand::{SeedableRng, rngs::SmallRng};

pub use self::api::{Action, IndexEntry, Input, ListedHost, NotReady};
use self::{admission::Admission, configuration::Pulling, rights::Rights};
use crate::{
    assignment::{Groups, Routes},
    configuration::{Reader, Store},
    lease::VOTER_CHANGE_WAIT,
    membership::{Member, MemberState, Prober, Table, placeholder},
    message::{Body, Message, Record},
    settings::NodeSettings,
};

/// A call that comes this much later than asked for shows that the process
/// was paused.
const MAX_LAG: Duration = Duration::from_secs(1);

/// After a pause a host waits this long at most for word from a peer.
const REFRESH_WAIT: Duration = Duration::from_secs(2);

/// Time between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reads of the platform's list of hosts.
const LIST_INTERVAL: Duration = Duration::from_secs(30);

/// The same while none was answered.
const FIRST_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// A leaving host stays at least this long, so that peers learn of it.
const MIN_GOODBYE: Duration = Duration::from_millis(500);

/// Watching hosts of a domain.
const WATCHERS: usize = 2;

/// One host's state machine.
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
    pulling: Pulling,
    phase: Phase,
    is_watcher: bool,
    /// When the last message of another host came.
    last_heard: Option<Time>,
    last_digest: Time,
    next_list: Time,
    next_housekeeping: Time,
    wakeup: Time,
    /// Version and time of the last change of the electorate.
    electorate: (u64, Time),
    out: Vec<Action>,
}

/// Where the host stands between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Starting,
    Ready,
    /// Paused before; an answer to a probe above `seq` proves fresh contact.
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
            pulling: Pulling::default(),
            phase: Phase::Starting,
            is_watcher: false,
            last_heard: None,
            last_digest: Time::ZERO,
            next_list: now,
            next_housekeeping: now,
            wakeup: now,
            electorate,
            out: Vec::new(),
        }
    }

    /// Takes in what happened at `now` and returns what to do about it.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        if self.phase == Phase::Left {
            return Vec::new();
        }
        if now.since(self.wakeup) > MAX_LAG {
            self.wake(now);
        }
        match input {
            Input::Tick => {}
            Input::Message { from, message } => self.receive(now, from, message),
            Input::Resumed => self.wake(now),
            Input::PlatformHosts(hosts) => self.take_list(now, hosts),
            Input::Leave => self.leave(now),
            Input::PlatformIndex { .. }
            | Input::PlatformDocument { .. }
            | Input::PlatformDocumentMissing { .. }
            | Input::PlatformFailed => self.take_platform(now, input),
        }
        self.tick(now);
        std::mem::take(&mut self.out)
    }

    /// When to call [`Node::handle`] with [`Input::Tick`] at the latest.
    pub fn next_wakeup(&self) -> Time {
        self.wakeup
    }

    /// All hosts known, this one included.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.table.members()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.store.configuration()
    }

    /// What is wrong with documents that are not in force, and with the
    /// platform.
    pub fn findings(&self) -> Vec<Finding> {
        let mut findings = self.store.findings();
        if let Some(behind) = self.reader.behind() {
            let held = self.store.complete();
            let message = format!(
                "the platform's newest revision {behind} is below {held} in force; \
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

    /// Primary and standby of a target, in the target's domain.
    pub fn owners(&self, target: &TargetName) -> Option<(HostName, Option<HostName>)> {
        let route = self.routes.of_target(target)?;
        Some((route.primary.clone(), route.standby.clone()))
    }

    /// What this host may use of each target now.
    pub fn shares(&self, now: Time) -> Vec<(TargetName, Share)> {
        self.rights.shares(now, self.routes.groups())
    }

    fn tick(&mut self, now: Time) {
        if now >= self.next_housekeeping {
            self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
            self.housekeeping(now);
        }
        self.probe(now);
        self.read_platform(now);
        self.spread_configuration(now);
        self.update_phase(now);
        self.seek_admission(now);
        self.update_routes(now);
        self.update_rights(now);
        self.read_list(now);
        self.wakeup = self.work_out_wakeup(now);
    }

    fn housekeeping(&mut self, now: Time) {
        self.table.expire(now);
        self.rights.expire(now);
        self.is_watcher = self.table.is_chosen("watcher", WATCHERS);
        let own = self.table.own();
        let (host, incarnation) = (own.host.clone(), own.incarnation);
        self.table.note_revision(&host, incarnation, self.store.configuration().revision);
    }

    fn work_out_wakeup(&self, now: Time) -> Time {
        let reader = self.reader.next_wakeup(now, self.rate(now));
        let times = [self.next_housekeeping, self.prober.next_wakeup()];
        let admission = self.admission_wakeup();
        let more = [reader, admission, self.rights.next_wakeup(now)].into_iter().flatten();
        let next = times.into_iter().chain(more).min();
        // A bound below keeps a late due time from spinning the driver.
        next.unwrap_or(now).max(now + Duration::from_millis(1))
    }

    fn update_phase(&mut self, now: Time) {
        match self.phase {
            Phase::Starting => {
                let newest = self.pulling.newest_heard();
                if self.store.is_confirmed() && self.store.complete() >= newest {
                    self.phase = Phase::Ready;
                }
            }
            Phase::Paused { since, .. } => {
                let has_peers = self.table.len() > 1;
                if !has_peers || now.since(since) >= REFRESH_WAIT {
                    self.phase = Phase::Ready;
                }
            }
            Phase::Leaving { since } => self.try_to_end(now, since),
            Phase::Ready => self.try_to_serve(now),
            Phase::Left => {}
        }
    }

    /// Begins to own targets once all voters must know of this host.
    fn try_to_serve(&mut self, now: Time) {
        let (_, changed) = self.electorate;
        let own = self.table.own();
        if own.is_serving || !own.is_voter || now.since(changed) < VOTER_CHANGE_WAIT {
            return;
        }
        // Word of its former life may make a host a voter before it heard of
        // the others.
        let is_only_voter = self.table.voters(&own.domain).count() == 1;
        if is_only_voter && !self.may_be_alone(now) {
            return;
        }
        self.table.change_own(now, |it| it.is_serving = true);
    }

    fn leave(&mut self, now: Time) {
        if matches!(self.phase, Phase::Leaving { .. }) {
            return;
        }
        self.phase = Phase::Leaving { since: now };
        self.table.change_own(now, |it| it.is_leaving = true);
        self.broadcast_own();
    }

    fn try_to_end(&mut self, now: Time, since: Time) {
        if now.since(since) < MIN_GOODBYE || !self.rights.is_empty() {
            return;
        }
        self.table.change_own(now, |it| it.state = MemberState::Left);
        self.broadcast_own();
        self.phase = Phase::Left;
        self.out.push(Action::Left);
    }

    /// The process was paused: what is unanswered or held proves nothing.
    fn wake(&mut self, now: Time) {
        self.table.pardon(now);
        self.prober.reset(now);
        self.rights.suspend(now);
        if matches!(self.phase, Phase::Ready | Phase::Paused { .. }) {
            self.phase = Phase::Paused { since: now, seq: self.prober.next_seq() };
        }
    }

    fn update_routes(&mut self, now: Time) {
        let changed = self.table.take_changed();
        if !self.pulling.is_under_way(now) && self.store.rebuild() {
            let groups = Groups::new(&self.store.configuration(), self.cfg.group_size);
            self.routes.set_groups(groups, &self.table);
            self.rights.set_stale();
            self.out.push(Action::ConfigurationChanged);
        }
        if !changed.is_empty() {
            self.routes.refresh(&changed, &self.table);
            self.rights.set_stale();
        }
        let version = self.table.electorate_version();
        if self.electorate.0 != version {
            self.electorate = (version, now);
            self.rights.set_stale();
        }
    }

    fn read_list(&mut self, now: Time) {
        if now < self.next_list {
            return;
        }
        let interval = if self.table.has_list() { LIST_INTERVAL } else { FIRST_LIST_INTERVAL };
        self.next_list = now + interval;
        let is_first = now == self.started;
        if is_first || self.is_watcher || self.rate(now).is_alone {
            self.out.push(Action::ReadHosts);
        }
    }

    fn take_list(&mut self, now: Time, hosts: Vec<ListedHost>) {
        self.table.note_list(now);
        for listed in hosts {
            if self.table.record(&listed.host).is_some() {
                self.table.note_listed(&listed.host, listed.is_leaving, now);
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
