//! The choice among a service's targets.

use std::time::Duration;

use base::Time;

use super::{PlacementRequest, Send, TargetKey, Targets};
use crate::target::Target;

/// Where a request can go now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    Send(Send),
    /// Some target works, but no connection is free.
    Busy,
    /// All targets are silent, and what was sent to them is not answered.
    Silent,
    /// No target may be used.
    NoTarget,
}

/// The best of a service's targets, before anything is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Candidate {
    Usable(TargetKey),
    Busy,
    Silent,
    NoTarget,
}

/// Weight of a target's share of failures against its speed.
const FAILURE_WEIGHT: f64 = 4.0;

/// How much slower a target is whose slots are all in use.
const CROWDING_WEIGHT: f64 = 0.3;

/// Share of the usual time by which a target of another domain must be faster.
/// Bytes between domains are dear, and a cut loses what is under way there.
const CROSS_DOMAIN_SHARE: f64 = 0.5;

/// Least requests a second of one host to a cold target, and the longest time
/// between two, in seconds.
const MIN_COLD_RATE: f64 = 0.01;
const MAX_SPACING_S: f64 = 60.0;

impl From<Candidate> for Placement {
    fn from(candidate: Candidate) -> Placement {
        match candidate {
            Candidate::Usable(_) | Candidate::Busy => Placement::Busy,
            Candidate::Silent => Placement::Silent,
            Candidate::NoTarget => Placement::NoTarget,
        }
    }
}

impl<W> Targets<W> {
    pub(super) fn choose(&mut self, ask: &PlacementRequest<'_>, now: Time) -> Candidate {
        let expected = self.expected_latency(ask.class);
        let share = self.connection_share(ask.service);
        self.rotation = self.rotation.wrapping_add(1);
        let targets = &self.services[ask.service.0].targets;
        let mut worst = Candidate::NoTarget;
        let mut best: Option<(bool, Duration, TargetKey)> = None;
        for i in 0..targets.len() {
            let key = targets[(i + self.rotation) % targets.len()];
            let Some(target) = self.targets.get(&key) else { continue };
            if ask.tried.contains(&key) || !self.is_allowed(target, ask, now) {
                continue;
            }
            if self.is_silent(target, now) {
                if worst == Candidate::NoTarget {
                    worst = Candidate::Silent;
                }
                continue;
            }
            if target.sends_in_flight() >= share
                || target.is_full(now)
                || self.is_cold_limit_used(ask, target, now)
            {
                worst = Candidate::Busy;
                continue;
            }
            let is_leaving = target.leaving_since().is_some();
            let cost = self.expected_time(target, expected, now);
            if best.is_none_or(|(leaves, least, _)| (is_leaving, cost) < (leaves, least)) {
                best = Some((is_leaving, cost, key));
            }
        }
        best.map_or(worst, |(_, _, key)| Candidate::Usable(key))
    }

    /// Whether `ask` would be placed now; counts nothing.
    pub fn can_place(&mut self, ask: &PlacementRequest<'_>, now: Time) -> bool {
        matches!(self.choose(ask, now), Candidate::Usable(_))
    }

    pub(super) fn is_allowed(
        &self,
        target: &Target,
        ask: &PlacementRequest<'_>,
        now: Time,
    ) -> bool {
        let domain = &target.report.domain;
        if target.is_gone() || target.has_left() || self.evacuated.contains(domain) {
            return false;
        }
        let is_out = |since| now.since(since) > self.limits.leaving_for;
        if target.leaving_since().is_some_and(is_out) {
            return false;
        }
        ask.regions.is_empty()
            || self.regions.get(domain).is_some_and(|it| ask.regions.contains(it))
    }

    fn is_cold_limit_used(&self, ask: &PlacementRequest<'_>, target: &Target, now: Time) -> bool {
        if !target.is_cold(now) {
            return false;
        }
        let settings = self.services[ask.service.0].settings.as_ref();
        let Some(rate) = settings.and_then(|it| it.warmup_rate) else { return false };
        // Hosts that start while others stop count for a while beside them.
        let hosts = (self.hosts + self.hosts.div_ceil(3)) as f64;
        let all = rate * self.limits.cold_ratio + self.limits.cold_slack;
        // Two seconds of counting touch each second that is judged.
        let own = all / hosts / 2.0;
        if own >= 1.0 {
            return f64::from(target.sends_this_second(now)) >= own.floor();
        }
        // Less than one a second: one in several.
        let spacing = Duration::from_secs_f64((1.0 / own.max(MIN_COLD_RATE)).min(MAX_SPACING_S));
        target.last_send().is_some_and(|at| now.since(at) < spacing)
    }

    /// Time until an answer is expected.
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
