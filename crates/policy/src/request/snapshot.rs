//! Which snapshot a request reads.
//!
//! Only snapshots of the map that the pool's document names are candidates,
//! since targets are numbered by that map's shards. The newest one that every
//! shard can serve wins; if there is none, the one that most shards can serve.

use base::{HashMap, ShardId, Snapshot};
use documents::{Configuration, Target};

use super::{pool_view::PoolView, table::TargetTable};

/// A snapshot chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pin {
    pub snapshot: Snapshot,
    /// Shards that some usable target can serve from it.
    pub served: u32,
    /// Shards of the pinned map.
    pub total: u32,
}

impl Pin {
    pub fn is_complete(&self) -> bool {
        self.served == self.total
    }
}

/// Chooses among the snapshots that usable targets hold; `None` if none is
/// known.
pub fn choose_snapshot(
    configuration: &Configuration,
    table: &TargetTable,
    view: &PoolView,
) -> Option<Pin> {
    let mut served: HashMap<Snapshot, u32> = HashMap::default();
    let mut held = Vec::new();
    for shard in view.shards() {
        collect_held(configuration, table, view, shard, &mut held);
        for &snapshot in &held {
            *served.entry(snapshot).or_default() += 1;
        }
    }
    let best = served.into_iter().max_by_key(|&(snapshot, served)| (served, snapshot))?;
    let (snapshot, served) = best;
    Some(Pin { snapshot, served, total: view.pool.shards })
}

/// Shards that some usable target can serve from `snapshot`.
pub(super) fn shards_served(
    configuration: &Configuration,
    table: &TargetTable,
    view: &PoolView,
    snapshot: Snapshot,
) -> u32 {
    let serves =
        |target: &Target| is_usable(configuration, table, target) && holds(table, target, snapshot);
    let served = view.shards().filter(|&it| view.replicas(it).iter().any(|it| serves(it)));
    served.count() as u32
}

/// Whether a target may get new work by what is known now.
pub(super) fn is_usable(
    configuration: &Configuration,
    table: &TargetTable,
    target: &Target,
) -> bool {
    if target.leaving || !configuration.is_domain_in(&target.domain) {
        return false;
    }
    table.status(&target.name).is_some_and(|it| it.is_up && !it.is_leaving)
}

/// Whether a target told that it holds a snapshot.
pub(super) fn holds(table: &TargetTable, target: &Target, snapshot: Snapshot) -> bool {
    table.status(&target.name).is_some_and(|it| it.snapshots.contains(&snapshot))
}

/// How long ago is not looked at: a target that lost a snapshot refuses, and
/// the request then moves on or restarts.
fn collect_held(
    configuration: &Configuration,
    table: &TargetTable,
    view: &PoolView,
    shard: ShardId,
    held: &mut Vec<Snapshot>,
) {
    held.clear();
    for target in view.replicas(shard) {
        if !is_usable(configuration, table, target) {
            continue;
        }
        let Some(status) = table.status(&target.name) else { continue };
        held.extend(status.snapshots.iter().filter(|it| it.map == view.pool.map));
    }
    held.sort_unstable();
    held.dedup();
}
