//! Outgoing links of this host by peer address.

use std::{
    cell::RefCell,
    net::{IpAddr, SocketAddr},
    rc::{Rc, Weak},
    time::Duration,
};

use base::HashMap;
use futures::{
    FutureExt,
    future::{LocalBoxFuture, Shared},
};
use slog::{Logger, info};
use tokio::{
    task,
    time::{Instant, sleep},
};

use super::link::{Link, OpenError};
use crate::identity::Identity;

/// Time after a failed attempt to open a link during which calls fail
/// immediately; also the time between attempts to replace a suspect link.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// Time for which a failed attempt is remembered, counted from the end of the
/// backoff.
const FAILURE_RETENTION: Duration = Duration::from_secs(10);

/// Number of links at which opening another one evicts the least recently used
/// link without calls in flight.
const MAX_LINKS: usize = 2_048;

type Opening = Shared<LocalBoxFuture<'static, Option<Rc<Link>>>>;

#[derive(Clone)]
pub(super) struct LinkTable {
    inner: Rc<Inner>,
}

struct Inner {
    identity: Identity,
    /// Local address of outgoing connections.
    source: IpAddr,
    log: Logger,
    entries: RefCell<HashMap<SocketAddr, Entry>>,
}

#[derive(Clone)]
enum Entry {
    Opening {
        opening: Opening,
        /// Whether the previous attempt failed.
        is_retry: bool,
    },
    Open(Rc<Link>),
    Failed {
        retry_at: Instant,
    },
}

impl LinkTable {
    pub(super) fn new(identity: Identity, source: IpAddr, log: Logger) -> Self {
        LinkTable { inner: Rc::new(Inner { identity, source, log, entries: RefCell::default() }) }
    }

    pub(super) fn log(&self) -> &Logger {
        &self.inner.log
    }

    /// Returns the link to a peer, opening one if necessary; `None` if the peer
    /// is unreachable.
    pub(super) async fn link(&self, to: SocketAddr) -> Option<Rc<Link>> {
        let entry = self.inner.entries.borrow().get(&to).cloned();
        match entry {
            Some(Entry::Open(link)) if !link.is_closed() => Some(link),
            Some(Entry::Opening { opening, .. }) => opening.await,
            Some(Entry::Failed { retry_at }) if Instant::now() < retry_at => None,
            Some(Entry::Failed { .. }) => self.start_opening(to, true).await,
            _ => self.start_opening(to, false).await,
        }
    }

    /// Returns the link to a peer like `link`, but does not wait if the previous
    /// attempt failed. After the backoff, a new attempt runs in the background.
    pub(super) async fn link_fail_fast(&self, to: SocketAddr) -> Option<Rc<Link>> {
        let entry = self.inner.entries.borrow().get(&to).cloned();
        match entry {
            Some(Entry::Opening { is_retry: true, .. }) => None,
            Some(Entry::Failed { retry_at }) if Instant::now() < retry_at => None,
            Some(Entry::Failed { retry_at }) if Instant::now() < retry_at + FAILURE_RETENTION => {
                // The attempt runs in a task of its own; this only drops the wait.
                drop(self.start_opening(to, true));
                None
            }
            _ => self.link(to).await,
        }
    }

    fn start_opening(&self, to: SocketAddr, is_retry: bool) -> Opening {
        self.evict_links();
        let table = self.clone();
        let opening = async move { table.open(to).await }.boxed_local().shared();
        self.inner
            .entries
            .borrow_mut()
            .insert(to, Entry::Opening { opening: opening.clone(), is_retry });
        // Opening continues even if the call that started it is dropped.
        task::spawn_local(opening.clone());
        opening
    }

    async fn open(&self, to: SocketAddr) -> Option<Rc<Link>> {
        let (entry, link) = match self.open_link(to).await {
            Ok(link) => (Entry::Open(Rc::clone(&link)), Some(link)),
            Err(err) => {
                info!(self.inner.log, "cannot open link"; "to" => %to, "error" => %err);
                (Entry::Failed { retry_at: Instant::now() + RECONNECT_BACKOFF }, None)
            }
        };
        self.inner.entries.borrow_mut().insert(to, entry);
        link
    }

    async fn open_link(&self, to: SocketAddr) -> Result<Rc<Link>, OpenError> {
        let Inner { identity, source, log, .. } = &*self.inner;
        let link = Link::open(to, *source, identity, log).await?;
        task::spawn_local(self.clone().replace_when_suspect(to, Rc::downgrade(&link)));
        Ok(link)
    }

    /// Replaces a link when it is suspect and another one to the same peer opens
    /// before it recovers. Calls in flight stay on the old link.
    async fn replace_when_suspect(self, to: SocketAddr, old: Weak<Link>) {
        let Some(mut suspect_rx) = old.upgrade().map(|it| it.subscribe_suspect()) else { return };
        while suspect_rx.wait_for(|&it| it).await.is_ok() {
            let opened = self.open_link_boxed(to).await;
            let Some(old) = old.upgrade().filter(|it| !it.is_closed()) else { return };
            let Ok(link) = opened else {
                drop(old);
                sleep(RECONNECT_BACKOFF).await;
                continue;
            };
            if old.is_suspect() {
                return self.replace(to, &old, link);
            }
        }
    }

    fn replace(&self, to: SocketAddr, old: &Rc<Link>, link: Rc<Link>) {
        let mut entries = self.inner.entries.borrow_mut();
        let Some(Entry::Open(current)) = entries.get_mut(&to) else { return };
        if Rc::ptr_eq(current, old) {
            info!(self.inner.log, "link replaced"; "to" => %to,
                "reason" => "no answer to a ping while a new link works");
            *current = link;
        }
    }

    /// Calls `open_link` with a boxed future, because it is recursive: it spawns
    /// a task that may open another link.
    fn open_link_boxed(&self, to: SocketAddr) -> LocalBoxFuture<'_, Result<Rc<Link>, OpenError>> {
        self.open_link(to).boxed_local()
    }

    fn evict_links(&self) {
        let mut entries = self.inner.entries.borrow_mut();
        let now = Instant::now();
        entries.retain(|_, entry| match entry {
            Entry::Opening { .. } => true,
            Entry::Open(link) => !link.is_closed(),
            Entry::Failed { retry_at } => now < *retry_at + FAILURE_RETENTION,
        });
        if entries.len() < MAX_LINKS {
            return;
        }
        let least_recently_used = entries
            .iter()
            .filter_map(|(&to, entry)| match entry {
                Entry::Open(link) if link.is_idle() => Some((link.last_use(), to)),
                _ => None,
            })
            .min();
        if let Some((_, to)) = least_recently_used {
            entries.remove(&to);
        }
    }
}
