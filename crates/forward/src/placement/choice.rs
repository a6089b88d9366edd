//! Selection among a service's targets.

use std::time::Duration;

use base::{RegionName, Time};

use super::{PlacementRequest, Send, TargetKey, Targets};
use crate::target::{Hold, Target};

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
        let (share, shares) = (self.connection_share(req.service), self.shares(req.service));
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
            let is_in_use = target.sends_in_flight() >= share || target.is_full(now);
            match target.hold(&shares, purpose == Purpose::Hedge, now) {
                None if !is_in_use => {}
                Some(Hold::Stated) if !is_in_use => {
                    if fallback != Candidate::Busy {
                        fallback = Candidate::Limited;
                    }
                    continue;
                }
                _ => {
                    fallback = Candidate::Busy;
                    continue;
                }
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
