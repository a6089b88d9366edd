//! Rules on routes: which requests they match, where these may go, and how long they take.

use std::sync::Arc;

use base::{HashMap, HashSet, RegionName, ServiceName};
use forward::{Destination, Route, TargetReport};

use super::Rules;

impl Rules<'_> {
    /// Reports routes that no request can match.
    pub(super) fn check_matching(&mut self) {
        let mut seen: HashMap<(&str, &str), &Arc<str>> = HashMap::default();
        let mut names: HashSet<&str> = HashSet::default();
        for entry in &self.document.routes {
            let route = &entry.value;
            let (name, host, prefix) = (&*route.name, &*route.host, &*route.prefix);
            if !names.insert(name) {
                let hint = "routes of one name share what hosts learn of their latencies";
                self.report(&entry.place, format!("another route is named {name} too"), hint);
            }
            if host.is_empty() {
                let hint = "each request names a host";
                self.report(&entry.place, format!("route {name} can never match: no host"), hint);
            }
            if !prefix.starts_with('/') || !prefix.ends_with('/') {
                let message = format!("route {name} can never match as meant: prefix {prefix:?}");
                self.report(&entry.place, message, "a prefix begins and ends with a slash");
            }
            if let Some(first) = seen.get(&(host, prefix)) {
                let message = format!("route {name} can never match: route {first} comes first");
                let hint = "both have the same host and prefix; host names match in any case";
                self.report(&entry.place, message, hint);
            } else {
                seen.insert((host, prefix), &route.name);
            }
        }
    }

    /// Reports destinations that cannot serve a request.
    pub(super) fn check_destinations(&mut self) {
        for entry in &self.document.routes {
            let route = &entry.value;
            let name = &route.name;
            let services = route.destination.services();
            if services.is_empty() {
                self.report(&entry.place, format!("route {name} names no service"), "");
            }
            let unknown: Vec<&str> = services
                .iter()
                .filter(|it| self.document.service(it).is_none())
                .map(|it| it.as_str())
                .collect();
            if !unknown.is_empty() {
                let message = format!("route {name} names unknown services: {}", listed(&unknown));
                self.report(&entry.place, message, "each service needs an entry in `services`");
            }
            match &route.destination {
                Destination::Weighted(parts) if parts.iter().all(|(_, weight)| *weight <= 0.0) => {
                    let message = format!("the weights of route {name} are all zero");
                    self.report(&entry.place, message, "its requests go to no service");
                }
                Destination::Gather(spec) => {
                    let distinct: HashSet<&ServiceName> = spec.shards.iter().collect();
                    if distinct.len() < spec.shards.len() {
                        let message = format!("route {name} gathers from a service twice");
                        self.report(&entry.place, message, "its records would be doubled");
                    }
                    let known = spec.shards.len() - unknown.len();
                    if known < spec.min_shards() {
                        let message = format!(
                            "the minimum share of route {name} cannot be met: it needs {} of {} \
                             shards, and {known} are known",
                            spec.min_shards(),
                            spec.shards.len(),
                        );
                        self.report(&entry.place, message, "lower `min_share` or add services");
                    }
                }
                _ => {}
            }
            self.check_regions(entry);
            self.check_targets(entry);
        }
    }

    /// Reports regions of the route that no domain belongs to.
    fn check_regions(&mut self, entry: &crate::entries::Entry<Route>) {
        let Some(host) = self.input.host else { return };
        let known: HashSet<&RegionName> = host.regions.values().collect();
        for region in entry.value.regions.iter().filter(|it| !known.contains(it)) {
            let message =
                format!("no domain is in region {region}, which route {} names", entry.value.name);
            self.report(&entry.place, message, "the host's settings list domains in `zones`");
        }
    }

    /// Reports what the known targets cannot do for the route.
    fn check_targets(&mut self, entry: &crate::entries::Entry<Route>) {
        let Some(targets) = self.input.targets else { return };
        let route = &entry.value;
        let name = &route.name;
        let count = |service: &ServiceName| {
            targets.iter().filter(|it| it.service == *service && self.is_usable(route, it)).count()
        };
        let counts: Vec<usize> = route.destination.services().into_iter().map(count).collect();
        for region in &route.regions {
            let is_there = |it: &&TargetReport| {
                let regions = self.input.host.map(|it| &it.regions);
                let is_named = route.destination.services().contains(&&it.service);
                is_named && regions.is_some_and(|all| all.get(&it.domain) == Some(region))
            };
            if self.input.host.is_some() && !targets.iter().any(|it| is_there(&it)) {
                let message = format!("region {region} of route {name} holds no target");
                self.report(&entry.place, message, "its requests go to the other regions only");
            }
        }
        let found = counts.iter().filter(|it| **it > 0).count();
        let needed = match &route.destination {
            Destination::Gather(spec) => spec.min_shards(),
            Destination::Service(_) | Destination::Weighted(_) => 1,
        };
        if found < needed {
            let message = format!(
                "route {name} cannot be served: it needs targets of {needed} services, and {found} \
                 have any that it may use"
            );
            self.report(&entry.place, message, "see its regions, and the targets' entries");
        }
        let most = counts.iter().max().copied().unwrap_or(0);
        if most > 0 && route.attempts as usize > most {
            let message = format!(
                "route {name} allows {} attempts, more than any of its services has targets ({most})",
                route.attempts
            );
            self.report(&entry.place, message, "a request is sent to each target once");
        }
    }

    /// Returns whether requests of the route may go to the target, as far as its domain's
    /// region is known.
    fn is_usable(&self, route: &Route, target: &TargetReport) -> bool {
        let Some(host) = self.input.host else { return true };
        let region = host.regions.get(&target.domain);
        route.regions.is_empty() || region.is_some_and(|it| route.regions.contains(it))
    }

    /// Reports times that contradict each other.
    pub(super) fn check_times(&mut self) {
        for entry in &self.document.routes {
            let route = &entry.value;
            let name = &route.name;
            if route.timeout.is_zero() {
                let message = format!("the timeout of route {name} is zero");
                self.report(&entry.place, message, "no request can be answered in time");
            } else if route.objective > route.timeout {
                let message = format!(
                    "the objective of route {name}, {} ms, is beyond its timeout, {} ms",
                    route.objective.as_millis(),
                    route.timeout.as_millis(),
                );
                self.report(&entry.place, message, "requests end at the timeout");
            }
        }
    }
}

/// Joins names, the first few of many.
fn listed(names: &[&str]) -> String {
    const SHOWN: usize = 5;
    let shown = names.iter().take(SHOWN).copied().collect::<Vec<_>>().join(", ");
    match names.len().checked_sub(SHOWN) {
        None | Some(0) => shown,
        Some(more) => format!("{shown} and {more} more"),
    }
}
