//! Spillover: whether and how much of a service's work leaves this host's failure
//! domain.
//!
//! Load patterns answered: a domain whose targets are too few for its callers, as they
//! are slow, paused, cold or gone, or as a burst arrives, while other domains have
//! capacity left. Work leaves if its answer would otherwise be late, and stays if it would
//! be as late elsewhere. All hosts of a domain decide at once from reports of the same
//! age, so what leaves is smoothed: while parts have to leave, a share of the others leaves
//! with them, and the share decays once none has to.

use std::time::Duration;

use base::{ServiceName, Time};

use super::{ClassKey, HEDGE_QUANTILE, ServiceKey, ServiceKind, Targets, choice::Candidate};

/// Chance of being late above which an answer counts as late: the quantile of latencies
/// that hedges allow for lies beyond the objective.
const LATE: f64 = 1.0 - HEDGE_QUANTILE;

/// Time in which the share that leaves halves when nothing has to leave any more. It is a
/// multiple of the age of load reports (250 ms), so that hosts see what their work causes
/// before they change it again.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Longest time for which one decision counts in the share: the age up to which a reported
/// load is used.
const MAX_STEP: Duration = Duration::from_millis(250);

/// Share below which nothing leaves that need not.
const MIN_SHARE: f64 = 0.02;

/// Share that counts as none, so that no share is computed where nothing leaves.
const NEGLIGIBLE_SHARE: f64 = 1e-4;

/// Change of a share from which it is reported.
const REPORTED_CHANGE: f64 = 0.25;

/// Assumed size of a part's answer in bytes until answers were recorded.
const DEFAULT_PART_BYTES: f64 = 1_000.0;

/// Weight of the newest answer in the size of a class's parts.
const SIZE_GAIN: f64 = 0.02;

const BYTES_PER_MEGABYTE: f64 = 1e6;

/// Why work leaves the domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutboundReason {
    /// The domain has no target that may get it.
    NoTarget,
    /// All targets of the domain that answer are busy.
    Busy,
    /// They state limits, ask for pauses, or are cold.
    Limited,
    /// All targets of the domain are silent.
    Silent,
    /// All usable targets of the domain are about to leave.
    Leaving,
    /// The answer is expected to be late otherwise, or to cost more than the bytes.
    Late,
}

/// A change of the share of a service's work that leaves the domain.
#[derive(Clone, Debug, PartialEq)]
pub struct OutboundChange {
    pub service: ServiceName,
    pub share: f64,
    pub reason: OutboundReason,
}

/// What an answer's lateness depends on, and what a send to another domain costs.
#[derive(Clone, Copy, Debug)]
pub struct Stakes {
    /// Mean latency of the class.
    pub mean: Duration,
    /// Quantile [`HEDGE_QUANTILE`] of its latencies.
    pub quantile: Duration,
    /// Time left until the answer is late.
    pub left: Duration,
    /// Cost of the bytes, in answers on time; `None` if work leaves only where it would be
    /// late.
    pub cost: Option<f64>,
}

impl OutboundReason {
    pub const ALL: [OutboundReason; 6] = [
        OutboundReason::NoTarget,
        OutboundReason::Busy,
        OutboundReason::Limited,
        OutboundReason::Silent,
        OutboundReason::Leaving,
        OutboundReason::Late,
    ];

    /// Returns the text for log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            OutboundReason::NoTarget => "no target in the domain",
            OutboundReason::Busy => "busy",
            OutboundReason::Limited => "limited",
            OutboundReason::Silent => "silent",
            OutboundReason::Leaving => "leaving",
            OutboundReason::Late => "late",
        }
    }
}

/// Why work leaves a domain whose targets give this result.
impl From<Candidate> for OutboundReason {
    fn from(candidate: Candidate) -> OutboundReason {
        match candidate {
            Candidate::Usable(_) | Candidate::BusyAtHome | Candidate::Busy => OutboundReason::Busy,
            Candidate::Limited => OutboundReason::Limited,
            Candidate::Silent => OutboundReason::Silent,
            Candidate::NoTarget => OutboundReason::NoTarget,
        }
    }
}

impl Stakes {
    /// Returns the chance that an answer expected after `expected` is late. Latencies are
    /// taken to have an exponential tail through the class's quantile.
    pub fn risk(&self, expected: Duration) -> f64 {
        let mean = self.mean.as_secs_f64().max(1e-4);
        let quantile = self.quantile.as_secs_f64().max(mean);
        // A part that is late already is still due as soon as possible.
        let left = self.left.as_secs_f64().max(quantile);
        let scale = quantile * expected.as_secs_f64().max(1e-6) / mean;
        LATE.powf(left / scale)
    }

    /// Returns whether a send that `home` answers is worth sending to `away` instead.
    pub(super) fn has_to_leave(&self, home: Duration, away: Duration) -> bool {
        if away >= home {
            return false;
        }
        let gain = self.risk(home) - self.risk(away);
        match self.cost {
            Some(cost) => gain > cost,
            None => gain > LATE || self.risk(home) > LATE && self.risk(away) <= LATE,
        }
    }
}

/// What leaves the domain of one service's work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outbound {
    share: f64,
    at: Option<Time>,
    /// Sends that are due to leave by the share.
    owed: f64,
    reason: Option<OutboundReason>,
    /// Share as of the last report.
    reported: f64,
}

