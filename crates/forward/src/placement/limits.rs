//! Limits of requests that targets state, and pauses that they ask for: this host's share
//! of a limit, and how long requests would wait.
//!
//! Load pattern answered: targets that turn requests away and ask to be left alone for a
//! while. Others get the requests, none is sent in vain, and hosts return in turn; where
//! all targets of a service ask for it, callers are refused at once until the first end.

use std::time::Duration;

use base::{RegionName, Time};

use super::{Arrival, Send, ServiceKey, TargetKey, Targets};
use crate::target::Shares;

/// Health checks of a target that states a limit are apart by this many of this
/// host's requests to it, as they count as requests.
const REQUESTS_PER_HEALTH_CHECK: u32 = 4;

impl<W> Targets<W> {
    /// Sets this host's turn among the hosts, from 0 to 1. Hosts that are told a limit
    /// at the same time begin to keep it in turn.
    pub fn set_phase(&mut self, phase: f64) {
        self.phase = phase;
    }

    /// Records that an answer names how many requests per second its target takes from
    /// all hosts; returns whether the limit is new.
    pub fn record_limit(&mut self, target: TargetKey, per_second: f64, now: Time) -> bool {
        let Some(service) = self.service_of(target) else { return false };
        let share = self.limit_share(service);
        let Some(it) = self.targets.get_mut(&target) else { return false };
        self.limited.insert(target);
        it.allowance.record_limit(per_second, share, self.phase, now)
    }

    /// Records that the answer to `send`, which is still in flight, names no limit;
    /// returns whether a limit ends.
    pub fn record_no_limit(&mut self, send: &Send, now: Time) -> bool {
        let is_limited = self.limited.contains(&send.target);
        let target = self.targets.get_mut(&send.target).filter(|_| is_limited);
        target.is_some_and(|it| it.record_no_limit(send.id, now))
    }

    /// Returns the number of targets that state a limit, or did so lately, or ask for a
    /// pause.
    pub fn limited_count(&self) -> usize {
        self.limited.len()
    }

    /// Forgets limits that ended long ago.
    pub fn expire_limits(&mut self, now: Time) {
        self.pauses.expire(now);
        let targets = &mut self.targets;
        self.limited.retain(|it| targets.get_mut(it).is_some_and(|it| it.allowance.expire(now)));
    }

    /// Returns this host's part of what a target of the service takes.
    pub(super) fn shares(&self, service: ServiceKey) -> Shares {
        let (stated, state) = (self.limit_share(service), &self.services[service.0]);
        let cold_share = if self.needs_senders(service) {
            stated
        } else {
            // Allows for hosts that start while those that they replace still count.
            1.0 / (self.hosts + self.hosts.div_ceil(3)) as f64
        };
        let rate = state.settings.as_ref().and_then(|it| it.warmup_rate);
        let total = rate.map(|it| it * self.limits.cold_ratio + self.limits.cold_slack);
        // Any second over which the limit is checked can overlap two seconds of
        // this host's counter.
        Shares { cold_per_second: total.map(|it| it * cold_share / 2.0), stated }
    }

    /// Takes a request to the target from this host's share of a stated limit for a
    /// health check; returns false if there is none.
    pub(super) fn take_limited_health_check(&mut self, target: TargetKey, now: Time) -> bool {
        let Some(service) = self.service_of(target) else { return false };
        let Some((next, spacing)) = self.next_limited_send(service, target, now) else {
            return true;
        };
        let share = self.limit_share(service);
        let Some(it) = self.targets.get_mut(&target) else { return false };
        let is_early = it.was_checked_within(spacing * REQUESTS_PER_HEALTH_CHECK, now);
        if next > now || is_early {
            return false;
        }
        it.allowance.use_limit(share, now);
        true
    }

    /// Returns the expected time until stated limits allow requests to `min_services`
    /// of the services.
    pub(super) fn expected_limit_wait(&self, arrival: &Arrival<'_>, now: Time) -> Duration {
        if self.limited.is_empty() {
            return Duration::ZERO;
        }
        let services = arrival.services.iter();
        let waits = services.map(|it| self.limit_wait(*it, arrival.regions, now)).collect();
        super::admission::nth_wait(waits, arrival.min_services)
    }

    /// Returns the expected time until stated limits allow one more request to the
    /// service than wait in its queue; zero if some target states none.
    pub fn limit_wait(&self, service: ServiceKey, regions: &[RegionName], now: Time) -> Duration {
        let Some(mut times) = self.times_to_send(service, regions, now) else {
            return Duration::ZERO;
        };
        let mut last = now;
        for _ in 0..=self.services[service.0].queue.len() {
            let Some((next, spacing)) = times.iter_mut().min_by_key(|it| it.0) else { break };
            last = *next;
            *next += *spacing;
        }
        last.until(now)
    }

    /// Returns whether stated limits keep all targets of the service that answer from
    /// getting a request now.
    pub(super) fn is_limited(&self, service: ServiceKey, now: Time) -> bool {
        let times = self.times_to_send(service, &[], now);
        times.is_some_and(|it| it.iter().all(|(next, _)| *next > now))
    }

    /// Returns for each target that answers when this host may send to it next, and the
    /// time between two requests; `None` if no target answers or one states no limit.
    fn times_to_send(
        &self,
        service: ServiceKey,
        regions: &[RegionName],
        now: Time,
    ) -> Option<Vec<(Time, Duration)>> {
        if self.limited.is_empty() {
            return None;
        }
        let mut times = Vec::new();
        for key in &self.services[service.0].targets {
            let Some(target) = self.targets.get(key) else { continue };
            if self.is_allowed(target, regions, now) && !self.is_silent(target, now) {
                times.push(self.next_limited_send(service, *key, now)?);
            }
        }
        (!times.is_empty()).then_some(times)
    }

    fn next_limited_send(
        &self,
        service: ServiceKey,
        target: TargetKey,
        now: Time,
    ) -> Option<(Time, Duration)> {
        if !self.limited.contains(&target) {
            return None;
        }
        self.targets.get(&target)?.allowance.next_stated(self.limit_share(service), now)
    }
}
