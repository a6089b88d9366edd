//! Builder for [`EntryCx`].

use std::sync::{Arc, Mutex, atomic::AtomicBool};

use base::HashMap;
use documents::model::PolicySettings;
use policy::request::{SharedState, TicketTable};
use slog::Logger;
use telemetry::Metrics;
use tokio::sync::Notify;

use super::{EntryCx, Inner};
use crate::{
    in_flight::{Executions, InFlight},
    interfaces::{Owners, State},
    recent::RecentRequests,
    rounds::Learning,
};

/// Builds an [`EntryCx`].
pub struct EntryBuilder<S, O> {
    state: S,
    owners: O,
    metrics: Metrics,
    log: Logger,
    policy: PolicySettings,
    admin_token: Option<Arc<str>>,
}

impl<S: State, O: Owners> EntryBuilder<S, O> {
    pub fn new(state: S, owners: O, metrics: Metrics) -> Self {
        let log = Logger::root(slog::Discard, slog::o!());
        EntryBuilder {
            state,
            owners,
            metrics,
            log,
            policy: PolicySettings::default(),
            admin_token: None,
        }
    }

    /// Sets the logger. Without it, nothing is logged.
    pub fn log(mut self, log: Logger) -> Self {
        self.log = log;
        self
    }

    pub fn policy(mut self, policy: PolicySettings) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the bearer token that operators must present; `None` disables the
    /// check.
    pub fn admin_token(mut self, token: Option<Arc<str>>) -> Self {
        self.admin_token = token;
        self
    }

    pub fn build(self) -> EntryCx<S, O> {
        let minter = self.state.host().clone();
        let tickets = TicketTable::new(minter, self.state.incarnation());
        let inner = Inner {
            state: self.state,
            owners: self.owners,
            log: self.log,
            metrics: self.metrics,
            learning: Learning::default(),
            executions: Executions::default(),
            in_flight: InFlight::new(),
            recent: RecentRequests::default(),
            suspects_changed: Notify::new(),
            admin_token: self.admin_token,
            tickets: Mutex::new(tickets),
            shared: Mutex::new(SharedState::new(&self.policy)),
            views: Mutex::new(HashMap::default()),
            is_stopping: AtomicBool::new(false),
            are_targets_known: AtomicBool::new(false),
        };
        EntryCx { inner: Arc::new(inner) }
    }
}
