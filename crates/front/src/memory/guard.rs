//! Memory that is reserved until its guard is dropped.

use std::{net::IpAddr, rc::Rc};

use forward::memory::{Kind, Reservation, Reserved};
use tokio::sync::Notify;

use super::{ATTEMPTS, Exhausted, Memory};

pub(crate) struct Guard {
    memory: Rc<Memory>,
    id: Reservation,
}

impl Guard {
    pub(super) fn new(memory: &Rc<Memory>, id: Reservation) -> Guard {
        Guard { memory: memory.clone(), id }
    }

    /// Reserves more, `bytes` altogether.
    pub(crate) async fn grow(&self, kind: Kind, bytes: usize) -> Result<(), Exhausted> {
        for _ in 0..ATTEMPTS {
            let now = self.memory.clock.now();
            let grown = self.memory.budget.borrow_mut().grow(self.id, bytes, now);
            match grown {
                Reserved::Granted(_) => return Ok(()),
                Reserved::AfterEviction(evicted) => self.memory.evict(kind, &evicted).await,
                Reserved::Exhausted => break,
            }
        }
        Err(self.memory.refused(kind, bytes))
    }

    /// Changes the size, whatever is left.
    pub(crate) fn resize(&self, bytes: usize) {
        self.memory.budget.borrow_mut().resize(self.id, bytes);
        self.memory.released.notify_waiters();
    }

    /// Records that all of a body has arrived.
    pub(crate) fn keep_request(&self, owner: Option<IpAddr>) {
        self.memory.signals.borrow_mut().remove(&self.id);
        let (mut budget, now) = (self.memory.budget.borrow_mut(), self.memory.clock.now());
        budget.change_kind(self.id, Kind::Requests, owner, false, now);
    }

    /// Records that a caller at `owner` reads the answer from now on. If it is evicted,
    /// `signal` is notified.
    pub(crate) fn keep_answer(&self, owner: Option<IpAddr>, signal: &Rc<Notify>) {
        self.signal_to(signal);
        let (mut budget, now) = (self.memory.budget.borrow_mut(), self.memory.clock.now());
        budget.change_kind(self.id, Kind::Answers, owner, true, now);
    }

    /// Notifies `signal` when the memory must be released.
    pub(crate) fn signal_to(&self, signal: &Rc<Notify>) {
        self.memory.signals.borrow_mut().insert(self.id, signal.clone());
    }

    pub(crate) fn is_evicted(&self) -> bool {
        self.memory.budget.borrow().is_evicted(self.id)
    }

    pub(crate) fn record_progress(&self, moved: usize, left: Option<usize>) {
        let (mut budget, now) = (self.memory.budget.borrow_mut(), self.memory.clock.now());
        budget.record_progress(self.id, moved, left, now);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.memory.signals.borrow_mut().remove(&self.id);
        self.memory.budget.borrow_mut().release(self.id);
        self.memory.released.notify_waiters();
    }
}

impl std::fmt::Debug for Guard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Guard").field(&self.id).finish()
    }
}
