//! Which late parts are hedged.
//!
//! Load pattern answered: shards with only slow targets left. All their parts are older
//! than the hedge delay before they are answered, and hedges, which would be answered no
//! sooner, would double the load where it is the longest.

use std::time::Duration;

use base::Time;

use super::{Query, Step};
use crate::placement::Targets;

/// After the query's objective, a hedge is sent only where it is expected within this
/// multiple of the hedge delay. Ordinary targets of other domains are within it.
const LATE_HEDGE_RATIO: u32 = 2;

impl Query {
    /// Hedges late parts. Also returns the time at which the next hedge is due.
    pub(super) fn hedge<W>(
        &mut self,
        targets: &mut Targets<W>,
        now: Time,
    ) -> (Vec<Step>, Option<Time>) {
        let mut steps = Vec::new();
        if self.is_stopped || !self.plan.is_idempotent || self.plan.attempts < 2 {
            return (steps, None);
        }
        let Some(delay) = targets.hedge_delay(self.plan.class) else { return (steps, None) };
        let until = self.plan.schedule.settle_at();
        // Parts without which the answer would hold too few shards.
        let mut lacking = if targets.limits_outbound() {
            self.plan.min_shards.saturating_sub(self.gather.on_time(now, delay))
        } else {
            0
        };
        for index in self.gather.due_hedges(now, delay, lacking > 0) {
            if self.runs[index] >= self.plan.attempts {
                continue;
            }
            let is_useful = self.is_hedge_useful(targets, index, delay, now);
            let req = self.placement_request(index);
            let may_leave = lacking > 0 || !targets.limits_outbound();
            let place = || targets.place_hedge_in_time(&req, until, may_leave, now);
            match is_useful.then(place).flatten() {
                Some(send) => {
                    lacking = lacking.saturating_sub(1);
                    steps.push(self.record_send(index, send, now));
                }
                None if may_leave => self.gather.postpone_hedge(index, now),
                None => self.gather.hold_hedge(index),
            }
        }
        (steps, self.gather.next_hedge(delay))
    }

    /// Returns whether a hedge of the part is expected in time and before the answer that
    /// is due. Always true for queries that need all their parts.
    fn is_hedge_useful<W>(
        &self,
        targets: &Targets<W>,
        index: usize,
        delay: Duration,
        now: Time,
    ) -> bool {
        if !self.plan.may_spare() {
            return true;
        }
        let Some(time) = self.expected_time(targets, index, now) else { return false };
        let settle_at = self.gather.settle_at();
        let left = if now < settle_at { settle_at.since(now) } else { delay * LATE_HEDGE_RATIO };
        let sent = self.tried[index].last().copied();
        let due = sent.and_then(|it| targets.expected_answer(it, self.plan.class, now));
        time.own <= left && due.is_none_or(|it| time.own < it)
    }
}
