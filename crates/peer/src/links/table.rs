//! The links of this host by peer address.

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

/// After a failed attempt, calls fail at once for this long.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// How long it is remembered that a peer could not be reached.
const FAILURE_RETENTION: Duration = Duration::from_secs(10);

/// Links kept; the longest unused one goes first.
const MAX_LINKS: usize = 2_048;

type Opening = Shared<LocalBoxFuture<'static, Option<Rc<Link>>>>;

#[derive(Clone)]
pub(super) struct LinkTable {
    inner: Rc<Inner>,
}

struct Inner {
    identity: Identity,
    /// Address that links leave from.
    source: IpAddr,
    log: Logger,
    entries: RefCell<HashMap<SocketAddr, Entry>>,
}

#[derive(Clone)]
enum Entry {
    Opening {
        opening: Opening,
        /// Whether the last attempt failed.
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

    /// The link to a peer, opened if need be; none if it cannot be reached.
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

    /// The link to a peer, without waiting for a peer that could not be
    /// reached last time; whether it can be now is found out meanwhile.
    pub(super) async fn link_fail_fast(&self, to: SocketAddr) -> Option<Rc<Link>> {
        let entry = self.inner.entries.borrow().get(&to).cloned();
        match entry {
            Some(Entry::Opening { is_retry: true, .. }) => None,
            Some(Entry::Failed { retry_at }) if Instant::now() < retry_at => None,
            Some(Entry::Failed { retry_at }) if Instant::now() < retry_at + FAILURE_RETENTION => {
                // Goes on by itself; nobody waits for it here.
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
        // Opening goes on also when the call that began it is dropped.
        task::spawn_local(opening.clone());
        opening
    }

    async fn open(&self, to: SocketAddr) -> Option<Rc<Link>> {
        let (entry, link) = match self.open_link(to).await {
            Ok(link) => (Entry::Open(Rc::clone(&link)), Some(link)),
            Err(err) => {
                info!(self.inner.log, "no link"; "to" => %to, "error" => %err);
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

    /// Puts another link in the place of one that may have fallen silent, if
    /// another can be opened while it says nothing. What is under way on the
    /// former stays there.
    async fn replace_when_suspect(self, to: SocketAddr, old: Weak<Link>) {
        let Some(mut suspicion) = old.upgrade().map(|it| it.suspicion()) else { return };
        while suspicion.wait_for(|&it| it).await.is_ok() {
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
                "reason" => "it says nothing while a new one works");
            *current = link;
        }
    }

    /// Opening a link starts a watch that may open another one.
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
