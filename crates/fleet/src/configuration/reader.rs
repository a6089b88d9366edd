//! Reads of the platform: long polls by the few watchers, and rare direct reads
//! by other hosts when they receive nothing from peers.

use std::{sync::Arc, time::Duration};

use base::{HashMap, Revision, Time};
use rand::{Rng, rngs::SmallRng};

use super::Store;
use crate::message::DocumentRecord;

/// Time for which a watcher's long poll waits for changes; short, because a
/// connection may become silent during the poll.
const POLL_WAIT: Duration = Duration::from_secs(3);

/// Time after its start before a host reads the platform; until then it relies
/// on its peers.
const START_DELAY: Duration = Duration::from_secs(1);

/// Timeout of a call, in addition to the wait of a long poll.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time between two index reads of one host.
const MIN_INDEX_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time before the next index read after a poll that returned early
/// without changes.
const EMPTY_INDEX_INTERVAL: Duration = Duration::from_secs(1);

/// First and longest backoff after a failed call; it doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Maximum number of concurrent document reads.
const MAX_READS_AT_ONCE: usize = 8;

/// Maximum number of unused calls that accumulate for a burst.
const BURST_CALLS: f64 = 8.0;

/// An entry of the platform's index of documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    pub key: Arc<str>,
    pub revision: Revision,
    pub is_deleted: bool,
}

/// Determines whether and how often this host calls the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    pub(crate) is_watcher: bool,
    pub(crate) calls_per_second: f64,
    /// No peer was in contact recently, or the configuration is still unconfirmed
    /// some time after the start; this host then reads the platform itself.
    pub(crate) is_isolated: bool,
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Request {
    Index { after: Revision, wait: Duration },
    Document { key: Arc<str> },
}

#[derive(Debug)]
pub(crate) struct Reader {
    next_index: Time,
    /// When the pending poll counts as failed.
    poll_deadline: Option<Time>,
    polled_after: Revision,
    polled_at: Time,
    batch: Option<Batch>,
    backoff: Duration,
    tokens: f64,
    refilled_at: Time,
    /// The platform's last reported revision if it was below this host's.
    older_revision: Option<Revision>,
}

/// Document reads for one answer of the index.
#[derive(Debug)]
struct Batch {
    after: Revision,
    upto: Revision,
    to_read: Vec<(Arc<str>, Revision)>,
    /// Pending reads with the revision listed in the index; an older one is not
    /// accepted.
    reading: HashMap<Arc<str>, Revision>,
    expires: Time,
}

impl Reader {
    pub(crate) fn new(now: Time) -> Reader {
        Reader {
            next_index: now + START_DELAY,
            poll_deadline: None,
            polled_after: Revision(0),
            polled_at: now,
            batch: None,
            backoff: MIN_BACKOFF,
            tokens: 1.0,
            refilled_at: now,
            older_revision: None,
        }
    }

    /// Returns the platform's last reported revision if it is older than the one
    /// that this host holds.
    pub(crate) fn older_revision(&self) -> Option<Revision> {
        self.older_revision
    }

    pub(crate) fn next_wakeup(&self, now: Time, rate: Rate) -> Option<Time> {
        if let Some(batch) = &self.batch {
            let can_read = !batch.to_read.is_empty() && batch.reading.len() < MAX_READS_AT_ONCE;
            let refill = Duration::from_secs_f64(1.0 / rate.calls_per_second);
            let next = if can_read { now + refill } else { batch.expires };
            return Some(next.min(batch.expires));
        }
        let is_due = rate.is_watcher || rate.is_isolated;
        self.poll_deadline.or(is_due.then_some(self.next_index))
    }

    pub(crate) fn tick(
        &mut self,
        now: Time,
        store: &Store,
        rate: Rate,
        rng: &mut SmallRng,
    ) -> Vec<Request> {
        self.refill(now, rate);
        let is_poll_overdue = self.poll_deadline.is_some_and(|it| it <= now);
        if is_poll_overdue || self.batch.as_ref().is_some_and(|it| it.expires <= now) {
            self.handle_failure(now, rng);
        }
        let mut requests = Vec::new();
        self.read_documents(&mut requests);
        let is_idle = self.poll_deadline.is_none() && self.batch.is_none();
        let can_poll = rate.is_watcher || rate.is_isolated;
        if is_idle && can_poll && self.next_index <= now && self.take_token() {
            let wait = if rate.is_watcher { POLL_WAIT } else { Duration::ZERO };
            self.poll_deadline = Some(now + wait + CALL_TIMEOUT);
            self.polled_after = store.complete_revision();
            self.polled_at = now;
            requests.push(Request::Index { after: store.complete_revision(), wait });
        }
        requests
    }

