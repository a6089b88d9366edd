//! Chooses the snapshot that a request reads.
//!
//! Only snapshots of the pool's map are candidates, since targets are assigned
//! to that map's shards. The newest snapshot that every shard can serve wins; if
//! there is none, the one that most shards can be expected to serve. A target's
//! report may be out of date, so a target that reported only older snapshots
//! is expected to serve a newer one.

use std::sync::Arc;

use base::{ShardId, Snapshot};
use documents::{Configuration, Target};

use super::{pool_view::PoolView, table::TargetTable};

/// A snapshot that a request may be pinned to, and how many shards serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pin {
    pub snapshot: Snapshot,
    /// Shards with a usable target that reported the snapshot.
    pub served: u32,
    /// Shards counted in `served`, and shards with a usable target whose newest
    /// reported snapshot is older, as it may have loaded this one since.
    pub expected: u32,
    /// Shards of the map.
    pub total: u32,
}

impl Pin {
    pub fn is_complete(&self) -> bool {
        self.served == self.total
    }
}

/// Chooses among the snapshots that usable targets reported; `None` if there is
/// none.
pub fn choose_snapshot(
    configuration: &Configuration,
    table: &TargetTable,
    view: &PoolView,
) -> Option<Pin> {
    let shards: Vec<_> =
        view.shards().map(|it| ShardSnapshots::new(configuration, table, view, it)).collect();
    let mut candidates: Vec<_> = shards.iter().flat_map(|it| it.held.iter().copied()).collect();
    candidates.sort_unstable();
    candidates.dedup();
    let pins = candidates.into_iter().map(|it| pin(it, &shards));
    pins.max_by_key(|it| (it.is_complete(), it.expected, it.served, it.snapshot))
}

/// Chooses between a pool's current map and the previous one. The previous map
/// is used as long as a greater fraction of its shards can be served.
pub fn choose_view(
    configuration: &Configuration,
    table: &TargetTable,
    current: &Arc<PoolView>,
    previous: Option<&Arc<PoolView>>,
) -> Arc<PoolView> {
    let served = |view: &PoolView| {
        let pin = choose_snapshot(configuration, table, view);
        pin.map_or(0.0, |it| f64::from(it.served) / f64::from(it.total.max(1)))
    };
    match previous {
        Some(previous) if served(previous) > served(current) => Arc::clone(previous),
        _ => Arc::clone(current),
    }
}

/// Returns how many shards can serve `snapshot`, by the table's current state.
pub(super) fn assess_snapshot(
    configuration: &Configuration,
    table: &TargetTable,
    view: &PoolView,
    snapshot: Snapshot,
) -> Pin {
    let shards: Vec<_> =
        view.shards().map(|it| ShardSnapshots::new(configuration, table, view, it)).collect();
    pin(snapshot, &shards)
}

/// Returns whether `target` can get new work, by the table's current state.
pub(super) fn is_usable(
    configuration: &Configuration,
    table: &TargetTable,
    target: &Target,
) -> bool {
    // The view may be older than the configuration in force.
    let is_configured = configuration.target(&target.name).is_some_and(|it| !it.leaving);
    if !is_configured || !configuration.is_domain_in(&target.domain) {
        return false;
    }
    table.status(&target.name).is_some_and(|it| it.is_up && !it.is_leaving)
}

/// Returns whether `target` reported that it holds `snapshot`.
pub(super) fn holds(table: &TargetTable, target: &Target, snapshot: Snapshot) -> bool {
    table.status(&target.name).is_some_and(|it| it.snapshots.contains(&snapshot))
}

/// Snapshots that the usable replicas of one shard reported.
struct ShardSnapshots {
    /// Sorted, without duplicates.
    held: Vec<Snapshot>,
    /// Newest snapshot of the replica that is furthest behind.
    min_newest: Option<Snapshot>,
}

impl ShardSnapshots {
    fn new(
        configuration: &Configuration,
        table: &TargetTable,
        view: &PoolView,
        shard: ShardId,
    ) -> Self {
        let mut held = Vec::new();
        let mut min_newest: Option<Snapshot> = None;
        for target in view.replicas(shard) {
            if !is_usable(configuration, table, target) {
                continue;
            }
            let Some(status) = table.status(&target.name) else { continue };
            let of_map = status.snapshots.iter().filter(|it| it.map == view.pool.map);
            let Some(&newest) = of_map.clone().max() else { continue };
            min_newest = Some(min_newest.map_or(newest, |it| it.min(newest)));
            held.extend(of_map);
        }
        held.sort_unstable();
        held.dedup();
        ShardSnapshots { held, min_newest }
    }
}

fn pin(snapshot: Snapshot, shards: &[ShardSnapshots]) -> Pin {
    let serves = |it: &&ShardSnapshots| it.held.binary_search(&snapshot).is_ok();
    let may_serve =
        |it: &&ShardSnapshots| serves(it) || it.min_newest.is_some_and(|newest| newest < snapshot);
    let served = shards.iter().filter(serves).count() as u32;
    let expected = shards.iter().filter(may_serve).count() as u32;
    Pin { snapshot, served, expected, total: shards.len() as u32 }
}
