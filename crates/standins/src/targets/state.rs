//! State of a target and its transitions, without I/O. The current time is passed
//! as an argument.

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

/// Maximum number of past load reports that are kept for `load_lag_ms`.
const MAX_LOAD_HISTORY: usize = 4_096;

/// Body of the load endpoint.
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

/// Key by which runs are counted.
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
    /// Time of the scheduled restart after a crash, if any.
    pub restart_at: Option<Instant>,
    pub incarnation: u64,
    /// Requests finished since the target last became cold. The target is warm at
    /// `knobs.warm_requests`.
    pub warm_up_progress: u32,
    /// Whether the target last became cold without a restart.
    pub turned_cold: bool,
    pub running: u32,
    pub waiting: VecDeque<oneshot::Sender<()>>,
    pub attempts: HashMap<AttemptId, Arc<Notify>>,
    pub connections: u32,
    /// Number of the connection that was accepted last.
    pub last_connection: u64,
    /// Connections with lower numbers are silent.
    pub silent_below: u64,
    /// Shard held in each snapshot.
    pub snapshots: BTreeMap<Snapshot, u32>,
    pub leaving_since: Option<Instant>,
    /// Time of the command `ToldOut`, if it is in force.
    pub domain_out_since: Option<Instant>,
    /// Attempt id and body of the previous answer, for `crossed_probability`.
    pub last_answer: Option<(String, Vec<u8>)>,
    pub record: TargetRecord,
    pub runs: BTreeMap<RunKey, u32>,
    load_history: VecDeque<(Instant, LoadReport)>,
}

impl State {
    /// Creates a warm target that is up and holds `shard` in `snapshot`.
    pub fn new(knobs: Knobs, snapshot: Snapshot, shard: u32, rng: SmallRng) -> Self {
        State {
            warm_up_progress: knobs.warm_requests,
            knobs,
            turned_cold: false,
            rng,
            is_up: true,
            restart_at: None,
            incarnation: 1,
            running: 0,
            waiting: VecDeque::new(),
            attempts: HashMap::default(),
            connections: 0,
            last_connection: 0,
            silent_below: 0,
            snapshots: BTreeMap::from([(snapshot, shard)]),
            leaving_since: None,
            domain_out_since: None,
            last_answer: None,
            record: TargetRecord::default(),
            runs: BTreeMap::new(),
            load_history: VecDeque::new(),
        }
    }

    pub fn is_cold(&self) -> bool {
        self.warm_up_progress < self.knobs.warm_requests
    }

    /// Returns the number of requests in flight that the target handles now without
    /// crashing. While cold, it grows linearly from `cold_slots` to `slots`; a warm
    /// target has no limit.
    pub fn concurrency_limit(&self) -> u32 {
        if !self.is_cold() {
            return u32::MAX;
        }
        let gain = self.knobs.slots.saturating_sub(self.knobs.cold_slots);
        self.knobs.cold_slots + gain * self.warm_up_progress / self.knobs.warm_requests
    }

    /// Records a crash of a cold target from overload.
    pub fn record_cold_overload(&mut self) {
        if self.turned_cold {
            self.record.turned_cold_overload_events += 1;
        } else {
            self.record.cold_overload_events += 1;
        }
    }

    pub fn in_flight(&self) -> u32 {
        self.running + u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Stops the target: clears all that a process loses when it ends, and starts
    /// the next incarnation. If `restart_at` is none, it stays down until the
    /// command `Up`.
    pub fn terminate(&mut self, restart_at: Option<Instant>) {
        self.is_up = false;
        self.restart_at = restart_at;
        self.incarnation += 1;
        self.warm_up_progress = 0;
        self.turned_cold = false;
        self.running = 0;
        self.waiting.clear();
        self.attempts.clear();
        self.connections = 0;
        self.leaving_since = None;
        self.knobs.leaving = false;
    }

    /// Returns the time at which a target that crashes at `now` restarts.
    pub fn restart_time(&self, now: Instant) -> Option<Instant> {
        Some(now + Duration::from_millis(self.knobs.fall_ms))
    }

    /// Frees a slot and grants free slots to queued attempts.
    pub fn release_slot(&mut self) {
        self.running = self.running.saturating_sub(1);
        while self.running < self.knobs.slots {
            let Some(next) = self.waiting.pop_front() else { return };
            if next.send(()).is_ok() {
                self.running += 1;
            }
        }
    }

    /// Samples a service time from the distribution that the knobs set. Stragglers
    /// and cold targets take longer.
    pub fn sample_service_time(&mut self) -> Duration {
        let mut ms = self.knobs.service_ms;
        if self.knobs.distribution == Distribution::Exponential {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            ms *= -uniform.ln();
        }
        if self.sample_bool(|it| it.straggle_probability) {
            ms *= self.knobs.straggle_factor;
        }
        if self.is_cold() {
            let left = 1.0 - f64::from(self.warm_up_progress) / f64::from(self.knobs.warm_requests);
            ms *= 1.0 + (self.knobs.cold_factor - 1.0) * left;
        }
        Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
    }

    /// Returns true with the probability that `probability` reads from the knobs.
    pub fn sample_bool(&mut self, probability: impl Fn(&Knobs) -> f64) -> bool {
        let probability = probability(&self.knobs);
        probability > 0.0 && self.rng.random::<f64>() < probability
    }

    /// Returns the newest snapshot of a map that the target holds.
    pub fn newest_snapshot(&self, map: u32) -> Option<Snapshot> {
        self.snapshots.keys().rev().find(|it| it.map == map).copied()
    }

    pub fn snapshot_list(&self) -> Vec<String> {
        self.snapshots.keys().map(|it| it.to_string()).collect()
    }

    pub fn state_text(&self) -> &'static str {
        if self.knobs.leaving { "leaving" } else { "serving" }
    }

    /// Records the current load for reports that lag.
    pub fn record_load(&mut self, now: Instant) {
        if self.knobs.load_lag_ms == 0 {
            return;
        }
        if self.load_history.len() == MAX_LOAD_HISTORY {
            self.load_history.pop_front();
        }
        let report = self.current_load();
        self.load_history.push_back((now, report));
    }

    /// Returns the load report, outdated or false as the knobs request. Without a
    /// report of the requested age, the load is current.
    pub fn load_report(&self, now: Instant) -> LoadReport {
        let lag = Duration::from_millis(self.knobs.load_lag_ms);
        let past = self.load_history.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
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
