//! Queue of one target, shared fairly between services by slot time.
//!
//! The queue uses deficit round robin. A service's turn adds a quantum of slot
//! time to its deficit counter and lasts while the counter is positive; the
//! last job of a turn may overdraw it, which shortens the next turn. The cost
//! of a job is estimated when the job leaves the queue and corrected when it
//! ends.
//!
//! An idle service keeps no credit, and no slot stays free while any service
//! waits. A service whose queue was empty has its first turn before those with
//! a backlog, so that a service that uses less than its share hardly waits for
//! one that uses more. After that turn it queues behind them. First come, first
//! served is the same queue with one flow for all services.

use std::{collections::VecDeque, time::Duration};

use base::{AttemptId, HashMap, ServiceName, Time, always};
use documents::model::FairTurns;

use super::action::Job;

/// Assumed cost of a job before any has finished.
const INITIAL_COST: Duration = Duration::from_millis(5);
/// Smallest quantum, so that turns advance whatever the estimate is.
const MIN_QUANTUM_US: i64 = 100;
/// Upper bound of a job's cost and of a flow's debt, in quanta.
const MAX_QUANTA: i64 = 16;
/// Weight of a new observation in the moving average of the cost.
const COST_GAIN: f64 = 1.0 / 8.0;

#[derive(Clone, Debug)]
pub struct FairQueue {
    policy: FairTurns,
    flows: HashMap<ServiceName, Flow>,
    /// Flows in their first turn since they were empty; served before
    /// `old_flows`.
    new_flows: VecDeque<ServiceName>,
    /// The other flows with jobs, in the order of their turns. A flow that came
    /// from `new_flows` and ran empty stays until its turn, so that it cannot
    /// be new again before the flows with a backlog are served.
    old_flows: VecDeque<ServiceName>,
    /// Key of the only flow under first come, first served.
    shared_flow: ServiceName,
    len: usize,
    /// Mean cost of a job over all services, and the quantum of a turn.
    quantum_us: f64,
}

#[derive(Clone, Debug)]
struct Flow {
    jobs: VecDeque<Job>,
    weight: i64,
    deficit_us: i64,
    cost_us: f64,
    has_turn: bool,
    /// Whether the flow is in `new_flows` or `old_flows`.
    is_listed: bool,
}

