//! Selection among a service's targets.

use std::time::Duration;

use base::{RegionName, Time};

use super::{
    PlacementRequest, Send, TargetKey, Targets,
    outbound::{OutboundReason, halved_over},
};
use crate::target::{Hold, Target};

/// Result of placing a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    Send(Send),
    /// Some target answers, but none can take another send now.
    Busy,
    /// The targets of this host's domain are busy, but the part is on time if it waits for
    /// them, so it does not go to another domain.
    BusyAtHome,
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
    /// A hedge for a part that the answer can do without.
    LocalHedge,
}

/// Result of the selection, before the send is recorded. Of several targets that get no
/// request, the greatest one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Candidate {
    NoTarget,
    Silent,
    Limited,
    Busy,
    BusyAtHome,
    Usable(TargetKey),
}

/// Weight of a target's failure share relative to its slowdown.
const FAILURE_WEIGHT: f64 = 4.0;

/// Added slowdown of a target whose slots are all in use.
const CROWDING_WEIGHT: f64 = 0.3;

/// Share of the expected latency by which a target in another domain must be
/// faster if the request states no objective, or if the targets are hosts: traffic
/// between domains is expensive, and a partition loses what is in flight there.
const CROSS_DOMAIN_SHARE: f64 = 0.5;

/// The best usable target of some domains.
#[derive(Clone, Copy, Debug)]
struct Best {
    is_leaving: bool,
    /// Expected time to an answer.
    time: Duration,
    key: TargetKey,
}

/// The best targets inside and outside of this host's domain.
#[derive(Clone, Copy, Debug, Default)]
struct Bests {
    home: Option<Best>,
    away: Option<Best>,
    /// The best target in this host's domain of those that are only busy, and their number.
    busy: Option<Best>,
    busy_count: usize,
}

impl Bests {
    fn offer(&mut self, is_home: bool, new: Best) {
        replace_if_better(if is_home { &mut self.home } else { &mut self.away }, new);
    }

    fn offer_busy(&mut self, new: Best) {
        self.busy_count += 1;
        replace_if_better(&mut self.busy, new);
    }
}

fn replace_if_better(best: &mut Option<Best>, new: Best) {
    let is_better = |it: Best| (new.is_leaving, new.time) < (it.is_leaving, it.time);
    if best.is_none_or(is_better) {
        *best = Some(new);
    }
}

impl From<Candidate> for Placement {
    fn from(candidate: Candidate) -> Placement {
        match candidate {
            Candidate::Usable(_) | Candidate::Busy => Placement::Busy,
            Candidate::BusyAtHome => Placement::BusyAtHome,
            Candidate::Limited => Placement::Limited,
            Candidate::Silent => Placement::Silent,
            Candidate::NoTarget => Placement::NoTarget,
        }
    }
}

impl<W> Targets<W> {
    /// Returns the usable target with the shortest expected time to an answer, in this
    /// host's domain as long as the part need not leave it. A leaving target is returned
    /// only if no other is usable. Starts at a different target each time, so that equal
    /// ones take turns.
    pub(super) fn choose(
        &mut self,
        req: &PlacementRequest<'_>,
        purpose: Purpose,
        in_time_until: Option<Time>,
        now: Time,
    ) -> Candidate {
        let expected = self.expected_latency(req.class);
        let (share, shares) = (self.connection_share(req.service), self.shares(req.service));
        let rotation = self.next_rotation();
        let state = &self.services[req.service.0];
        let (targets, waiting) = (&state.targets, state.queue.len());
        let mut fallback = Candidate::NoTarget;
        // Same as `fallback`, of the targets in this host's domain.
        let mut home_fallback = Candidate::NoTarget;
        let mut bests = Bests::default();
        for i in 0..targets.len() {
            let key = targets[(i + rotation) % targets.len()];
            let Some(target) = self.targets.get(&key) else { continue };
            if req.tried.contains(&key) || !self.is_allowed(target, req.regions, now) {
                continue;
            }
            let is_home = target.report.domain == self.home;
            if purpose == Purpose::LocalHedge && !is_home {
                continue;
            }
            let is_in_use = target.sends_in_flight() >= share || target.is_full(now);
            let hold = target.hold(&shares, purpose != Purpose::Needed, now);
            let obstacle = if self.is_silent(target, now) {
                Some(Candidate::Silent)
            } else {
                obstacle(is_in_use, hold)
            };
            let is_leaving = target.leaving_since().is_some();
            let Some(it) = obstacle else {
                let remembers = in_time_until.is_some() && !is_home;
                let ahead = if remembers { remembered_work(target, now) } else { 0.0 };
                let time = self.expected_time(target, expected, ahead, now);
                bests.offer(is_home, Best { is_leaving, time, key });
                continue;
            };
            let may_wait = in_time_until.is_some() && hold.is_none() && !is_leaving;
            if may_wait && is_home && it == Candidate::Busy {
                let time = self.expected_time(target, expected, 0.0, now);
                bests.offer_busy(Best { is_leaving, time, key });
            }
            fallback = fallback.max(it);
            home_fallback = if is_home { home_fallback.max(it) } else { home_fallback };
        }
        // What waits is shared by the busy targets.
        if let Some(busy) = &mut bests.busy
            && let Some(target) = self.targets.get(&busy.key)
        {
            let ahead = waiting as f64 / bests.busy_count as f64;
            busy.time = self.expected_time(target, expected, ahead, now);
        }
        match in_time_until {
            Some(until) if !self.are_hosts(req.service) => {
                let candidate = self.in_time(req, purpose, bests, home_fallback, until, now);
                candidate.unwrap_or(fallback)
            }
            _ => {
                without_objective(bests, expected).map_or(fallback, |it| Candidate::Usable(it.key))
            }
        }
    }

