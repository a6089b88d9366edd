//! Admission control: accepts or refuses a request by the expected queueing time
//! of its parts and by what is known of their targets.
//!
//! Load pattern answered: overload for some seconds, as when a partition leaves
//! one target of each shard. If all queries were accepted, each shard would be
//! late with the parts of different queries, and almost no query would have
//! enough parts in time. A query that would be late is refused on arrival, so
//! that accepted ones are answered in time; its caller learns at once when to
//! retry.

use std::time::Duration;

use base::{RegionName, Time};

use super::{ClassKey, ServiceKey, SlowTargets, Targets};
use crate::customers::CustomerKey;

/// Weight of the newest gap in the moving average.
const GAP_GAIN: f64 = 0.1;

/// How fast a service's queue empties: the moving average of the time between two
/// ends of sends while the queue is not empty.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DrainRate {
    gap: Option<Duration>,
    last: Option<Time>,
}

impl DrainRate {
    /// Records the end of a send; `has_waiting` is whether the queue is not empty.
    pub(super) fn record_end(&mut self, now: Time, has_waiting: bool) {
        if !has_waiting {
            // The cause of the next queue may be a different one.
            *self = DrainRate::default();
            return;
        }
        if let Some(last) = self.last.replace(now) {
            let newest = now.since(last);
            let known = self.gap.unwrap_or(newest);
            self.gap = Some(known.mul_f64(1.0 - GAP_GAIN) + newest.mul_f64(GAP_GAIN));
        }
    }

    /// Returns the time until `waiting` queue entries are dispatched if targets do not
    /// pause.
    pub(super) fn usual_time_to_drain(&self, waiting: usize) -> Duration {
        self.gap.unwrap_or_default() * waiting as u32
    }

    /// Returns the expected time until `waiting` queue entries are dispatched.
    pub(super) fn time_to_drain(&self, waiting: usize, now: Time) -> Duration {
        let Some(gap) = self.gap else { return Duration::ZERO };
        // Sends stop ending when targets stop answering, so the current gap counts
        // too.
        let current = self.last.map_or(Duration::ZERO, |at| now.since(at));
        gap.max(current) * waiting as u32
    }
}

/// A request on its arrival.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    pub services: &'a [ServiceKey],
    /// Number of services that must answer.
    pub min_services: usize,
    pub customer: Option<CustomerKey>,
    pub class: ClassKey,
    /// Regions whose targets may be used; all if empty.
    pub regions: &'a [RegionName],
    /// Time by which the request has to be answered.
    pub answer_by: Time,
    /// Time after which an answer is late.
    pub in_time_until: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Accept,
    /// The request would be late. The current queue is expected to be dispatched
    /// within `wait`.
    Refuse {
        wait: Duration,
    },
    /// Targets of too many services are known to answer too late.
    TooSlow(SlowTargets),
    /// Targets of too many services ask for pauses; the first are over after `wait`.
    Paused {
        wait: Duration,
    },
}

impl<W> Targets<W> {
    /// Decides whether to accept a request.
    pub fn admit(&self, arrival: &Arrival<'_>, now: Time) -> Admission {
        let latency = self.mean_latency(arrival.class);
        let Arrival { services, min_services, regions, .. } = *arrival;
        if let Some(wait) = self.pause_wait(services, min_services, regions, now)
            && now + wait + latency > arrival.in_time_until
        {
            return Admission::Paused { wait };
        }
        // Other hosts may have a share left of the limits that targets state, so the
        // caller waits for this host's share only if the answer is still in time.
        let limit_wait = self.expected_limit_wait(arrival, now);
        if !limit_wait.is_zero() && now + limit_wait + latency > arrival.in_time_until {
            return Admission::Refuse { wait: limit_wait };
        }
        if let Some(slow) = self.slow_targets(arrival, now) {
            return Admission::TooSlow(slow);
        }
        let wait = self.expected_wait(arrival, now);
        // Without a queue, refusing callers gains nothing.
        if wait.is_zero() || now + wait + latency <= arrival.answer_by {
            return Admission::Accept;
        }
        Admission::Refuse { wait }
    }

    /// Returns the expected time until the parts for `min_services` services are
    /// dispatched.
    fn expected_wait(&self, arrival: &Arrival<'_>, now: Time) -> Duration {
        let wait = |it: &ServiceKey| {
            let state = &self.services[it.0];
            let before = state.queue.count_before(arrival.customer);
            state.drain_rate.time_to_drain(before, now)
        };
        nth_wait(arrival.services.iter().map(wait).collect(), arrival.min_services)
    }
}

/// Returns the time after which the shortest `count` of `waits` are over.
pub(super) fn nth_wait(mut waits: Vec<Duration>, count: usize) -> Duration {
    let Some(last) = count.min(waits.len()).checked_sub(1) else { return Duration::ZERO };
    *waits.select_nth_unstable(last).1
}