    fn refill(&mut self, now: Time, rate: Rate) {
        let gained = now.since(self.refilled_at).as_secs_f64() * rate.calls_per_second;
        self.tokens = (self.tokens + gained).min(BURST_CALLS);
        self.refilled_at = now;
    }

    fn take_token(&mut self) -> bool {
        let can = self.tokens >= 1.0;
        if can {
            self.tokens -= 1.0;
        }
        can
    }

    fn read_documents(&mut self, requests: &mut Vec<Request>) {
        let Some(mut batch) = self.batch.take() else { return };
        while batch.reading.len() < MAX_READS_AT_ONCE
            && !batch.to_read.is_empty()
            && self.take_token()
        {
            let Some((key, revision)) = batch.to_read.pop() else { break };
            batch.reading.insert(Arc::clone(&key), revision);
            requests.push(Request::Document { key });
        }
        self.batch = Some(batch);
    }

    /// Handles an answer of the index. Returns whether the store is complete up to
    /// its revision.
    pub(crate) fn handle_index(
        &mut self,
        now: Time,
        revision: Revision,
        entries: &[IndexEntry],
        store: &mut Store,
    ) -> bool {
        if self.poll_deadline.take().is_none() {
            return false;
        }
        self.backoff = MIN_BACKOFF;
        let was_cut_short = now.since(self.polled_at) < EMPTY_INDEX_INTERVAL && entries.is_empty();
        let interval = if was_cut_short { EMPTY_INDEX_INTERVAL } else { MIN_INDEX_INTERVAL };
        self.next_index = now + interval;
        // A stale replica or a platform restored from a backup: its documents
        // may be older than those in force, so they are not used.
        self.older_revision = (revision < store.complete_revision()).then_some(revision);
        if self.older_revision.is_some() {
            return false;
        }
        let mut to_read = Vec::new();
        for entry in entries {
            if entry.revision <= store.held_revision(&entry.key) {
                continue;
            }
            if entry.is_deleted {
                let (key, revision) = (Arc::clone(&entry.key), entry.revision);
                store.insert(DocumentRecord { key, revision, text: None });
            } else {
                to_read.push((Arc::clone(&entry.key), entry.revision));
            }
        }
        let after = self.polled_after;
        if to_read.is_empty() {
            store.advance(after, revision);
            store.confirm();
            return true;
        }
        let expires = now + CALL_TIMEOUT * 2;
        let reading = HashMap::default();
        self.batch = Some(Batch { after, upto: revision, to_read, reading, expires });
        false
    }

    /// Handles a document. Returns whether it was the last one of the batch and
    /// completed the store.
    pub(crate) fn handle_document(
        &mut self,
        now: Time,
        record: DocumentRecord,
        store: &mut Store,
        rng: &mut SmallRng,
    ) -> bool {
        let Some(batch) = &mut self.batch else { return false };
        let Some(listed) = batch.reading.remove(&record.key) else { return false };
        if record.revision < listed {
            self.handle_failure(now, rng);
            return false;
        }
        batch.expires = now + CALL_TIMEOUT * 2;
        store.insert(record);
        if !batch.reading.is_empty() || !batch.to_read.is_empty() {
            return false;
        }
        let (after, upto) = (batch.after, batch.upto);
        self.batch = None;
        store.advance(after, upto);
        store.confirm();
        true
    }

    /// Handles the absence of a listed document: the replicas differ, so the index
    /// is read again.
    pub(crate) fn handle_missing(&mut self, now: Time, key: &str, rng: &mut SmallRng) {
        let is_reading = self.batch.as_ref().is_some_and(|it| it.reading.contains_key(key));
        if is_reading {
            self.handle_failure(now, rng);
        }
    }

    /// Abandons the pending calls and retries after the backoff.
    pub(crate) fn handle_failure(&mut self, now: Time, rng: &mut SmallRng) {
        self.poll_deadline = None;
        self.batch = None;
        self.next_index = now + self.backoff.mul_f64(0.5 + rng.random::<f64>());
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
