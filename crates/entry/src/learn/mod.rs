//! Learns the status of a pool's targets from their owners.
//!
//! The first request of a pool waits until its shards are known; later ones use
//! the last known status, and start a new round of status calls in the background
//! once it is old. Owners in other failure domains are polled less often.

use std::time::Duration;

use base::{HashSet, HostName, PoolName, Time};
use documents::{Configuration, Target};
use futures::{StreamExt, stream::FuturesUnordered};
use policy::request::{Pin, PoolView, choose_snapshot};
use tokio::{sync::watch, time};

use crate::{
    cx::{EntryCx, PoolViews},
    interfaces::{Owners, State},
    lock::lock,
    rounds::{Due, INITIAL_INTERVAL, Knowledge, Progress, REMOTE_INTERVAL, Rounds},
};

/// Minimum average time between status calls to owners in other failure domains.
const REMOTE_STATUS_SPACING: Duration = Duration::from_millis(250);
/// Maximum time for which unknown targets delay the readiness of a starting
/// host.
const READINESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks of the known targets, until the host is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one status call to an owner.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts rounds that are due, and waits if too few shards can be served by what
/// is known, for at most half of the time until `deadline`.
pub(crate) async fn ensure_targets_known<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    cfg: &Configuration,
    views: &PoolViews,
    deadline: Time,
) {
    let wait = deadline.until(cx.now()) / 2;
    // After a timeout the request continues with what is known.
    let _ = time::timeout(wait, learn_until_servable(cx, cfg, views)).await;
}

/// Learns the targets of all pools once the host has configuration and routes, so
/// that they are known when its first callers arrive. It stops waiting after
/// `READINESS_TIMEOUT`, as a pool that is completely down must not keep the host
/// from serving others.
pub async fn learn_all_pools<S: State, O: Owners>(cx: &EntryCx<S, O>) {
    while cx.state().not_ready().is_some() {
        time::sleep(POLL_INTERVAL).await;
    }
    let limit = cx.now() + READINESS_TIMEOUT;
    while cx.now() < limit && !poll_all_pools(cx) {
        time::sleep(POLL_INTERVAL).await;
    }
    cx.set_targets_known();
}

/// Starts rounds that are due for all pools. Returns whether every shard of every
/// pool can be served.
fn poll_all_pools<S: State, O: Owners>(cx: &EntryCx<S, O>) -> bool {
    let cfg = cx.state().configuration();
    let mut is_complete = true;
    for pool in cfg.pools.keys() {
        let Some(views) = cx.views(&cfg, pool) else { continue };
        let knowledge = assess_knowledge(cx, &cfg, &views);
        start_due_rounds(cx, &views.current, knowledge);
        is_complete &= knowledge == Knowledge::Complete;
    }
    is_complete
}

/// Waits for owners' replies until every shard can be served, or until some can
/// be served and one round has ended.
async fn learn_until_servable<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    cfg: &Configuration,
    views: &PoolViews,
) {
    loop {
        let known = assess_knowledge(cx, cfg, views);
        let mut progress = start_due_rounds(cx, &views.current, known);
        let was_polled = progress.borrow_and_update().ended_rounds > 0;
        match known {
            Knowledge::Complete => return,
            Knowledge::Partial if was_polled => return,
            Knowledge::Partial | Knowledge::None => (),
        }
        // The timeout is short, as the next round may be due.
        let _ = time::timeout(INITIAL_INTERVAL, progress.changed()).await;
    }
}

/// Returns how many shards of a pool can be served, on its current or previous
/// map.
fn assess_knowledge<S: State, O: Owners>(
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

/// Starts the rounds that are due for a pool. Returns a receiver of its progress.
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
        rounds.remote_interval = REMOTE_INTERVAL.max(REMOTE_STATUS_SPACING * owners.len() as u32);
        let (progress, pool) = (rounds.progress.clone(), view.pool.name.clone());
        tokio::spawn(poll_owners(cx.clone(), owners, progress, pool));
    }
    receiver
}

/// Returns the primary owners to poll, each with the standby to poll if it does
/// not reply. Parts update the status too, so only targets without a recent
/// status count.
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

async fn poll_owners<S: State, O: Owners>(
    cx: EntryCx<S, O>,
    owners: HashSet<(HostName, Option<HostName>)>,
    progress: watch::Sender<Progress>,
    pool: PoolName,
) {
    let mut replies: FuturesUnordered<_> = owners
        .iter()
        .map(|(primary, standby)| poll_owner_or_standby(&cx, &pool, primary, standby.as_ref()))
        .collect();
    while replies.next().await.is_some() {
        progress.send_modify(|it| it.replies += 1);
    }
    progress.send_modify(|it| it.ended_rounds += 1);
}

async fn poll_owner_or_standby<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    pool: &PoolName,
    primary: &HostName,
    standby: Option<&HostName>,
) {
    if poll_owner(cx, pool, primary).await {
        return;
    }
    cx.shared().table.mark_silent(cx.now(), primary);
    let Some(standby) = standby else { return };
    poll_owner(cx, pool, standby).await;
}

/// Returns false if the owner did not answer or has no target of the pool.
async fn poll_owner<S: State, O: Owners>(
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
