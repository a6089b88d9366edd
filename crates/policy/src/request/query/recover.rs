//! Handling of failed subqueries: retry at another replica or through the
//! target's other owner, backoff, restart on another snapshot, or a missing
//! shard.

use std::time::Duration;

use base::{Missing, Outcome, ShardId, TargetName};
use documents::{Target, model::Preference};

use super::{Outbox, Query, ShardPlan, Trial};
use crate::{
    message::Part,
    request::{
        gather::SendKind,
        shared::{QueryCx, Routes},
        snapshot::{assess_snapshot, choose_snapshot},
    },
};

/// Maximum number of subqueries for one shard, including hedges, once its
/// retries count as extra load.
const MAX_SENDS: u32 = 4;
/// Maximum number of subqueries for one shard while none of them has run.
const MAX_NOT_RUN_SENDS: u32 = 64;
/// Maximum number of restarts of a request on another snapshot.
const MAX_RESTARTS: usize = 2;
/// First backoff before replicas that failed or are not usable are tried again.
/// It doubles each time, up to [`MAX_RETRY_BACKOFF`].
const RETRY_BACKOFF: Duration = Duration::from_millis(10);
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(80);

/// A subquery that failed.
pub(super) struct Failure<'a> {
    pub part: &'a Part,
    pub shard: ShardId,
    pub missing: Missing,
    pub outcome: Outcome,
}

