//! Lookup of a request's route, and the choice among weighted services.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use base::{HashMap, Time};

use super::{Configuration, Destination, Route};
use crate::placement::{ClassKey, ServiceKey, Targets};

/// Time for which a route counts as in use after a request.
const IN_USE_FOR: Duration = Duration::from_secs(2);

/// Time between two requests of a route that helpers are asked to serve after they
/// refused one.
const HELPERS_ASKED_EVERY: Duration = Duration::from_secs(1);

/// The routes of one configuration, indexed.
#[derive(Debug)]
pub struct RouteTable {
    pub version: u64,
    by_host: HashMap<Arc<str>, Vec<Rc<RouteEntry>>>,
}

/// A route with the keys of its services and the state of its weighted choice.
#[derive(Debug)]
pub struct RouteEntry {
    pub route: Route,
    /// Keys of the destination's services, in the same order.
    pub services: Vec<ServiceKey>,
    pub class: ClassKey,
    /// Class of requests that are passed on to a sender.
    pub relay_class: ClassKey,
    /// Version of the configuration that the route belongs to.
    pub version: u64,
    /// For each weighted service, its accumulated share of the requests minus the
    /// number of requests that it got.
    credits: RefCell<Vec<f64>>,
    last_request: Cell<Option<Time>>,
    /// Senders that requests are passed on to; `None` if this host serves them.
    senders: Cell<Option<ServiceKey>>,
    /// Time at which helpers last refused a request.
    refused_by_helpers: Cell<Option<Time>>,
}

impl RouteTable {
    pub fn new<W>(cfg: &Configuration, targets: &mut Targets<W>) -> RouteTable {
        let mut by_host: HashMap<Arc<str>, Vec<Rc<RouteEntry>>> = HashMap::default();
        for route in &cfg.routes {
            let entry = Rc::new(RouteEntry::new(route.clone(), cfg.version, targets));
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

    /// Returns the number of routes of `host`.
    pub fn routes_of(&self, host: &str) -> usize {
        self.by_host.get(host).map_or(0, Vec::len)
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteEntry>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|it| path.starts_with(&*it.route.prefix))
    }
}

impl RouteEntry {
    fn new<W>(route: Route, version: u64, targets: &mut Targets<W>) -> RouteEntry {
        let names = route.destination.services();
        let services: Vec<ServiceKey> = names.into_iter().map(|it| targets.service(it)).collect();
        RouteEntry {
            class: targets.class(&route.name),
            relay_class: targets.class(&format!("relay {}", route.name).into()),
            credits: RefCell::new(vec![0.0; services.len()]),
            services,
            route,
            version,
            last_request: Cell::new(None),
            senders: Cell::new(None),
            refused_by_helpers: Cell::new(None),
        }
    }

    /// Returns the group of senders that requests are passed on to, or `None` if
    /// this host serves them itself.
    pub fn senders(&self) -> Option<ServiceKey> {
        self.senders.get()
    }

    pub(crate) fn set_senders(&self, senders: Option<ServiceKey>) {
        self.senders.set(senders);
    }

    /// Records that helpers refused a request too.
    pub fn record_refusal_by_helpers(&self, now: Time) {
        self.refused_by_helpers.set(Some(now));
    }

    /// Returns whether helpers refused a request lately: its targets are in trouble, and
    /// not this host.
    pub fn is_refused_by_helpers(&self, now: Time) -> bool {
        let last = self.refused_by_helpers.get();
        last.is_some_and(|at| now.since(at) < HELPERS_ASKED_EVERY)
    }

    pub fn record_request(&self, now: Time) {
        self.last_request.set(Some(now));
    }

    /// Returns whether the route got a request recently.
    pub fn is_in_use(&self, now: Time) -> bool {
        self.last_request.get().is_some_and(|at| now.since(at) < IN_USE_FOR)
    }

    /// Returns the number of services that a request goes to.
    pub fn parts(&self) -> usize {
        match &self.route.destination {
            Destination::Gather(_) => self.services.len(),
            Destination::Service(_) | Destination::Weighted(_) => 1,
        }
    }

    /// Returns the number of services that must answer a request.
    pub fn min_services(&self) -> usize {
        match &self.route.destination {
            Destination::Gather(spec) => spec.min_shards(),
            Destination::Service(_) | Destination::Weighted(_) => 1,
        }
    }

    /// Returns the services that the next request goes to. Requests are spread
    /// evenly, so that in any run of them each weighted service gets its share.
    pub fn next_services(&self) -> Vec<ServiceKey> {
        match &self.route.destination {
            Destination::Gather(_) | Destination::Service(_) => self.services.clone(),
            Destination::Weighted(parts) => {
                let weights: Vec<f64> = parts.iter().map(|(_, weight)| *weight).collect();
                self.next_weighted(&weights).into_iter().collect()
            }
        }
    }

    fn next_weighted(&self, weights: &[f64]) -> Option<ServiceKey> {
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return None;
        }
        let mut credits = self.credits.borrow_mut();
        for (credit, weight) in credits.iter_mut().zip(weights) {
            *credit += weight / total;
        }
        let best = (0..weights.len()).max_by(|&a, &b| credits[a].total_cmp(&credits[b]))?;
        credits[best] -= 1.0;
        Some(self.services[best])
    }
}
