//! Documents as a log of revisions. A stale replica shows the log only up to its
//! `stale_at`.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base::Revision;
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time};

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IndexEntry {
    pub key: String,
    #[serde(default)]
    pub epoch: u64,
    pub revision: u64,
    pub deleted: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Index {
    /// Epoch of `revision`.
    #[serde(default)]
    pub epoch: u64,
    pub revision: u64,
    pub documents: Vec<IndexEntry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    Live,
    Leaving,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Host {
    pub host: String,
    pub domain: String,
    pub address: String,
    pub state: HostState,
}

/// Outage that a replica simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    #[default]
    None,
    /// Requests are answered with status 503.
    Refuse,
    /// Requests are never answered.
    Hang,
}

/// Simulated faults of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct ReplicaFaults {
    pub outage: Outage,
    /// Newest revision that the replica shows; none shows all.
    pub stale_at: Option<u64>,
}

#[derive(Clone, Debug)]
struct LogEntry {
    key: String,
    revision: Revision,
    text: Option<Arc<str>>,
}

#[derive(Default)]
struct State {
    /// Times that the platform was restored.
    epoch: u64,
    log: Vec<LogEntry>,
    replicas: BTreeMap<usize, ReplicaFaults>,
    /// Lists of hosts, each with the time from which it is visible.
    hosts: Vec<(Instant, Vec<Host>)>,
    calls: u64,
}

/// State of the platform, shared by its replicas: documents, hosts and faults.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        Store { state: Arc::default(), changed: watch::channel(0).0 }
    }
}

impl Store {
    /// Writes a document, or deletes it if `text` is none. Returns the revision of
    /// the write.
    pub fn write(&self, key: &str, text: Option<&str>) -> Revision {
        let mut state = self.lock();
        let revision = state.at(state.revision().number() + 1);
        let text = text.map(Arc::from);
        state.log.push(LogEntry { key: key.to_owned(), revision, text });
        drop(state);
        self.notify();
        revision
    }

    /// Discards all writes after a revision, as restoring a backup does, and begins a new
    /// epoch. Later writes use the discarded numbers again.
    pub fn restore(&self, revision: u64) {
        let mut state = self.lock();
        state.log.retain(|it| it.revision.0 <= revision);
        state.epoch += 1;
        drop(state);
        self.notify();
    }

    pub fn revision(&self) -> u64 {
        self.lock().revision().0
    }

    pub fn set_replica_faults(&self, replica: usize, faults: ReplicaFaults) {
        self.lock().replicas.insert(replica, faults);
        self.notify();
    }

    /// Sets the list of hosts, visible after `lag`.
    pub fn set_hosts(&self, hosts: Vec<Host>, lag: Duration) {
        self.lock().hosts.push((Instant::now() + lag, hosts));
    }

    pub fn hosts(&self) -> Vec<Host> {
        let now = Instant::now();
        let state = self.lock();
        let visible = state.hosts.iter().rev().find(|(from, _)| *from <= now);
        visible.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    pub fn count_call(&self) {
        self.lock().calls += 1;
    }

    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    pub fn outage(&self, replica: usize) -> Outage {
        self.lock().replica(replica).outage
    }

    /// Returns the entries that are newer than `after`, as one replica shows them.
    pub fn index(&self, replica: usize, after: Revision) -> Index {
        let state = self.lock();
        let latest_entries = state.latest_entries(replica);
        let entries = latest_entries.values().filter(|it| it.revision > after);
        let entry = |it: &LogEntry| IndexEntry {
            key: it.key.clone(),
            epoch: it.revision.epoch(),
            revision: it.revision.number(),
            deleted: it.text.is_none(),
        };
        let revision = state.shown_revision(replica);
        Index {
            epoch: revision.epoch(),
            revision: revision.number(),
            documents: entries.map(|it| entry(it)).collect(),
        }
    }

    /// Returns the index as [`Store::index`] does, as soon as it has an entry or
    /// `wait` has passed.
    pub async fn watch(&self, replica: usize, after: Revision, wait: Duration) -> Index {
        let mut changed = self.changed.subscribe();
        let deadline = time::Instant::now() + wait;
        loop {
            let index = self.index(replica, after);
            if !index.documents.is_empty() {
                return index;
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = time::sleep_until(deadline) => return index,
            }
        }
    }

    /// Returns the newest text of a document and its revision, as one replica shows
    /// them; none if the document is deleted or unknown.
    pub fn document(&self, replica: usize, key: &str) -> Option<(Arc<str>, Revision)> {
        let state = self.lock();
        let latest_entries = state.latest_entries(replica);
        let entry = latest_entries.get(key)?;
        Some((entry.text.clone()?, entry.revision))
    }

    fn notify(&self) {
        self.changed.send_modify(|it| *it += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn revision(&self) -> Revision {
        self.at(self.log.last().map_or(0, |it| it.revision.number()))
    }

    /// Returns the revision of change `number` of this epoch. No stand-in runs for so long
    /// that it is out of range.
    fn at(&self, number: u64) -> Revision {
        Revision::in_epoch(self.epoch, number).unwrap_or_default()
    }

    /// Returns the newest revision that a replica shows.
    fn shown_revision(&self, replica: usize) -> Revision {
        if self.replica(replica).stale_at.is_none() {
            return self.revision();
        }
        let shown = self.latest_entries(replica);
        shown.values().map(|it| it.revision).max().unwrap_or_default()
    }

    fn replica(&self, replica: usize) -> ReplicaFaults {
        self.replicas.get(&replica).cloned().unwrap_or_default()
    }

    fn latest_entries(&self, replica: usize) -> BTreeMap<&str, &LogEntry> {
        let limit = self.replica(replica).stale_at.unwrap_or(u64::MAX);
        let visible = self.log.iter().filter(|it| it.revision.0 <= limit);
        visible.map(|it| (it.key.as_str(), it)).collect()
    }
}
