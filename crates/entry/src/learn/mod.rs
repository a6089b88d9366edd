//! Learning what owners know of the targets of a pool in use.
//!
//! The first request of a pool waits until its shards are known; later ones
//! find the last word, and set off a new round in the background once it is
//! old. Owners in other failure domains are asked less often.

use std::{sync::Mutex, time::Duration};

use base::{HashMap, HashSet, HostName, PoolName, Time};
use documents::{Configuration, Target};
use futures::{StreamExt, stream::FuturesUnordered};
use policy::request::{Pin, PoolView, choose_snapshot};
use tokio::{sync::watch, time};

use crate::{
    cx::{EntryCx, PoolViews, lock},
    interfaces::{Owners, State},
};

/// Age at which the word of owners in this failure domain is renewed.
const LOCAL_INTERVAL: Duration = Duration::from_secs(1);
/// Least age at which the word of owners elsewhere is renewed.
const REMOTE_INTERVAL: Duration = Duration::from_secs(4);
/// Owners elsewhere are asked at most once in this time each on average.
const STATUS_SPACING: Duration = Duration::from_millis(250);
/// Least time between rounds while some shard cannot be served.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Least time between rounds while no shard can be served.
const FIRST_WORD_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time that unknown targets keep a fresh host from being ready.
const FIRST_ROUNDS_LIMIT: Duration = Duration::from_secs(10);
/// Time between two looks at what is known, until the host is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for one owner's word.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Rounds of asking, by pool.
#[derive(Debug, Default)]
pub(crate) struct Learning {
    pools: Mutex<HashMap<PoolName, Rounds>>,
}

#[derive(Debug)]
struct Rounds {
    local_at: Option<Time>,
    remote_at: Option<Time>,
    /// Grows with the owners to ask, which bounds calls a second.
    remote_interval: Duration,
    /// Changes with each owner's word and at the end of a round.
    progress: watch::Sender<Progress>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    words: u64,
    ended_rounds: u64,
}

/// What is known of the shards of a pool, in rising order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Knowledge {
    None,
    /// Some shards can be served.
    Partial,
    Complete,
}

#[derive(Clone, Copy, Debug, Default)]
struct Due {
    local: bool,
    remote: bool,
    /// Word of a target that is younger need not be renewed.
    fresh_for: Duration,
}

/// Sees to it that the pool's targets are known as far as owners tell; waits
/// only if not every shard can be served by what is known, until `deadline`.
pub(crate) async fn ensure_known<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    cfg: &Configuration,
    views: &PoolViews,
    deadline: Time,
) {
    let wait = deadline.until(cx.now()) / 2;
    // Past the wait the request goes on with what is known.
    let _ = time::timeout(wait, learn_enough(cx, cfg, views)).await;
}

/// Learns of the targets of all pools once the host has configuration and
/// routes, so that its first callers find them known. Gives up after a while,
/// as a pool that is wholly down must not keep the host from serving others.
pub async fn learn_all_pools<S: State, O: Owners>(cx: &EntryCx<S, O>) {
    while cx.state().not_ready().is_some() {
        time::sleep(POLL_INTERVAL).await;
    }
    let limit = cx.now() + FIRST_ROUNDS_LIMIT;
    while cx.now() < limit && !are_all_complete(cx) {
        time::sleep(POLL_INTERVAL).await;
    }
    cx.set_targets_known();
}

fn are_all_complete<S: State, O: Owners>(cx: &EntryCx<S, O>) -> bool {
    let cfg = cx.state().configuration();
    let mut is_complete = true;
    for pool in cfg.pools.keys() {
        let Some(views) = cx.views(&cfg, pool) else { continue };
        let knowledge = knowledge(cx, &cfg, &views);
        start_due_rounds(cx, &views.current, knowledge);
        is_complete &= knowledge == Knowledge::Complete;
    }
    is_complete
}

/// Waits for what owners tell: until every shard can be served, or some can
/// be and the owners were asked before.
async fn learn_enough<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    cfg: &Configuration,
    views: &PoolViews,
) {
    loop {
        let known = knowledge(cx, cfg, views);
        let mut progress = start_due_rounds(cx, &views.current, known);
        let was_asked = progress.borrow_and_update().ended_rounds > 0;
        match known {
            Knowledge::Complete => return,
            Knowledge::Partial if was_asked => return,
            Knowledge::Partial | Knowledge::None => (),
        }
        // Not longer, for the next round may be due.
        let _ = time::timeout(FIRST_WORD_INTERVAL, progress.changed()).await;
    }
}

