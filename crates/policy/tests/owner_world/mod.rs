//! Virtual time around one `OwnerCore`: model targets that misbehave on
//! demand, and a judge that compares the parts with what the targets ran.

// Each test binary and the bench use a part of it.
#![allow(dead_code)]

pub mod fixture;
pub mod load;
pub mod target;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{
    AttemptId, HashMap, Incarnation, Outcome, RequestId, Revision, ServiceName, ShardId, Share,
    Snapshot, TargetName, Time,
};
use documents::{
    Configuration, Domain, DomainState, Pool, Preference, Service, Target, model::PolicySettings,
};
use policy::{
    message::{Batch, Part, PartResult, Subquery, TargetStatus},
    owner::{
        Action, ConnectionId, ControlResult, Input, Job, NotSent, OwnerCore, RequesterId,
        TargetEvent,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use self::target::ModelTarget;

pub const SNAPSHOT: Snapshot = Snapshot { map: 1, index: 5 };
pub const TICK: Duration = Duration::from_millis(5);
const DOMAIN: &str = "d";

pub struct World {
    pub now: Time,
    pub core: OwnerCore,
    pub rng: SmallRng,
    pub targets: HashMap<TargetName, ModelTarget>,
    pub parts: Vec<Part>,
    pub served: Vec<load::Served>,
    pub target_events: Vec<(TargetName, TargetEvent)>,
    pub is_domain_in: bool,
    pub shares: HashMap<TargetName, Share>,
    /// Connections opened or tried so far.
    pub opened: usize,
    /// Delay between the owner's decision to send and the send.
    pub send_delay: Duration,
    leaving: Vec<TargetName>,
    services: Vec<(ServiceName, u32)>,
    events: BTreeMap<(Time, u64), Event>,
    next_id: u64,
    asked: HashMap<AttemptId, Asked>,
}

struct Asked {
    service: ServiceName,
    asked_at: Time,
    deadline: Time,
}

enum Event {
    Tell(Input),
    Send { target: TargetName, connection: ConnectionId, job: Job, valid_until: Option<Time> },
    Cancel { target: TargetName, connection: ConnectionId, attempt: AttemptId },
    Done { target: TargetName, connection: ConnectionId, job: Job, incarnation: u64 },
}

impl World {
    /// `targets` warm targets with 3 slots of which a cold one bears 1.
    pub fn new(seed: u64, targets: usize, settings: PolicySettings) -> Self {
        base::invariant::panic_when_broken();
        let names = (0..targets).map(|i| TargetName::from(format!("t{i}")));
        let targets = names.map(|it| (it.clone(), ModelTarget::new(it))).collect();
        let mut world = World {
            now: Time::from_millis(1_000),
            core: OwnerCore::new(settings, seed),
            rng: SmallRng::seed_from_u64(seed),
            targets,
            parts: Vec::new(),
            served: Vec::new(),
            target_events: Vec::new(),
            is_domain_in: true,
            shares: HashMap::default(),
            opened: 0,
            send_delay: Duration::ZERO,
            leaving: Vec::new(),
            services: Vec::new(),
            events: BTreeMap::new(),
            next_id: 0,
            asked: HashMap::default(),
        };
        world.configure();
        let names = world.targets.keys().cloned().collect::<Vec<_>>();
        world.assign_all(names.into_iter().map(|it| (it, share(3))));
        world
    }

    pub fn set_services(&mut self, services: Vec<(ServiceName, u32)>) {
        self.services = services;
        self.configure();
    }

    pub fn set_domain(&mut self, is_in: bool) {
        self.is_domain_in = is_in;
        self.configure();
    }

    pub fn set_leaving(&mut self, target: &TargetName) {
        self.leaving.push(target.clone());
        self.configure();
    }

    pub fn assign_all(&mut self, shares: impl IntoIterator<Item = (TargetName, Share)>) {
        self.shares = shares.into_iter().collect();
        let shares = self.shares.iter().map(|(name, it)| (name.clone(), *it)).collect();
        self.tell(Input::Assign(shares));
    }

    /// Submits one subquery and returns its attempt.
    pub fn submit(
        &mut self,
        service: &ServiceName,
        target: &TargetName,
        time_left: Duration,
        is_idempotent: bool,
    ) -> AttemptId {
        self.next_id += 1;
        let attempt = AttemptId(u128::from(self.next_id));
        let deadline = self.now + time_left;
        let asked = Asked { service: service.clone(), asked_at: self.now, deadline };
        self.asked.insert(attempt, asked);
        let batch = Batch {
            request: RequestId(attempt.0),
            service: service.clone(),
            pool: "p".into(),
            snapshot: SNAPSHOT,
            time_left,
            is_idempotent,
            is_extra: false,
            fingerprint: 0,
            body: Arc::default(),
            subqueries: vec![Subquery { attempt, shard: ShardId(0), target: target.clone() }],
        };
        self.tell(Input::Submit { requester: RequesterId(self.next_id), batch });
        attempt
    }

    pub fn cancel(&mut self, attempt: AttemptId) {
        let request = RequestId(attempt.0);
        self.tell(Input::Cancel { request, attempts: vec![attempt] });
    }

    /// Another owner tells what it has proven of a target.
    pub fn learn(&mut self, target: &TargetName, incarnation: u64, limit: u32) {
        let status = TargetStatus {
            target: target.clone(),
            incarnation: Incarnation(incarnation),
            is_leaving: false,
            is_up: true,
            limit,
            in_flight: 0,
            wait: Duration::ZERO,
            snapshots: Vec::new(),
        };
        self.tell(Input::Learn(vec![status]));
    }

    /// Lets time pass, with ticks and everything that falls due.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let tick = (self.now + TICK).min(end);
            self.run_events_until(tick);
            self.now = tick;
            self.tell(Input::Tick);
        }
    }

    /// Passes time in which the owner's process stands still.
    pub fn pause(&mut self, time: Duration) {
        self.now += time;
        self.tell(Input::Tick);
    }

    /// Time of the next thing that is due.
    pub fn next_event(&self) -> Option<Time> {
        self.events.first_key_value().map(|(key, _)| key.0)
    }

    pub fn run_events_until(&mut self, end: Time) {
        while let Some(entry) = self.events.first_entry().filter(|it| it.key().0 <= end) {
            self.now = self.now.max(entry.key().0);
            let event = entry.remove();
            self.happen(event);
        }
    }

    pub fn tell(&mut self, input: Input) {
        let mut actions = Vec::new();
        self.core.handle(self.now, input, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    pub fn target(&mut self, name: &TargetName) -> &mut ModelTarget {
        self.targets.get_mut(name).unwrap()
    }

    pub fn unanswered(&self) -> usize {
        self.asked.len()
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Open { target, connection, .. } => self.open(target, connection),
            Action::Send { target, connection, job, valid_until } => {
                let event = Event::Send { target, connection, job, valid_until };
                self.later(self.send_delay, event);
            }
            Action::Probe { target, connection } => {
                let report = self.target(&target).report(connection);
                let result = report.map_or(ControlResult::Failed, ControlResult::Report);
                self.controlled(target, connection, result);
            }
            Action::CancelAttempt { target, connection, attempt } => {
                self.target(&target).cancellations += 1;
                let delay = Duration::from_millis(self.target(&target).cancel_ms);
                self.later(delay, Event::Cancel { target, connection, attempt });
            }
            Action::Close { target, connection } => self.target(&target).close(connection),
            Action::Reply { part, .. } => self.judge(part),
            Action::Emit { target, event } => self.target_events.push((target, event)),
        }
    }

    fn open(&mut self, target: TargetName, connection: ConnectionId) {
        self.opened += 1;
        let limit = self.shares[&target].connections as usize;
        let model = self.targets.get_mut(&target).unwrap();
        let report = model.open(connection);
        // A frozen target is noticed by a timeout, a dead one at once.
        let failure_ms = if model.is_frozen { 1_000 } else { 1 };
        assert!(model.connections() <= limit, "{target} has {} connections", model.connections());
        match report {
            Some(report) => {
                let delay = Duration::from_millis(self.rng.random_range(1..6));
                self.later(delay, Event::Tell(Input::Opened { target, connection, report }));
            }
            None => {
                let delay = Duration::from_millis(failure_ms);
                self.later(delay, Event::Tell(Input::OpenFailed { target, connection }));
            }
        }
    }

    fn controlled(&mut self, target: TargetName, connection: ConnectionId, result: ControlResult) {
        let is_failed = result == ControlResult::Failed;
        let delay = Duration::from_millis(if is_failed { 1_000 } else { 1 });
        self.later(delay, Event::Tell(Input::ControlFinished { target, connection, result }));
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tell(input) => self.tell(input),
            Event::Send { target, connection, job, valid_until } => {
                self.send(target, connection, job, valid_until);
            }
            Event::Cancel { target, connection, attempt } => {
                let model = self.targets.get_mut(&target).unwrap();
                let is_heard = model.report(connection).is_some();
                if is_heard {
                    model.cancel(attempt);
                }
                let result =
                    if is_heard { ControlResult::Cancelled } else { ControlResult::Failed };
                self.controlled(target, connection, result);
            }
            Event::Done { target, connection, job, incarnation } => {
                let now = self.now;
                let model = self.targets.get_mut(&target).unwrap();
                let result = model.finish(now, connection, &job, incarnation);
                let Some(result) = result else { return };
                let attempt = job.attempt;
                self.tell(Input::AttemptFinished { target, connection, attempt, result });
            }
        }
    }

    /// What the rim does right before the first byte, and what follows.
    fn send(
        &mut self,
        target: TargetName,
        connection: ConnectionId,
        job: Job,
        valid_until: Option<Time>,
    ) {
        let attempt = job.attempt;
        let not_sent = if valid_until.is_some_and(|it| self.now > it) {
            Some(NotSent::StaleLease)
        } else if self.now >= job.batch.deadline {
            Some(NotSent::DeadlinePassed)
        } else if !self.target(&target).is_open(connection) {
            Some(NotSent::ConnectionClosed)
        } else {
            None
        };
        if let Some(cause) = not_sent {
            let result = policy::owner::AttemptResult::NotSent(cause);
            let input = Input::AttemptFinished { target, connection, attempt, result };
            return self.later(Duration::ZERO, Event::Tell(input));
        }
        let now = self.now;
        let model = self.targets.get_mut(&target).unwrap();
        let incarnation = model.incarnation;
        let is_lost = model.lost_on_arrival(connection, &job);
        if is_lost {
            let result = policy::owner::AttemptResult::Lost;
            let input = Input::AttemptFinished { target, connection, attempt, result };
            return self.later(Duration::from_millis(1), Event::Tell(input));
        }
        let time = model.service_time(now, &mut self.rng, &job);
        self.later(time, Event::Done { target, connection, job, incarnation });
    }

    fn later(&mut self, delay: Duration, event: Event) {
        self.next_id += 1;
        self.events.insert((self.now + delay, self.next_id), event);
    }

    /// Checks a part against what was asked and what the target ran.
    fn judge(&mut self, part: Part) {
        let asked = self.asked.remove(&part.attempt);
        let asked = asked.expect("a second part for one subquery");
        let runs = self.targets.get(&part.target).map_or(0, |it| it.runs(part.attempt));
        match part.result {
            PartResult::Answer { snapshot, ref body } => {
                assert_eq!(snapshot, SNAPSHOT);
                assert_eq!(**body, part.attempt.0.to_be_bytes(), "another request's answer");
            }
            PartResult::Failed { outcome: Outcome::NotRun, missing } => {
                assert_eq!(runs, 0, "not run by {missing}, yet it ran");
            }
            PartResult::Failed { .. } => {}
        }
        assert!(runs <= 1, "an attempt ran {runs} times");
        let late = self.now.since(asked.deadline);
        // A pause delays the tick that notices the deadline, nothing else may.
        assert!(late <= Duration::from_secs(20), "the part came {late:?} late");
        let missing = match part.result {
            PartResult::Answer { .. } => None,
            PartResult::Failed { missing, .. } => Some(missing),
        };
        let latency = self.now.since(asked.asked_at);
        self.served.push(load::Served { service: asked.service, latency, missing });
        self.parts.push(part);
    }

    fn configure(&mut self) {
        let target = |it: &ModelTarget| {
            Arc::new(Target {
                name: it.name.clone(),
                pool: "p".into(),
                shard: ShardId(0),
                domain: DOMAIN.into(),
                address: ([127, 0, 0, 1], 9).into(),
                slots: it.slots,
                connections: 10,
                cold_slots: it.cold_slots,
                leaving: self.leaving.contains(&it.name),
            })
        };
        let pool = Pool {
            name: "p".into(),
            team: "team".into(),
            map: 1,
            shards: 1,
            targets: self.targets.values().map(target).collect(),
        };
        let state = if self.is_domain_in { DomainState::In } else { DomainState::Out };
        let domain = Domain { name: DOMAIN.into(), region: "r".into(), state };
        let services = self.services.iter().map(|(name, weight)| service(name, *weight));
        let services = services.collect::<Vec<_>>();
        let cfg = Configuration::new(Revision(1), services, [pool], [domain]);
        self.tell(Input::Configure(Arc::new(cfg)));
    }
}

pub fn share(slots: u32) -> Share {
    Share { slots, connections: 10, valid_until: None, starts_cold: false }
}

fn service(name: &ServiceName, weight: u32) -> Service {
    Service {
        name: name.clone(),
        team: "team".into(),
        pool: "p".into(),
        weight,
        deadline: Duration::from_millis(100),
        min_coverage: 1.0,
        prefer: Preference::Latency,
        max_in_flight: 256,
        max_body_bytes: 65_536,
        allows_non_idempotent: true,
    }
}
