//! A fleet as plain data: each target answers, fails or stays silent as told.

#![allow(dead_code, reason = "each test file uses its own part of the fleet")]

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{
    AttemptId, DomainName, HashMap, HashSet, HostName, Incarnation, Missing, Outcome, PoolName,
    RequestId, Revision, ShardId, Snapshot, TargetName, Time,
};
use documents::{Configuration, Pool, Preference, Service, Target};
use entry::{
    EntryBuilder, EntryCx,
    interfaces::{HostView, LinkError, Owners, Route, State},
};
use policy::message::{Batch, Part, PartResult, Redemption, RedemptionReply, TargetStatus};
use tokio::sync::mpsc;

pub const INDEX: Snapshot = Snapshot { map: 1, index: 5 };

/// What a target does with a subquery.
#[derive(Clone, Debug, PartialEq)]
pub enum Behaviour {
    Answer,
    AnswerAfter(Duration),
    AnswerFrom(Snapshot),
    AnswerTwice,
    /// Echoes the shard after its own.
    WrongShard,
    Fail(Missing, Outcome),
    Silent,
}

#[derive(Clone)]
pub struct Fleet(Arc<Mutex<Data>>);

pub struct Data {
    pub host: HostName,
    pub configuration: Arc<Configuration>,
    pub not_ready: Option<String>,
    pub behaviours: HashMap<TargetName, Behaviour>,
    pub held: HashMap<TargetName, Vec<Snapshot>>,
    pub leaving: HashSet<TargetName>,
    pub unreachable: HashSet<HostName>,
    /// Hosts that never answer a question for status.
    pub hanging: HashSet<HostName>,
    /// Each subquery that reached a target: owner, target, idempotent.
    pub runs: Vec<(HostName, TargetName, bool)>,
    pub cancelled: Vec<AttemptId>,
    pub minters: HashMap<HostName, EntryCx<Fleet, Fleet>>,
    /// Whether answers of minters get lost on their way back.
    pub loses_replies: bool,
    started: tokio::time::Instant,
    host_name: &'static HostName,
    domain_name: &'static DomainName,
}

pub struct Shape {
    pub map: u32,
    pub shards: u32,
    pub domains: Vec<&'static str>,
    pub service: Service,
}

impl Default for Shape {
    fn default() -> Self {
        Shape { map: 1, shards: 2, domains: vec!["a", "b", "c"], service: service() }
    }
}

pub fn service() -> Service {
    Service {
        name: "planeador-01".into(),
        team: "planeacion".into(),
        pool: "planeador".into(),
        weight: 1,
        deadline: Duration::from_millis(200),
        min_coverage: 1.0,
        prefer: Preference::Latency,
        max_in_flight: 64,
        max_body_bytes: 1024,
        allows_non_idempotent: true,
    }
}

pub fn configuration(shape: &Shape) -> Configuration {
    let mut targets = Vec::new();
    for shard in 0..shape.shards {
        for domain in &shape.domains {
            targets.push(Arc::new(Target {
                name: target(shard, domain),
                pool: shape.service.pool.clone(),
                shard: ShardId(shard),
                domain: (*domain).into(),
                address: ([127, 0, 0, 1], 9).into(),
                slots: 3,
                connections: 30,
                cold_slots: 1,
                leaving: false,
            }));
        }
    }
    let pool = Pool {
        name: shape.service.pool.clone(),
        team: "planeacion".into(),
        map: shape.map,
        shards: shape.shards,
        targets,
    };
    Configuration::new(Revision(1), [shape.service.clone()], [pool], [])
}

/// Targets are named `SHARD-DOMAIN`, their owners `DOMAIN-1` and `DOMAIN-2`.
pub fn target(shard: u32, domain: &str) -> TargetName {
    format!("{shard}-{domain}").into()
}

impl Fleet {
    pub fn new(shape: &Shape) -> Self {
        Fleet::for_host(shape, "a-1", "a")
    }

    pub fn for_host(shape: &Shape, host: &str, domain: &str) -> Self {
        let configuration = configuration(shape);
        let held = configuration.targets().map(|it| (it.name.clone(), vec![INDEX])).collect();
        Fleet(Arc::new(Mutex::new(Data {
            host: host.into(),
            configuration: Arc::new(configuration),
            not_ready: None,
            behaviours: HashMap::default(),
            held,
            leaving: HashSet::default(),
            unreachable: HashSet::default(),
            hanging: HashSet::default(),
            runs: Vec::new(),
            cancelled: Vec::new(),
            minters: HashMap::default(),
            loses_replies: false,
            started: tokio::time::Instant::now(),
            host_name: Box::leak(Box::new(host.into())),
            domain_name: Box::leak(Box::new(domain.into())),
        })))
    }

    pub fn entry(&self) -> EntryCx<Fleet, Fleet> {
        self.entry_builder().build()
    }

    pub fn entry_builder(&self) -> EntryBuilder<Fleet, Fleet> {
        let metrics = telemetry::Metrics::new().unwrap();
        EntryBuilder::new(self.clone(), self.clone(), metrics)
    }

    pub fn with<T>(&self, f: impl FnOnce(&mut Data) -> T) -> T {
        f(&mut self.0.lock().unwrap())
    }