impl Outbound {
    /// Decides whether a send leaves, which a target of the domain is expected to answer
    /// after `home`, and one elsewhere after `away`.
    pub fn decide(&mut self, stakes: &Stakes, home: Duration, away: Duration, now: Time) -> bool {
        if stakes.has_to_leave(home, away) {
            self.record(Some(OutboundReason::Late), now);
            return true;
        }
        self.record(None, now);
        let is_free = self.share >= MIN_SHARE && stakes.risk(away) <= LATE;
        if !is_free {
            self.owed = 0.0;
            return false;
        }
        self.owed += self.share;
        let leaves = self.owed >= 1.0;
        if leaves {
            self.owed -= 1.0;
        }
        leaves
    }

    /// Records a send that had to leave, or `None` for one that had not.
    pub fn record(&mut self, reason: Option<OutboundReason>, now: Time) {
        if reason.is_none() && self.share < NEGLIGIBLE_SHARE {
            (self.share, self.at) = (0.0, Some(now));
            return;
        }
        let step = self.at.map_or(MAX_STEP, |at| now.since(at).min(MAX_STEP));
        let weight = 1.0 - halved_over(step);
        self.share = self.share(now) + if reason.is_some() { weight } else { 0.0 };
        self.at = Some(now);
        self.reason = reason.or(self.reason);
    }

    /// Returns the share of the work that leaves.
    pub fn share(&self, now: Time) -> f64 {
        self.share * self.at.map_or(1.0, |at| halved_over(now.since(at)))
    }

    /// Returns the share if it differs much from the one reported last, or if none leaves
    /// any more.
    fn take_change(&mut self, now: Time) -> Option<(f64, OutboundReason)> {
        let share = self.share(now);
        let has_ended = share < MIN_SHARE && self.reported > 0.0;
        if !has_ended && (share - self.reported).abs() < REPORTED_CHANGE {
            return None;
        }
        self.reported = if has_ended { 0.0 } else { share };
        Some((self.reported, self.reason?))
    }
}

/// Returns what is left of a share after `time`.
pub(super) fn halved_over(time: Duration) -> f64 {
    0.5_f64.powf(time.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// By what it is decided whether work leaves the domain.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum SpilloverPolicy {
    /// By the usual latencies alone, for each send.
    #[default]
    Latency,
    /// Work leaves where it would otherwise be late or refused.
    Objective,
    /// Work leaves where that lowers the chance of being late by more than the price of its
    /// bytes: answers on time for a megabyte.
    Price(f64),
}

/// Price of bytes between domains, and the sizes of answers.
#[derive(Clone, Debug, Default)]
pub(super) struct CrossingCost {
    policy: SpilloverPolicy,
    /// Mean size of the answers of each class.
    sizes: Vec<f64>,
}

impl CrossingCost {
    fn of(&self, class: ClassKey) -> Option<f64> {
        let SpilloverPolicy::Price(price) = self.policy else { return None };
        let size = self.sizes.get(class.0).copied().unwrap_or(DEFAULT_PART_BYTES);
        Some(price * size / BYTES_PER_MEGABYTE)
    }
}

impl<W> Targets<W> {
    pub fn set_spillover(&mut self, policy: SpilloverPolicy) {
        self.crossing_cost.policy = policy;
    }

    /// Returns whether objectives or a price limit what leaves the domain.
    pub fn limits_outbound(&self) -> bool {
        self.crossing_cost.policy != SpilloverPolicy::Latency
    }

    /// Records the size of a part's answer, where bytes have a price.
    pub fn record_answer_bytes(&mut self, class: ClassKey, bytes: usize) {
        if !matches!(self.crossing_cost.policy, SpilloverPolicy::Price(_)) {
            return;
        }
        let sizes = &mut self.crossing_cost.sizes;
        if sizes.len() <= class.0 {
            sizes.resize(class.0 + 1, DEFAULT_PART_BYTES);
        }
        sizes[class.0] += (bytes as f64 - sizes[class.0]) * SIZE_GAIN;
    }

    /// Returns the services of whose work a part leaves the domain, with that share and why
    /// it leaves.
    pub fn outbound(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&ServiceName, f64, OutboundReason)> + '_ {
        let services = self.services.iter().filter(|it| it.kind == ServiceKind::Targets);
        services.filter_map(move |it| {
            let share = it.outbound.share(now);
            let reason = it.outbound.reason.filter(|_| share >= MIN_SHARE)?;
            Some((&it.name, share, reason))
        })
    }

    /// Returns at most `limit` services of whose work clearly more or less leaves than was
    /// returned last.
    pub fn take_outbound_changes(&mut self, limit: usize, now: Time) -> Vec<OutboundChange> {
        let changed = self.services.iter_mut().filter_map(|it| {
            let (share, reason) = it.outbound.take_change(now)?;
            Some(OutboundChange { service: it.name.clone(), share, reason })
        });
        changed.take(limit).collect()
    }

    pub(super) fn stakes(&self, class: ClassKey, in_time_until: Time, now: Time) -> Stakes {
        let mean = self.expected_latency(class);
        Stakes {
            mean,
            quantile: self.hedge_delay(class).unwrap_or(mean),
            left: in_time_until.until(now),
            cost: self.crossing_cost.of(class),
        }
    }

    pub(super) fn outbound_mut(&mut self, service: ServiceKey) -> &mut Outbound {
        &mut self.services[service.0].outbound
    }
}
