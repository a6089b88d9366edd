//! Trial of a suspect request: one subquery to one target, before or instead of
//! all others.

use std::{sync::Arc, time::Duration};

use base::{Missing, Outcome, Reason, ShardId, TargetName, Time};
use documents::Target;

use super::{Action, Outbox, Query, recover::Failure};
use crate::{
    message::Refusal,
    request::{
        gather::SendKind,
        plan::{PlanCx, usable_replicas},
        quarantine::{Admission, Death, TrialPlan},
        shared::{QueryCx, Routes},
    },
};

/// Interval at which a request checks whether it can start a trial.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// State of a request's trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Trial {
    /// No trial is running or needed.
    None,
    /// A trial is needed; try to start it at `until`.
    Waiting {
        until: Time,
    },
    Running {
        shard: ShardId,
        target: TargetName,
    },
}

impl Query {
    /// Sends what the quarantine allows: all shards, a trial, or nothing.
    pub(super) fn send_admitted<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        outbox: &mut Outbox,
    ) -> Result<(), Refusal> {
        match cx.shared.quarantine.admit(cx.now, self.req.fingerprint) {
            Admission::Free => {
                self.trial = Trial::None;
                self.send_missing(cx, outbox);
            }
            Admission::Trial(plan) => self.start_trial(cx, &plan, outbox),
            Admission::Wait => self.await_trial(cx.now),
            Admission::Refused { retry_after } => return Err(self.quarantine_refusal(retry_after)),
        }
        Ok(())
    }

    /// If a failure means that the target died while it ran this request, reports
    /// it to the quarantine, and schedules a trial if one may follow. Returns whether
    /// it was such a failure, after which no plain retry may be sent.
    pub(super) fn handle_death<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        failure: &Failure<'_>,
    ) -> bool {
        let &Failure { part, shard, missing, outcome } = failure;
        if missing != Missing::ConnectionLost || outcome == Outcome::NotRun {
            return false;
        }
        let incarnation = self.sent_incarnations.get(&part.target).copied().unwrap_or_default();
        let death = Death { target: part.target.clone(), incarnation, shard };
        cx.shared.quarantine.implicate(cx.now, self.req.fingerprint, death);
        self.is_implicated = true;
        let is_trial_over = self.is_trial_target(&part.target);
        let may_start_trial = self.trial == Trial::None && self.req.is_idempotent;
        if is_trial_over || may_start_trial {
            self.trial = Trial::Waiting { until: cx.now };
        }
        true
    }

    /// Clears the suspect if the trial at `shard` was answered, and sends the
    /// other shards.
    pub(super) fn on_trial_answer<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        shard: ShardId,
        outbox: &mut Outbox,
    ) {
        if !matches!(self.trial, Trial::Running { shard: at, .. } if at == shard) {
            return;
        }
        cx.shared.quarantine.clear(cx.now, self.req.fingerprint);
        self.trial = Trial::None;
        self.send_missing(cx, outbox);
    }

    /// Ends a trial at `target` that failed for another reason than the target's
    /// death. Returns whether there was one.
    pub(super) fn on_trial_failure<R>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        target: &TargetName,
    ) -> bool {
        if !self.is_trial_target(target) {
            return false;
        }
        self.end_trial(cx);
        self.await_trial(cx.now);
        true
    }

    pub(super) fn end_trial<R>(&mut self, cx: &mut QueryCx<'_, R>) {
        let Trial::Running { target, .. } = &self.trial else { return };
        cx.shared.quarantine.end_trial(self.req.fingerprint, target);
        self.trial = Trial::None;
    }

    pub(super) fn send_due_trial<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        outbox: &mut Outbox,
    ) -> Result<(), Refusal> {
        match self.trial {
            Trial::Waiting { until } if until <= cx.now => self.send_admitted(cx, outbox),
            _ => Ok(()),
        }
    }

    pub(super) fn trial_wakeup(&self) -> Option<Time> {
        match self.trial {
            Trial::Waiting { until } => Some(until),
            Trial::None | Trial::Running { .. } => None,
        }
    }

    pub(super) fn finish_refused<R>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        mut outbox: Outbox,
        refusal: Refusal,
    ) -> Vec<Action> {
        let abandoned = self.gather.abandon_in_flight(cx.now);
        if self.req.is_idempotent {
            outbox.cancel(abandoned);
        }
        let mut actions = self.flush(cx.now, outbox);
        let outcome = self.gather.outcome().max(refusal.outcome);
        actions.extend(self.refuse(Refusal { outcome, ..refusal }));
        actions
    }

    fn start_trial<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        plan: &TrialPlan,
        outbox: &mut Outbox,
    ) {
        for (shard, target) in self.trial_targets(cx, plan) {
            let fingerprint = self.req.fingerprint;
            if !cx.shared.quarantine.start_trial(cx.now, fingerprint, &target.name) {
                continue;
            }
            let sends = self.plan_mut(shard).map_or(0, |it| it.sends);
            let kind = if sends == 0 { SendKind::First } else { SendKind::Retry };
            let is_within_budget = kind == SendKind::First
                || cx.shared.budgets.try_spend(&self.req.service.name, &target.name);
            if is_within_budget && self.send(cx, shard, &target, kind, outbox) {
                self.trial = Trial::Running { shard, target: target.name.clone() };
                return;
            }
            cx.shared.quarantine.end_trial(fingerprint, &target.name);
        }
        self.await_trial(cx.now);
    }

    /// Returns the target for the trial, if there is one: a usable replica of a
    /// shard on which the request was implicated, or of any shard if none of these
    /// may be sent. Each suspect of the same deaths gets a different target.
    fn trial_targets<R: Routes>(
        &self,
        cx: &QueryCx<'_, R>,
        plan: &TrialPlan,
    ) -> Vec<(ShardId, Arc<Target>)> {
        let plan_cx = PlanCx {
            now: cx.now,
            configuration: cx.configuration,
            domain: cx.domain,
            routes: cx.routes,
            table: &cx.shared.table,
            view: &self.req.view,
            snapshot: self.gather.snapshot(),
            pool_median: cx.shared.median_latency(&self.req.service.pool),
        };
        let is_sendable =
            |&shard: &ShardId| !self.gather.is_in_flight(shard) && self.may_send(shard);
        let sendable: Vec<_> = self.shards().filter(is_sendable).collect();
        let mut shards: Vec<_> =
            sendable.iter().copied().filter(|it| plan.shards.contains(it)).collect();
        if shards.is_empty() {
            shards = sendable;
        }
        let targets = shards.into_iter().flat_map(|shard| {
            usable_replicas(&plan_cx, shard).map(move |it| (shard, Arc::clone(it)))
        });
        let mut targets: Vec<_> =
            targets.filter(|it| !plan.dead_targets.contains(&it.1.name)).collect();
        targets.sort_by(|a, b| a.1.name.cmp(&b.1.name));
        // Suspects whose rank exceeds the number of targets wait until others are
        // cleared.
        targets.into_iter().skip(plan.rank).take(1).collect()
    }

    fn await_trial(&mut self, now: Time) {
        self.trial = Trial::Waiting { until: now + TRIAL_POLL_INTERVAL };
    }

    fn is_trial_target(&self, target: &TargetName) -> bool {
        matches!(&self.trial, Trial::Running { target: at, .. } if at == target)
    }

    /// Returns the outcome for a refusal by quarantine. An idempotent request
    /// counts as the same as earlier ones with its fingerprint, of which one ran.
    fn quarantine_outcome(&self) -> Outcome {
        match self.req.is_idempotent {
            true => Outcome::MayHaveRun,
            false => self.gather.outcome(),
        }
    }

    fn quarantine_refusal(&self, retry_after: Duration) -> Refusal {
        Refusal {
            reason: Reason::Quarantined,
            outcome: self.quarantine_outcome(),
            detail: "targets died while they ran this request".to_owned(),
            retry_after: Some(retry_after),
        }
    }
}
