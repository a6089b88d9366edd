//! Many entry hosts and their targets in virtual time, over plain data. The
//! targets keep their own record of what ran, and every verdict is checked
//! against it.

#![allow(dead_code, reason = "each test file uses its own part of the fleet")]

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{
    DomainName, HashMap, HostName, Incarnation, Missing, Outcome, RequestId, Revision, ShardId,
    Snapshot, TargetName, Time,
};
use documents::{Configuration, Pool, Preference, Service, Target, model::PolicySettings};
use policy::{
    message::{Batch, Part, PartResult, Subquery, TargetStatus},
    request::{
        Action, PoolView, Query, QueryCx, QueryRequest, Routes, SendKind, SharedState, SuspectNote,
        Verdict,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub const DOMAINS: [&str; 3] = ["a", "b", "c"];
pub const DEADLINE: Duration = Duration::from_millis(100);
const LINK_DELAY: Duration = Duration::from_micros(500);
const RESTART_TIME: Duration = Duration::from_millis(300);
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// A query with this fingerprint crashes each target that runs it.
pub const CRASHER: u64 = u64::MAX;

/// Chances of each fault, in a thousandth of parts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub mutations: u32,
    /// Chance, in a thousandth, that a connection is lost while the target
    /// lives on.
    pub lost_connections: u32,
    /// Whether new snapshots are published and old ones dropped.
    pub publishes: bool,
    /// Whether targets miss every third snapshot, so that common ones are few.
    pub skips: bool,
    /// Whether targets die and owners fall silent by themselves.
    pub losses: bool,
    /// Whether one answer in fifty takes 20 times as long.
    pub straggles: bool,
    /// Whether one replica in fifty is 20 times slower than the others.
    pub slow_replicas: bool,
}

pub struct Fleet {
    pub now: Time,
    pub rng: SmallRng,
    pub deaths: Vec<TargetName>,
    pub verdicts: Vec<(u64, usize, u64, Verdict)>,
    pub sends: HashMap<&'static str, u64>,
    pub latencies: Vec<Duration>,
    /// Time of this machine spent in the decisions.
    pub decision_time: Duration,
    faults: Faults,
    cfg: Configuration,
    service: Arc<Service>,
    view: Arc<PoolView>,
    targets: HashMap<TargetName, SimTarget>,
    routes: HashMap<TargetName, (HostName, Option<HostName>)>,
    hosts: Vec<SharedState>,
    queries: HashMap<u64, Running>,
    events: BTreeMap<(Time, u64), Event>,
    serial: u64,
    index: u64,
}

struct SimTarget {
    incarnation: u64,
    down_until: Time,
    owner_silent_until: Time,
    held: Vec<Snapshot>,
    running: Vec<Job>,
}

#[derive(Clone)]
struct Job {
    query: u64,
    batch: Arc<Batch>,
    subquery: Subquery,
}

struct Running {
    host: usize,
    query: Query,
    runs: HashMap<ShardId, u32>,
    verdict: Option<Verdict>,
}

enum Event {
    Wake(u64),
    Start(Job),
    Done(TargetName, Job),
    Crash(TargetName),
    Part(u64, Part),
    Notes(usize, Vec<SuspectNote>),
    Refresh,
    Publish,
    TakeUp(TargetName, Snapshot),
    Loss,
}

struct Owners<'a>(&'a HashMap<TargetName, (HostName, Option<HostName>)>);

impl Routes for Owners<'_> {
    fn owners(&self, target: &TargetName) -> Option<(HostName, Option<HostName>)> {
        self.0.get(target).cloned()
    }
}

impl Fleet {
    pub fn new(seed: u64, shards: u32, hosts: usize, faults: Faults) -> Self {
        Fleet::with_settings(seed, shards, hosts, faults, &PolicySettings::default())
    }

    pub fn with_settings(
        seed: u64,
        shards: u32,
        hosts: usize,
        faults: Faults,
        settings: &PolicySettings,
    ) -> Self {
        base::invariant::panic_when_broken();
        let service = service();
        let pool = pool(shards);
        let cfg = Configuration::new(Revision(1), [service.clone()], [pool.clone()], []);
        let target = |it: &Arc<Target>| (it.name.clone(), SimTarget::new());
        let mut fleet = Fleet {
            now: Time::from_millis(1),
            rng: SmallRng::seed_from_u64(seed),
            deaths: Vec::new(),
            verdicts: Vec::new(),
            sends: HashMap::default(),
            latencies: Vec::new(),
            decision_time: Duration::ZERO,
            faults,
            targets: cfg.targets().map(target).collect(),
            routes: cfg.targets().map(|it| (it.name.clone(), owners(&it.domain))).collect(),
            cfg,
            service: Arc::new(service),
            view: Arc::new(PoolView::new(Arc::new(pool))),
            hosts: (0..hosts).map(|_| SharedState::new(settings)).collect(),
            queries: HashMap::default(),
            events: BTreeMap::new(),
            serial: 0,
            index: 1,
        };
        fleet.refresh();
        if faults.publishes {
            fleet.after(Duration::from_millis(50), Event::Publish);
        }
        if faults.losses {
            fleet.after(Duration::from_millis(50), Event::Loss);
        }
        fleet
    }

