//! Configurations of the operator: routes, and the form in which the store holds them.

use std::time::Duration;

use serde_json::{Value, json};

use super::customers::{self, Customer};

/// Name of the host that clients ask for.
pub const HOST_NAME: &str = "pupu76.example";

/// A route of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub prefix: String,
    pub is_idempotent: bool,
    pub timeout_ms: u64,
    pub destination: Destination,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    Service(String),
    /// All shards; the answer holds the greatest `TOP` records.
    Gather(Vec<String>),
}

/// Number of records in an answer of a gather route.
pub const TOP: usize = 10;
/// Share of the shards that such an answer must hold.
pub const MIN_SHARE: f64 = 0.75;

/// A version of the configuration, as the operator wrote it.
#[derive(Clone, Debug)]
pub struct Version {
    pub number: u64,
    pub sent: Duration,
    /// `Duration::MAX` until the store has acknowledged it.
    pub acked: Duration,
    pub routes: Vec<Route>,
    /// None if requests need no keys.
    pub customers: Vec<Customer>,
}

impl Version {
    /// Returns the route that `path` selects.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let matching = self.routes.iter().filter(|it| path.starts_with(&it.prefix));
        matching.max_by_key(|it| it.prefix.len())
    }

    /// Returns whether `service` may run a request to `path`.
    pub fn allows(&self, path: &str, service: &str) -> bool {
        self.route(path).is_some_and(|it| it.destination.contains(service))
    }
}

impl Destination {
    fn contains(&self, service: &str) -> bool {
        match self {
            Destination::Service(it) => it == service,
            Destination::Gather(shards) => shards.iter().any(|it| it == service),
        }
    }
}

/// Returns the item that the operator writes into the store.
pub fn document(
    number: u64,
    routes: &[Route],
    customers: &[Customer],
    services: &[String],
    connections: u32,
    idle_timeout_ms: u64,
) -> String {
    let routes: Vec<Value> = routes.iter().map(route_document).collect();
    let service = |name: &String| {
        json!({
            "name": name, "health_path": "/healthz", "max_conns": connections,
            "proto": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0,
        })
    };
    let services: Vec<Value> = services.iter().map(service).collect();
    let limits = json!({
        "max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3_000,
        "idle_timeout_ms": idle_timeout_ms,
    });
    let mut document =
        json!({"version": number, "routes": routes, "services": services, "limits": limits});
    if !customers.is_empty() {
        document["tenants"] = customers.iter().map(customers::document).collect();
    }
    document.to_string()
}

fn route_document(route: &Route) -> Value {
    let kind = if route.is_idempotent { "idempotent" } else { "non_idempotent" };
    let mut value = json!({
        "name": route.prefix.trim_matches('/'), "host": HOST_NAME, "prefix": route.prefix,
        "kind": kind, "timeout_ms": route.timeout_ms, "target_latency_ms": 800,
        "priority": 2, "attempts": 2,
    });
    match &route.destination {
        Destination::Service(service) => value["service"] = json!(service),
        Destination::Gather(shards) => {
            value["gather"] = json!(shards);
            value["top_k"] = json!(TOP);
            value["min_share"] = json!(MIN_SHARE);
        }
    }
    value
}
