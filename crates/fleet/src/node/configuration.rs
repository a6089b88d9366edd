//! Configuration messages and the platform.

use std::{net::SocketAddr, time::Duration};

use base::{HostName, Revision, Time};

use super::{Action, Input, Node};
use crate::{
    configuration::{Rate, Request},
    membership::{Prober, host_hash},
    message::{Body, DocumentRecord, Documents, Record},
};

/// A pull without an answer may be repeated after this.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// A host that heard no peer for this long reads the platform itself.
const SILENCE: Duration = Duration::from_secs(10);

/// A fresh host reads the platform itself if no peer answered by then.
const START_SILENCE: Duration = Duration::from_secs(1);

/// Calls to the platform a second: of all watchers together, and of all
/// hosts that read for themselves together.
const WATCHER_CALLS: f64 = 500.0;
const LAST_RESORT_CALLS: f64 = 1_000.0;

/// A host that knows few others still assumes a fleet of this size.
const MIN_FLEET: usize = 16;

/// Hosts that each host tells of a new revision.
const TREE_FANOUT: usize = 4;

/// Pulls from peers.
#[derive(Debug, Default)]
pub(super) struct Pulling {
    /// When the last pull was sent.
    sent: Option<Time>,
    /// Root of the tree that the news came by.
    root: Option<HostName>,
    /// Highest revision that any peer claims as confirmed.
    newest_heard: Revision,
    /// Revision that was passed on last.
    announced: Revision,
}

impl Pulling {
    pub(super) fn newest_heard(&self) -> Revision {
        self.newest_heard
    }

    /// Whether an answer to a pull is still awaited.
    pub(super) fn is_under_way(&self, now: Time) -> bool {
        self.sent.is_some_and(|it| now.since(it) < PULL_TIMEOUT)
    }
}

impl Node {
    pub(super) fn rate(&self, now: Time) -> Rate {
        let since = self.last_heard.unwrap_or(self.started);
        let is_fresh = !self.store.is_confirmed() && now.since(self.started) >= START_SILENCE;
        let is_alone = is_fresh || now.since(since) >= SILENCE;
        let hosts = self.table.len().max(MIN_FLEET) as f64;
        let watchers = (self.table.domains().count() * super::WATCHERS).max(1) as f64;
        let calls_per_second =
            if self.is_watcher { WATCHER_CALLS / watchers } else { LAST_RESORT_CALLS / hosts };
        Rate { is_watcher: self.is_watcher, calls_per_second, is_alone }
    }

    pub(super) fn read_platform(&mut self, now: Time) {
        let rate = self.rate(now);
        for request in self.reader.tick(now, &self.store, rate, &mut self.rng) {
            self.out.push(match request {
                Request::Index { after, wait } => Action::ReadIndex { after, wait },
                Request::Document { key } => Action::ReadDocument { key },
            });
        }
    }

    pub(super) fn take_platform(&mut self, now: Time, input: Input) {
        match input {
            Input::PlatformIndex { revision, entries } => {
                self.reader.index(now, revision, &entries, &mut self.store);
            }
            Input::PlatformDocument { key, revision, text } => {
                let record = DocumentRecord { key, revision, text: Some(text) };
                self.reader.document(now, record, &mut self.store, &mut self.rng);
            }
            Input::PlatformDocumentMissing { key } => self.reader.missing(now, &key, &mut self.rng),
            _ => self.reader.failed(now, &mut self.rng),
        }
    }

    pub(super) fn take_spread(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: &HostName,
        body: Body,
    ) {
        match body {
            Body::Announce { root, revision } => {
                self.hear_revision(now, from, revision, true, Some(root));
            }
            Body::Pull { after } => {
                let documents = self.store.documents_after(after);
                self.send(from, Body::Documents(documents));
            }
            Body::Documents(documents) => self.take_documents(now, from, sender, documents),
            _ => {}
        }
    }

    /// A peer is complete up to `revision`: pulls if that is news.
    pub(super) fn hear_revision(
        &mut self,
        now: Time,
        from: SocketAddr,
        revision: Revision,
        is_confirmed: bool,
        root: Option<HostName>,
    ) {
        if is_confirmed {
            self.pulling.newest_heard = self.pulling.newest_heard.max(revision);
        }
        if revision <= self.store.complete() {
            if is_confirmed {
                self.store.confirm();
            }
            return;
        }
        if self.pulling.is_under_way(now) {
            return;
        }
        self.pulling.root = root;
        self.pull(now, from);
    }

    fn pull(&mut self, now: Time, from: SocketAddr) {
        self.pulling.sent = Some(now);
        let after = self.store.complete();
        self.send(from, Body::Pull { after });
    }

    fn take_documents(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: &HostName,
        documents: Documents,
    ) {
        self.pulling.sent = None;
        let Documents { after, upto, revision, is_confirmed, records } = documents;
        for record in records {
            self.store.take(record);
        }
        let has_advanced = self.store.advance(after, upto);
        self.table.note_revision(sender, self.sender_incarnation(sender), revision);
        if self.store.complete() >= revision {
            if is_confirmed {
                self.store.confirm();
            }
        } else if has_advanced {
            self.pull(now, from);
        }
    }

    fn sender_incarnation(&self, sender: &HostName) -> base::Incarnation {
        self.table.record(sender).map(|it| it.incarnation).unwrap_or_default()
    }

    /// Passes a new revision on, down the tree that it came by.
    pub(super) fn spread_configuration(&mut self, now: Time) {
        let revision = self.store.complete();
        let is_news = revision > self.pulling.announced && self.store.is_confirmed();
        if !is_news || self.pulling.is_under_way(now) {
            return;
        }
        self.pulling.announced = revision;
        let root = self.pulling.root.take().unwrap_or_else(|| self.cfg.host.clone());
        let mut to = self.children(&root);
        to.extend(Prober::other_speakers(&self.table, &mut self.rng));
        for address in to {
            self.send(address, Body::Announce { root: root.clone(), revision });
        }
    }

    /// Hosts below this one in the tree of its domain rooted at `root`.
    fn children(&self, root: &HostName) -> Vec<SocketAddr> {
        let own = self.table.own();
        let salt = host_hash(root);
        let mut hosts: Vec<&Record> = self.table.up(&own.domain).collect();
        let is_here = hosts.iter().any(|it| it.host == *root);
        let root = if is_here { root } else { &own.host };
        let rank =
            |it: &&Record| (it.host != *root, crate::hash::combine(host_hash(&it.host), salt));
        hosts.sort_by_cached_key(rank);
        let Some(at) = hosts.iter().position(|it| it.host == own.host) else { return Vec::new() };
        let below = hosts.iter().skip(at * TREE_FANOUT + 1).take(TREE_FANOUT);
        below.map(|it| it.address).collect()
    }
}
