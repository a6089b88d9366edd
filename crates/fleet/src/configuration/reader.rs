//! Reading the platform: long polls by the few hosts that watch, rare direct
//! reads by the others when they hear nothing.

use std::{sync::Arc, time::Duration};

use base::{HashMap, Revision, Time};
use rand::{Rng, rngs::SmallRng};

use super::Store;
use crate::{message::DocumentRecord, node::IndexEntry};

/// A watcher's poll waits this long for news; short, since a connection may go
/// silent during it.
const POLL_WAIT: Duration = Duration::from_secs(3);

/// A fresh host asks its peers first for this long.
const START_DELAY: Duration = Duration::from_secs(1);

/// A call without an answer counts as failed after its wait and this.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Shortest time between two index reads of one host.
const MIN_INDEX_INTERVAL: Duration = Duration::from_millis(250);

/// A poll that was cut short without news is not repeated sooner.
const EMPTY_INDEX_INTERVAL: Duration = Duration::from_secs(1);

/// Time before the next call after a failed one, and its bound as it doubles.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Documents asked for at once.
const MAX_READS_AT_ONCE: usize = 8;

/// Calls that may be saved up.
const BURST_CALLS: f64 = 8.0;

/// How often this host may call the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    pub(crate) is_watcher: bool,
    pub(crate) calls_per_second: f64,
    /// No peer was heard lately, so this host must look for itself.
    pub(crate) is_alone: bool,
}

/// A call to make.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Request {
    Index { after: Revision, wait: Duration },
    Document { key: Arc<str> },
}

#[derive(Debug)]
pub(crate) struct Reader {
    next_index: Time,
    /// When the poll under way counts as failed.
    polling_until: Option<Time>,
    asked_after: Revision,
    asked_at: Time,
    batch: Option<Batch>,
    backoff: Duration,
    tokens: f64,
    filled: Time,
    /// The platform's revision, when it was below this host's.
    behind: Option<Revision>,
}

/// Documents being read to complete one answer of the index.
#[derive(Debug)]
struct Batch {
    after: Revision,
    upto: Revision,
    to_ask: Vec<(Arc<str>, Revision)>,
    /// Asked for, with the revision listed; an older one will not do.
    asked: HashMap<Arc<str>, Revision>,
    expires: Time,
}

impl Reader {
    pub(crate) fn new(now: Time) -> Reader {
        Reader {
            next_index: now + START_DELAY,
            polling_until: None,
            asked_after: Revision(0),
            asked_at: now,
            batch: None,
            backoff: MIN_BACKOFF,
            tokens: 1.0,
            filled: now,
            behind: None,
        }
    }

    /// The platform's revision, if it is older than what this host holds.
    pub(crate) fn behind(&self) -> Option<Revision> {
        self.behind
    }

    pub(crate) fn next_wakeup(&self, now: Time, rate: Rate) -> Option<Time> {
        if let Some(batch) = &self.batch {
            let can_ask = !batch.to_ask.is_empty() && batch.asked.len() < MAX_READS_AT_ONCE;
            let refill = Duration::from_secs_f64(1.0 / rate.calls_per_second);
            let next = if can_ask { now + refill } else { batch.expires };
            return Some(next.min(batch.expires));
        }
        let is_due = rate.is_watcher || rate.is_alone;
        self.polling_until.or(is_due.then_some(self.next_index))
    }

    pub(crate) fn tick(
        &mut self,
        now: Time,
        store: &Store,
        rate: Rate,
        rng: &mut SmallRng,
    ) -> Vec<Request> {
        self.refill(now, rate);
        let is_late = self.polling_until.is_some_and(|it| it <= now);
        if is_late || self.batch.as_ref().is_some_and(|it| it.expires <= now) {
            self.failed(now, rng);
        }
        let mut requests = Vec::new();
        self.ask_documents(&mut requests);
        let is_idle = self.polling_until.is_none() && self.batch.is_none();
        let may_poll = rate.is_watcher || rate.is_alone;
        if is_idle && may_poll && self.next_index <= now && self.spend() {
            let wait = if rate.is_watcher { POLL_WAIT } else { Duration::ZERO };
            self.polling_until = Some(now + wait + CALL_TIMEOUT);
            self.asked_after = store.complete();
            self.asked_at = now;
            requests.push(Request::Index { after: store.complete(), wait });
        }
        requests
    }

