//! One target: its state behind a lock, and the operations on it.

use std::{
    hash::{Hash, Hasher},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use base::{AttemptId, Snapshot};
use documents::Target as Spec;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::watch;

use super::{
    knobs::{Knobs, TargetChange, TargetCommand, parse_snapshot},
    merge_knobs,
    record::{RunCount, TargetRecord},
    state::{LoadReport, State},
};

pub struct Target {
    spec: Arc<Spec>,
    state: Mutex<State>,
    /// Current incarnation. A change closes the listener and the connections of the
    /// previous one.
    incarnation_tx: watch::Sender<u64>,
}

/// Open connection; counts towards the limit until it is dropped.
pub struct ConnectionGuard {
    target: Arc<Target>,
    incarnation: u64,
    number: u64,
}

impl Target {
    pub fn new(spec: Arc<Spec>, map: u32, seed: u64) -> Self {
        let mut hasher = seeded_hasher(seed);
        spec.name.hash(&mut hasher);
        let rng = SmallRng::seed_from_u64(hasher.finish());
        let state = State::new(Knobs::new(&spec), Snapshot { map, index: 1 }, spec.shard.0, rng);
        let (incarnation_tx, _) = watch::channel(state.incarnation);
        Target { spec, state: Mutex::new(state), incarnation_tx }
    }

    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    pub fn record(&self) -> TargetRecord {
        let state = self.lock();
        TargetRecord {
            target: self.spec.name.to_string(),
            pool: self.spec.pool.to_string(),
            domain: self.spec.domain.to_string(),
            shard: self.spec.shard.0,
            incarnation: state.incarnation,
            ..state.record.clone()
        }
    }

    pub fn runs(&self) -> Vec<RunCount> {
        let state = self.lock();
        let run = |(key, count): (&super::state::RunKey, &u32)| RunCount {
            service: key.service.clone(),
            shard: key.shard,
            key: key.key.clone(),
            is_idempotent: key.is_idempotent,
            count: *count,
        };
        state.runs.iter().map(run).collect()
    }

    pub fn reset(&self) {
        let mut state = self.lock();
        state.record = TargetRecord::default();
        state.runs.clear();
    }

    pub fn load_report(&self) -> LoadReport {
        self.lock().load_report(Instant::now())
    }

    /// Applies the knobs of a change, then its commands.
    pub fn apply(&self, change: &TargetChange) -> Result<(), String> {
        if let Some(set) = &change.set {
            let knobs = merge_knobs(&self.lock().knobs, set)?;
            self.set_knobs(knobs);
        }
        for command in &change.commands {
            self.run_command(command)?;
        }
        Ok(())
    }

    /// Cancels a queued or running attempt, if the knobs allow it.
    pub fn cancel(&self, attempt: AttemptId) {
        let state = self.lock();
        if !state.knobs.honours_cancel {
            return;
        }
        if let Some(notify) = state.attempts.get(&attempt) {
            notify.notify_one();
        }
    }

    /// Stops the target now. It restarts cold after `fall_ms`.
    pub fn crash(&self, state: &mut State) {
        let restart_at = state.restart_time(Instant::now());
        state.terminate(restart_at);
        self.incarnation_tx.send_replace(state.incarnation);
    }

    /// Restarts the target if its restart is due. Returns whether the target is up.
    pub fn restart_if_due(&self) -> bool {
        let mut state = self.lock();
        let is_due = state.restart_at.is_some_and(|at| at <= Instant::now());
        if is_due {
            state.restart_at = None;
            state.is_up = true;
        }
        state.is_up
    }

    pub fn subscribe_incarnation(&self) -> watch::Receiver<u64> {
        self.incarnation_tx.subscribe()
    }

    /// Counts a new connection. Returns none if the limit is reached.
    pub fn open_connection(self: &Arc<Self>) -> Option<ConnectionGuard> {
        let mut state = self.lock();
        if state.connections >= state.knobs.connections {
            state.record.connections_over_limit += 1;
            return None;
        }
        state.connections += 1;
        state.record.max_connections = state.record.max_connections.max(state.connections);
        state.last_connection += 1;
        let number = state.last_connection;
        Some(ConnectionGuard { target: Arc::clone(self), incarnation: state.incarnation, number })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_knobs(&self, knobs: Knobs) {
        let mut state = self.lock();
        if knobs.leaving && !state.knobs.leaving {
            state.leaving_since = Some(Instant::now());
        }
        if !knobs.leaving {
            state.leaving_since = None;
        }
        let was_warm = !state.is_cold();
        if was_warm {
            state.warm_up_progress = knobs.warm_requests;
        }
        state.knobs = knobs;
    }

    fn run_command(&self, command: &TargetCommand) -> Result<(), String> {
        let mut state = self.lock();
        match command {
            TargetCommand::Silence => state.silent_below = state.last_connection + 1,
            TargetCommand::Down => {
                state.terminate(None);
                self.incarnation_tx.send_replace(state.incarnation);
            }
            TargetCommand::Up => state.is_up = true,
            TargetCommand::TurnCold => {
                state.warm_up_progress = 0;
                state.turned_cold = true;
            }
            TargetCommand::ToldOut => state.domain_out_since = Some(Instant::now()),
            TargetCommand::ToldIn => state.domain_out_since = None,
            TargetCommand::Hold { snapshot, shard } => {
                let snapshot = parse_snapshot(snapshot)?;
                let shard_in_map =
                    state.newest_snapshot(snapshot.map).map(|it| state.snapshots[&it]);
                let shard = shard.or(shard_in_map).unwrap_or(self.spec.shard.0);
                state.snapshots.insert(snapshot, shard);
            }
            TargetCommand::Drop { snapshot } => {
                state.snapshots.remove(&parse_snapshot(snapshot)?);
            }
        }
        Ok(())
    }
}

impl ConnectionGuard {
    /// Returns whether the target no longer answers on the connection, because of
    /// the command `Silence` or the knob `frozen`.
    pub fn is_silent(&self) -> bool {
        let state = self.target.lock();
        state.knobs.frozen || self.number < state.silent_below
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut state = self.target.lock();
        if state.incarnation == self.incarnation {
            state.connections = state.connections.saturating_sub(1);
        }
    }
}

fn seeded_hasher(seed: u64) -> impl Hasher {
    let mut hasher = std::hash::DefaultHasher::new();
    seed.hash(&mut hasher);
    hasher
}
