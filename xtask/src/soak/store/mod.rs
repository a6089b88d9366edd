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
    /// Rises each time that the store is restored.
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes, from which older copies are made.
    log: Vec<Event>,
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

/// Changes that the store lost.
pub struct Lost {
    /// Revision of the copy from which it was restored.
    copy: u64,
    /// What each key held last, unless it was removed.
    values: BTreeMap<String, Option<Arc<str>>>,
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
            era: 1,
            revision: 1,
            items: BTreeMap::new(),
            log: Vec::new(),
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

    /// Restores the store from a copy made at `copied_at`; its revisions since are given out
    /// again. Returns what was lost.
    pub fn restore(&self, copied_at: Instant) -> Lost {
        let mut state = self.lock();
        let kept = state.log.partition_point(|it| it.at <= copied_at);
        let lost = state.log.split_off(kept);
        let value = |it: Event| (it.key, it.item.map(|it| it.value));
        let values = lost.into_iter().map(value).collect();
        state.era += 1;
        state.revision = state.log.last().map_or(1, |it| it.rev);
        state.history = state.log.iter().cloned().collect();
        state.dropped = 0;
        let mut items = BTreeMap::new();
        for Event { key, item, .. } in &state.log {
            match item {
                Some(item) => items.insert(key.clone(), item.clone()),
                None => items.remove(key),
            };
        }
        state.items = items;
        let copy = state.revision;
        drop(state);
        self.wake();
        Lost { copy, values }
    }

    /// Writes again what was lost, but for keys that were written since.
    pub fn write_again(&self, lost: Lost) {
        for (key, value) in lost.values {
            let is_written = self.lock().log.iter().any(|it| it.rev > lost.copy && it.key == key);
            match value {
                _ if is_written => {}
                Some(value) => self.put(&key, &value),
                None => self.remove(&key),
            }
        }
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
        let event = Event { at, rev, key: key.to_owned(), item };
        self.log.push(event.clone());
        self.history.push_back(event);
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
        if after < self.dropped || after > self.revision {
            return None;
        }
        let start = self.history.partition_point(|it| it.rev <= after);
        let new = self.history.range(start..).filter(|it| it.key.starts_with(prefix));
        let entries = new.map(|it| (it.key.clone(), it.rev, it.item.clone())).collect();
        Some(Page { entries, has_more: false, revision: self.revision })
    }
}