    /// Starts a query at a host.
    pub fn ask(&mut self, host: usize, fingerprint: u64, is_idempotent: bool) -> u64 {
        self.serial += 1;
        let id = self.serial;
        let min_coverage = [0.0, 0.5, 1.0][self.rng.random_range(0..3)];
        let query = Query::new(QueryRequest {
            id: RequestId(u128::from(id)),
            service: Arc::clone(&self.service),
            view: Arc::clone(&self.view),
            shard: None,
            body: b"wax".as_slice().into(),
            fingerprint,
            is_idempotent,
            min_coverage,
            started: self.now,
            deadline: self.now + DEADLINE,
        });
        self.queries.insert(id, Running { host, query, runs: HashMap::default(), verdict: None });
        self.step(id, |query, cx| query.start(cx));
        id
    }

    /// Lets everything happen that is due before `until`.
    pub fn run_until(&mut self, until: Time) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= until
        {
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = until;
    }

    pub fn suspects(&self, host: usize) -> usize {
        self.hosts[host].quarantine.len()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(id) => self.wake(id),
            Event::Start(job) => self.start(job),
            Event::Done(target, job) => self.finish(&target, &job),
            Event::Crash(target) => self.crash(&target),
            Event::Part(id, part) => self.step(id, |query, cx| query.on_part(cx, &part)),
            Event::Notes(host, notes) => {
                notes.iter().for_each(|it| self.hosts[host].quarantine.merge(self.now, it));
            }
            Event::Refresh => self.refresh(),
            Event::Publish => self.publish(),
            Event::TakeUp(target, snapshot) => self.take_up(&target, snapshot),
            Event::Loss => self.lose(),
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + delay, self.serial), event);
    }

    fn wake(&mut self, id: u64) {
        let Some(running) = self.queries.get(&id) else { return };
        if running.verdict.is_none() && running.query.next_wakeup() <= self.now {
            self.step(id, |query, cx| query.on_wakeup(cx));
        }
    }

    fn step(
        &mut self,
        id: u64,
        step: impl FnOnce(&mut Query, &mut QueryCx<'_, Owners<'_>>) -> Vec<Action>,
    ) {
        let Some(running) = self.queries.get_mut(&id) else { return };
        let host = running.host;
        let began = Instant::now();
        let actions = step(
            &mut running.query,
            &mut QueryCx {
                now: self.now,
                configuration: &self.cfg,
                domain: &domain(host),
                routes: &Owners(&self.routes),
                shared: &mut self.hosts[host],
                rng: &mut self.rng,
            },
        );
        let wakeup = running.query.next_wakeup();
        self.decision_time += began.elapsed();
        for action in actions {
            self.perform(id, action);
        }
        self.after(wakeup.until(self.now), Event::Wake(id));
        self.tell(host);
    }

    fn perform(&mut self, id: u64, action: Action) {
        match action {
            Action::Send { batch, .. } => {
                let batch = Arc::new(batch);
                for subquery in batch.subqueries.clone() {
                    let job = Job { query: id, batch: Arc::clone(&batch), subquery };
                    let kind = self.kind_of(id, &job);
                    *self.sends.entry(kind).or_default() += 1;
                    self.after(LINK_DELAY, Event::Start(job));
                }
            }
            Action::Cancel { .. } => (),
            Action::Finish(verdict) => self.conclude(id, verdict),
        }
    }

    fn kind_of(&self, id: u64, job: &Job) -> &'static str {
        let attempt = self.queries[&id].query.gather().attempt(job.subquery.attempt);
        match attempt.expect("a sent attempt is known").kind {
            SendKind::First => "first",
            SendKind::Retry => "retry",
            SendKind::Hedge => "hedge",
            SendKind::Restart => "restart",
        }
    }

    /// A subquery reaches its target.
    fn start(&mut self, job: Job) {
        let name = job.subquery.target.clone();
        let target = &self.targets[&name];
        if target.owner_silent_until > self.now {
            let failed = failed(Missing::OwnerUnreachable, Outcome::NotRun);
            return self.reply(&job, failed);
        }
        if target.down_until > self.now {
            return self.reply(&job, failed(Missing::Refused, Outcome::NotRun));
        }
        if !target.held.contains(&job.batch.snapshot) {
            return self.reply(&job, failed(Missing::WrongSnapshot, Outcome::NotRun));
        }
        self.note_run(&job);
        let target = self.targets.get_mut(&name).expect("a known target");
        target.running.push(job.clone());
        if job.batch.fingerprint == CRASHER {
            return self.after(Duration::from_millis(1), Event::Crash(name));
        }
        let is_straggler = match self.faults.slow_replicas {
            true => is_slow(&name),
            false => self.faults.straggles && self.rng.random_ratio(1, 50),
        };
        let time = self.rng.random_range(1_000..6_000) * if is_straggler { 20 } else { 1 };
        self.after(Duration::from_micros(time), Event::Done(name, job));
    }

    fn note_run(&mut self, job: &Job) {
        let Some(running) = self.queries.get_mut(&job.query) else { return };
        let runs = running.runs.entry(job.subquery.shard).or_default();
        *runs += 1;
        assert!(job.batch.is_idempotent || *runs == 1, "a second run of {}", job.query);
        let vouched = matches!(
            &running.verdict,
            Some(Verdict::Refused(it)) if it.outcome == Outcome::NotRun
        );
        assert!(!vouched, "query {} ran after it was refused as not run", job.query);
    }

    fn finish(&mut self, name: &TargetName, job: &Job) {
        let target = self.targets.get_mut(name).expect("a known target");
        let before = target.running.len();
        target.running.retain(|it| it.subquery.attempt != job.subquery.attempt);
        if target.running.len() == before {
            // The target died in between.
            return;
        }
        if self.rng.random_ratio(self.faults.lost_connections, 1_000) {
            return self.reply(job, failed(Missing::ConnectionLost, Outcome::MayHaveRun));
        }
        let snapshot = job.batch.snapshot;
        let body = body(job.query, job.subquery.shard, snapshot);
        self.reply(job, PartResult::Answer { snapshot, body });
    }

    fn crash(&mut self, name: &TargetName) {
        let target = self.targets.get_mut(name).expect("a known target");
        if target.down_until > self.now {
            return;
        }
        target.incarnation += 1;
        target.down_until = self.now + RESTART_TIME;
        let lost = std::mem::take(&mut target.running);
        self.deaths.push(name.clone());
        for job in lost {
            self.reply(&job, failed(Missing::ConnectionLost, Outcome::MayHaveRun));
        }
    }

    /// Sends a part back, perhaps spoilt on its way.
    fn reply(&mut self, job: &Job, result: PartResult) {
        let mut part = Part {
            attempt: job.subquery.attempt,
            shard: job.subquery.shard,
            target: job.subquery.target.clone(),
            result,
            queued: Duration::ZERO,
            service_time: Duration::ZERO,
            status: Some(self.status(&job.subquery.target)),
        };
        let (mut to, mut delay) = (job.query, LINK_DELAY);
        if self.rng.random_ratio(self.faults.mutations, 1_000) {
            match self.rng.random_range(0..7) {
                0 => self.after(LINK_DELAY * 3, Event::Part(to, part.clone())),
                1 => part.shard.0 += 1,
                2 => to = to.saturating_sub(1),
                3 => delay = DEADLINE * 2,
                4 => part.attempt.0 ^= 1,
                5 => spoil_snapshot(&mut part.result),
                _ => return,
            }
        }
        self.after(delay, Event::Part(to, part));
    }

    fn conclude(&mut self, id: u64, verdict: Verdict) {
        let running = self.queries.get_mut(&id).expect("a known query");
        assert!(running.verdict.is_none(), "a second verdict for {id}");
        let req = running.query.request();
        match &verdict {
            Verdict::Answer(answer) => {
                assert!(self.now <= req.deadline, "an answer after the deadline");
                for (shard, part) in &answer.parts {
                    assert_eq!(*part, body(id, *shard, answer.snapshot), "not its own answer");
                }
                let coverage = &answer.coverage;
                assert_eq!(coverage.answered as usize, answer.parts.len());
                assert_eq!(coverage.total, self.view.pool.shards);
                assert_eq!(
                    coverage.answered as usize + coverage.missing.len(),
                    coverage.total as usize
                );
                assert!(coverage.ratio() >= req.min_coverage);
            }
            Verdict::Refused(refusal) => {
                let is_run = !running.runs.is_empty();
                assert!(!is_run || refusal.outcome != Outcome::NotRun, "not run is untrue: {id}");
            }
        }
        if matches!(verdict, Verdict::Answer(_)) {
            self.latencies.push(self.now.since(req.started));
        }
        self.verdicts.push((id, running.host, req.fingerprint, verdict.clone()));
        running.verdict = Some(verdict);
        self.forget_old(id);
    }

    fn forget_old(&mut self, id: u64) {
        const KEPT: u64 = 20_000;
        if id.is_multiple_of(1_000) {
            self.queries.retain(|&it, _| it + KEPT > id);
        }
    }

    fn tell(&mut self, from: usize) {
        let notes = self.hosts[from].quarantine.take_unsent_notes(self.now);
        if notes.is_empty() {
            return;
        }
        for to in (0..self.hosts.len()).filter(|&it| it != from) {
            self.after(LINK_DELAY * 2, Event::Notes(to, notes.clone()));
        }
    }

    fn status(&self, name: &TargetName) -> TargetStatus {
        let target = &self.targets[name];
        TargetStatus {
            target: name.clone(),
            incarnation: Incarnation(target.incarnation),
            is_leaving: false,
            is_up: target.down_until <= self.now,
            limit: 3,
            in_flight: target.running.len() as u32,
            wait: Duration::ZERO,
            snapshots: target.held.clone(),
        }
    }

    fn refresh(&mut self) {
        let statuses: Vec<_> = self.targets.keys().map(|it| self.status(it)).collect();
        for host in &mut self.hosts {
            statuses.iter().for_each(|it| host.table.learn(self.now, it));
        }
        self.after(REFRESH_INTERVAL, Event::Refresh);
    }

    /// Each target takes up the next snapshot at a time of its own.
    fn publish(&mut self) {
        self.index += 1;
        let snapshot = Snapshot { map: 1, index: self.index };
        for name in self.targets.keys().cloned().collect::<Vec<_>>() {
            let is_skipped = self.faults.skips && self.rng.random_ratio(1, 3);
            if !is_skipped {
                let lag = Duration::from_millis(self.rng.random_range(0..40));
                self.after(lag, Event::TakeUp(name, snapshot));
            }
        }
        let delay = Duration::from_millis(self.rng.random_range(100..400));
        self.after(delay, Event::Publish);
    }

    fn take_up(&mut self, name: &TargetName, snapshot: Snapshot) {
        let target = self.targets.get_mut(name).expect("a known target");
        target.held.push(snapshot);
        if target.held.len() > 2 {
            target.held.remove(0);
        }
    }

    fn lose(&mut self) {
        let names: Vec<_> = self.view.pool.targets.iter().map(|it| it.name.clone()).collect();
        let name = &names[self.rng.random_range(0..names.len())];
        if self.rng.random() {
            self.crash(name);
        } else {
            let silence = Duration::from_millis(self.rng.random_range(10..500));
            let until = self.now + silence;
            self.targets.get_mut(name).expect("a known target").owner_silent_until = until;
        }
        let delay = Duration::from_millis(self.rng.random_range(20..600));
        self.after(delay, Event::Loss);
    }
}