    pub fn set(&self, target: TargetName, behaviour: Behaviour) {
        self.with(|it| it.behaviours.insert(target, behaviour));
    }

    pub fn runs_of(&self, target: &TargetName) -> usize {
        self.with(|it| it.runs.iter().filter(|it| it.1 == *target).count())
    }
}

impl Data {
    fn status(&self, target: &TargetName) -> TargetStatus {
        TargetStatus {
            target: target.clone(),
            incarnation: Incarnation(1),
            is_leaving: self.leaving.contains(target),
            is_up: true,
            limit: 3,
            in_flight: 0,
            wait: Duration::ZERO,
            snapshots: self.held.get(target).cloned().unwrap_or_default(),
        }
    }
}

impl State for Fleet {
    fn now(&self) -> Time {
        let started = self.with(|it| it.started);
        Time::from_micros(1) + started.elapsed()
    }

    fn host(&self) -> &HostName {
        self.with(|it| it.host_name)
    }

    fn domain(&self) -> &DomainName {
        self.with(|it| it.domain_name)
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation(7)
    }

    fn configuration(&self) -> Arc<Configuration> {
        self.with(|it| Arc::clone(&it.configuration))
    }

    fn not_ready(&self) -> Option<String> {
        self.with(|it| it.not_ready.clone())
    }

    fn hosts(&self) -> Vec<HostView> {
        Vec::new()
    }

    fn findings(&self) -> Vec<String> {
        Vec::new()
    }

    fn route(&self, target: &TargetName) -> Option<Route> {
        let domain = self.with(|it| it.configuration.target(target).map(|it| it.domain.clone()))?;
        let primary = format!("{domain}-1").into();
        Some(Route { primary, standby: Some(format!("{domain}-2").into()) })
    }
}

impl Owners for Fleet {
    fn run(&self, owner: &HostName, batch: Batch, parts: mpsc::Sender<Part>) {
        for subquery in &batch.subqueries {
            let fleet = self.clone();
            let (owner, batch, subquery) = (owner.clone(), batch.clone(), subquery.clone());
            let parts = parts.clone();
            tokio::spawn(async move {
                let is_unreachable = fleet.with(|it| it.unreachable.contains(&owner));
                let mut behaviour = fleet.with(|it| {
                    it.behaviours.get(&subquery.target).cloned().unwrap_or(Behaviour::Answer)
                });
                if is_unreachable {
                    behaviour = Behaviour::Fail(Missing::OwnerUnreachable, Outcome::NotRun);
                } else {
                    let holds = fleet.with(|it| {
                        it.held.get(&subquery.target).is_some_and(|it| it.contains(&batch.snapshot))
                    });
                    if !holds {
                        behaviour = Behaviour::Fail(Missing::WrongSnapshot, Outcome::NotRun);
                    }
                    let run = (owner, subquery.target.clone(), batch.is_idempotent);
                    fleet.with(|it| it.runs.push(run));
                }
                let status = fleet.with(|it| it.status(&subquery.target));
                let body: Arc<[u8]> = format!("shard {}", subquery.shard).into_bytes().into();
                let answer = PartResult::Answer { snapshot: batch.snapshot, body: body.clone() };
                let mut part = Part {
                    attempt: subquery.attempt,
                    shard: subquery.shard,
                    target: subquery.target.clone(),
                    result: answer,
                    queued: Duration::ZERO,
                    service_time: Duration::from_millis(1),
                    status: (!is_unreachable).then_some(status),
                };
                match behaviour {
                    Behaviour::Answer => (),
                    Behaviour::AnswerAfter(delay) => tokio::time::sleep(delay).await,
                    Behaviour::AnswerFrom(snapshot) => {
                        part.result = PartResult::Answer { snapshot, body };
                    }
                    Behaviour::AnswerTwice => {
                        let _ = parts.send(part.clone()).await;
                    }
                    Behaviour::WrongShard => part.shard.0 += 1,
                    Behaviour::Fail(missing, outcome) => {
                        part.result = PartResult::Failed { missing, outcome };
                    }
                    Behaviour::Silent => std::future::pending().await,
                }
                let _ = parts.send(part).await;
            });
        }
    }

    fn cancel(&self, _owner: &HostName, _request: RequestId, attempts: Vec<AttemptId>) {
        self.with(|it| it.cancelled.extend(attempts));
    }

    async fn status(&self, owner: &HostName, _pool: &PoolName) -> Vec<TargetStatus> {
        if self.with(|it| it.hanging.contains(owner)) {
            std::future::pending::<()>().await;
        }
        self.with(|it| {
            if it.unreachable.contains(owner) {
                return Vec::new();
            }
            let domain = owner.split('-').next().unwrap_or_default().to_owned();
            let targets = it.configuration.targets().filter(|it| *it.domain == *domain);
            targets.map(|target| it.status(&target.name)).collect()
        })
    }

    async fn redeem(
        &self,
        minter: &HostName,
        redemption: Redemption,
    ) -> Result<RedemptionReply, LinkError> {
        let minter = self.with(|it| it.minters.get(minter).cloned()).ok_or(LinkError::NotSent)?;
        let redeemed = entry::redeem(&minter, redemption).await;
        let is_lost = self.with(|it| it.loses_replies);
        if is_lost { Err(LinkError::NoAnswer) } else { Ok(redeemed) }
    }
}
