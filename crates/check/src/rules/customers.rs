//! Rules on customers and their limits.

use base::ServiceName;
use forward::{Destination, Route};

use super::Rules;

impl Rules<'_> {
    /// Reports limits of customers that contradict each other or what targets can do.
    pub(super) fn check_customers(&mut self) {
        let carried = self.carried();
        for entry in &self.document.customers {
            let customer = &entry.value.customer;
            let name = &customer.name;
            if customer.keys.is_empty() {
                let message = format!("customer {name} has no key");
                self.report(&entry.place, message, "it can send requests on open routes only");
            }
            let Some(limit) = customer.limit else {
                if entry.value.burst > 0.0 {
                    let message = format!("customer {name} has a burst without a rate");
                    self.report(&entry.place, message, "a rate of 0 means no limit at all");
                }
                continue;
            };
            if limit.burst < limit.per_second {
                let message = format!(
                    "the burst of customer {name}, {}, is below its rate, {} per second",
                    limit.burst, limit.per_second
                );
                let hint = "requests that arrive together are rejected below the rate";
                self.report(&entry.place, message, hint);
            }
            if let Some(carried) = carried.filter(|it| limit.per_second > *it) {
                let message = format!(
                    "the rate of customer {name}, {} per second, is over the {carried:.0} that the \
                     targets of any route carry",
                    limit.per_second
                );
                let hint = "counted with the objective as the time that a request takes";
                self.report(&entry.place, message, hint);
            }
        }
        let is_closed = self.document.routes.iter().any(|it| !it.value.is_open);
        if let Some(first) = self.document.customers.first().filter(|_| !is_closed) {
            let message = "there are customers, and all routes are open".to_owned();
            self.report(&first.place, message, "no request needs a key");
        }
    }

    /// Returns the requests per second that the targets of the strongest route carry if each
    /// takes as long as its objective; `None` if no targets are known.
    fn carried(&self) -> Option<f64> {
        self.input.targets?;
        let routes = self.document.routes.iter().map(|it| self.carried_by(&it.value));
        routes.reduce(f64::max)
    }

    fn carried_by(&self, route: &Route) -> f64 {
        let targets = self.input.targets.unwrap_or_default();
        let slots = |service: &ServiceName| {
            let own = targets.iter().filter(|it| it.service == *service);
            own.map(|it| f64::from(it.slots)).sum::<f64>()
        };
        let services = route.destination.services().into_iter().map(slots);
        let slots = match &route.destination {
            // Each request takes a slot of each shard.
            Destination::Gather(_) => services.reduce(f64::min),
            Destination::Service(_) | Destination::Weighted(_) => services.reduce(|a, b| a + b),
        };
        let seconds = route.objective.as_secs_f64().max(0.001);
        slots.unwrap_or(0.0) / seconds
    }
}