impl SimTarget {
    fn new() -> Self {
        SimTarget {
            incarnation: 1,
            down_until: Time::ZERO,
            owner_silent_until: Time::ZERO,
            held: vec![Snapshot { map: 1, index: 1 }],
            running: Vec::new(),
        }
    }
}

fn owners(domain: &DomainName) -> (HostName, Option<HostName>) {
    (format!("{domain}-1").into(), Some(format!("{domain}-2").into()))
}

fn domain(host: usize) -> DomainName {
    DOMAINS[host % DOMAINS.len()].into()
}

/// Four replicas of 180, each of a shard of its own.
fn is_slow(target: &TargetName) -> bool {
    ["7-a", "19-b", "33-c", "46-a"].contains(&target.as_str())
}

fn failed(missing: Missing, outcome: Outcome) -> PartResult {
    PartResult::Failed { missing, outcome }
}

fn spoil_snapshot(result: &mut PartResult) {
    if let PartResult::Answer { snapshot, .. } = result {
        snapshot.index += 1;
    }
}

fn body(query: u64, shard: ShardId, snapshot: Snapshot) -> Arc<[u8]> {
    format!("{query} {shard} {snapshot}").into_bytes().into()
}

fn service() -> Service {
    Service {
        name: "planeador-01".into(),
        team: "planeacion".into(),
        pool: "planeador".into(),
        weight: 1,
        deadline: DEADLINE,
        min_coverage: 1.0,
        prefer: Preference::Coverage,
        max_in_flight: 64,
        max_body_bytes: 1_024,
        allows_non_idempotent: true,
    }
}

fn pool(shards: u32) -> Pool {
    let target = |(shard, domain): (u32, &str)| {
        Arc::new(Target {
            name: format!("{shard}-{domain}").into(),
            pool: "planeador".into(),
            shard: ShardId(shard),
            domain: domain.into(),
            address: ([127, 0, 0, 1], 9).into(),
            slots: 3,
            connections: 30,
            cold_slots: 1,
            leaving: false,
        })
    };
    let places = (0..shards).flat_map(|shard| DOMAINS.iter().map(move |&it| (shard, it)));
    let targets = places.map(target).collect();
    Pool { name: "planeador".into(), team: "planeacion".into(), map: 1, shards, targets }
}
