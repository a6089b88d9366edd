//! What all requests of an entry share.

mod builder;

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
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
    execute::{Executions, InFlight},
    interfaces::{Owners, State},
    learn::Learning,
    recent::Recent,
};

pub use self::builder::EntryBuilder;

/// The entry part of a host. Clones share everything.
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
    pub recent: Recent,
    pub suspects_changed: Notify,
    pub admin_token: Option<Arc<str>>,
    tickets: Mutex<TicketTable>,
    shared: Mutex<SharedState>,
    views: Mutex<HashMap<PoolName, PoolViews>>,
    is_stopping: AtomicBool,
    are_targets_known: AtomicBool,
}

/// A pool by its map in force and by the map before.
#[derive(Clone, Debug)]
pub(crate) struct PoolViews {
    pub current: Arc<PoolView>,
    /// None if no other map was in force since the start.
    pub previous: Option<Arc<PoolView>>,
}

/// The owners of targets as the state sees them now.
pub(crate) struct StateRoutes<'a, S>(pub &'a S);

impl<S, O> Clone for EntryCx<S, O> {
    fn clone(&self) -> Self {
        EntryCx { inner: Arc::clone(&self.inner) }
    }
}

impl<S: State, O: Owners> EntryCx<S, O> {
    /// Stops being ready for callers and hands out no more tickets; requests
    /// are still served.
    pub fn stop(&self) {
        self.inner.is_stopping.store(true, Ordering::Release);
        self.tickets().stop();
    }

    /// Ends once no request is in flight and no ticket can be used any more.
    pub async fn drained(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(50);
        loop {
            self.inner.in_flight.emptied().await;
            if !self.tickets().is_busy(self.now()) {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Ends when there are notes to take by [`EntryCx::take_suspect_notes`].
    pub async fn suspects_changed(&self) {
        self.inner.suspects_changed.notified().await;
    }

    /// Notes on suspect requests that all other hosts are to be told at once.
    pub fn take_suspect_notes(&self) -> Vec<SuspectNote> {
        self.shared().quarantine.take_unsent_notes(self.now())
    }

    /// Notes on all suspects, for a host that may have missed some.
    pub fn suspect_notes(&self) -> Vec<SuspectNote> {
        self.shared().quarantine.notes(self.now())
    }

    /// Takes in the notes of another host.
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

    /// Why the host is not ready for callers, if it is not.
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

    /// Keeps a finished request for operators and counts its extra sends.
    pub(crate) fn remember(&self, query: &Query, verdict: &Verdict) {
        self.inner.recent.remember(self.now(), query, verdict);
        let count = |kind| query.gather().attempts().filter(|(_, it)| it.kind == kind).count();
        let metrics = self.metrics();
        metrics.hedges.add(count(SendKind::Hedge) as u64, &[]);
        metrics.retries.add(count(SendKind::Retry) as u64, &[]);
    }

    pub(crate) fn shared(&self) -> MutexGuard<'_, SharedState> {
        lock(&self.inner.shared)
    }

    /// The pool in force, ordered by shard, and its map before that.
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
    fn new(pool: &Arc<Pool>, former: Option<&PoolViews>) -> Self {
        let previous = former.and_then(|it| match it.current.pool.map == pool.map {
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

/// A panic elsewhere leaves the data whole: each critical section is a single
/// step of a state machine that reports its broken invariants itself.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
