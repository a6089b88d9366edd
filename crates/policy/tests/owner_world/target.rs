//! Model of a target: slots, warm-up, connections and faults.

use std::{sync::Arc, time::Duration};

use base::{AttemptId, HashMap, HashSet, Incarnation, Outcome, Snapshot, TargetName, Time};
use policy::owner::{AnswerHead, AttemptResult, ConnectionId, Job, LoadReport, RefusalKind};
use rand::{Rng, rngs::SmallRng};

use super::SNAPSHOT;

/// Answers after which a target that started cold is warm.
const WARM_ANSWERS: u32 = 50;
const SERVICE_TIME_MS: f64 = 10.0;
/// Factor by which a cold target is slower.
const COLD_FACTOR: f64 = 3.0;

/// Fault of the next answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    WrongId,
    WrongSnapshot,
    Truncated,
    Shed,
    /// Runs the attempt, but reports that another one did not run.
    CrossedRefusal,
    Lost,
    SnapshotGone,
}

pub struct ModelTarget {
    pub name: TargetName,
    pub slots: u32,
    pub cold_slots: u32,
    pub incarnation: u64,
    pub is_alive: bool,
    pub is_leaving: bool,
    /// Whether its reports come from the previous incarnation and state the
    /// opposite of `is_leaving`.
    pub reports_lag: bool,
    pub warm_up_answers: u32,
    /// Number of times that the target got more work than it can handle.
    pub overloads: u32,
    /// Arrivals after the owner learnt that the target is leaving or out.
    pub late_arrivals: u32,
    pub is_owner_informed: bool,
    pub fault: Option<Fault>,
    /// Whether it accepts connections and bytes but processes nothing.
    pub is_frozen: bool,
    /// Whether it never answers an attempt, although its reports look healthy.
    pub is_stuck: bool,
    /// Whether the connection of the next attempt falls silent.
    pub silence_next_connection: bool,
    pub cancelled: HashSet<AttemptId>,
    /// Time the target takes to cancel an attempt. If not 0, attempts also run
    /// past their deadlines.
    pub cancel_ms: u64,
    pub cancellations: u32,
    pub service_ms: f64,
    /// Service times of services that differ from `service_ms`.
    pub service_ms_of: HashMap<base::ServiceName, f64>,
    connections: HashMap<ConnectionId, Connection>,
    running: HashSet<AttemptId>,
    runs: HashMap<AttemptId, u32>,
}

struct Connection {
    is_silent: bool,
    incarnation: u64,
}

impl ModelTarget {
    pub fn new(name: TargetName) -> Self {
        ModelTarget {
            name,
            slots: 3,
            cold_slots: 1,
            incarnation: 1,
            is_alive: true,
            is_leaving: false,
            reports_lag: false,
            warm_up_answers: WARM_ANSWERS,
            overloads: 0,
            late_arrivals: 0,
            is_owner_informed: false,
            fault: None,
            is_frozen: false,
            is_stuck: false,
            silence_next_connection: false,
            cancelled: HashSet::default(),
            cancel_ms: 0,
            cancellations: 0,
            service_ms: SERVICE_TIME_MS,
            service_ms_of: HashMap::default(),
            connections: HashMap::default(),
            running: HashSet::default(),
            runs: HashMap::default(),
        }
    }

    pub fn crash(&mut self) {
        self.is_alive = false;
        self.running.clear();
    }

    /// Restarts the target as a cold incarnation.
    pub fn restart(&mut self) {
        self.crash();
        self.is_alive = true;
        self.is_leaving = false;
        self.is_owner_informed = false;
        self.reports_lag = false;
        self.incarnation += 1;
        self.warm_up_answers = 0;
    }

    /// Makes all open connections fall silent; new ones work.
    pub fn silence_connections(&mut self) {
        self.connections.values_mut().for_each(|it| it.is_silent = true);
    }

    /// Returns the number of concurrent attempts it handles without crashing.
    pub fn capacity(&self) -> u32 {
        if self.warm_up_answers >= WARM_ANSWERS {
            return self.slots;
        }
        self.cold_slots + (self.slots - self.cold_slots) * self.warm_up_answers / WARM_ANSWERS
    }

    /// Cancels an attempt.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.cancelled.insert(attempt);
        self.running.remove(&attempt);
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn runs(&self, attempt: AttemptId) -> u32 {
        self.runs.get(&attempt).copied().unwrap_or(0)
    }

    pub fn total_runs(&self) -> usize {
        self.runs.len()
    }

    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    pub fn open(&mut self, connection: ConnectionId) -> Option<LoadReport> {
        let entry = Connection { is_silent: false, incarnation: self.incarnation };
        self.connections.insert(connection, entry);
        self.report(connection)
    }

    pub fn close(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
    }

    /// Returns whether the peer of `connection` is the current incarnation.
    pub fn is_open(&self, connection: ConnectionId) -> bool {
        let entry = self.connections.get(&connection);
        self.is_alive && entry.is_some_and(|it| it.incarnation == self.incarnation)
    }

