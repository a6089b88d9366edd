//! The targets of a pool as written.

use std::net::SocketAddr;

use base::{Findings, HashSet, Place, PoolName, ShardId, TargetName};

use crate::{
    model::Target,
    reader::{Checker, Field, Fields, Unique, WithPlace},
    tree::Node,
};

/// Maximum number of shards of a pool.
pub(super) const MAX_SHARDS: u64 = 100_000;

const MAX_SLOTS: u64 = 4_096;
const MAX_CONNECTIONS: u64 = 65_536;

/// Limits of a target as written. Fields of the target override those of its
/// pool.
pub(super) struct LimitsWire {
    slots: Field<u64>,
    connections: Field<u64>,
    cold_slots: Field<u64>,
}

pub(super) struct TargetWire {
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

/// Limits that a pool or a target sets; `None` where a limit is not set.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limits {
    slots: Option<u32>,
    connections: Option<u32>,
    cold_slots: Option<u32>,
}

/// Checks the targets of one pool one by one. Keeps the names, addresses and
/// shards found so far, to detect duplicates and shards without a target.
pub(super) struct TargetsCx<'a> {
    cx: &'a mut Checker,
    pool: &'a PoolName,
    shards: Option<u32>,
    limits: Limits,
    names: Unique<TargetName>,
    addresses: Unique<SocketAddr>,
    held_shards: HashSet<ShardId>,
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
    pub(super) fn read(fields: &mut Fields) -> Self {
        LimitsWire {
            slots: fields.optional("slots"),
            connections: fields.optional("connections"),
            cold_slots: fields.optional("cold-slots"),
        }
    }

    pub(super) fn check(self, cx: &mut Checker, defaults: Limits) -> Limits {
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

impl<'a> TargetsCx<'a> {
    pub(super) fn new(
        cx: &'a mut Checker,
        pool: &'a PoolName,
        shards: Option<u32>,
        limits: Limits,
    ) -> Self {
        TargetsCx {
            cx,
            pool,
            shards,
            limits,
            names: Unique::new("targets", "name"),
            addresses: Unique::new("targets", "address"),
            held_shards: HashSet::default(),
        }
    }

    /// Records findings, and returns the target if all required values are usable.
    pub(super) fn check(&mut self, wire: TargetWire) -> Option<Target> {
        self.cx.findings.extend(wire.findings);
        if !wire.is_mapping {
            return None;
        }
        let name = self.check_name(wire.name);
        let shard = self.check_shard(wire.shard);
        let domain = self.cx.name("domain", wire.domain);
        let address = self.check_address(wire.address);
        let limits = wire.limits.check(self.cx, self.limits);
        check_limits(self.cx, &wire.place, limits);
        Some(Target {
            name: name?,
            pool: self.pool.clone(),
            shard: shard?,
            domain: domain?,
            address: address?,
            slots: limits.slots?,
            connections: limits.connections?,
            cold_slots: limits.cold_slots?,
            leaving: wire.leaving.is_some_and(|it| it.value),
        })
    }

    /// Returns the shards that no target checked so far holds. Empty if the
    /// number of shards is unknown.
    pub(super) fn missing_shards(&self) -> Vec<ShardId> {
        let shards = (0..self.shards.unwrap_or(0)).map(ShardId);
        shards.filter(|it| !self.held_shards.contains(it)).collect()
    }

    fn check_name(&mut self, field: Field<String>) -> Option<TargetName> {
        let place = field.as_ref()?.place.clone();
        let name: TargetName = self.cx.name("name", field)?;
        self.names.check(&mut self.cx.findings, name.clone(), place);
        Some(name)
    }

    fn check_address(&mut self, field: Field<String>) -> Option<SocketAddr> {
        let place = field.as_ref()?.place.clone();
        let address = self.cx.address("address", field)?;
        self.addresses.check(&mut self.cx.findings, address, place);
        Some(address)
    }

    fn check_shard(&mut self, field: Field<u64>) -> Option<ShardId> {
        let WithPlace { value, place } = field?;
        let shards = self.shards.map_or(MAX_SHARDS, u64::from);
        if value >= shards {
            let message = format!("`shard` is {value}, but the pool has {shards} shards");
            self.cx.push(&place, message, &format!("use 0 to {}", shards - 1));
            return None;
        }
        let shard = ShardId(u32::try_from(value).ok()?);
        self.held_shards.insert(shard);
        Some(shard)
    }
}

/// Records findings on limits that are missing or contradict each other.
fn check_limits(cx: &mut Checker, place: &Place, limits: Limits) {
    let fields = [
        ("slots", limits.slots),
        ("connections", limits.connections),
        ("cold-slots", limits.cold_slots),
    ];
    for (key, _) in fields.iter().filter(|(_, limit)| limit.is_none()) {
        let message = format!("the target has no `{key}`");
        cx.push(place, message, &format!("set `{key}` for the target or for its pool"));
    }
    if let (Some(cold_slots), Some(slots)) = (limits.cold_slots, limits.slots)
        && cold_slots > slots
    {
        let message = format!("`cold-slots` ({cold_slots}) is more than `slots` ({slots})");
        cx.push(place, message, "a cold target cannot have more slots than a warm one");
    }
    if let (Some(slots), Some(connections)) = (limits.slots, limits.connections)
        && slots > connections
    {
        let message = format!("`slots` ({slots}) is more than `connections` ({connections})");
        cx.push(place, message, "each request in flight needs a connection of its own");
    }
}
