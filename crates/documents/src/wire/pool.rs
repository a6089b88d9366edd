//! A pool's document as written, with its targets.

use std::{net::SocketAddr, sync::Arc};

use base::{Findings, HashMap, Place, PoolName, ShardId, TargetName};

use crate::{
    model::{Pool, Target},
    reader::{At, Checker, Field, Fields},
    tree::Node,
    wire::skip_kind,
};

const MAX_SHARDS: u64 = 100_000;
const MAX_SLOTS: u64 = 4_096;
const MAX_CONNECTIONS: u64 = 65_536;

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

/// What a target bears; a target's own fields go before its pool's.
struct LimitsWire {
    slots: Field<u64>,
    connections: Field<u64>,
    cold_slots: Field<u64>,
}

struct TargetWire {
    place: Place,
    name: Field<String>,
    shard: Field<u64>,
    domain: Field<String>,
    address: Field<String>,
    limits: LimitsWire,
    leaving: Field<bool>,
    is_mapping: bool,
    findings: Findings,
}

#[derive(Clone, Copy, Default)]
struct Limits {
    slots: Option<u32>,
    connections: Option<u32>,
    cold_slots: Option<u32>,
}

/// What a target takes from its pool.
struct TargetCx<'a> {
    pool: &'a PoolName,
    shards: Option<u32>,
    limits: Limits,
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

impl From<Node> for TargetWire {
    fn from(node: Node) -> Self {
        let mut fields = Fields::new(node);
        TargetWire {
            place: fields.place().clone(),
            name: fields.required("name"),
            shard: fields.required("shard"),
            domain: fields.required("domain"),
            address: fields.required("address"),
            limits: LimitsWire::read(&mut fields),
            leaving: fields.optional("leaving"),
            is_mapping: fields.is_mapping(),
            findings: fields.finish(),
        }
    }
}

impl LimitsWire {
    fn read(fields: &mut Fields) -> Self {
        LimitsWire {
            slots: fields.optional("slots"),
            connections: fields.optional("connections"),
            cold_slots: fields.optional("cold-slots"),
        }
    }

