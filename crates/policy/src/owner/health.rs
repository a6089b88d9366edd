//! What is believed of one target: its incarnation, whether it is leaving,
//! whether it is up, and which snapshots it holds.
//!
//! A sign that the target is leaving sticks to the incarnation it came with;
//! only a higher incarnation lifts it, so a report that lags cannot. Reports
//! lower trust and never raise it: a target is up because a connection
//! opened or an answer came, not because a report says so.

use std::time::Duration;

use base::{Incarnation, Snapshot, Time};
use rand::Rng;

use super::input::{AnswerHead, LoadReport};

/// First wait before a target that is down is probed; doubles up to the longest.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(2);
/// Jitter of probes, as a part of the interval.
const PROBE_JITTER: f64 = 0.25;
/// An answer's list of snapshots outweighs reports for so long.
const ANSWER_FRESH: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, Default)]
pub struct Health {
    incarnation: Incarnation,
    is_leaving: bool,
    is_healthy: bool,
    state: State,
    /// A connection was lost with work in flight, and nothing since has shown
    /// that the target lives: nothing more is sent.
    is_doubted: bool,
    snapshots: Vec<Snapshot>,
    answered_at: Option<Time>,
    told_at: Option<Time>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// No connection has opened yet.
    #[default]
    Unknown,
    Up,
    Down {
        failures: u32,
        probe_at: Time,
    },
}

/// What an observation changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthChange {
    pub is_new_incarnation: bool,
    pub is_now_leaving: bool,
    pub is_now_up: bool,
    pub is_now_unhealthy: bool,
}

impl Health {
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    pub fn is_up(&self) -> bool {
        self.state == State::Up
    }

    pub fn is_down(&self) -> bool {
        matches!(self.state, State::Down { .. })
    }

    pub fn is_doubted(&self) -> bool {
        self.is_doubted
    }

    pub fn snapshots(&self) -> &[Snapshot] {
        &self.snapshots
    }

    /// Whether a connection may be tried now.
    pub fn may_probe(&self, now: Time) -> bool {
        match self.state {
            State::Unknown | State::Up => true,
            State::Down { probe_at, .. } => now >= probe_at,
        }
    }

    /// Time since the target last told anything of itself.
    pub fn silence(&self, now: Time) -> Option<Duration> {
        self.told_at.map(|it| now.since(it))
    }

    /// Something came back over a connection, so the target lives.
    pub fn observe_alive(&mut self) {
        self.is_doubted = false;
    }

    /// A connection opened and carried a report.
    pub fn observe_opened(&mut self, now: Time, report: &LoadReport) -> HealthChange {
        let is_now_up = !self.is_up();
        self.state = State::Up;
        self.is_doubted = false;
        HealthChange { is_now_up, ..self.observe_report(now, report) }
    }

    pub fn observe_report(&mut self, now: Time, report: &LoadReport) -> HealthChange {
        self.told_at = Some(now);
        if report.incarnation < self.incarnation {
            return HealthChange::default();
        }
        let is_new_incarnation = self.meet(report.incarnation);
        let is_answer_fresh = self.answered_at.is_some_and(|it| now.since(it) < ANSWER_FRESH);
        if is_new_incarnation || !is_answer_fresh {
            self.snapshots.clone_from(&report.snapshots);
        }
        let is_now_unhealthy = self.is_healthy && !report.is_healthy;
        self.is_healthy = report.is_healthy;
        let is_now_leaving = report.is_leaving && !self.is_leaving;
        self.is_leaving |= report.is_leaving;
        HealthChange { is_new_incarnation, is_now_leaving, is_now_unhealthy, is_now_up: false }
    }

    /// An answer or a refusal came whose attempt was checked.
    pub fn observe_answer(&mut self, now: Time, head: &AnswerHead) -> HealthChange {
        self.told_at = Some(now);
        let incarnation = head.incarnation.unwrap_or(self.incarnation);
        if incarnation < self.incarnation {
            return HealthChange::default();
        }
        self.is_doubted = false;
        self.answered_at = Some(now);
        let is_new_incarnation = self.meet(incarnation);
        if let Some(snapshots) = &head.snapshots
            && *snapshots != self.snapshots
        {
            self.snapshots.clone_from(snapshots);
        }
        let is_now_leaving = head.is_leaving && !self.is_leaving;
        self.is_leaving |= head.is_leaving;
        HealthChange { is_new_incarnation, is_now_leaving, ..HealthChange::default() }
    }

    /// A connection ended or fell silent while it was needed.
    pub fn observe_doubt(&mut self) {
        self.is_doubted = true;
    }

    /// No connection is open and none could be opened. Returns whether the
    /// target was not yet known to be down.
    pub fn observe_unreachable(&mut self, now: Time, rng: &mut impl Rng) -> bool {
        let failures = match self.state {
            State::Unknown | State::Up => 0,
            State::Down { failures, .. } => failures + 1,
        };
        let interval = PROBE_INTERVAL * 2u32.saturating_pow(failures.min(16));
        let interval = interval.min(PROBE_INTERVAL_MAX);
        let probe_at = now + interval.mul_f64(1.0 + rng.random_range(-PROBE_JITTER..PROBE_JITTER));
        let was_down = self.is_down();
        self.state = State::Down { failures, probe_at };
        !was_down
    }

    /// Takes over a higher incarnation. Returns whether that replaces one
    /// that was known before.
    fn meet(&mut self, incarnation: Incarnation) -> bool {
        if incarnation == self.incarnation {
            return false;
        }
        let was_known = self.incarnation != Incarnation::default();
        self.incarnation = incarnation;
        self.is_leaving = false;
        self.is_healthy = true;
        was_known
    }
}
