//! A stand-in of the platform's store: items with revisions, watches, limits on reads,
//! and faults.

mod faults;
mod server;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::sync::watch;

pub use self::{
    faults::{Faults, HostFault},
    server::serve,
};

/// Time for which the store keeps its history.
pub const HISTORY: Duration = Duration::from_secs(20);
/// Number of items of a page.
const PAGE_ITEMS: usize = 500;
/// Limit on reading calls per second, of all hosts together.
const READS_PER_S: f64 = 2_000.0;

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    /// Number of the last change of items or faults, for those who wait.
    changes: watch::Sender<u64>,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Event>,
    /// Revision up to which the history is no longer held.
    dropped: u64,
    faults: Faults,
    reads: Reads,
}

#[derive(Clone)]
struct Item {
    value: Arc<str>,
    rev: u64,
    created: u64,
}

#[derive(Clone)]
struct Event {
    at: Instant,
    rev: u64,
    key: String,
    /// The item, unless it was removed.
    item: Option<Item>,
}

/// Reading calls that may be made now.
struct Reads {
    left: f64,
    filled: Instant,
}

/// Items of a page, or changes.
struct Page {
    entries: Vec<(String, u64, Option<Item>)>,
    has_more: bool,
    revision: u64,
}

impl Store {
    pub fn new(hosts: usize) -> Self {
        let state = State {
            revision: 1,
            items: BTreeMap::new(),
            history: VecDeque::new(),
            dropped: 0,
            faults: Faults::new(hosts),
            reads: Reads { left: READS_PER_S, filled: Instant::now() },
        };
        Store { state: Arc::new(Mutex::new(state)), changes: watch::Sender::new(0) }
    }

    /// Writes an item; its return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let rev = state.revision;
        let created = state.items.get(key).map_or(rev, |it| it.created);
        let item = Item { value: value.into(), rev, created };
        state.items.insert(key.to_owned(), item.clone());
        state.add_event(rev, key, Some(item));
        drop(state);
        self.wake();
    }

    /// Removes an item; its return is the acknowledgement.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let rev = state.revision;
        state.add_event(rev, key, None);
        drop(state);
        self.wake();
    }

    /// Drops the history, so that those who follow it must read anew.
    pub fn drop_history(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.dropped = state.revision;
        drop(state);
        self.wake();
    }

    /// Changes the faults that are in effect.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
        self.wake();
    }

    fn wake(&self) {
        self.changes.send_modify(|it| *it += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn add_event(&mut self, rev: u64, key: &str, item: Option<Item>) {
        let at = Instant::now();
        self.history.push_back(Event { at, rev, key: key.to_owned(), item });
        while let Some(oldest) = self.history.front()
            && at.duration_since(oldest.at) > HISTORY
        {
            self.dropped = oldest.rev;
            self.history.pop_front();
        }
    }

    /// Takes a reading call from the allowance; returns false if none is left.
    fn take_read(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.reads.filled).as_secs_f64() * READS_PER_S;
        self.reads.left = (self.reads.left + gained).min(READS_PER_S);
        self.reads.filled = now;
        let is_left = self.reads.left >= 1.0;
        if is_left {
            self.reads.left -= 1.0;
        }
        is_left
    }

    fn range(&self, prefix: &str, after: &str) -> Page {
        let of_prefix = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut rest = of_prefix.filter(|(key, _)| key.as_str() > after);
        let first = rest.by_ref().take(PAGE_ITEMS);
        let entries = first.map(|(key, it)| (key.clone(), it.rev, Some(it.clone()))).collect();
        Page { entries, has_more: rest.next().is_some(), revision: self.revision }
    }

    /// Returns the changes after a revision, or `None` if the history is gone.
    fn changes(&self, prefix: &str, after: u64) -> Option<Page> {
        if after < self.dropped {
            return None;
        }
        let start = self.history.partition_point(|it| it.rev <= after);
        let new = self.history.range(start..).filter(|it| it.key.starts_with(prefix));
        let entries = new.map(|it| (it.key.clone(), it.rev, it.item.clone())).collect();
        Some(Page { entries, has_more: false, revision: self.revision })
    }
}
