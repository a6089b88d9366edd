//! Selection among a service's targets.

use std::time::Duration;

use base::{RegionName, Time};

use super::{PlacementRequest, Send, TargetKey, Targets};
use crate::target::Target;

/// Result of placing a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    Send(Send),
    /// Some target answers, but none can take another send now.
    Busy,
    /// The targets that answer state limits, and this host's share of them is used up.
    Limited,
    /// All targets are silent: down, or with sends long unanswered.
    Silent,
    /// No target is allowed.
    NoTarget,
}

/// What a send is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    Needed,
    Hedge,
}

/// Result of the selection, before the send is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Candidate {
    Usable(TargetKey),
    Busy,
    Limited,
    Silent,
    NoTarget,
}

/// Weight of a target's failure share relative to its slowdown.
const FAILURE_WEIGHT: f64 = 4.0;

/// Added slowdown of a target whose slots are all in use.
const CROWDING_WEIGHT: f64 = 0.3;

/// Share of the expected latency by which a target in another domain must be
/// faster: traffic between domains is expensive, and a partition loses what is in
/// flight there.
const CROSS_DOMAIN_SHARE: f64 = 0.5;

/// Minimum rate of one host's requests to a cold target, and the longest time
/// between two, in seconds.
const MIN_COLD_REQUESTS_PER_S: f64 = 0.01;
const MAX_COLD_SPACING_S: f64 = 60.0;

impl From<Candidate> for Placement {
    fn from(candidate: Candidate) -> Placement {
        match candidate {
            Candidate::Usable(_) | Candidate::Busy => Placement::Busy,
            Candidate::Limited => Placement::Limited,
            Candidate::Silent => Placement::Silent,
            Candidate::NoTarget => Placement::NoTarget,
        }
    }
}

impl<W> Targets<W> {
    /// Returns the usable target with the shortest expected time to an answer. A
    /// leaving target is returned only if no other is usable. Starts at a different
    /// target each time, so that equal ones take turns.
    pub(super) fn choose(
        &mut self,
        req: &PlacementRequest<'_>,
        purpose: Purpose,
        now: Time,
    ) -> Candidate {
        let expected = self.expected_latency(req.class);
        let share = self.connection_share(req.service);
        self.rotation = self.rotation.wrapping_add(1);
        let targets = &self.services[req.service.0].targets;
        let mut fallback = Candidate::NoTarget;
        let mut best: Option<(bool, Duration, TargetKey)> = None;
        for i in 0..targets.len() {
            let key = targets[(i + self.rotation) % targets.len()];
            let Some(target) = self.targets.get(&key) else { continue };
            if req.tried.contains(&key) || !self.is_allowed(target, req.regions, now) {
                continue;
            }
            if self.is_silent(target, now) {
                if fallback == Candidate::NoTarget {
                    fallback = Candidate::Silent;
                }
                continue;
            }
            if target.sends_in_flight() >= share.min(target.return_window(now))
                || target.is_full(now)
                || self.is_cold_limit_used(req, target, now)
            {
                fallback = Candidate::Busy;
                continue;
            }
            if self.is_limit_used(req.service, key, purpose, now) {
                if fallback != Candidate::Busy {
                    fallback = Candidate::Limited;
                }
                continue;
            }
            let is_leaving = target.leaving_since().is_some();
            let cost = self.expected_time(target, expected, now);
            if best.is_none_or(|(leaves, least, _)| (is_leaving, cost) < (leaves, least)) {
                best = Some((is_leaving, cost, key));
            }
        }
        best.map_or(fallback, |(_, _, key)| Candidate::Usable(key))
    }

    /// Returns whether the target may get requests at all, apart from its load.
    pub(super) fn is_allowed(&self, target: &Target, regions: &[RegionName], now: Time) -> bool {
        let domain = &target.report.domain;
        if target.is_gone() || target.has_unknown_leave_time() || self.evacuated.contains(domain) {
            return false;
        }
        let is_expired = |since| now.since(since) > self.limits.leaving_for;
        if target.leaving_since().is_some_and(is_expired) {
            return false;
        }
        regions.is_empty() || self.regions.get(domain).is_some_and(|it| regions.contains(it))
    }

    /// Returns whether this host has used up its share of a cold target's limit.
    fn is_cold_limit_used(&self, req: &PlacementRequest<'_>, target: &Target, now: Time) -> bool {
        if !target.is_cold(now) {
            return false;
        }
        let settings = self.services[req.service.0].settings.as_ref();
        let Some(rate) = settings.and_then(|it| it.warmup_rate) else { return false };
        let share = if self.needs_senders(req.service) {
            self.limit_share(req.service)
        } else {
            // Allows for hosts that start while those that they replace still count.
            1.0 / (self.hosts + self.hosts.div_ceil(3)) as f64
        };
        let total = rate * self.limits.cold_ratio + self.limits.cold_slack;
        // Any second over which the limit is checked can overlap two seconds of
        // this host's counter.
        let own = total * share / 2.0;
        if own >= 1.0 {
            return f64::from(target.sends_this_second(now)) >= own.floor();
        }
        // Less than one request per second: one every few seconds.
        let spacing = Duration::from_secs_f64(
            (1.0 / own.max(MIN_COLD_REQUESTS_PER_S)).min(MAX_COLD_SPACING_S),
        );
        target.last_send().is_some_and(|at| now.since(at) < spacing)
    }

    /// Returns the expected time until the target answers.
    fn expected_time(&self, target: &Target, expected: Duration, now: Time) -> Duration {
        let slots = f64::from(target.report.slots.max(1));
        let work = target.work(now);
        let queue = ((work + 1.0 - slots) / slots).max(0.0);
        let crowding = CROWDING_WEIGHT * (work / slots).min(1.0);
        let failures = 1.0 + FAILURE_WEIGHT * target.failure_share();
        let factor = target.slowdown(now) * (1.0 + queue + crowding) * failures;
        let local = target.report.domain == self.home;
        let distance = if local {
            Duration::ZERO
        } else {
            self.limits.cross_domain + expected.mul_f64(CROSS_DOMAIN_SHARE)
        };
        expected.mul_f64(factor) + distance
    }
}
