//! Settings of an entry.

use std::sync::{Arc, Mutex, atomic::AtomicBool};

use base::HashMap;
use documents::model::PolicySettings;
use policy::request::Decisions;
use slog::Logger;
use telemetry::Metrics;

use super::{EntryCx, Inner};
use crate::{
    learn::Learning,
    seams::{Owners, State},
};

/// Builds an [`EntryCx`].
pub struct EntryBuilder<S, O> {
    state: S,
    owners: O,
    metrics: Metrics,
    log: Logger,
    policy: PolicySettings,
}

impl<S: State, O: Owners> EntryBuilder<S, O> {
    pub fn new(state: S, owners: O, metrics: Metrics) -> Self {
        let log = Logger::root(slog::Discard, slog::o!());
        EntryBuilder { state, owners, metrics, log, policy: PolicySettings::default() }
    }

    /// The logger of this part of the program.
    pub fn log(mut self, log: Logger) -> Self {
        self.log = log;
        self
    }

    pub fn policy(mut self, policy: PolicySettings) -> Self {
        self.policy = policy;
        self
    }

    pub fn build(self) -> EntryCx<S, O> {
        let inner = Inner {
            state: self.state,
            owners: self.owners,
            log: self.log,
            metrics: self.metrics,
            learning: Learning::default(),
            decisions: Mutex::new(Decisions::new(&self.policy)),
            views: Mutex::new(HashMap::default()),
            is_stopping: AtomicBool::new(false),
        };
        EntryCx { inner: Arc::new(inner) }
    }
}