    fn check(self, cx: &mut Checker, defaults: Limits) -> Limits {
        let slots = cx.number("slots", self.slots, 1..=MAX_SLOTS);
        let connections = cx.number("connections", self.connections, 1..=MAX_CONNECTIONS);
        let cold_slots = cx.number("cold-slots", self.cold_slots, 1..=MAX_SLOTS);
        Limits {
            slots: slots.or(defaults.slots),
            connections: connections.or(defaults.connections),
            cold_slots: cold_slots.or(defaults.cold_slots),
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

        // Targets of a pool without a usable name are still checked.
        let pool = name.clone().unwrap_or_else(|| PoolName::new(""));
        let target_cx = TargetCx { pool: &pool, shards, limits };
        let targets = check_targets(&mut cx, wire.targets, &target_cx);
        if let (Some(shards), true) = (shards, has_targets) {
            check_shards_held(&mut cx, &wire.place, shards, &targets);
        }

        let (Some(name), Some(team), Some(map), Some(shards)) = (name, team, map, shards) else {
            return Err(cx.into_findings());
        };
        let targets = targets.into_iter().filter_map(|it| it.target).map(Arc::new).collect();
        cx.finish(Pool { name, team, map, shards, targets })
    }
}

/// A target after its check: what could be told of it, valid or not.
struct CheckedTarget {
    shard: Option<ShardId>,
    target: Option<Target>,
}

fn check_targets(
    cx: &mut Checker,
    nodes: Field<Vec<Node>>,
    target_cx: &TargetCx<'_>,
) -> Vec<CheckedTarget> {
    let Some(At { value: nodes, .. }) = nodes else { return Vec::new() };
    let mut seen = Seen::default();
    let mut checked = Vec::new();
    for node in nodes {
        let wire = TargetWire::from(node);
        checked.push(check_target(cx, wire, target_cx, &mut seen));
    }
    checked
}

/// Names and addresses of the targets checked so far, with their lines.
#[derive(Default)]
struct Seen {
    names: HashMap<TargetName, u32>,
    addresses: HashMap<SocketAddr, u32>,
}

fn check_target(
    cx: &mut Checker,
    wire: TargetWire,
    target_cx: &TargetCx<'_>,
    seen: &mut Seen,
) -> CheckedTarget {
    cx.findings.extend(wire.findings);
    if !wire.is_mapping {
        return CheckedTarget { shard: None, target: None };
    }
    let name_place = wire.name.as_ref().map(|it| it.place.clone());
    let address_place = wire.address.as_ref().map(|it| it.place.clone());
    let name: Option<TargetName> = cx.name("name", wire.name);
    let shard = check_shard(cx, wire.shard, target_cx.shards);
    let domain = cx.name("domain", wire.domain);
    let address = cx.address("address", wire.address);
    let limits = wire.limits.check(cx, target_cx.limits);
    if let (Some(name), Some(place)) = (&name, name_place) {
        check_unique(cx, &mut seen.names, name.clone(), &place, "name");
    }
    if let (Some(address), Some(place)) = (address, address_place) {
        check_unique(cx, &mut seen.addresses, address, &place, "address");
    }
    let limits = check_limits(cx, &wire.place, limits);
    let target = (|| {
        let (slots, connections, cold_slots) = limits?;
        Some(Target {
            name: name?,
            pool: target_cx.pool.clone(),
            shard: shard?,
            domain: domain?,
            address: address?,
            slots,
            connections,
            cold_slots,
            leaving: wire.leaving.is_some_and(|it| it.value),
        })
    })();
    CheckedTarget { shard, target }
}

fn check_shard(cx: &mut Checker, field: Field<u64>, shards: Option<u32>) -> Option<ShardId> {
    let last = shards.map_or(MAX_SHARDS - 1, |it| u64::from(it) - 1);
    cx.number("shard", field, 0..=last).map(ShardId)
}

fn check_unique<T: std::hash::Hash + Eq + std::fmt::Display>(
    cx: &mut Checker,
    seen: &mut HashMap<T, u32>,
    value: T,
    place: &Place,
    what: &str,
) {
    if let Some(line) = seen.get(&value) {
        let message = format!("two targets have the {what} {value}");
        cx.push(place, message, &format!("the other is in line {line}"));
        return;
    }
    seen.insert(value, place.line);
}

/// Slots, connections and cold slots, if all are known and fit each other.
fn check_limits(cx: &mut Checker, place: &Place, limits: Limits) -> Option<(u32, u32, u32)> {
    let fields = [
        ("slots", limits.slots),
        ("connections", limits.connections),
        ("cold-slots", limits.cold_slots),
    ];
    for (key, _) in fields.iter().filter(|(_, limit)| limit.is_none()) {
        let message = format!("the target has no `{key}`");
        cx.push(place, message, &format!("set `{key}` for the target or for its pool"));
    }
    let slots = limits.slots?;
    let connections = limits.connections?;
    let cold_slots = limits.cold_slots?;
    if cold_slots > slots {
        let message = format!("`cold-slots` ({cold_slots}) is more than `slots` ({slots})");
        cx.push(place, message, "a cold target bears no more than a warm one");
    }
    if slots > connections {
        let message = format!("`slots` ({slots}) is more than `connections` ({connections})");
        cx.push(place, message, "each request at once needs a connection of its own");
    }
    Some((slots, connections, cold_slots))
}

fn check_shards_held(cx: &mut Checker, place: &Place, shards: u32, targets: &[CheckedTarget]) {
    let mut held = vec![false; shards as usize];
    for shard in targets.iter().filter_map(|it| it.shard) {
        held[shard.0 as usize] = true;
    }
    let missing: Vec<String> =
        (0..shards).filter(|it| !held[*it as usize]).map(|it| it.to_string()).collect();
    if missing.is_empty() {
        return;
    }
    let message = format!("no target holds shard {}", missing.join(", "));
    cx.push(place, message, "add a target for each shard or lower `shards`");
}