impl Query {
    pub(super) fn on_failure<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        failure: &Failure<'_>,
        outbox: &mut Outbox,
    ) {
        self.record_failure(cx, failure);
        let shard = failure.shard;
        let is_settled = self.gather.is_answered(shard) || self.gather.is_in_flight(shard);
        let is_death = self.handle_death(cx, failure);
        let is_trial = !is_death && self.on_trial_failure(cx, &failure.part.target);
        // After a death, or while a trial is pending, only a trial may be sent.
        let is_suspect = is_death || is_trial || self.trial != Trial::None;
        if is_settled || is_suspect || !self.may_send_again(failure) {
            return;
        }
        let is_owner_lost = failure.missing == Missing::OwnerUnreachable;
        if is_owner_lost && self.retry_through_other_owner(cx, failure, outbox) {
            return;
        }
        self.retry(cx, failure, outbox);
    }

    /// Retries shards whose backoff is over.
    pub(super) fn send_due_retries<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        outbox: &mut Outbox,
    ) {
        for i in 0..self.plans.len() {
            let plan = &mut self.plans[i];
            if plan.retry_at.is_none_or(|at| at > cx.now) {
                continue;
            }
            plan.retry_at = None;
            if self.trial != Trial::None {
                // Missing shards are sent when the trial ends.
                continue;
            }
            let plan = &mut self.plans[i];
            plan.tried.clear();
            let shard = plan.shard;
            match self.choose_untried(cx, shard) {
                Ok(target) => self.send_retry(cx, shard, &target, outbox),
                Err(Missing::WrongSnapshot) if self.restart(cx, outbox) => return,
                Err(missing) => self.on_no_replica(cx, shard, missing),
            }
        }
    }

    /// Handles a shard without a replica to send to: sets the reason, and
    /// schedules a retry if the request should wait for it.
    pub(super) fn on_no_replica<R>(
        &mut self,
        cx: &QueryCx<'_, R>,
        shard: ShardId,
        missing: Missing,
    ) {
        self.gather.set_missing(shard, missing);
        if self.should_await_missing() {
            self.schedule_retry(cx, shard);
        }
    }

    fn record_failure<R>(&mut self, cx: &mut QueryCx<'_, R>, failure: &Failure<'_>) {
        let &Failure { part, shard, missing, outcome } = failure;
        if let Some(plan) = self.plan_mut(shard) {
            let is_repeat = plan.sends > 1 && is_overload(missing, outcome);
            plan.is_retry_charged |= is_repeat || is_charged(missing, outcome);
        }
        let load = cx.shared.pools.entry(self.req.service.pool.clone()).or_default();
        load.record_part(cx.now, is_overload(missing, outcome));
        let table = &mut cx.shared.table;
        match missing {
            Missing::WrongSnapshot => table.remove_snapshot(&part.target, self.gather.snapshot()),
            Missing::TargetLeaving => table.mark_leaving(&part.target),
            _ => (),
        }
    }

    fn may_send_again(&self, failure: &Failure<'_>) -> bool {
        let plan = self.plan(failure.shard);
        self.may_send(failure.shard) && plan.is_some_and(ShardPlan::has_sends_left)
    }

    fn retry_through_other_owner<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        failure: &Failure<'_>,
        outbox: &mut Outbox,
    ) -> bool {
        let part = failure.part;
        let replicas = self.req.view.replicas(part.shard);
        let Some(target) = replicas.iter().find(|it| it.name == part.target).cloned() else {
            return false;
        };
        if self.choose_owner(cx, part.shard, &target.name).is_none() {
            return false;
        }
        if !self.spend_retry_budget(cx, part.shard, &target.name) {
            return false;
        }
        self.send(cx, part.shard, &target, SendKind::Retry, outbox)
    }

    fn retry<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        failure: &Failure<'_>,
        outbox: &mut Outbox,
    ) {
        let &Failure { shard, missing, .. } = failure;
        let target = match self.choose_untried(cx, shard) {
            Ok(target) => target,
            Err(Missing::WrongSnapshot) if self.restart(cx, outbox) => return,
            Err(_) => {
                // The failure is more specific than the lack of a replica.
                return self.on_no_replica(cx, shard, missing);
            }
        };
        self.send_retry(cx, shard, &target, outbox);
    }

    /// Retries at `target` if the budget allows it, else schedules another retry.
    fn send_retry<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        shard: ShardId,
        target: &Target,
        outbox: &mut Outbox,
    ) {
        if self.spend_retry_budget(cx, shard, &target.name) {
            self.send(cx, shard, target, SendKind::Retry, outbox);
        } else if self.should_await_missing() {
            self.schedule_retry(cx, shard);
        }
    }

    /// Spends budget for a retry if it counts as extra load. Returns whether the
    /// retry may be sent.
    fn spend_retry_budget<R>(
        &self,
        cx: &mut QueryCx<'_, R>,
        shard: ShardId,
        target: &TargetName,
    ) -> bool {
        let plan = self.plan(shard);
        let is_charged = plan.is_none_or(|it| it.is_retry_charged);
        !is_charged || cx.shared.budgets.try_spend(&self.req.service.name, target)
    }

    fn schedule_retry<R>(&mut self, cx: &QueryCx<'_, R>, shard: ShardId) {
        let deadline = self.req.deadline;
        let Some(plan) = self.plan_mut(shard) else { return };
        let backoff = RETRY_BACKOFF * 2_u32.saturating_pow(plan.backoffs);
        let at = cx.now + backoff.min(MAX_RETRY_BACKOFF);
        if at < deadline && plan.has_sends_left() {
            plan.backoffs += 1;
            plan.retry_at = Some(at);
        }
    }

    /// Restarts the whole request if another snapshot is expected to serve more
    /// shards than the pinned one and there is time left. Returns whether it did.
    fn restart<R: Routes>(&mut self, cx: &mut QueryCx<'_, R>, outbox: &mut Outbox) -> bool {
        if !self.req.is_idempotent || self.pins.len() > MAX_RESTARTS {
            return false;
        }
        let table = &cx.shared.table;
        let Some(pin) = choose_snapshot(cx.configuration, table, &self.req.view) else {
            return false;
        };
        let pinned = self.gather.snapshot();
        let current = assess_snapshot(cx.configuration, table, &self.req.view, pinned);
        let expected = cx.shared.high_latency(&self.req.service.pool).unwrap_or_default();
        let is_time_left = self.req.deadline.until(cx.now) > expected;
        if pin.snapshot == pinned || pin.expected <= current.expected || !is_time_left {
            return false;
        }
        self.pin(pin.snapshot);
        let abandoned = self.gather.restart(cx.now, pin.snapshot, self.shards());
        outbox.restart(abandoned);
        self.send_missing(cx, outbox);
        true
    }

    /// Returns whether to spend the remaining time on missing shards.
    fn should_await_missing(&self) -> bool {
        self.req.service.prefer == Preference::Coverage || !self.is_min_coverage_met()
    }
}

impl ShardPlan {
    fn has_sends_left(&self) -> bool {
        let max_sends = if self.is_retry_charged { MAX_SENDS } else { MAX_NOT_RUN_SENDS };
        self.sends < max_sends
    }
}

/// Returns whether a target or its owner lacked capacity for the work.
fn is_overload(missing: Missing, outcome: Outcome) -> bool {
    let is_rejected = matches!(missing, Missing::Refused | Missing::Deadline);
    missing == Missing::Shed || (is_rejected && outcome == Outcome::NotRun)
}

/// Returns whether a retry counts as extra load. Work that did not run caused no
/// load, except that a shed subquery reached a target that was overloaded. If an
/// owner lacked capacity for the first send, one retry is free, as the owners of
/// other replicas may have some.
fn is_charged(missing: Missing, outcome: Outcome) -> bool {
    outcome != Outcome::NotRun || missing == Missing::Shed
}
