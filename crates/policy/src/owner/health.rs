//! Observed state of one target: its incarnation, whether it is leaving,
//! whether it is up, and which snapshots it holds.
//!
//! A sign that the target is leaving holds for its incarnation; only a higher
//! incarnation clears it, so that an outdated report cannot. A target is up
//! because a connection to it opened, never because a report says so.

use std::time::Duration;

use base::{Incarnation, Snapshot, Time};
use rand::Rng;

use super::input::{AnswerHead, LoadReport};

/// Time before a target that is down is probed. Doubles up to
/// `PROBE_BACKOFF_MAX`.
const PROBE_BACKOFF: Duration = Duration::from_millis(200);
const PROBE_BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Jitter of probes, as a fraction of the backoff.
const PROBE_JITTER: f64 = 0.25;
/// Time after an answer during which reports of the same incarnation do not
/// change the list of snapshots, since they may be older than the answer.
const ANSWER_MAX_AGE: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, Default)]
pub struct Health {
    incarnation: Incarnation,
    is_leaving: bool,
    is_healthy: bool,
    reachability: Reachability,
    /// Whether a connection ended or fell silent while it was needed, and
    /// nothing received since shows that the target is alive. No job is sent to
    /// a suspect target.
    is_suspect: bool,
    snapshots: Vec<Snapshot>,
    answered_at: Option<Time>,
    reported_at: Option<Time>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Reachability {
    /// No connection has been opened yet.
    #[default]
    Unknown,
    Up,
    Down {
        failures: u32,
        probe_at: Time,
    },
}

/// Changes made by an observation.
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
        self.reachability == Reachability::Up
    }

    pub fn is_down(&self) -> bool {
        matches!(self.reachability, Reachability::Down { .. })
    }

    pub fn is_suspect(&self) -> bool {
        self.is_suspect
    }

    pub fn snapshots(&self) -> &[Snapshot] {
        &self.snapshots
    }

    /// Returns whether a connection may be opened now.
    pub fn can_probe(&self, now: Time) -> bool {
        match self.reachability {
            Reachability::Unknown | Reachability::Up => true,
            Reachability::Down { probe_at, .. } => now >= probe_at,
        }
    }

    /// Returns the time since the last report or answer.
    pub fn time_since_report(&self, now: Time) -> Option<Duration> {
        self.reported_at.map(|it| now.since(it))
    }

    /// Records that a response came over a connection, which shows that the
    /// target is alive.
    pub fn clear_suspicion(&mut self) {
        self.is_suspect = false;
    }

    /// Records that a connection was opened and carried a report.
    pub fn observe_opened(&mut self, now: Time, report: &LoadReport) -> HealthChange {
        let is_now_up = !self.is_up();
        self.reachability = Reachability::Up;
        self.is_suspect = false;
        HealthChange { is_now_up, ..self.observe_report(now, report) }
    }

    /// Records a load report. Ignores reports of earlier incarnations.
    pub fn observe_report(&mut self, now: Time, report: &LoadReport) -> HealthChange {
        self.reported_at = Some(now);
        if report.incarnation < self.incarnation {
            return HealthChange::default();
        }
        let is_new_incarnation = self.adopt_incarnation(report.incarnation);
        let is_answer_fresh = self.answered_at.is_some_and(|it| now.since(it) < ANSWER_MAX_AGE);
        if is_new_incarnation || !is_answer_fresh {
            self.snapshots.clone_from(&report.snapshots);
        }
        let is_now_unhealthy = self.is_healthy && !report.is_healthy;
        self.is_healthy = report.is_healthy;
        let is_now_leaving = report.is_leaving && !self.is_leaving;
        self.is_leaving |= report.is_leaving;
        HealthChange { is_new_incarnation, is_now_leaving, is_now_unhealthy, is_now_up: false }
    }

    /// Records the metadata of an answer or a refusal whose attempt was checked.
    pub fn observe_answer(&mut self, now: Time, head: &AnswerHead) -> HealthChange {
        self.reported_at = Some(now);
        let incarnation = head.incarnation.unwrap_or(self.incarnation);
        if incarnation < self.incarnation {
            return HealthChange::default();
        }
        self.is_suspect = false;
        self.answered_at = Some(now);
        let is_new_incarnation = self.adopt_incarnation(incarnation);
        if let Some(snapshots) = &head.snapshots
            && *snapshots != self.snapshots
        {
            self.snapshots.clone_from(snapshots);
        }
        let is_now_leaving = head.is_leaving && !self.is_leaving;
        self.is_leaving |= head.is_leaving;
        HealthChange { is_new_incarnation, is_now_leaving, ..HealthChange::default() }
    }

    /// Records that a connection ended or fell silent while it was needed.
    pub fn mark_suspect(&mut self) {
        self.is_suspect = true;
    }

    /// Records that the target cannot be reached and schedules the next probe.
    /// Returns whether the target was not down before.
    pub fn observe_unreachable(&mut self, now: Time, rng: &mut impl Rng) -> bool {
        let failures = match self.reachability {
            Reachability::Unknown | Reachability::Up => 0,
            Reachability::Down { failures, .. } => failures + 1,
        };
        let interval = PROBE_BACKOFF * 2u32.saturating_pow(failures.min(16));
        let interval = interval.min(PROBE_BACKOFF_MAX);
        let probe_at = now + interval.mul_f64(1.0 + rng.random_range(-PROBE_JITTER..PROBE_JITTER));
        let was_down = self.is_down();
        self.reachability = Reachability::Down { failures, probe_at };
        !was_down
    }

    /// Adopts `incarnation`, which is not lower than the current one. Returns
    /// whether it replaces a known one.
    fn adopt_incarnation(&mut self, incarnation: Incarnation) -> bool {
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
