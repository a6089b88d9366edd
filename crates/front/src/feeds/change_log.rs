//! The latest changes of each feed, kept for hosts that follow this one.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    time::Duration,
};

use base::Time;
use forward::{FeedProgress, Position, Provenance};
use tokio::sync::{Notify, futures::Notified};

use super::{Batch, Feed, Item};

/// Limit of items kept. A host that follows has read more recent ones.
const MAX_ITEMS: usize = 4_096;

/// What this host has got of all feeds.
#[derive(Debug)]
#[derive(Default)]
pub(crate) struct ChangeLogs {
    targets: ChangeLog,
    operations: ChangeLog,
}

#[derive(Debug)]
#[derive(Default)]
pub(crate) struct ChangeLog {
    state: RefCell<State>,
    /// Whether this host reads the feed at the source.
    is_live: Cell<bool>,
    progress: Cell<FeedProgress>,
    changed: Notify,
}

#[derive(Debug)]
#[derive(Default)]
struct State {
    /// All changes after this revision are kept.
    start: u64,
    position: Position,
    entries: VecDeque<Entry>,
    items: usize,
}

#[derive(Debug)]
struct Entry {
    revision: u64,
    items: Vec<Item>,
    /// Time from which on the changes were made.
    since: Time,
}

/// What a host that follows gets.
#[derive(Debug)]
pub(crate) enum Changes {
    Some(Batch),
    /// None yet.
    None,
    /// They are no longer kept.
    Gone,
}

impl ChangeLogs {
    pub(crate) fn of(&self, feed: Feed) -> &ChangeLog {
        match feed {
            Feed::Targets => &self.targets,
            Feed::Operations => &self.operations,
        }
    }

    /// Records that this host runs and reads what has come in.
    pub(crate) fn record_running(&self, now: Time) {
        for log in [&self.targets, &self.operations] {
            log.update_progress(|it| it.record_running(now));
        }
    }

    /// Returns whether this host reads all feeds at the source.
    pub(crate) fn are_live(&self) -> bool {
        self.targets.is_live() && self.operations.is_live()
    }
}

impl ChangeLog {
    /// Drops all changes; the feed was read completely at `position`.
    pub(crate) fn restart(&self, position: Position) {
        *self.state.borrow_mut() = State { start: position.revision, position, ..State::default() };
        self.changed.notify_waiters();
    }

    /// Adds changes that lead to `revision` and are at most `age` old.
    pub(crate) fn push(&self, revision: u64, items: &[Item], age: Duration, now: Time) {
        let mut state = self.state.borrow_mut();
        state.position.revision = state.position.revision.max(revision);
        if items.is_empty() {
            return;
        }
        state.items += items.len();
        state.entries.push_back(Entry { revision, items: items.to_vec(), since: now.ago(age) });
        while state.items > MAX_ITEMS
            && let Some(dropped) = state.entries.pop_front()
        {
            state.items -= dropped.items.len();
            state.start = dropped.revision;
        }
        self.changed.notify_waiters();
    }

    pub(crate) fn set_live(&self, is_live: bool) {
        if self.is_live.replace(is_live) != is_live {
            self.changed.notify_waiters();
        }
    }

    pub(crate) fn is_live(&self) -> bool {
        self.is_live.get()
    }

    pub(crate) fn progress(&self) -> FeedProgress {
        self.progress.get()
    }

    pub(crate) fn update_progress(&self, update: impl FnOnce(&mut FeedProgress)) {
        let mut progress = self.progress.get();
        update(&mut progress);
        self.progress.set(progress);
    }

    /// Records that state of a `peer` was applied, whose changes are known until
    /// `known_until` if it says so.
    pub(crate) fn record_replaced(&self, peer: SocketAddr, known_until: Option<Time>) {
        self.update_progress(FeedProgress::forget_position);
        if let Some(until) = known_until {
            self.update_progress(|it| it.record_complete(until, Provenance::Peer(peer)));
        }
    }

    pub(crate) fn position(&self) -> Position {
        self.state.borrow().position
    }

    /// Completes at the next change of this log.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Returns the changes after a position, whose epoch a host of an earlier build doesn't
    /// state.
    pub(crate) fn after(&self, position: Position, now: Time) -> Changes {
        let state = self.state.borrow();
        let is_of_epoch = position.epoch.is_none() || position.epoch == state.position.epoch;
        if !is_of_epoch || position.revision < state.start {
            return Changes::Gone;
        }
        let is_newer = |it: &&Entry| it.revision > position.revision;
        let newer: Vec<&Entry> = state.entries.iter().filter(is_newer).collect();
        let Some(since) = newer.iter().map(|it| it.since).min() else { return Changes::None };
        Changes::Some(Batch {
            items: newer.iter().flat_map(|it| it.items.iter().cloned()).collect(),
            position: state.position,
            age: Some(now.since(since)),
            behind: Some(Duration::ZERO),
            proof: None,
        })
    }
}
