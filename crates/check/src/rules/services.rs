//! Rules on services.

use base::{HashSet, ServiceName};

use super::Rules;

impl Rules<'_> {
    /// Reports services that get no requests, and those that accept none.
    pub(super) fn check_services(&mut self) {
        let routes = self.document.routes.iter();
        let named: HashSet<&ServiceName> =
            routes.flat_map(|it| it.value.destination.services()).collect();
        let mut seen: HashSet<&ServiceName> = HashSet::default();
        for entry in &self.document.services {
            let (name, service) = &entry.value;
            if !seen.insert(name) {
                let message = format!("another service is named {name} too");
                self.report(&entry.place, message, "only one of the two counts");
            }
            if !named.contains(name) {
                let message = format!("no route names service {name}");
                self.report(&entry.place, message, "its targets get no requests");
            }
            if service.max_connections == 0 {
                let message = format!("targets of service {name} accept no connection");
                self.report(&entry.place, message, "`max_conns` is for one target and all hosts");
            }
            let is_cold_limited = service.warmup_rate.is_some();
            if is_cold_limited && service.warmup.is_zero() {
                let message = format!("service {name} limits cold targets that are never cold");
                self.report(&entry.place, message, "`warmup_per_s` counts for `warmup_s`");
            }
        }
    }
}