    /// Returns the target in this host's domain, or that the part waits for one, unless the
    /// part has to leave the domain or is of the share that leaves with those.
    fn in_time(
        &mut self,
        req: &PlacementRequest<'_>,
        purpose: Purpose,
        bests: Bests,
        home_fallback: Candidate,
        until: Time,
        now: Time,
    ) -> Option<Candidate> {
        let stakes = self.stakes(req.class, until, now);
        // Retries and hedges go elsewhere as their targets were tried, which says nothing of
        // the domain.
        let is_first = purpose == Purpose::Needed && req.tried.is_empty();
        let outbound = self.outbound_mut(req.service);
        // A hedge is sent now or not at all.
        let busy = bests.busy.filter(|_| purpose == Purpose::Needed);
        let (home, stays) = match (bests.home, busy) {
            (Some(home), _) => (home, Candidate::Usable(home.key)),
            (None, Some(busy)) => (busy, Candidate::BusyAtHome),
            (None, None) => {
                let away = bests.away?;
                if is_first {
                    outbound.record(Some(home_fallback.into()), now);
                }
                return Some(Candidate::Usable(away.key));
            }
        };
        let Some(away) = bests.away else {
            if is_first {
                outbound.record(None, now);
            }
            return bests.home.map(|_| stays);
        };
        if home.is_leaving != away.is_leaving {
            if is_first {
                outbound.record(home.is_leaving.then_some(OutboundReason::Leaving), now);
            }
            return Some(if home.is_leaving { Candidate::Usable(away.key) } else { stays });
        }
        let leaves = if is_first {
            outbound.decide(&stakes, home.time, away.time, now)
        } else {
            stakes.has_to_leave(home.time, away.time)
        };
        Some(if leaves { Candidate::Usable(away.key) } else { stays })
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

    /// Returns the expected time until the target answers a request that is sent after
    /// `ahead` others that it does not report.
    fn expected_time(
        &self,
        target: &Target,
        expected: Duration,
        ahead: f64,
        now: Time,
    ) -> Duration {
        let slots = f64::from(target.report.slots.max(1));
        let work = target.work(now) + ahead;
        let queue = ((work + 1.0 - slots) / slots).max(0.0);
        let crowding = CROWDING_WEIGHT * (work / slots).min(1.0);
        let failures = 1.0 + FAILURE_WEIGHT * target.failure_share();
        let factor = target.slowdown(now) * (1.0 + queue + crowding) * failures;
        let local = target.report.domain == self.home;
        let link = if local { Duration::ZERO } else { self.limits.cross_domain };
        expected.mul_f64(factor) + link
    }
}

/// Returns the work of a target in another domain beyond what counts of its report by now.
/// Few sends go there, so a host would take the target for idle between two reports, and
/// send to it where all domains are full.
fn remembered_work(target: &Target, now: Time) -> f64 {
    let Some(load) = target.reported_load() else { return 0.0 };
    let reported = f64::from(load.running) + f64::from(load.waiting);
    (reported * halved_over(now.since(load.at)) - target.work(now)).max(0.0)
}

/// Returns why a target that answers gets no request now.
fn obstacle(is_in_use: bool, hold: Option<Hold>) -> Option<Candidate> {
    match hold {
        None if !is_in_use => None,
        Some(Hold::Stated) if !is_in_use => Some(Candidate::Limited),
        _ => Some(Candidate::Busy),
    }
}

/// Returns the target in this host's domain, unless the other one is expected to answer
/// much sooner.
fn without_objective(bests: Bests, expected: Duration) -> Option<Best> {
    let (Some(home), Some(away)) = (bests.home, bests.away) else {
        return bests.home.or(bests.away);
    };
    let away_time = away.time + expected.mul_f64(CROSS_DOMAIN_SHARE);
    let is_away_better = (away.is_leaving, away_time) < (home.is_leaving, home.time);
    Some(if is_away_better { away } else { home })
}
