//! Configuration messages between hosts, and reads of the platform.

use std::{net::SocketAddr, time::Duration};

use base::{HostName, Revision, Time};

use super::{Action, Input, Node};
use crate::{
    configuration::{Rate, Request},
    membership::{Prober, host_hash},
    message::{Body, DocumentRecord, Documents, Record},
};

/// Time after which an unanswered pull may be repeated.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without messages from peers after which a host reads the platform
/// itself.
const PEER_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after its start when a host reads the platform itself if its
/// configuration is not confirmed yet.
const START_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits on platform calls per second: for all watchers together, and for all
/// other hosts together.
const WATCHER_CALLS_PER_SECOND: f64 = 500.0;
const DIRECT_READ_CALLS_PER_SECOND: f64 = 1_000.0;

/// Minimum number of hosts among which a host divides the limit on calls, even
/// if it knows fewer.
const MIN_ASSUMED_HOSTS: usize = 16;

/// Number of hosts to which each host of a tree forwards a new revision.
const TREE_FANOUT: usize = 4;

/// State of pulls from peers and of announcements to them.
#[derive(Debug, Default)]
pub(super) struct PullState {
    /// When the last pull was sent.
    sent_at: Option<Time>,
    /// Root of the announcement tree by which the revision was received.
    root: Option<HostName>,
    /// Highest confirmed revision that any peer reported.
    newest_reported: Revision,
    /// Last revision that was announced to other hosts.
    announced: Revision,
}

impl PullState {
    pub(super) fn newest_reported(&self) -> Revision {
        self.newest_reported
    }

    /// Whether a pull is waiting for its answer.
    pub(super) fn is_pending(&self, now: Time) -> bool {
        self.sent_at.is_some_and(|it| now.since(it) < PULL_TIMEOUT)
    }
}

impl Node {
    pub(super) fn platform_rate(&self, now: Time) -> Rate {
        let since = self.last_received.unwrap_or(self.started);
        let is_unconfirmed =
            !self.store.is_confirmed() && now.since(self.started) >= START_SILENCE_TIMEOUT;
        let is_isolated = is_unconfirmed || now.since(since) >= PEER_SILENCE_TIMEOUT;
        let hosts = self.table.len().max(MIN_ASSUMED_HOSTS) as f64;
        let watchers = (self.table.domains().count() * super::WATCHERS_PER_DOMAIN).max(1) as f64;
        let calls_per_second = if self.is_watcher {
            WATCHER_CALLS_PER_SECOND / watchers
        } else {
            DIRECT_READ_CALLS_PER_SECOND / hosts
        };
        Rate { is_watcher: self.is_watcher, calls_per_second, is_isolated }
    }

    pub(super) fn read_platform(&mut self, now: Time) {
        let platform_rate = self.platform_rate(now);
        for request in self.reader.tick(now, &self.store, platform_rate, &mut self.rng) {
            self.out.push(match request {
                Request::Index { after, wait } => Action::ReadIndex { after, wait },
                Request::Document { key } => Action::ReadDocument { key },
            });
        }
    }

    pub(super) fn handle_platform_input(&mut self, now: Time, input: Input) {
        match input {
            Input::PlatformIndex { revision, entries } => {
                self.reader.handle_index(now, revision, &entries, &mut self.store);
            }
            Input::PlatformDocument { key, revision, text } => {
                let record = DocumentRecord { key, revision, text: Some(text) };
                self.reader.handle_document(now, record, &mut self.store, &mut self.rng);
            }
            Input::PlatformDocumentMissing { key } => {
                self.reader.handle_missing(now, &key, &mut self.rng)
            }
            _ => self.reader.handle_failure(now, &mut self.rng),
        }
    }

    pub(super) fn handle_configuration_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: &HostName,
        body: Body,
    ) {
        match body {
            Body::Announce { root, revision } => {
                self.learn_revision(now, from, revision, true, Some(root));
            }
            Body::Pull { after } => {
                let documents = self.store.documents_after(after);
                self.send(from, Body::Documents(documents));
            }
            Body::Documents(documents) => self.handle_documents(now, from, sender, documents),
            _ => {}
        }
    }

    /// Handles a peer's report that it is complete up to `revision`, and pulls the
    /// missing documents from it.
    pub(super) fn learn_revision(
        &mut self,
        now: Time,
        from: SocketAddr,
        revision: Revision,
        is_confirmed: bool,
        root: Option<HostName>,
    ) {
        if is_confirmed {
            self.pull_state.newest_reported = self.pull_state.newest_reported.max(revision);
        }
        if revision <= self.store.complete_revision() {
            if is_confirmed {
                self.store.confirm();
            }
            return;
        }
        if self.pull_state.is_pending(now) {
            return;
        }
        self.pull_state.root = root;
        self.pull(now, from);
    }

    fn pull(&mut self, now: Time, from: SocketAddr) {
        self.pull_state.sent_at = Some(now);
        let after = self.store.complete_revision();
        self.send(from, Body::Pull { after });
    }

    fn handle_documents(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: &HostName,
        documents: Documents,
    ) {
        self.pull_state.sent_at = None;
        let Documents { after, upto, revision, is_confirmed, records } = documents;
        for record in records {
            self.store.insert(record);
        }
        let has_advanced = self.store.advance(after, upto);
        self.table.record_revision(sender, self.sender_incarnation(sender), revision);
        if self.store.complete_revision() >= revision {
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

    /// Announces a new revision to the next level of the tree by which it was
    /// received, and to one speaker of each other domain.
    pub(super) fn announce_revision(&mut self, now: Time) {
        let revision = self.store.complete_revision();
        let is_new = revision > self.pull_state.announced && self.store.is_confirmed();
        if !is_new || self.pull_state.is_pending(now) {
            return;
        }
        self.pull_state.announced = revision;
        let root = self.pull_state.root.take().unwrap_or_else(|| self.cfg.host.clone());
        let mut to = self.children(&root);
        to.extend(Prober::remote_speakers(&self.table, &mut self.rng));
        for address in to {
            self.send(address, Body::Announce { root: root.clone(), revision });
        }
    }

    /// Returns the hosts below this one in the tree of its domain that is rooted at
    /// `root`, or at this host if `root` is not a running host of the domain.
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
