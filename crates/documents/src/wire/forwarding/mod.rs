//! A forwarding file as written.

mod route;
mod service;

use base::{DomainName, Findings, HashMap, Place, ServiceName};
use forward::{Configuration, route::Regions};

use self::{
    route::RouteWire,
    service::{ServiceWire, TargetsCx},
};
use crate::{
    model::{Forwarding, ForwardingListen},
    reader::{Checker, Field, Fields, Unique},
    tree::Node,
    wire::skip_kind,
};

const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_LEAVING_MS: u64 = 2_000;
const MAX_LEAVING_MS: u64 = 600_000;

pub(crate) struct ForwardingWire {
    place: Place,
    version: Field<u64>,
    domain: Field<String>,
    domains: Field<Vec<Node>>,
    out: Field<Vec<Node>>,
    retry_ratio: Field<f64>,
    leaving_ms: Field<u64>,
    listen: ListenWire,
    routes: Field<Vec<Node>>,
    services: Field<Vec<Node>>,
    findings: Findings,
}

struct ListenWire {
    callers: Field<String>,
    readiness: Field<String>,
    metrics: Field<String>,
    peers: Field<String>,
    seeds: Field<Vec<Node>>,
    findings: Findings,
}

impl From<Node> for ForwardingWire {
    fn from(node: Node) -> Self {
        let mut fields = Fields::new(node);
        skip_kind(&mut fields);
        let listen = ListenWire::from(fields.section("listen"));
        ForwardingWire {
            place: fields.place().clone(),
            version: fields.required("version"),
            domain: fields.required("domain"),
            domains: fields.optional("domains"),
            out: fields.optional("out"),
            retry_ratio: fields.optional("retry-ratio"),
            leaving_ms: fields.optional("leaving-ms"),
            listen,
            routes: fields.required("routes"),
            services: fields.required("services"),
            findings: fields.finish(),
        }
    }
}

impl From<Fields> for ListenWire {
    fn from(mut fields: Fields) -> Self {
        ListenWire {
            callers: fields.required("callers"),
            readiness: fields.required("readiness"),
            metrics: fields.optional("metrics"),
            peers: fields.required("peers"),
            seeds: fields.optional("seeds"),
            findings: fields.finish(),
        }
    }
}

impl TryFrom<ForwardingWire> for Forwarding {
    type Error = Findings;

    fn try_from(wire: ForwardingWire) -> Result<Self, Findings> {
        let mut cx = Checker::new(wire.findings);
        let version = cx.number("version", wire.version, 1..=u64::MAX);
        let domain = cx.name::<DomainName>("domain", wire.domain);
        let regions = check_domains(&mut cx, wire.domains);
        let out = check_names(&mut cx, "out", wire.out);
        let retry_ratio = cx.ratio("retry-ratio", wire.retry_ratio).unwrap_or(DEFAULT_RETRY_RATIO);
        let leaving = cx.millis("leaving-ms", wire.leaving_ms, 0..=MAX_LEAVING_MS);
        let listen = wire.listen.check(&mut cx);

        let mut targets_cx = TargetsCx::default();
        let mut services = HashMap::default();
        let mut names = Unique::new("services", "name");
        for node in items(wire.services) {
            let place = node.place.clone();
            if let Some((name, service)) = ServiceWire::from(node).check(&mut cx, &mut targets_cx) {
                names.check(&mut cx.findings, name.clone(), place);
                services.insert(name, service);
            }
        }
        let mut routes = Vec::new();
        let mut match_keys = Unique::new("routes", "host and prefix");
        for node in items(wire.routes) {
            let place = node.place.clone();
            let Some(route) = RouteWire::from(node).check(&mut cx) else { continue };
            match_keys.check(
                &mut cx.findings,
                format!("{}{}", route.host, route.prefix),
                place.clone(),
            );
            for service in route.destination.services() {
                check_service_known(&mut cx, &services, service, &place);
            }
            routes.push(route);
        }
        if routes.is_empty() && cx.findings.is_empty() {
            cx.push(&wire.place, "no route is given".to_owned(), "add one under `routes:`");
        }
        let (Some(version), Some(domain), Some(listen)) = (version, domain, listen) else {
            return Err(cx.into_findings());
        };
        let leaving_for = leaving.unwrap_or(std::time::Duration::from_millis(DEFAULT_LEAVING_MS));
        let configuration = Configuration { version, routes, services, ..Default::default() };
        let targets = targets_cx.targets;
        cx.finish(Forwarding {
            listen,
            domain,
            regions,
            retry_ratio,
            leaving_for,
            configuration,
            targets,
            out,
        })
    }
}

impl ListenWire {
    fn check(self, cx: &mut Checker) -> Option<ForwardingListen> {
        cx.findings.extend(self.findings);
        let callers = cx.address("callers", self.callers);
        let readiness = cx.address("readiness", self.readiness);
        let metrics = cx.address("metrics", self.metrics);
        let peers = cx.address("peers", self.peers);
        let seeds: Vec<_> = items(self.seeds)
            .filter_map(|it| {
                let field = cx.item("seeds", it);
                cx.address("seeds", field)
            })
            .collect();
        Some(ForwardingListen {
            callers: callers?,
            readiness: readiness?,
            metrics,
            peers: peers?,
            seeds,
        })
    }
}

/// Returns the items of a list, or none if the list is absent.
fn items(field: Field<Vec<Node>>) -> impl Iterator<Item = Node> {
    field.into_iter().flat_map(|it| it.value)
}

fn check_names<T: From<String>>(
    cx: &mut Checker,
    key: &'static str,
    field: Field<Vec<Node>>,
) -> Vec<T> {
    let mut names = Vec::new();
    for node in items(field) {
        let field = cx.item(key, node);
        names.extend(cx.name::<T>(key, field));
    }
    names
}

fn check_domains(cx: &mut Checker, field: Field<Vec<Node>>) -> Regions {
    let mut regions = Regions::default();
    for node in items(field) {
        let mut fields = Fields::new(node);
        let name = fields.required("name");
        let region = fields.required("region");
        cx.findings.extend(fields.finish());
        let (name, region) = (cx.name("name", name), cx.name("region", region));
        if let (Some(name), Some(region)) = (name, region) {
            regions.insert(name, region);
        }
    }
    regions
}

fn check_service_known(
    cx: &mut Checker,
    services: &HashMap<ServiceName, forward::Service>,
    service: &ServiceName,
    place: &Place,
) {
    if !services.contains_key(service) {
        let message = format!("no service has the name `{service}`");
        cx.push(place, message, "add it under `services:`");
    }
}
