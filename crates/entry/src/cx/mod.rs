//! State shared by all requests of a host.

mod builder;

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use base::{HashMap, HostName, PoolName, TargetName, Time};
use documents::{Configuration, Pool};
use policy::request::{
    PoolView, Query, Routes, SendKind, SharedState, SuspectNote, TicketTable, Verdict,
};
use slog::Logger;
use telemetry::Metrics;
use tokio::{sync::Notify, time};

use crate::{
    in_flight::{Executions, InFlight},
    interfaces::{Owners, State},
    lock::lock,
    recent::RecentRequests,
    rounds::Learning,
};

pub use self::builder::EntryBuilder;

/// The part of a host that serves callers and operators. Clones share all state.
pub struct EntryCx<S, O> {
    pub(crate) inner: Arc<Inner<S, O>>,
}

pub(crate) struct Inner<S, O> {
    pub state: S,
    pub owners: O,
    pub log: Logger,
    pub metrics: Metrics,
    pub learning: Learning,
    pub executions: Executions,
    pub in_flight: InFlight,
    pub recent: RecentRequests,
    pub suspects_changed: Notify,
    pub admin_token: Option<Arc<str>>,
    tickets: Mutex<TicketTable>,
    shared: Mutex<SharedState>,
    views: Mutex<HashMap<PoolName, PoolViews>>,
    is_stopping: AtomicBool,
    are_targets_known: AtomicBool,
}

/// A pool by its current and its previous map.
#[derive(Clone, Debug)]
pub(crate) struct PoolViews {
    pub current: Arc<PoolView>,
    /// `None` if no other map was in force since the process started.
    pub previous: Option<Arc<PoolView>>,
}

/// Looks up the current owners of targets in the host's state.
pub(crate) struct StateRoutes<'a, S>(pub &'a S);

impl<S, O> Clone for EntryCx<S, O> {
    fn clone(&self) -> Self {
        EntryCx { inner: Arc::clone(&self.inner) }
    }
}

impl<S: State, O: Owners> EntryCx<S, O> {
    /// Reports the host as not ready and stops minting tickets. Requests are still
    /// served.
    pub fn stop(&self) {
        self.inner.is_stopping.store(true, Ordering::Release);
        self.tickets().stop();
    }

    /// Waits until no request is in flight and no ticket can be used.
    pub async fn drained(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(50);
        loop {
            self.inner.in_flight.idle().await;
            if !self.tickets().is_busy(self.now()) {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until [`EntryCx::take_suspect_notes`] has notes to return.
    pub async fn suspects_changed(&self) {
        self.inner.suspects_changed.notified().await;
    }

    /// Takes the notes on suspect requests to be sent to all other hosts at once.
    pub fn take_suspect_notes(&self) -> Vec<SuspectNote> {
        self.shared().quarantine.take_unsent_notes(self.now())
    }

    /// Returns notes on all suspects, for a host that may have missed some.
    pub fn suspect_notes(&self) -> Vec<SuspectNote> {
        self.shared().quarantine.notes(self.now())
    }

    /// Merges the notes of another host.
    pub fn merge_suspect_notes(&self, notes: &[SuspectNote]) {
        let now = self.now();
        let mut shared = self.shared();
        for note in notes {
            shared.quarantine.merge(now, note);
        }
    }

    pub(crate) fn set_targets_known(&self) {
        self.inner.are_targets_known.store(true, Ordering::Release);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.inner.is_stopping.load(Ordering::Acquire)
    }

    /// Returns why the host is not ready for callers, or `None` if it is ready.
    pub(crate) fn not_ready(&self) -> Option<String> {
        if self.is_stopping() {
            return Some("the host is stopping".to_owned());
        }
        if let Some(reason) = self.inner.state.not_ready() {
            return Some(reason);
        }
        let are_targets_known = self.inner.are_targets_known.load(Ordering::Acquire);
        (!are_targets_known).then(|| "the pools' targets are not known yet".to_owned())
    }

    pub(crate) fn now(&self) -> Time {
        self.inner.state.now()
    }

    pub(crate) fn state(&self) -> &S {
        &self.inner.state
    }

    pub(crate) fn owners(&self) -> &O {
        &self.inner.owners
    }

    pub(crate) fn log(&self) -> &Logger {
        &self.inner.log
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    pub(crate) fn tickets(&self) -> MutexGuard<'_, TicketTable> {
        lock(&self.inner.tickets)
    }

    pub(crate) fn admin_token(&self) -> Option<&str> {
        self.inner.admin_token.as_deref()
    }

    /// Records a finished request for operators, and its extra sends in metrics.
    pub(crate) fn record_finished(&self, query: &Query, verdict: &Verdict) {
        self.inner.recent.record(self.now(), query, verdict);
        let count = |kind| query.gather().attempts().filter(|(_, it)| it.kind == kind).count();
        let metrics = self.metrics();
        metrics.hedges.add(count(SendKind::Hedge) as u64, &[]);
        metrics.retries.add(count(SendKind::Retry) as u64, &[]);
    }

    pub(crate) fn shared(&self) -> MutexGuard<'_, SharedState> {
        lock(&self.inner.shared)
    }

    /// Returns the views of `pool`; `None` if it is not configured. When the pool
    /// has changed, its view is rebuilt and state that is no longer configured is
    /// removed.
    pub(crate) fn views(&self, cfg: &Configuration, pool: &PoolName) -> Option<PoolViews> {
        let pool = cfg.pools.get(pool)?;
        let mut all = lock(&self.inner.views);
        if let Some(views) = all.get(&pool.name)
            && Arc::ptr_eq(&views.current.pool, pool)
        {
            return Some(views.clone());
        }
        all.retain(|name, _| cfg.pools.contains_key(name));
        self.shared().retain_configured(cfg);
        let views = PoolViews::new(pool, all.get(&pool.name));
        all.insert(pool.name.clone(), views.clone());
        Some(views)
    }
}

impl PoolViews {
    fn new(pool: &Arc<Pool>, existing: Option<&PoolViews>) -> Self {
        let previous = existing.and_then(|it| match it.current.pool.map == pool.map {
            true => it.previous.clone(),
            false => Some(Arc::clone(&it.current)),
        });
        PoolViews { current: Arc::new(PoolView::new(Arc::clone(pool))), previous }
    }
}

impl<S: State> Routes for StateRoutes<'_, S> {
    fn owners(&self, target: &TargetName) -> Option<(HostName, Option<HostName>)> {
        let route = self.0.route(target)?;
        Some((route.primary, route.standby))
    }
}
