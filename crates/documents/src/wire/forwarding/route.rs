//! A route of a forwarding file as written.

use std::sync::Arc;

use base::{Findings, Place, ServiceName};
use forward::{Destination, Repeat, Route, route::GatherSpec};

use super::{check_names, items};
use crate::{
    reader::{Checker, Field, Fields},
    tree::Node,
};

const REPEATS: &[(&str, Repeat)] =
    &[("idempotent", Repeat::Idempotent), ("at-most-once", Repeat::AtMostOnce)];

const MAX_TIMEOUT_MS: u64 = 600_000;
const MAX_ATTEMPTS: u64 = 10;
const MAX_PRIORITY: u64 = 100;
const MAX_TOP: u64 = 100_000;
const MAX_WEIGHT: u64 = 1_000_000;
const DEFAULT_ATTEMPTS: u32 = 2;

pub(super) struct RouteWire {
    place: Place,
    name: Field<String>,
    host: Field<String>,
    prefix: Field<String>,
    repeat: Field<String>,
    timeout_ms: Field<u64>,
    objective_ms: Field<u64>,
    attempts: Field<u64>,
    priority: Field<u64>,
    regions: Field<Vec<Node>>,
    service: Field<String>,
    weighted: Field<Vec<Node>>,
    gather: Option<GatherWire>,
    findings: Findings,
}

struct GatherWire {
    shards: Field<Vec<Node>>,
    top: Field<u64>,
    min_share: Field<f64>,
    findings: Findings,
}

impl From<Node> for RouteWire {
    fn from(node: Node) -> Self {
        let has_gather = node.has_key("gather");
        let mut fields = Fields::new(node);
        let gather = fields.section("gather");
        RouteWire {
            place: fields.place().clone(),
            name: fields.required("name"),
            host: fields.required("host"),
            prefix: fields.required("prefix"),
            repeat: fields.required("repeat"),
            timeout_ms: fields.required("timeout-ms"),
            objective_ms: fields.optional("objective-ms"),
            attempts: fields.optional("attempts"),
            priority: fields.optional("priority"),
            regions: fields.optional("regions"),
            service: fields.optional("service"),
            weighted: fields.optional("weighted"),
            gather: has_gather.then(|| GatherWire::from(gather)),
            findings: fields.finish(),
        }
    }
}

impl From<Fields> for GatherWire {
    fn from(mut fields: Fields) -> Self {
        GatherWire {
            shards: fields.required("shards"),
            top: fields.required("top"),
            min_share: fields.optional("min-share"),
            findings: fields.finish(),
        }
    }
}

impl RouteWire {
    pub(super) fn check(self, cx: &mut Checker) -> Option<Route> {
        cx.findings.extend(self.findings);
        let name: Option<ServiceName> = cx.name("name", self.name);
        let host = self.host.map(|it| it.value.to_ascii_lowercase());
        let prefix = check_prefix(cx, self.prefix);
        let repeat = cx.choice("repeat", self.repeat, REPEATS);
        let timeout = cx.millis("timeout-ms", self.timeout_ms, 1..=MAX_TIMEOUT_MS);
        let objective = cx.millis("objective-ms", self.objective_ms, 1..=MAX_TIMEOUT_MS);
        let attempts = cx.number("attempts", self.attempts, 1..=MAX_ATTEMPTS);
        let priority = cx.number("priority", self.priority, 0..=MAX_PRIORITY);
        let regions = check_names(cx, "regions", self.regions);
        let destination = destination(cx, &self.place, self.service, self.weighted, self.gather);
        let timeout = timeout?;
        let route = Route {
            name: Arc::from(name?.as_str()),
            host: Arc::from(host?),
            prefix: Arc::from(prefix?),
            repeat: repeat?,
            timeout,
            objective: objective.unwrap_or(timeout),
            attempts: attempts.unwrap_or(DEFAULT_ATTEMPTS),
            priority: priority.unwrap_or(0),
            destination: destination?,
            regions,
            is_open: false,
        };
        let is_unsafe_gather = route.repeat == Repeat::AtMostOnce
            && matches!(route.destination, Destination::Gather(_));
        if is_unsafe_gather {
            let message = "a route with `gather` cannot be at-most-once".to_owned();
            cx.push(&self.place, message, "use `repeat: idempotent`");
        }
        Some(route)
    }
}

fn check_prefix(cx: &mut Checker, field: Field<String>) -> Option<String> {
    let field = field?;
    if !field.value.starts_with('/') || !field.value.ends_with('/') {
        let message = format!("`prefix` is {:?}", field.value);
        cx.push(&field.place, message, "begin and end it with a slash");
        return None;
    }
    Some(field.value)
}

fn destination(
    cx: &mut Checker,
    place: &Place,
    service: Field<String>,
    weighted: Field<Vec<Node>>,
    gather: Option<GatherWire>,
) -> Option<Destination> {
    let given = usize::from(service.is_some())
        + usize::from(weighted.is_some())
        + usize::from(gather.is_some());
    if given != 1 {
        let message = format!("the route has {given} destinations");
        cx.push(place, message, "give one of `service`, `weighted` and `gather`");
        return None;
    }
    if let Some(gather) = gather {
        return gather.check(cx, place);
    }
    if weighted.is_some() {
        return check_weighted(cx, place, weighted);
    }
    cx.name("service", service).map(Destination::Service)
}

fn check_weighted(
    cx: &mut Checker,
    place: &Place,
    weighted: Field<Vec<Node>>,
) -> Option<Destination> {
    let mut weights = Vec::new();
    for node in items(weighted) {
        let mut fields = Fields::new(node);
        let service = fields.required("service");
        let weight = fields.required("weight");
        cx.findings.extend(fields.finish());
        let service = cx.name("service", service);
        let weight = cx.number::<u64>("weight", weight, 0..=MAX_WEIGHT);
        if let (Some(service), Some(weight)) = (service, weight) {
            weights.push((service, weight as f64));
        }
    }
    if weights.iter().all(|(_, weight)| *weight == 0.0) {
        let message = "no service has a weight above 0".to_owned();
        cx.push(place, message, "give at least one service a weight above 0");
        return None;
    }
    Some(Destination::Weighted(weights))
}

impl GatherWire {
    fn check(self, cx: &mut Checker, place: &Place) -> Option<Destination> {
        cx.findings.extend(self.findings);
        let shards: Vec<ServiceName> = check_names(cx, "shards", self.shards);
        let top = cx.number("top", self.top, 1..=MAX_TOP);
        let min_share = cx.ratio("min-share", self.min_share).unwrap_or(1.0);
        let mut sorted = shards.clone();
        sorted.sort();
        sorted.dedup();
        if sorted.len() != shards.len() || shards.is_empty() {
            let message = "`shards` must name one service or more, each once".to_owned();
            cx.push(place, message, "list the shards' services");
            return None;
        }
        Some(Destination::Gather(GatherSpec { shards, top: top?, min_share }))
    }
}
