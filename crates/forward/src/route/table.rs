//! Lookup of a request's route, and the turn of weighted services.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use base::{HashMap, ServiceName, Time};

use super::{Configuration, Destination, Route};

/// A route counts as in use for this long after a request.
const IN_USE_FOR: Duration = Duration::from_secs(2);

/// The routes of one configuration, indexed.
#[derive(Debug)]
pub struct RouteTable {
    pub version: u64,
    by_host: HashMap<Arc<str>, Vec<Rc<RouteEntry>>>,
}

/// A route with the state of its weighted choice.
#[derive(Debug)]
pub struct RouteEntry {
    pub route: Route,
    /// Version of the configuration that the route belongs to.
    pub version: u64,
    credits: RefCell<Vec<f64>>,
    last_request: Cell<Option<Time>>,
}

impl RouteTable {
    pub fn new(cfg: &Configuration) -> RouteTable {
        let mut by_host: HashMap<Arc<str>, Vec<Rc<RouteEntry>>> = HashMap::default();
        for route in &cfg.routes {
            let entry = Rc::new(RouteEntry::new(route.clone(), cfg.version));
            by_host.entry(route.host.clone()).or_default().push(entry);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.route.prefix.len()));
        }
        RouteTable { version: cfg.version, by_host }
    }

    pub fn routes(&self) -> impl Iterator<Item = &Rc<RouteEntry>> {
        self.by_host.values().flatten()
    }

    /// The route of the longest prefix that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteEntry>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|it| path.starts_with(&*it.route.prefix))
    }
}

impl RouteEntry {
    fn new(route: Route, version: u64) -> RouteEntry {
        let parts = match &route.destination {
            Destination::Weighted(parts) => parts.len(),
            Destination::Service(_) | Destination::Gather(_) => 0,
        };
        RouteEntry {
            route,
            version,
            credits: RefCell::new(vec![0.0; parts]),
            last_request: Cell::new(None),
        }
    }

    pub fn note_request(&self, now: Time) {
        self.last_request.set(Some(now));
    }

    /// Whether callers use the route.
    pub fn is_in_use(&self, now: Time) -> bool {
        self.last_request.get().is_some_and(|at| now.since(at) < IN_USE_FOR)
    }

    /// The service whose turn it is: each gets its weight's share in any run
    /// of requests, evenly spread.
    pub fn next_service(&self) -> Option<ServiceName> {
        match &self.route.destination {
            Destination::Service(name) => Some(name.clone()),
            Destination::Gather(_) => None,
            Destination::Weighted(parts) => self.next_weighted(parts),
        }
    }

    fn next_weighted(&self, parts: &[(ServiceName, f64)]) -> Option<ServiceName> {
        let total: f64 = parts.iter().map(|(_, weight)| weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut credits = self.credits.borrow_mut();
        for (credit, (_, weight)) in credits.iter_mut().zip(parts) {
            *credit += weight / total;
        }
        let best = (0..parts.len()).max_by(|&a, &b| credits[a].total_cmp(&credits[b]))?;
        credits[best] -= 1.0;
        Some(parts[best].0.clone())
    }
}
