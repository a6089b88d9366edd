//! A service of a forwarding file as written, with its targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{Findings, ServiceName, TargetName};
use forward::{Lifecycle, Service, TargetReport};

use super::items;
use crate::{
    reader::{Checker, Field, Fields, Unique},
    tree::Node,
};

const STATES: &[(&str, Lifecycle)] =
    &[("ready", Lifecycle::Ready), ("draining", Lifecycle::Draining)];

const DEFAULT_HEALTH_PATH: &str = "/healthz";
const MAX_CONNECTIONS: u64 = 1_000_000;
const MAX_WARMUP_MS: u64 = 600_000;
const MAX_WARMUP_RATE: u64 = 1_000_000;
const MAX_SLOTS: u64 = 100_000;

pub(super) struct ServiceWire {
    name: Field<String>,
    health_path: Field<String>,
    max_connections: Field<u64>,
    warmup_ms: Field<u64>,
    warmup_rate: Field<u64>,
    targets: Field<Vec<Node>>,
    findings: Findings,
}

/// Targets of all services checked so far.
pub(super) struct TargetsCx {
    pub(super) targets: Vec<TargetReport>,
    names: Unique<TargetName>,
    addresses: Unique<SocketAddr>,
}

impl Default for TargetsCx {
    fn default() -> Self {
        TargetsCx {
            targets: Vec::new(),
            names: Unique::new("targets", "name"),
            addresses: Unique::new("targets", "address"),
        }
    }
}

impl From<Node> for ServiceWire {
    fn from(node: Node) -> Self {
        let mut fields = Fields::new(node);
        ServiceWire {
            name: fields.required("name"),
            health_path: fields.optional("health-path"),
            max_connections: fields.required("max-connections"),
            warmup_ms: fields.optional("warmup-ms"),
            warmup_rate: fields.optional("warmup-rate"),
            targets: fields.required("targets"),
            findings: fields.finish(),
        }
    }
}

impl ServiceWire {
    pub(super) fn check(
        self,
        cx: &mut Checker,
        targets: &mut TargetsCx,
    ) -> Option<(ServiceName, Service)> {
        cx.findings.extend(self.findings);
        let name: Option<ServiceName> = cx.name("name", self.name);
        let max_connections =
            cx.number("max-connections", self.max_connections, 1..=MAX_CONNECTIONS);
        let warmup = cx.millis("warmup-ms", self.warmup_ms, 0..=MAX_WARMUP_MS);
        let warmup_rate = cx.number::<u32>("warmup-rate", self.warmup_rate, 1..=MAX_WARMUP_RATE);
        // The targets are checked even if the service has no valid name.
        let service = name.clone().unwrap_or_else(|| ServiceName::new(""));
        for node in items(self.targets) {
            check_target(cx, targets, &service, node);
        }
        let health_path = self.health_path.map(|it| it.value);
        let settings = Service {
            health_path: Arc::from(health_path.as_deref().unwrap_or(DEFAULT_HEALTH_PATH)),
            max_connections: max_connections?,
            warmup: warmup.unwrap_or_default(),
            warmup_rate: warmup_rate.map(f64::from),
        };
        Some((name?, settings))
    }
}

fn check_target(cx: &mut Checker, targets: &mut TargetsCx, service: &ServiceName, node: Node) {
    let place = node.place.clone();
    let mut fields = Fields::new(node);
    let name = fields.required("name");
    let address = fields.required("address");
    let domain = fields.required("domain");
    let slots = fields.required("slots");
    let state = fields.optional("state");
    cx.findings.extend(fields.finish());
    let name: Option<TargetName> = cx.name("name", name);
    let address = cx.address("address", address);
    let domain = cx.name("domain", domain);
    let slots = cx.number("slots", slots, 1..=MAX_SLOTS);
    let lifecycle = cx.choice("state", state, STATES).unwrap_or(Lifecycle::Ready);
    let (Some(name), Some(address), Some(domain), Some(slots)) = (name, address, domain, slots)
    else {
        return;
    };
    targets.names.check(&mut cx.findings, name.clone(), place.clone());
    targets.addresses.check(&mut cx.findings, address, place);
    targets.targets.push(TargetReport {
        name,
        born: None,
        sequence: 0,
        service: service.clone(),
        address,
        domain,
        slots,
        lifecycle,
        cold_for: Duration::ZERO,
    });
}