impl FairQueue {
    pub fn new(policy: FairTurns) -> Self {
        FairQueue {
            policy,
            flows: HashMap::default(),
            new_flows: VecDeque::new(),
            old_flows: VecDeque::new(),
            shared_flow: ServiceName::new("all"),
            len: 0,
            quantum_us: INITIAL_COST.as_micros() as f64,
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn push(&mut self, job: Job) {
        let key = self.flow_key(&job);
        let flow = self.activate(&key, &job);
        flow.jobs.push_back(job);
        self.len += 1;
    }

    /// Puts a popped job back at the front and refunds its charge.
    pub fn push_front(&mut self, job: Job) {
        let key = self.flow_key(&job);
        let flow = self.activate(&key, &job);
        flow.deficit_us += micros(job.charged);
        flow.jobs.push_front(job);
        self.len += 1;
    }

    /// Removes and returns the job whose turn it is.
    pub fn pop(&mut self) -> Option<Job> {
        while self.len > 0 {
            let job = match self.new_flows.pop_front() {
                Some(key) => self.take_from_new(key),
                None => {
                    let key = self.old_flows.pop_front()?;
                    self.take_from_old(key)
                }
            };
            if job.is_some() {
                self.len -= 1;
                return job;
            }
        }
        None
    }

    fn take_from_new(&mut self, key: ServiceName) -> Option<Job> {
        let quantum = self.quantum();
        let flow = self.flows.get_mut(&key)?;
        let job = flow.pop(quantum);
        let turn_continues = job.is_some() && !flow.jobs.is_empty();
        if turn_continues {
            self.new_flows.push_front(key);
        } else {
            flow.end_turn();
            self.old_flows.push_back(key);
        }
        job
    }

    fn take_from_old(&mut self, key: ServiceName) -> Option<Job> {
        let quantum = self.quantum();
        let flow = self.flows.get_mut(&key)?;
        let job = flow.pop(quantum);
        if flow.jobs.is_empty() {
            flow.end_turn();
            flow.is_listed = false;
        } else if job.is_some() {
            self.old_flows.push_front(key);
        } else {
            flow.has_turn = false;
            self.old_flows.push_back(key);
        }
        job
    }

    /// Corrects the charge of a job that used a slot for the time `used`.
    pub fn settle_cost(&mut self, job: &Job, used: Duration) {
        let quantum = self.quantum();
        let key = if self.is_shared() { &self.shared_flow } else { &job.batch.service };
        let Some(flow) = self.flows.get_mut(key) else { return };
        flow.charge(micros(used) - micros(job.charged), quantum);
    }

    /// Records the service time of a job for the expected cost of later ones.
    pub fn record_cost(&mut self, job: &Job, service_time: Duration) {
        let time_us = service_time.as_micros() as f64;
        self.quantum_us += COST_GAIN * (time_us - self.quantum_us);
        let key = if self.is_shared() { &self.shared_flow } else { &job.batch.service };
        let Some(flow) = self.flows.get_mut(key) else { return };
        flow.cost_us += COST_GAIN * (time_us - flow.cost_us);
    }

    /// Removes and returns the jobs whose deadline has passed.
    pub fn take_expired(&mut self, now: Time) -> Vec<Job> {
        self.take_where(|job| job.batch.deadline <= now)
    }

    pub fn remove(&mut self, attempt: AttemptId) -> Option<Job> {
        self.take_where(|job| job.attempt == attempt).pop()
    }

    pub fn take_all(&mut self) -> Vec<Job> {
        self.take_where(|_| true)
    }

    /// Drops the flows without jobs whose service `keep` rejects.
    pub fn prune(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.flows.retain(|name, flow| !flow.jobs.is_empty() || keep(name));
        self.new_flows.retain(|it| self.flows.contains_key(it));
        self.old_flows.retain(|it| self.flows.contains_key(it));
    }

    /// Returns the expected slot time served before a new job of `service`.
    pub fn work_ahead(&self, service: &ServiceName, weight: u32) -> Duration {
        if self.is_shared() {
            return self.work();
        }
        let own = self.flows.get(service).map_or(0.0, Flow::work_us);
        let cost = self.cost(service).as_micros() as f64;
        let turns = (own + cost) / f64::from(weight.max(1));
        let is_new = self.flows.get(service).is_none_or(|it| !it.is_listed);
        let backlogged = self.old_flows.iter().filter(|_| !is_new);
        let others = self.new_flows.iter().chain(backlogged).filter(|it| *it != service);
        let ahead = others
            .filter_map(|it| self.flows.get(it))
            .map(|it| it.work_us().min(turns * it.weight as f64))
            .sum::<f64>();
        Duration::from_micros((own + ahead) as u64)
    }

    /// Returns the expected slot time served before a job of a service that has
    /// none queued.
    pub fn work_ahead_of_new_flow(&self) -> Duration {
        if self.is_shared() {
            return self.work();
        }
        let flows = self.new_flows.iter().filter_map(|it| self.flows.get(it));
        let ahead = flows.map(|it| it.work_us().min(self.quantum_us * it.weight as f64));
        Duration::from_micros(ahead.sum::<f64>() as u64)
    }

    /// Returns the expected slot time of all queued jobs.
    pub fn work(&self) -> Duration {
        let work = self.flows.values().map(Flow::work_us).sum::<f64>();
        Duration::from_micros(work as u64)
    }

    /// Returns the expected slot time of a job of `service`.
    pub fn cost(&self, service: &ServiceName) -> Duration {
        let key = if self.is_shared() { &self.shared_flow } else { service };
        let cost = self.flows.get(key).map_or(self.quantum_us, |it| it.cost_us);
        Duration::from_micros(cost as u64)
    }

    /// Returns the expected slot time of a job of any service.
    pub fn mean_cost(&self) -> Duration {
        Duration::from_micros(self.quantum_us as u64)
    }

    fn is_shared(&self) -> bool {
        self.policy == FairTurns::FirstComeFirstServed
    }

    fn flow_key(&self, job: &Job) -> ServiceName {
        if self.is_shared() { self.shared_flow.clone() } else { job.batch.service.clone() }
    }

    fn quantum(&self) -> i64 {
        (self.quantum_us as i64).max(MIN_QUANTUM_US)
    }

    fn activate(&mut self, key: &ServiceName, job: &Job) -> &mut Flow {
        let cost_us = self.quantum_us;
        let flow = self.flows.entry(key.clone()).or_insert_with(|| Flow::new(cost_us));
        flow.weight = i64::from(job.batch.weight.max(1));
        if !flow.is_listed {
            flow.is_listed = true;
            self.new_flows.push_back(key.clone());
        }
        flow
    }

    fn take_where(&mut self, mut wanted: impl FnMut(&Job) -> bool) -> Vec<Job> {
        let mut taken = Vec::new();
        if self.len == 0 {
            return taken;
        }
        for flow in self.flows.values_mut() {
            if !flow.jobs.iter().any(&mut wanted) {
                continue;
            }
            let jobs = std::mem::take(&mut flow.jobs);
            let (out, kept) = jobs.into_iter().partition::<VecDeque<_>, _>(&mut wanted);
            flow.jobs = kept;
            taken.extend(out);
        }
        self.len -= taken.len();
        taken
    }
}

impl Flow {
    fn new(cost_us: f64) -> Self {
        Flow {
            jobs: VecDeque::new(),
            weight: 1,
            deficit_us: 0,
            cost_us,
            has_turn: false,
            is_listed: false,
        }
    }

    /// Ends the flow's turn. A flow without jobs loses its credit but keeps its
    /// debt.
    fn end_turn(&mut self) {
        self.has_turn = false;
        if self.jobs.is_empty() {
            self.deficit_us = self.deficit_us.min(0);
        }
    }

    /// Removes and returns the next job, unless there is none or the turn is
    /// over.
    fn pop(&mut self, quantum: i64) -> Option<Job> {
        if self.jobs.is_empty() {
            return None;
        }
        if !self.has_turn {
            self.has_turn = true;
            let ceiling = quantum * (self.weight + MAX_QUANTA);
            self.deficit_us = (self.deficit_us + quantum * self.weight).min(ceiling);
        }
        let cost = self.cost(quantum);
        if self.deficit_us <= 0 {
            return None;
        }
        let mut job = self.jobs.pop_front()?;
        job.charged = Duration::from_micros(cost.unsigned_abs());
        self.deficit_us -= cost;
        always!(
            self.deficit_us <= quantum * (self.weight + MAX_QUANTA),
            "owner-queue-credit-bounded",
            "{} us of credit at a quantum of {quantum} us",
            self.deficit_us
        );
        Some(job)
    }

    /// Subtracts `cost_us` from the deficit counter, within the bounds of debt
    /// and credit. Does nothing for a flow without jobs.
    fn charge(&mut self, cost_us: i64, quantum: i64) {
        if self.jobs.is_empty() {
            return;
        }
        let bound = MAX_QUANTA * quantum;
        self.deficit_us = (self.deficit_us - cost_us).clamp(-bound, quantum * self.weight);
    }

    fn cost(&self, quantum: i64) -> i64 {
        (self.cost_us as i64).clamp(1, MAX_QUANTA * quantum)
    }

    fn work_us(&self) -> f64 {
        self.jobs.len() as f64 * self.cost_us
    }
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