    fn refill(&mut self, now: Time, rate: Rate) {
        let gained = now.since(self.filled).as_secs_f64() * rate.calls_per_second;
        self.tokens = (self.tokens + gained).min(BURST_CALLS);
        self.filled = now;
    }

    fn spend(&mut self) -> bool {
        let can = self.tokens >= 1.0;
        if can {
            self.tokens -= 1.0;
        }
        can
    }

    fn ask_documents(&mut self, requests: &mut Vec<Request>) {
        let Some(mut batch) = self.batch.take() else { return };
        while batch.asked.len() < MAX_READS_AT_ONCE && !batch.to_ask.is_empty() && self.spend() {
            let Some((key, revision)) = batch.to_ask.pop() else { break };
            batch.asked.insert(Arc::clone(&key), revision);
            requests.push(Request::Document { key });
        }
        self.batch = Some(batch);
    }

    /// Takes an answer of the index. True if it completed the store.
    pub(crate) fn index(
        &mut self,
        now: Time,
        revision: Revision,
        entries: &[IndexEntry],
        store: &mut Store,
    ) -> bool {
        if self.polling_until.take().is_none() {
            return false;
        }
        self.backoff = MIN_BACKOFF;
        let was_short = now.since(self.asked_at) < EMPTY_INDEX_INTERVAL && entries.is_empty();
        let interval = if was_short { EMPTY_INDEX_INTERVAL } else { MIN_INDEX_INTERVAL };
        self.next_index = now + interval;
        // A stale replica or a restored platform: what it says may be older
        // than what is in force, and is not taken.
        self.behind = (revision < store.complete()).then_some(revision);
        if self.behind.is_some() {
            return false;
        }
        let mut to_ask = Vec::new();
        for entry in entries {
            if entry.revision <= store.held(&entry.key) {
                continue;
            }
            if entry.is_deleted {
                let (key, revision) = (Arc::clone(&entry.key), entry.revision);
                store.take(DocumentRecord { key, revision, text: None });
            } else {
                to_ask.push((Arc::clone(&entry.key), entry.revision));
            }
        }
        let after = self.asked_after;
        if to_ask.is_empty() {
            store.advance(after, revision);
            store.confirm();
            return true;
        }
        let expires = now + CALL_TIMEOUT * 2;
        let asked = HashMap::default();
        self.batch = Some(Batch { after, upto: revision, to_ask, asked, expires });
        false
    }

    /// Takes a document. True if it completed the store.
    pub(crate) fn document(
        &mut self,
        now: Time,
        record: DocumentRecord,
        store: &mut Store,
        rng: &mut SmallRng,
    ) -> bool {
        let Some(batch) = &mut self.batch else { return false };
        let Some(listed) = batch.asked.remove(&record.key) else { return false };
        if record.revision < listed {
            self.failed(now, rng);
            return false;
        }
        batch.expires = now + CALL_TIMEOUT * 2;
        store.take(record);
        if !batch.asked.is_empty() || !batch.to_ask.is_empty() {
            return false;
        }
        let (after, upto) = (batch.after, batch.upto);
        self.batch = None;
        store.advance(after, upto);
        store.confirm();
        true
    }

    /// The document listed is not there: the replicas differ, so ask anew.
    pub(crate) fn missing(&mut self, now: Time, key: &str, rng: &mut SmallRng) {
        let is_asked = self.batch.as_ref().is_some_and(|it| it.asked.contains_key(key));
        if is_asked {
            self.failed(now, rng);
        }
    }

    /// Gives up what is under way and tries again later.
    pub(crate) fn failed(&mut self, now: Time, rng: &mut SmallRng) {
        self.polling_until = None;
        self.batch = None;
        self.next_index = now + self.backoff.mul_f64(0.5 + rng.random::<f64>());
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
