//! A model target: slots, warmth, connections, and the ways in which it
//! fails.

use std::{sync::Arc, time::Duration};

use base::{AttemptId, HashMap, HashSet, Incarnation, Outcome, Snapshot, TargetName, Time};
use policy::owner::{AnswerHead, AttemptResult, ConnectionId, Job, LoadReport, RefusalKind};
use rand::{Rng, rngs::SmallRng};

use super::SNAPSHOT;

/// Answers after which a target that started cold is warm.
const WARM_ANSWERS: u32 = 50;
const SERVICE_TIME_MS: f64 = 10.0;
/// How much slower a cold target is.
const COLD_FACTOR: f64 = 3.0;

/// What goes wrong with the next answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    WrongId,
    WrongSnapshot,
    Truncated,
    Shed,
    /// Runs the attempt and says that another one did not run.
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
    /// Its reports claim the opposite of `is_leaving`, from the incarnation
    /// before.
    pub reports_lag: bool,
    pub warmth: u32,
    /// Times that a cold target got more than it bears.
    pub overloads: u32,
    /// Arrivals since the owner was told that the target is leaving or out.
    pub arrivals_after_told: u32,
    pub is_told: bool,
    pub fault: Option<Fault>,
    /// Takes connections and bytes, and does nothing with them.
    pub is_frozen: bool,
    /// Never answers an attempt, while its reports look well.
    pub is_stuck: bool,
    /// The connection of the next attempt goes silent.
    pub silence_next: bool,
    pub cancelled: HashSet<AttemptId>,
    /// Takes so long to give an attempt up, and runs past its deadline.
    pub cancel_ms: u64,
    pub cancellations: u32,
    pub service_ms: f64,
    /// Service times of single services, where they differ.
    pub service_ms_of: HashMap<base::ServiceName, f64>,
    connections: HashMap<ConnectionId, Link>,
    running: HashSet<AttemptId>,
    runs: HashMap<AttemptId, u32>,
}

struct Link {
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
            warmth: WARM_ANSWERS,
            overloads: 0,
            arrivals_after_told: 0,
            is_told: false,
            fault: None,
            is_frozen: false,
            is_stuck: false,
            silence_next: false,
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

    /// Starts again, cold.
    pub fn restart(&mut self) {
        self.crash();
        self.is_alive = true;
        self.is_leaving = false;
        self.is_told = false;
        self.reports_lag = false;
        self.incarnation += 1;
        self.warmth = 0;
    }

    /// All connections now open go silent; new ones work.
    pub fn silence(&mut self) {
        self.connections.values_mut().for_each(|it| it.is_silent = true);
    }

    /// Attempts at once that it bears without falling over.
    pub fn bears(&self) -> u32 {
        if self.warmth >= WARM_ANSWERS {
            return self.slots;
        }
        self.cold_slots + (self.slots - self.cold_slots) * self.warmth / WARM_ANSWERS
    }

    /// Gives an attempt up.
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
        let link = Link { is_silent: false, incarnation: self.incarnation };
        self.connections.insert(connection, link);
        self.report(connection)
    }

    pub fn close(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
    }

    /// Whether the peer of `connection` still is this incarnation.
    pub fn is_open(&self, connection: ConnectionId) -> bool {
        let link = self.connections.get(&connection);
        self.is_alive && link.is_some_and(|it| it.incarnation == self.incarnation)
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

    /// Takes in an attempt. Returns whether the target falls over under it.
    pub fn lost_on_arrival(&mut self, connection: ConnectionId, job: &Job) -> bool {
        if std::mem::take(&mut self.silence_next)
            && let Some(link) = self.connections.get_mut(&connection)
        {
            link.is_silent = true;
        }
        if self.is_frozen || self.connections.get(&connection).is_none_or(|it| it.is_silent) {
            return false;
        }
        self.arrivals_after_told += u32::from(self.is_told);
        *self.runs.entry(job.attempt).or_default() += 1;
        self.running.insert(job.attempt);
        let bears = self.bears();
        let is_overload = self.running.len() > bears as usize;
        if is_overload {
            self.overloads += 1;
            self.crash();
        }
        is_overload
    }

    pub fn service_time(&self, now: Time, rng: &mut SmallRng, job: &Job) -> Duration {
        let cold = if self.warmth < WARM_ANSWERS { COLD_FACTOR } else { 1.0 };
        let mean = self.service_ms_of.get(&job.batch.service).unwrap_or(&self.service_ms);
        let wanted = mean * cold * -rng.random_range(f64::EPSILON..1.0).ln();
        // The target gives up at the deadline.
        let left = match self.cancel_ms {
            0 => job.batch.deadline.until(now),
            _ => Duration::MAX,
        };
        Duration::from_secs_f64(wanted / 1_000.0).min(left)
    }

    /// What comes back of an attempt whose time is over; none if silent.
    pub fn finish(
        &mut self,
        now: Time,
        connection: ConnectionId,
        job: &Job,
        incarnation: u64,
    ) -> Option<AttemptResult> {
        let is_same = self.is_alive && incarnation == self.incarnation;
        if is_same && self.running.remove(&job.attempt) {
            self.warmth = self.warmth.saturating_add(1);
        }
        let link = self.connections.get(&connection)?;
        if link.is_silent || self.is_frozen || self.is_stuck {
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
