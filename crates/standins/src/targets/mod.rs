//! Simulated targets in one process, each with its own listener, knobs and record.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use documents::Pool;
use eyre::WrapErr;
use serde_json::Value;

pub mod control;
mod knobs;
mod listener;
mod query;
mod record;
mod reply;
mod state;
mod target;

pub use self::{
    knobs::{Distribution, Knobs, TargetChange, TargetCommand, TargetSelector},
    record::{RunCount, TargetRecord},
    target::Target,
};

/// Time between a listener's checks whether its target is up, and between retries
/// after a failed bind or accept.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The targets of the process.
#[derive(Clone, Default)]
pub struct TargetSet(Arc<Vec<Arc<Target>>>);

impl TargetSet {
    /// Creates the targets of the pools. `seed` determines service times and random
    /// faults.
    pub fn new(pools: &[Pool], seed: u64) -> Self {
        let targets = pools
            .iter()
            .flat_map(|pool| pool.targets.iter().map(move |it| (pool.map, it)))
            .map(|(map, it)| Arc::new(Target::new(Arc::clone(it), map, seed)));
        TargetSet(Arc::new(targets.collect()))
    }

    /// Starts a listener for each target. Must be called within a tokio runtime.
    pub fn spawn(&self) {
        for target in self.0.iter() {
            tokio::spawn(listener::run(Arc::clone(target)));
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.0.iter()
    }

    /// Applies a change to the selected targets. Returns the number of selected
    /// targets.
    pub fn apply(&self, change: &TargetChange) -> Result<usize, String> {
        let mut count = 0;
        for target in self.0.iter().filter(|it| change.select.matches(it.spec())) {
            target.apply(change)?;
            count += 1;
        }
        Ok(count)
    }

    pub fn records(&self) -> Vec<TargetRecord> {
        self.0.iter().map(|it| it.record()).collect()
    }

    pub fn runs(&self) -> Vec<RunCount> {
        self.0.iter().flat_map(|it| it.runs()).collect()
    }

    pub fn reset(&self) {
        self.0.iter().for_each(|it| it.reset());
    }
}

/// Serves the targets and their control API until the process ends.
pub async fn serve(set: TargetSet, control: SocketAddr) -> eyre::Result<()> {
    set.spawn();
    control::rocket(set, control).launch().await.wrap_err("control server failed")?;
    Ok(())
}

/// Returns `knobs` with the values of `set`. Unknown keys are an error.
fn merge_knobs(knobs: &Knobs, set: &Value) -> Result<Knobs, String> {
    let mut all = serde_json::to_value(knobs).map_err(|err| err.to_string())?;
    let Some(changes) = set.as_object() else { return Err("`set` must be an object".to_owned()) };
    for (key, value) in changes {
        all[key] = value.clone();
    }
    serde_json::from_value(all).map_err(|err| err.to_string())
}