/// What is known of a pool's shards.
fn knowledge<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    cfg: &Configuration,
    views: &PoolViews,
) -> Knowledge {
    let table = &cx.shared().table;
    let views = std::iter::once(&views.current).chain(&views.previous);
    let pins = views.filter_map(|it| choose_snapshot(cfg, table, it));
    let of_pin = |pin: Pin| match pin.is_complete() {
        true => Knowledge::Complete,
        false => Knowledge::Partial,
    };
    pins.map(of_pin).max().unwrap_or(Knowledge::None)
}

fn start_due_rounds<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    view: &PoolView,
    knowledge: Knowledge,
) -> watch::Receiver<Progress> {
    let now = cx.now();
    let mut pools = lock(&cx.inner.learning.pools);
    let rounds = pools.entry(view.pool.name.clone()).or_insert_with(Rounds::new);
    let due = rounds.take_due(now, knowledge);
    let receiver = rounds.progress.subscribe();
    if due.local || due.remote {
        let owners = owners_of(cx, view, due);
        rounds.remote_interval = REMOTE_INTERVAL.max(STATUS_SPACING * owners.len() as u32);
        let (progress, pool) = (rounds.progress.clone(), view.pool.name.clone());
        tokio::spawn(ask_owners(cx.clone(), owners, progress, pool));
    }
    receiver
}

/// Owners of the pool's targets, each with the standby to ask in its place.
/// Parts bring word too, so owners are asked only about targets without any.
fn owners_of<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    view: &PoolView,
    due: Due,
) -> HashSet<(HostName, Option<HostName>)> {
    let is_due = |is_local: bool| if is_local { due.local } else { due.remote };
    let now = cx.now();
    let shared = cx.shared();
    let reported_at = |target: &Target| shared.table.reported_at(&target.name);
    let is_old =
        |target: &Target| reported_at(target).is_none_or(|it| now.since(it) >= due.fresh_for);
    let targets = view.pool.targets.iter().filter(|it| is_due(it.domain == *cx.state().domain()));
    let targets = targets.filter(|it| is_old(it));
    let routes = targets.filter_map(|it| cx.state().route(&it.name));
    routes.map(|it| (it.primary, it.standby)).collect()
}

async fn ask_owners<S: State, O: Owners>(
    cx: EntryCx<S, O>,
    owners: HashSet<(HostName, Option<HostName>)>,
    progress: watch::Sender<Progress>,
    pool: PoolName,
) {
    let mut words: FuturesUnordered<_> = owners
        .iter()
        .map(|(primary, standby)| ask(&cx, &pool, primary, standby.as_ref()))
        .collect();
    while words.next().await.is_some() {
        progress.send_modify(|it| it.words += 1);
    }
    progress.send_modify(|it| it.ended_rounds += 1);
}

async fn ask<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    pool: &PoolName,
    primary: &HostName,
    standby: Option<&HostName>,
) {
    if ask_one(cx, pool, primary).await {
        return;
    }
    cx.shared().table.mark_silent(cx.now(), primary);
    let Some(standby) = standby else { return };
    ask_one(cx, pool, standby).await;
}

/// False if the owner did not answer or knows no target of the pool.
async fn ask_one<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    pool: &PoolName,
    owner: &HostName,
) -> bool {
    let status = time::timeout(STATUS_TIMEOUT, cx.owners().status(owner, pool)).await;
    let Ok(status) = status else { return false };
    let now = cx.now();
    let mut shared = cx.shared();
    for target in &status {
        shared.table.learn(now, target);
    }
    !status.is_empty()
}

impl Rounds {
    fn new() -> Self {
        let (progress, _) = watch::channel(Progress::default());
        Rounds { local_at: None, remote_at: None, remote_interval: REMOTE_INTERVAL, progress }
    }

    fn take_due(&mut self, now: Time, knowledge: Knowledge) -> Due {
        let (local, remote) = match knowledge {
            Knowledge::Complete => (LOCAL_INTERVAL, self.remote_interval),
            Knowledge::Partial => (URGENT_INTERVAL, URGENT_INTERVAL),
            Knowledge::None => (FIRST_WORD_INTERVAL, FIRST_WORD_INTERVAL),
        };
        let fresh_for = local.saturating_sub(URGENT_INTERVAL);
        let due = Due {
            fresh_for,
            local: is_due(self.local_at, now, local),
            remote: is_due(self.remote_at, now, remote),
        };
        if due.local {
            self.local_at = Some(now);
        }
        if due.remote {
            self.remote_at = Some(now);
        }
        due
    }
}

fn is_due(last: Option<Time>, now: Time, interval: Duration) -> bool {
    last.is_none_or(|it| now.since(it) >= interval)
}
