//! The host's memory budget in use: guards that release what they reserve, and the
//! signals by which holders learn that they are evicted.

mod guard;

use std::{cell::RefCell, future::Future, net::IpAddr, rc::Rc, time::Duration};

use base::HashMap;
use forward::memory::{Kind, MemoryBudget, Reservation, Reserved, Share};
use http::HeaderMap;
use slog::{Logger, warn};
use telemetry::FrontMetrics;
use tokio::{sync::Notify, time::timeout};

pub(crate) use self::guard::Guard;
use crate::Clock;

/// Limit on the time in which evicted holders release their memory.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(50);

/// Time after which a reservation that waits is tried again without a release.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Attempts of a reservation, each after an eviction.
const ATTEMPTS: u32 = 4;

/// Memory that one field takes in a parsed head, beside the head's bytes.
const FIELD_BYTES: usize = 112;

/// Time between two log lines of refused reservations, of which a crowd causes many.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Memory that a connection takes: buffer, task and state.
pub(crate) const CONNECTION_BYTES: usize = 12 * 1024;

/// No memory is left for a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Exhausted;

pub(crate) struct Memory {
    budget: RefCell<MemoryBudget>,
    signals: RefCell<HashMap<Reservation, Rc<Notify>>>,
    released: Notify,
    /// Time of the last log line, and refusals and evictions since.
    unlogged: RefCell<(Option<base::Time>, u64, u64)>,
    clock: Clock,
    log: Logger,
    metrics: FrontMetrics,
}

impl Memory {
    pub(crate) fn new(
        budget: MemoryBudget,
        clock: Clock,
        log: Logger,
        metrics: FrontMetrics,
    ) -> Rc<Memory> {
        Rc::new(Memory {
            budget: RefCell::new(budget),
            signals: RefCell::default(),
            released: Notify::new(),
            unlogged: RefCell::default(),
            clock,
            log,
            metrics,
        })
    }

    pub(crate) fn held(&self, kind: Kind) -> usize {
        self.budget.borrow().held(kind)
    }

    /// Returns the memory of callers' connections, of which there are none yet.
    pub(crate) fn of_connections(self: &Rc<Self>) -> Guard {
        let now = self.clock.now();
        let id = self.budget.borrow_mut().reserve_uncounted(Kind::Heads, now);
        Guard::new(self, id)
    }

    /// Returns the limit on callers' connections by their share of the memory.
    pub(crate) fn connection_limit(&self) -> usize {
        self.budget.borrow().share_bytes(Share::Connections) / CONNECTION_BYTES
    }

    /// Reserves memory, for which slow holders may be evicted.
    pub(crate) async fn reserve(
        self: &Rc<Self>,
        kind: Kind,
        owner: Option<IpAddr>,
        bytes: usize,
    ) -> Result<Guard, Exhausted> {
        for _ in 0..ATTEMPTS {
            match self.try_reserve(kind, owner, bytes) {
                Reserved::Granted(id) => return Ok(Guard::new(self, id)),
                Reserved::AfterEviction(evicted) => self.evict(kind, &evicted).await,
                Reserved::Exhausted => break,
            }
        }
        Err(self.refused(kind, bytes))
    }

    /// Same as [`Memory::reserve`], but does not wait for those that are evicted.
    pub(crate) fn reserve_now(
        self: &Rc<Self>,
        kind: Kind,
        owner: Option<IpAddr>,
        bytes: usize,
    ) -> Result<Guard, Exhausted> {
        match self.try_reserve(kind, owner, bytes) {
            Reserved::Granted(id) => return Ok(Guard::new(self, id)),
            Reserved::AfterEviction(evicted) => drop(self.evict(kind, &evicted)),
            Reserved::Exhausted => {}
        }
        Err(self.refused(kind, bytes))
    }

    /// Same as [`Memory::reserve`], but waits until memory is free.
    pub(crate) async fn reserve_later(
        self: &Rc<Self>,
        kind: Kind,
        bytes: usize,
    ) -> Result<Guard, Exhausted> {
        if !self.budget.borrow().can_ever_hold(kind, bytes) {
            return Err(self.refused(kind, bytes));
        }
        let mut is_recorded = false;
        loop {
            match self.try_reserve(kind, None, bytes) {
                Reserved::Granted(id) => return Ok(Guard::new(self, id)),
                Reserved::AfterEviction(evicted) => self.evict(kind, &evicted).await,
                Reserved::Exhausted => {
                    if !std::mem::replace(&mut is_recorded, true) {
                        self.metrics.record_memory_limit(kind.as_str(), "waited");
                    }
                    // Holders become slow without a release, too.
                    drop(timeout(RETRY_INTERVAL, self.released.notified()).await);
                }
            }
        }
    }

    /// Evicts the transfers that are slower than any client within the limits.
    pub(crate) fn evict_slow(&self, grace: Duration) {
        let slow = self.budget.borrow_mut().evict_slow(grace, self.clock.now());
        for id in slow {
            self.metrics.record_memory_limit("transfers", "too slow");
            self.record_unlogged(0, 1);
            self.signal(id);
        }
    }

    fn try_reserve(&self, kind: Kind, owner: Option<IpAddr>, bytes: usize) -> Reserved {
        self.budget.borrow_mut().reserve(kind, owner, bytes, self.clock.now())
    }

    /// Tells the holders to release their memory, and waits for it for a short time.
    fn evict(&self, kind: Kind, evicted: &[Reservation]) -> impl Future<Output = ()> {
        for id in evicted {
            self.metrics.record_memory_limit(kind.as_str(), "evicted");
            self.record_unlogged(0, 1);
            self.signal(*id);
        }
        let released = timeout(EVICTION_TIMEOUT, self.released.notified());
        async move { drop(released.await) }
    }

    fn signal(&self, id: Reservation) {
        if let Some(signal) = self.signals.borrow().get(&id) {
            signal.notify_one();
        }
    }

    fn refused(&self, kind: Kind, bytes: usize) -> Exhausted {
        self.metrics.record_memory_limit(kind.as_str(), "refused");
        self.record_unlogged(1, 0);
        slog::debug!(self.log, "memory: refused"; "kind" => kind.as_str(), "bytes" => bytes);
        Exhausted
    }

    /// Counts limits that acted, and logs them with the bytes held by kind.
    fn record_unlogged(&self, refused: u64, evicted: u64) {
        let now = self.clock.now();
        let mut unlogged = self.unlogged.borrow_mut();
        unlogged.1 += refused;
        unlogged.2 += evicted;
        if unlogged.0.is_some_and(|it| now.since(it) < LOG_INTERVAL) {
            return;
        }
        let budget = self.budget.borrow();
        warn!(self.log, "memory: short"; "refused" => unlogged.1, "evicted" => unlogged.2,
            "heads" => budget.held(Kind::Heads), "bodies" => budget.held(Kind::Bodies),
            "requests" => budget.held(Kind::Requests),
            "target_answers" => budget.held(Kind::TargetAnswers),
            "answers" => budget.held(Kind::Answers),
            "request_share" => budget.share_bytes(Share::Requests),
            "answer_share" => budget.share_bytes(Share::Answers));
        *unlogged = (Some(now), 0, 0);
    }
}

/// Returns the memory that a parsed head takes, beside the buffer of its connection.
pub(crate) fn head_bytes(headers: &HeaderMap) -> usize {
    let values: usize = headers.values().map(|it| it.len()).sum();
    headers.capacity() * FIELD_BYTES + values
}
