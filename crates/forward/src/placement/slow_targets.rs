//! Whether enough parts of a request are expected in time, by what is known of targets.
//!
//! Load pattern answered: a burst while more shards are overloaded than a gather may leave
//! out. Nearly all gathers would be admitted, as the hosts' own queues are short, and wait
//! in the queues of targets until they are late.

use std::time::Duration;

use base::Time;

use super::{Arrival, PlacementRequest, ServiceKey, Targets, admission::nth_wait};

/// Why a request cannot be answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowTargets {
    /// Time by which the last required part is too late. A request that arrives after it is
    /// expected to be in time.
    pub wait: Duration,
    /// Number of services whose part is expected too late.
    pub late_services: usize,
}

impl<W> Targets<W> {
    /// Returns how much too late the last required part is expected, if it is late.
    ///
    /// How slow targets are is known while this host's requests are there. With none at one
    /// of the services that are late, the request is accepted, and shows how they are now.
    pub(super) fn slow_targets(&self, arrival: &Arrival<'_>, now: Time) -> Option<SlowTargets> {
        let Arrival { services, min_services, customer, class, regions, .. } = *arrival;
        let left = arrival.answer_by.until(now);
        let request =
            |it: &ServiceKey| PlacementRequest { service: *it, class, tried: &[], regions };
        // Usually the first target of each service is in time, and few services are looked at
        // beyond the minimum.
        let is_in_time = |it: &&ServiceKey| self.may_be_in_time(&request(it), customer, left, now);
        if services.iter().filter(is_in_time).take(min_services).count() >= min_services {
            return None;
        }
        let time = |it: &ServiceKey| {
            // Targets that are down or silent may answer again at any moment.
            let time = self.expected_part_time(&request(it), customer, now);
            time.map_or(Duration::ZERO, |it| it.own)
        };
        let times: Vec<Duration> = services.iter().map(time).collect();
        let late_services = times.iter().filter(|it| **it > left).count();
        let mut late = services.iter().zip(&times).filter(|(_, time)| **time > left);
        if !late.all(|(it, _)| self.has_sends_in_flight(*it)) {
            return None;
        }
        let wait = nth_wait(times, min_services).saturating_sub(left);
        Some(SlowTargets { wait, late_services })
    }

    fn has_sends_in_flight(&self, service: ServiceKey) -> bool {
        let targets = self.services[service.0].targets.iter();
        targets.filter_map(|it| self.targets.get(it)).any(|it| it.sends_in_flight() > 0)
    }
}
