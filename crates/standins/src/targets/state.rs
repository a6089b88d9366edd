//! A target's state as plain data, and its transitions. Time is an argument.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use base::{AttemptId, HashMap, Snapshot};
use rand::{Rng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, oneshot};

use super::{
    knobs::{Distribution, Knobs},
    record::TargetRecord,
};

/// Past load reports kept for a report that lags.
const MAX_HISTORY: usize = 4_096;

/// What the load endpoint tells.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    pub incarnation: u64,
    pub state: String,
    pub in_flight: u32,
    pub queued: u32,
    pub snapshots: Vec<String>,
    pub healthy: bool,
}

/// Which run a key of the run table stands for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey {
    pub service: String,
    pub shard: u32,
    pub key: String,
    pub is_idempotent: bool,
}

pub struct State {
    pub knobs: Knobs,
    pub rng: SmallRng,
    pub is_up: bool,
    /// When a fallen target comes back; none waits for a command.
    pub up_at: Option<Instant>,
    pub incarnation: u64,
    /// Requests done since the last cold start.
    pub warmed: u32,
    /// Whether the present coldness came without a new start.
    pub turned_cold: bool,
    pub running: u32,
    pub waiting: VecDeque<oneshot::Sender<()>>,
    pub attempts: HashMap<AttemptId, Arc<Notify>>,
    pub connections: u32,
    pub next_connection: u64,
    /// Connections with lower numbers are silent.
    pub silent_below: u64,
    /// Shard held in each snapshot.
    pub snapshots: BTreeMap<Snapshot, u32>,
    pub leaving_since: Option<Instant>,
    pub out_since: Option<Instant>,
    /// Attempt and body of the last answer, for crossed ones.
    pub last_answer: Option<(String, Vec<u8>)>,
    pub record: TargetRecord,
    pub runs: BTreeMap<RunKey, u32>,
    history: VecDeque<(Instant, LoadReport)>,
}

impl State {
    /// A warm target that holds index 1 of its pool's map.
    pub fn new(knobs: Knobs, snapshot: Snapshot, shard: u32, rng: SmallRng) -> Self {
        State {
            warmed: knobs.warm_requests,
            knobs,
            turned_cold: false,
            rng,
            is_up: true,
            up_at: None,
            incarnation: 1,
            running: 0,
            waiting: VecDeque::new(),
            attempts: HashMap::default(),
            connections: 0,
            next_connection: 0,
            silent_below: 0,
            snapshots: BTreeMap::from([(snapshot, shard)]),
            leaving_since: None,
            out_since: None,
            last_answer: None,
            record: TargetRecord::default(),
            runs: BTreeMap::new(),
            history: VecDeque::new(),
        }
    }

    pub fn is_cold(&self) -> bool {
        self.warmed < self.knobs.warm_requests
    }

    /// Requests at once that the target bears now without falling over.
    pub fn bears(&self) -> u32 {
        if !self.is_cold() {
            return u32::MAX;
        }
        let gain = self.knobs.slots.saturating_sub(self.knobs.cold_slots);
        self.knobs.cold_slots + gain * self.warmed / self.knobs.warm_requests
    }

    /// Counts a fall of a cold target.
    pub fn note_cold_overload(&mut self) {
        if self.turned_cold {
            self.record.turned_cold_overload_events += 1;
        } else {
            self.record.cold_overload_events += 1;
        }
    }

    pub fn in_flight(&self) -> u32 {
        self.running + u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Resets everything that a process loses when it dies.
    pub fn die(&mut self, up_at: Option<Instant>) {
        self.is_up = false;
        self.up_at = up_at;
        self.incarnation += 1;
        self.warmed = 0;
        self.turned_cold = false;
        self.running = 0;
        self.waiting.clear();
        self.attempts.clear();
        self.connections = 0;
        self.leaving_since = None;
        self.knobs.leaving = false;
    }

    pub fn falls_until(&self, now: Instant) -> Option<Instant> {
        Some(now + Duration::from_millis(self.knobs.fall_ms))
    }

    /// Frees a slot, which wakes the next in line.
    pub fn release_slot(&mut self) {
        self.running = self.running.saturating_sub(1);
        while self.running < self.knobs.slots {
            let Some(next) = self.waiting.pop_front() else { return };
            if next.send(()).is_ok() {
                self.running += 1;
            }
        }
    }

    /// Draws a service time from the knobs.
    pub fn draw_service_time(&mut self) -> Duration {
        let mut ms = self.knobs.service_ms;
        if self.knobs.distribution == Distribution::Exponential {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            ms *= -uniform.ln();
        }
        if self.draw(|it| it.straggle_probability) {
            ms *= self.knobs.straggle_factor;
        }
        if self.is_cold() {
            let left = 1.0 - f64::from(self.warmed) / f64::from(self.knobs.warm_requests);
            ms *= 1.0 + (self.knobs.cold_factor - 1.0) * left;
        }
        Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
    }

    /// Draws whether something happens that has this probability.
    pub fn draw(&mut self, probability: impl Fn(&Knobs) -> f64) -> bool {
        let probability = probability(&self.knobs);
        probability > 0.0 && self.rng.random::<f64>() < probability
    }

    /// The newest snapshot held of a map.
    pub fn newest(&self, map: u32) -> Option<Snapshot> {
        self.snapshots.keys().rev().find(|it| it.map == map).copied()
    }

    pub fn snapshot_list(&self) -> Vec<String> {
        self.snapshots.keys().map(|it| it.to_string()).collect()
    }

    pub fn state_text(&self) -> &'static str {
        if self.knobs.leaving { "leaving" } else { "serving" }
    }

    /// Notes the load as it is now, for reports that lag.
    pub fn note_load(&mut self, now: Instant) {
        if self.knobs.load_lag_ms == 0 {
            return;
        }
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        let report = self.current_load();
        self.history.push_back((now, report));
    }

    /// The load report, as old and as false as the knobs want it.
    pub fn load_report(&self, now: Instant) -> LoadReport {
        let lag = Duration::from_millis(self.knobs.load_lag_ms);
        let past = self.history.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
        let mut report = match past {
            Some((_, report)) if !lag.is_zero() => report.clone(),
            _ => self.current_load(),
        };
        if self.knobs.load_lies {
            report.in_flight = 0;
            report.queued = 0;
            report.healthy = true;
        }
        report
    }

    fn current_load(&self) -> LoadReport {
        LoadReport {
            incarnation: self.incarnation,
            state: self.state_text().to_owned(),
            in_flight: self.running,
            queued: self.in_flight() - self.running,
            snapshots: self.snapshot_list(),
            healthy: true,
        }
    }
}
