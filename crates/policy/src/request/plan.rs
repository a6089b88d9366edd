//! Which replica of a shard gets a subquery.
//!
//! Replicas are compared by expected wait and latency. One in another failure
//! domain bears a handicap, so it is taken as spill: when the local domain has
//! no usable replica, or one that is slower by more than the handicap.

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

/// What a replica in another failure domain must be faster by.
const REMOTE_HANDICAP: Duration = Duration::from_millis(4);
/// What a replica whose primary owner is silent must be faster by; its standby
/// owner has few slots.
const SILENT_OWNER_HANDICAP: Duration = Duration::from_millis(8);
/// Replicas that are worse than the best one by no more than this are as good,
/// and one of them is drawn, so that hosts do not all choose alike.
const SCORE_TOLERANCE: Duration = Duration::from_millis(1);

/// What a choice looks at.
pub(super) struct PlanCx<'a, R> {
    pub now: Time,
    pub configuration: &'a Configuration,
    pub domain: &'a DomainName,
    pub routes: &'a R,
    pub table: &'a TargetTable,
    pub view: &'a PoolView,
    pub snapshot: Snapshot,
    /// The pool's usual latency.
    pub typical: Duration,
}

/// The best usable replica that holds the snapshot, other than those in
/// `tried`; else the reason why there is none.
pub(super) fn choose_replica<R: Routes>(
    cx: &PlanCx<'_, R>,
    shard: ShardId,
    tried: &[TargetName],
    rng: &mut SmallRng,
) -> Result<Arc<Target>, Missing> {
    let is_untried = |it: &&Arc<Target>| !tried.contains(&it.name);
    let holders = usable_replicas(cx, shard).filter(is_untried);
    if let Some(best) = draw_best(cx, holders, rng) {
        return Ok(best);
    }
    let successors = cx.view.replicas(shard).iter().filter(is_untried);
    let successors = successors.filter(|it| may_hold_by_now(cx, it));
    draw_best(cx, successors, rng).ok_or_else(|| reason_for_none(cx, shard))
}

/// Replicas of a shard that may get work and hold the snapshot.
pub(super) fn usable_replicas<'a, R>(
    cx: &'a PlanCx<'a, R>,
    shard: ShardId,
) -> impl Iterator<Item = &'a Arc<Target>> {
    cx.view.replicas(shard).iter().filter(move |it| why_not(cx, it).is_none())
}

fn draw_best<'a, R: Routes>(
    cx: &PlanCx<'_, R>,
    candidates: impl Iterator<Item = &'a Arc<Target>>,
    rng: &mut SmallRng,
) -> Option<Arc<Target>> {
    let mut scored: Vec<_> = candidates.map(|it| (score(cx, it), it)).collect();
    let best = scored.iter().map(|it| it.0).min()?;
    scored.retain(|it| it.0 <= best + SCORE_TOLERANCE);
    let (_, drawn) = scored.swap_remove(rng.random_range(0..scored.len()));
    Some(Arc::clone(drawn))
}

/// The nearest reason to being usable among all replicas of a shard.
fn reason_for_none<R>(cx: &PlanCx<'_, R>, shard: ShardId) -> Missing {
    let reasons = cx.view.replicas(shard).iter().filter_map(|it| why_not(cx, it));
    reasons.min_by_key(|&it| severity(it)).unwrap_or(Missing::NoTarget)
}

fn why_not<R>(cx: &PlanCx<'_, R>, target: &Target) -> Option<Missing> {
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

/// Whether a target that told only of older snapshots may have taken up the
/// pinned one since. If not, it refuses without running and tells the news.
fn may_hold_by_now<R>(cx: &PlanCx<'_, R>, target: &Target) -> bool {
    let Some(status) = cx.table.status(&target.name) else { return false };
    let newest = status.snapshots.iter().filter(|it| it.map == cx.snapshot.map).max();
    is_usable(cx.configuration, cx.table, target) && newest.is_some_and(|it| *it < cx.snapshot)
}

fn severity(missing: Missing) -> u8 {
    match missing {
        Missing::WrongSnapshot => 0,
        Missing::Refused => 1,
        Missing::OwnerUnreachable => 2,
        Missing::TargetLeaving => 3,
        _ => 4,
    }
}

/// Expected time to an answer, with the handicaps; less is better.
fn score<R: Routes>(cx: &PlanCx<'_, R>, target: &Target) -> Duration {
    let expected = cx.table.expected_latency(cx.now, &target.name, cx.typical);
    let is_local = target.domain == *cx.domain;
    let handicap = if is_local { Duration::ZERO } else { REMOTE_HANDICAP };
    let is_silent = is_primary_silent(cx, target);
    let silence = if is_silent { SILENT_OWNER_HANDICAP } else { Duration::ZERO };
    expected + handicap + silence
}

fn is_primary_silent<R: Routes>(cx: &PlanCx<'_, R>, target: &Target) -> bool {
    if !cx.table.is_any_silent(cx.now) {
        return false;
    }
    let owners = cx.routes.owners(&target.name);
    owners.is_none_or(|(primary, _)| cx.table.is_silent(cx.now, &primary))
}
