//! Which parts of a gather are left out, as their shards are overloaded.
//!
//! Load pattern answered: a few of many shards have only slow targets left. A gather takes
//! parts of these shards only as far as its minimum requires, from those where they are
//! expected soonest. Gathers at the same time then take parts of different shards, and
//! the capacity there serves more of them. A part that would be in time is never left out.

use std::time::Duration;

use base::Time;

use super::{Query, Step};
use crate::{
    gather::PartState,
    placement::{PartTime, Targets},
};

/// Number of times within an objective that parts left out are evaluated again.
const CHECKS_PER_OBJECTIVE: u32 = 20;

/// Parts are left out while overloaded shards are at most this multiple of them. Beyond it,
/// leaving out relieves the shards by less than a quarter, which is worth less than the
/// parts are as a reserve for others that turn out late.
const MAX_LATE_RATIO: usize = 4;

impl Query {
    /// Returns the number of parts that are left out, and the expected time of the soonest
    /// of them by the last evaluation.
    pub fn left_out(&self) -> (usize, Duration) {
        (self.gather.left_out(), self.left_out_time)
    }

    /// Leaves out parts of overloaded shards that the minimum does not require.
    pub(super) fn leave_out_overloaded<W>(&mut self, targets: &Targets<W>, now: Time) {
        let shards = self.plan.shards.len();
        if !self.plan.may_spare() {
            return;
        }
        let times = self.expected_times(targets, 0..shards, now);
        let left = self.gather.settle_at().until(now);
        let (in_time, late): (Vec<_>, Vec<_>) =
            times.into_iter().partition(|it| it.0.behind <= left);
        let required = self.plan.min_shards.saturating_sub(in_time.len());
        let spare = late.len().saturating_sub(required);
        if late.len() > spare * MAX_LATE_RATIO {
            return;
        }
        for (time, index) in late.into_iter().skip(required).rev() {
            self.gather.leave_out(index);
            self.left_out_time = time.own;
        }
        self.next_check = now + self.check_interval();
    }

    /// Places parts that were left out, if their shards have free capacity again or other
    /// parts failed that the minimum required.
    pub(super) fn take_left_out<W>(&mut self, targets: &mut Targets<W>, now: Time) -> Vec<Step> {
        if !self.has_left_out() || now >= self.plan.schedule.deadline {
            return Vec::new();
        }
        let missing = self.gather.short_of_minimum();
        if missing == 0 && now < self.next_check {
            return Vec::new();
        }
        self.next_check = now + self.check_interval();
        let is_left_out = |it: &usize| self.gather.part(*it) == PartState::LeftOut;
        let left_out = (0..self.plan.shards.len()).filter(is_left_out);
        let times = self.expected_times(targets, left_out, now);
        let settle_at = self.gather.settle_at();
        let taken = if now < settle_at {
            let left = settle_at.since(now);
            times.iter().filter(|(time, _)| time.behind <= left).count().max(missing)
        } else if now >= self.reserve_at() {
            self.gather.reserve_needed()
        } else {
            missing
        };
        if let Some((time, _)) = times.get(taken) {
            self.left_out_time = time.own;
        }
        let mut steps = Vec::new();
        for (_, index) in times.into_iter().take(taken) {
            self.gather.take_back(index);
            steps.extend(self.place(targets, index, now));
        }
        steps
    }

    /// Returns the time at which parts that were left out are evaluated again, if there are any.
    pub(super) fn next_left_out_check(&self) -> Option<Time> {
        self.has_left_out().then_some(self.next_check)
    }

    fn has_left_out(&self) -> bool {
        self.plan.may_spare() && self.gather.left_out() > 0
    }

    /// Returns the parts whose shards have targets that answer, the soonest first. Equal
    /// ones are in a different order for each query.
    fn expected_times<W>(
        &self,
        targets: &Targets<W>,
        indexes: impl Iterator<Item = usize>,
        now: Time,
    ) -> Vec<(PartTime, usize)> {
        let time = |index| self.expected_time(targets, index, now);
        let mut times: Vec<(PartTime, usize)> =
            indexes.filter_map(|index| Some((time(index)?, index))).collect();
        let (shards, first) = (self.plan.shards.len(), self.first_shard);
        times.sort_unstable_by_key(|(time, index)| (*time, (index + shards - first) % shards));
        times
    }

    /// Returns the time from which a late gather takes more parts than it lacks, so that it
    /// ends before its deadline: half of the time between. Most late gathers are answered
    /// sooner, and more parts would make others late.
    fn reserve_at(&self) -> Time {
        let settle_at = self.gather.settle_at();
        settle_at + self.plan.schedule.deadline.until(settle_at) / 2
    }

    fn check_interval(&self) -> Duration {
        self.plan.schedule.objective / CHECKS_PER_OBJECTIVE
    }
}
