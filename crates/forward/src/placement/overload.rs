//! When a shard's part of a query is expected, and which shards are overloaded for it.
//!
//! Load pattern answered: a burst while a few of many shards have only slow targets left.
//! Each gather may leave out some of its parts. If all gathers are sent to all of these
//! shards, the queues there grow longer than the deadline, and no gather becomes whole.

use std::time::Duration;

use base::Time;

use super::{ClassKey, PlacementRequest, TargetKey, Targets, reachability::is_unresponsive};
use crate::{customers::CustomerKey, target::Target};

/// When a part is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartTime {
    /// Time until the part is answered.
    pub own: Duration,
    /// Time until a request that comes behind it is answered: later than the part itself
    /// where requests usually wait.
    pub behind: Duration,
}

impl<W> Targets<W> {
    /// Returns when a part of the customer that arrives now is expected to be answered;
    /// `None` if no target of the service that it was not sent to is expected to answer.
    pub fn expected_part_time(
        &self,
        req: &PlacementRequest<'_>,
        customer: Option<CustomerKey>,
        now: Time,
    ) -> Option<PartTime> {
        let expected = self.expected_latency(req.class);
        let usable = self.responsive_targets(req, now);
        let soonest = usable.map(|it| self.part_time_at(it, expected, now)).min()?;
        let queued = self.expected_queue_time(req, customer);
        Some(PartTime { own: queued + soonest.own, behind: queued + soonest.behind })
    }

    /// Returns whether a part of the customer is expected to be answered within `left`, or no
    /// target is expected to answer at all.
    pub(super) fn may_be_in_time(
        &self,
        req: &PlacementRequest<'_>,
        customer: Option<CustomerKey>,
        left: Duration,
        now: Time,
    ) -> bool {
        let expected = self.expected_latency(req.class);
        let queued = self.expected_queue_time(req, customer);
        let mut usable = self.responsive_targets(req, now).peekable();
        usable.peek().is_none()
            || usable.any(|it| queued + self.part_time_at(it, expected, now).own <= left)
    }

    fn expected_queue_time(
        &self,
        req: &PlacementRequest<'_>,
        customer: Option<CustomerKey>,
    ) -> Duration {
        let state = &self.services[req.service.0];
        state.drain_rate.usual_time_to_drain(state.queue.count_before(customer))
    }

    /// Returns the targets of the service that the part was not sent to and that answer.
    fn responsive_targets(
        &self,
        req: &PlacementRequest<'_>,
        now: Time,
    ) -> impl Iterator<Item = &Target> {
        let untried =
            self.services[req.service.0].targets.iter().filter(|it| !req.tried.contains(it));
        let known = untried.filter_map(|it| self.targets.get(it));
        known.filter(move |it| self.is_allowed(it, req.regions, now) && !is_unresponsive(it, now))
    }

    fn part_time_at(&self, target: &Target, expected: Duration, now: Time) -> PartTime {
        let slots = f64::from(target.report.slots.max(1));
        let queue = ((target.work(now) + 1.0 - slots) / slots).max(0.0);
        // The observed slowdown already includes the queueing time of answered requests.
        let growth = target.queue_growth(queue, now);
        let slowdown = (target.sustained_slowdown(now) * growth).max(1.0 + queue);
        let measured = expected.mul_f64(slowdown);
        let is_local = target.report.domain == self.home;
        let link = if is_local { Duration::ZERO } else { self.limits.cross_domain };
        // Requests are served in order, so the next takes about as long as the oldest.
        let own = (measured + link).max(target.oldest_send(now));
        PartTime { own, behind: own.mul_f64(1.0 + target.backlog(now).min(1.0)) }
    }

    /// Returns the time until the target is expected to answer its oldest send, by its known
    /// speed; `None` if the answer is overdue.
    pub fn expected_answer(
        &self,
        target: TargetKey,
        class: ClassKey,
        now: Time,
    ) -> Option<Duration> {
        let target = self.targets.get(&target)?;
        let took = self.expected_latency(class).mul_f64(target.known_slowdown(now));
        took.checked_sub(target.silent_for(now)).filter(|it| !it.is_zero())
    }
}
