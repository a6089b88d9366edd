//! Chooses the replica of a shard that gets a subquery.
//!
//! Replicas are compared by expected wait and latency. A replica in another
//! failure domain gets a penalty, so it is chosen only if the local domain has
//! no usable replica or if its replicas are slower by more than the penalty.

use std::{sync::Arc, time::Duration};

use base::{DomainName, Missing, ShardId, Snapshot, TargetName, Time};
use documents::{Configuration, Target};
use rand::{Rng, rngs::SmallRng};

use super::{
    pool_view::PoolView,
    shared::Routes,
    snapshot::{holds, is_usable},
    table::TargetTable,
};

/// Added to the expected latency of a replica in another failure domain.
const REMOTE_PENALTY: Duration = Duration::from_millis(4);
/// Added to the expected latency of a replica whose primary owner is silent,
/// since the standby owner has few slots.
const SILENT_OWNER_PENALTY: Duration = Duration::from_millis(8);
/// Replicas whose score is within this of the best count as equal, and one of
/// them is picked at random so that hosts do not all choose the same one.
const SCORE_TOLERANCE: Duration = Duration::from_millis(1);

/// Inputs to the choice of a replica.
pub(super) struct PlanCx<'a, R> {
    pub now: Time,
    pub configuration: &'a Configuration,
    pub domain: &'a DomainName,
    pub routes: &'a R,
    pub table: &'a TargetTable,
    pub view: &'a PoolView,
    pub snapshot: Snapshot,
    /// Median latency of the pool.
    pub pool_median: Duration,
}

/// Returns the best usable replica that is not in `tried`. Replicas that hold
/// the snapshot go before those that may hold it by now. If there is none,
/// returns the reason.
pub(super) fn choose_replica<R: Routes>(
    cx: &PlanCx<'_, R>,
    shard: ShardId,
    tried: &[TargetName],
    rng: &mut SmallRng,
) -> Result<Arc<Target>, Missing> {
    let is_untried = |it: &&Arc<Target>| !tried.contains(&it.name);
    let holders = usable_replicas(cx, shard).filter(is_untried);
    if let Some(best) = pick_best(cx, holders, rng) {
        return Ok(best);
    }
    let likely_holders = cx.view.replicas(shard).iter().filter(is_untried);
    let likely_holders = likely_holders.filter(|it| may_hold_by_now(cx, it));
    pick_best(cx, likely_holders, rng).ok_or_else(|| missing_reason(cx, shard))
}

/// Returns the replicas of `shard` that accept work and hold the snapshot.
pub(super) fn usable_replicas<'a, R>(
    cx: &'a PlanCx<'a, R>,
    shard: ShardId,
) -> impl Iterator<Item = &'a Arc<Target>> {
    cx.view.replicas(shard).iter().filter(move |it| unusable_reason(cx, it).is_none())
}

fn pick_best<'a, R: Routes>(
    cx: &PlanCx<'_, R>,
    candidates: impl Iterator<Item = &'a Arc<Target>>,
    rng: &mut SmallRng,
) -> Option<Arc<Target>> {
    let mut scored: Vec<_> = candidates.map(|it| (score(cx, it), it)).collect();
    let best = scored.iter().map(|it| it.0).min()?;
    scored.retain(|it| it.0 <= best + SCORE_TOLERANCE);
    let (_, picked) = scored.swap_remove(rng.random_range(0..scored.len()));
    Some(Arc::clone(picked))
}

/// Returns the reason of the replica of `shard` that is closest to being usable.
fn missing_reason<R>(cx: &PlanCx<'_, R>, shard: ShardId) -> Missing {
    let reasons = cx.view.replicas(shard).iter().filter_map(|it| unusable_reason(cx, it));
    reasons.min_by_key(|&it| reason_rank(it)).unwrap_or(Missing::NoTarget)
}

fn unusable_reason<R>(cx: &PlanCx<'_, R>, target: &Target) -> Option<Missing> {
    if !cx.configuration.is_domain_in(&target.domain) {
        return Some(Missing::DomainOut);
    }
    let status = cx.table.status(&target.name);
    let Some(document) = cx.configuration.target(&target.name) else {
        return Some(Missing::NoTarget);
    };
    if document.leaving || status.is_some_and(|it| it.is_leaving) {
        return Some(Missing::TargetLeaving);
    }
    if status.is_none() {
        return Some(Missing::OwnerUnreachable);
    }
    if !is_usable(cx.configuration, cx.table, target) {
        return Some(Missing::Refused);
    }
    (!holds(cx.table, target, cx.snapshot)).then_some(Missing::WrongSnapshot)
}

/// Returns whether `target` reported only older snapshots, so that it may have
/// loaded the pinned one since. If it has not, it refuses without running the
/// subquery, and its reply updates the status.
fn may_hold_by_now<R>(cx: &PlanCx<'_, R>, target: &Target) -> bool {
    let Some(status) = cx.table.status(&target.name) else { return false };
    let newest = status.snapshots.iter().filter(|it| it.map == cx.snapshot.map).max();
    is_usable(cx.configuration, cx.table, target) && newest.is_some_and(|it| *it < cx.snapshot)
}

/// Orders reasons by how close the target is to being usable; lower is closer.
fn reason_rank(missing: Missing) -> u8 {
    match missing {
        Missing::WrongSnapshot => 0,
        Missing::Refused => 1,
        Missing::OwnerUnreachable => 2,
        Missing::TargetLeaving => 3,
        _ => 4,
    }
}

/// Returns the expected time to an answer plus penalties; lower is better.
fn score<R: Routes>(cx: &PlanCx<'_, R>, target: &Target) -> Duration {
    let expected = cx.table.expected_latency(cx.now, &target.name, cx.pool_median);
    let is_local = target.domain == *cx.domain;
    let remote_penalty = if is_local { Duration::ZERO } else { REMOTE_PENALTY };
    let is_silent = is_primary_silent(cx, target);
    let silence_penalty = if is_silent { SILENT_OWNER_PENALTY } else { Duration::ZERO };
    expected + remote_penalty + silence_penalty
}

fn is_primary_silent<R: Routes>(cx: &PlanCx<'_, R>, target: &Target) -> bool {
    if !cx.table.is_any_silent(cx.now) {
        return false;
    }
    let owners = cx.routes.owners(&target.name);
    owners.is_none_or(|(primary, _)| cx.table.is_silent(cx.now, &primary))
}
