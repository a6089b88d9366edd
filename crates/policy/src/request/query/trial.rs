//! The trial of a suspect: one subquery to one target, before or in place of
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

/// How often a request looks whether a trial has ended.
const TRIAL_POLL: Duration = Duration::from_millis(2);

/// Where a request stands with its trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Trial {
    /// Not a suspect.
    None,
    /// No trial can start now; look again at this time.
    Waiting {
        until: Time,
    },
    Running {
        shard: ShardId,
        target: TargetName,
    },
}

impl Query {
    /// Sends what the quarantine allows: everything, a trial, or nothing.
    pub(super) fn send_admitted<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        outbox: &mut Outbox,
    ) -> Result<(), Refusal> {
        match cx.shared.quarantine.admit(cx.now, self.req.fingerprint) {
            Admission::Free => {
                self.trial = Trial::None;
                self.send_first(cx, outbox);
            }
            Admission::Trial(plan) => self.start_trial(cx, &plan, outbox),
            Admission::Wait => self.await_trial(cx.now),
            Admission::Refused { retry_after } => return Err(self.quarantined(retry_after)),
        }
        Ok(())
    }

    /// Notes the death of a target that the request was in flight at. True if
    /// the part was such a death, so that no plain retry may follow.
    pub(super) fn note_death<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        failure: &Failure<'_>,
    ) -> bool {
        let &Failure { part, shard, missing, outcome } = failure;
        if missing != Missing::ConnectionLost || outcome == Outcome::NotRun {
            return false;
        }
        let incarnation = self.sent_to.get(&part.target).copied().unwrap_or_default();
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

    /// Ends the trial with an answer and sends what is still missing.
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
        self.send_first(cx, outbox);
    }

    /// Ends a trial that failed for another reason than the target's death.
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
        let open = self.gather.abandon_in_flight(cx.now);
        if self.req.is_idempotent {
            outbox.cancel(open);
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
            let is_paid = kind == SendKind::First
                || cx.shared.budgets.try_spend(&self.req.service.name, &target.name);
            if is_paid && self.send(cx, shard, &target, kind, outbox) {
                self.trial = Trial::Running { shard, target: target.name.clone() };
                return;
            }
            cx.shared.quarantine.end_trial(fingerprint, &target.name);
        }
        self.await_trial(cx.now);
    }

    /// The target for the trial, if there is one: a live replica of a shard on
    /// which the request is suspected, another one for each suspect.
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
            typical: cx.shared.median_latency(&self.req.service.pool),
        };
        let is_due = |&shard: &ShardId| !self.gather.is_in_flight(shard) && self.may_send(shard);
        let asked: Vec<_> = self.shards().filter(is_due).collect();
        let mut shards: Vec<_> =
            asked.iter().copied().filter(|it| plan.shards.contains(it)).collect();
        if shards.is_empty() {
            shards = asked;
        }
        let targets = shards.into_iter().flat_map(|shard| {
            usable_replicas(&plan_cx, shard).map(move |it| (shard, Arc::clone(it)))
        });
        let mut targets: Vec<_> =
            targets.filter(|it| !plan.dead_targets.contains(&it.1.name)).collect();
        targets.sort_by(|a, b| a.1.name.cmp(&b.1.name));
        // Suspects without a place of their own wait for others to be cleared.
        targets.into_iter().skip(plan.rank).take(1).collect()
    }

    fn await_trial(&mut self, now: Time) {
        self.trial = Trial::Waiting { until: now + TRIAL_POLL };
    }

    fn is_trial_target(&self, target: &TargetName) -> bool {
        matches!(&self.trial, Trial::Running { target: at, .. } if at == target)
    }

    /// A request without a ticket is the same one as those before it with its
    /// fingerprint, and one of them did run.
    fn quarantined_outcome(&self) -> Outcome {
        match self.req.is_idempotent {
            true => Outcome::MayHaveRun,
            false => self.gather.outcome(),
        }
    }

    fn quarantined(&self, retry_after: Duration) -> Refusal {
        Refusal {
            reason: Reason::Quarantined,
            outcome: self.quarantined_outcome(),
            detail: "targets died while they ran this request".to_owned(),
            retry_after: Some(retry_after),
        }
    }
}
