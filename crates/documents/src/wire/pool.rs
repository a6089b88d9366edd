//! The document of a pool as written.

use std::sync::Arc;

use base::{Findings, Place, PoolName, ShardId};

use crate::{
    model::Pool,
    reader::{Checker, Field, Fields},
    tree::Node,
    wire::{
        skip_kind,
        target::{Limits, LimitsWire, MAX_SHARDS, TargetsCx},
    },
};

/// Maximum number of shards without a target that a finding lists by number.
const MAX_MISSING_SHARDS_LISTED: usize = 10;

pub(crate) struct PoolWire {
    place: Place,
    name: Field<String>,
    team: Field<String>,
    map: Field<u64>,
    shards: Field<u64>,
    limits: LimitsWire,
    targets: Field<Vec<Node>>,
    findings: Findings,
}

impl From<Node> for PoolWire {
    fn from(node: Node) -> Self {
        let mut fields = Fields::new(node);
        skip_kind(&mut fields);
        PoolWire {
            place: fields.place().clone(),
            name: fields.required("name"),
            team: fields.required("team"),
            map: fields.required("map"),
            shards: fields.required("shards"),
            limits: LimitsWire::read(&mut fields),
            targets: fields.required("targets"),
            findings: fields.finish(),
        }
    }
}

impl TryFrom<PoolWire> for Pool {
    type Error = Findings;

    fn try_from(wire: PoolWire) -> Result<Self, Findings> {
        let mut cx = Checker::new(wire.findings);
        let name = cx.name("name", wire.name);
        let team = cx.name("team", wire.team);
        let map = cx.number("map", wire.map, 1..=u64::from(u32::MAX));
        let shards = cx.number("shards", wire.shards, 1..=MAX_SHARDS);
        let limits = wire.limits.check(&mut cx, Limits::default());
        let has_targets = wire.targets.is_some();

        // The targets are checked even if the pool has no valid name.
        let pool = name.clone().unwrap_or_else(|| PoolName::new(""));
        let mut targets_cx = TargetsCx::new(&mut cx, &pool, shards, limits);
        let nodes = wire.targets.map(|it| it.value);
        let targets = nodes.into_iter().flatten().filter_map(|it| targets_cx.check(it.into()));
        let targets = targets.map(Arc::new).collect();
        if has_targets {
            let missing = targets_cx.missing_shards();
            check_all_shards_held(&mut cx, &wire.place, &missing);
        }

        let (Some(name), Some(team), Some(map), Some(shards)) = (name, team, map, shards) else {
            return Err(cx.into_findings());
        };
        cx.finish(Pool { name, team, map, shards, targets })
    }
}

fn check_all_shards_held(cx: &mut Checker, place: &Place, missing: &[ShardId]) {
    if missing.is_empty() {
        return;
    }
    let listed = missing.iter().take(MAX_MISSING_SHARDS_LISTED).map(ToString::to_string);
    let listed = listed.collect::<Vec<_>>().join(", ");
    let message = match missing.len().checked_sub(MAX_MISSING_SHARDS_LISTED) {
        None | Some(0) => format!("no target holds shard {listed}"),
        Some(more) => format!("no target holds shard {listed} and {more} more"),
    };
    cx.push(place, message, "add a target for each shard or lower `shards`");
}