    pub fn report(&self, connection: ConnectionId) -> Option<LoadReport> {
        let is_silent = self.connections.get(&connection).is_none_or(|it| it.is_silent);
        if !self.is_open(connection) || is_silent || self.is_frozen {
            return None;
        }
        let lag = u64::from(self.reports_lag);
        Some(LoadReport {
            incarnation: Incarnation(self.incarnation - lag),
            is_leaving: self.is_leaving != self.reports_lag,
            is_healthy: true,
            snapshots: vec![SNAPSHOT],
        })
    }

    /// Starts an attempt. Returns whether that overloads and crashes the target.
    pub fn arrive(&mut self, connection: ConnectionId, job: &Job) -> bool {
        if std::mem::take(&mut self.silence_next_connection)
            && let Some(entry) = self.connections.get_mut(&connection)
        {
            entry.is_silent = true;
        }
        if self.is_frozen || self.connections.get(&connection).is_none_or(|it| it.is_silent) {
            return false;
        }
        self.late_arrivals += u32::from(self.is_owner_informed);
        *self.runs.entry(job.attempt).or_default() += 1;
        self.running.insert(job.attempt);
        let capacity = self.capacity();
        let is_overload = self.running.len() > capacity as usize;
        if is_overload {
            self.overloads += 1;
            self.crash();
        }
        is_overload
    }

    pub fn service_time(&self, now: Time, rng: &mut SmallRng, job: &Job) -> Duration {
        let cold = if self.warm_up_answers < WARM_ANSWERS { COLD_FACTOR } else { 1.0 };
        let mean = self.service_ms_of.get(&job.batch.service).unwrap_or(&self.service_ms);
        let wanted = mean * cold * -rng.random_range(f64::EPSILON..1.0).ln();
        // The target stops work at the deadline.
        let left = match self.cancel_ms {
            0 => job.batch.deadline.until(now),
            _ => Duration::MAX,
        };
        Duration::from_secs_f64(wanted / 1_000.0).min(left)
    }

    /// Ends an attempt and returns its result, or none if the connection is
    /// silent.
    pub fn finish(
        &mut self,
        now: Time,
        connection: ConnectionId,
        job: &Job,
        incarnation: u64,
    ) -> Option<AttemptResult> {
        let is_same = self.is_alive && incarnation == self.incarnation;
        if is_same && self.running.remove(&job.attempt) {
            self.warm_up_answers = self.warm_up_answers.saturating_add(1);
        }
        let entry = self.connections.get(&connection)?;
        if entry.is_silent || self.is_frozen || self.is_stuck {
            return None;
        }
        if !is_same {
            return Some(AttemptResult::Lost);
        }
        let mut head = self.head(job);
        if self.cancelled.remove(&job.attempt) {
            return Some(refusal(head, RefusalKind::Cancelled, Outcome::MayHaveRun));
        }
        if now >= job.batch.deadline {
            return Some(refusal(head, RefusalKind::DeadlinePassed, Outcome::MayHaveRun));
        }
        let body = Arc::from(job.attempt.0.to_be_bytes().as_slice());
        match self.fault.take() {
            None => {}
            Some(Fault::Truncated) => return Some(AttemptResult::Truncated),
            Some(Fault::Lost) => return Some(AttemptResult::Lost),
            Some(Fault::Shed) => {
                self.runs.remove(&job.attempt);
                return Some(refusal(head, RefusalKind::Shed, Outcome::NotRun));
            }
            Some(Fault::CrossedRefusal) => {
                head.attempt = Some(AttemptId(0));
                return Some(refusal(head, RefusalKind::Shed, Outcome::NotRun));
            }
            Some(Fault::SnapshotGone) => {
                self.runs.remove(&job.attempt);
                return Some(refusal(head, RefusalKind::SnapshotNotHeld, Outcome::NotRun));
            }
            Some(Fault::WrongId) => {
                head.attempt = Some(AttemptId(0));
                return Some(AttemptResult::Answer { head, body: Arc::default() });
            }
            Some(Fault::WrongSnapshot) => {
                head.snapshot = Some(Snapshot { map: 1, index: 4 });
                return Some(AttemptResult::Answer { head, body });
            }
        }
        Some(AttemptResult::Answer { head, body })
    }

    fn head(&self, job: &Job) -> AnswerHead {
        AnswerHead {
            attempt: Some(job.attempt),
            shard: Some(job.shard),
            snapshot: Some(SNAPSHOT),
            incarnation: Some(Incarnation(self.incarnation)),
            is_leaving: self.is_leaving,
            snapshots: Some(vec![SNAPSHOT]),
        }
    }
}

fn refusal(head: AnswerHead, kind: RefusalKind, outcome: Outcome) -> AttemptResult {
    AttemptResult::Refusal { head, kind, outcome: Some(outcome) }
}
