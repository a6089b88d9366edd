//! First sends and hedges, grouped into batches by owner.

use base::{AttemptId, HostName, Incarnation, ShardId, TargetName, Time};
use documents::Target;
use rand::Rng;

use super::{Action, Query};
use crate::{
    message::{Batch, Subquery},
    request::{
        gather::{Attempt, SendKind},
        plan::{PlanCx, choose_replica},
        shared::{QueryCx, Routes},
    },
};

/// Sends so far and timers of one shard.
#[derive(Clone, Debug)]
pub(super) struct ShardPlan {
    pub shard: ShardId,
    /// Targets tried, each with the owner through which it was tried.
    pub tried: Vec<(TargetName, HostName)>,
    pub sends: u32,
    pub hedge_at: Option<Time>,
    pub retry_at: Option<Time>,
    /// Number of backoffs so far.
    pub backoffs: u32,
    /// Whether another send counts as extra load: an earlier one may have run or
    /// was shed, or one after the first was rejected for lack of capacity.
    pub is_retry_charged: bool,
}

/// Sends and cancellations of one step, grouped by owner.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    sends: Vec<Send>,
    cancels: Vec<(HostName, Vec<AttemptId>)>,
}

#[derive(Debug)]
struct Send {
    owner: HostName,
    is_extra: bool,
    subqueries: Vec<Subquery>,
}

impl ShardPlan {
    pub(super) fn new(shard: ShardId) -> Self {
        ShardPlan {
            shard,
            tried: Vec::new(),
            sends: 0,
            hedge_at: None,
            retry_at: None,
            backoffs: 0,
            is_retry_charged: false,
        }
    }

    pub(super) fn tried_targets(&self) -> Vec<TargetName> {
        self.tried.iter().map(|(target, _)| target.clone()).collect()
    }
}

impl Outbox {
    pub(super) fn cancel(&mut self, attempts: Vec<(AttemptId, HostName)>) {
        for (attempt, owner) in attempts {
            match self.cancels.iter_mut().find(|it| it.0 == owner) {
                Some((_, attempts)) => attempts.push(attempt),
                None => self.cancels.push((owner, vec![attempt])),
            }
        }
    }

    /// Drops the sends of this step and cancels the attempts that a restart
    /// abandoned.
    pub(super) fn restart(&mut self, abandoned: Vec<(AttemptId, HostName)>) {
        self.sends.clear();
        self.cancel(abandoned);
    }

    fn send(&mut self, owner: HostName, is_extra: bool, subquery: Subquery) {
        let send = self.sends.iter_mut().find(|it| it.owner == owner && it.is_extra == is_extra);
        match send {
            Some(send) => send.subqueries.push(subquery),
            None => self.sends.push(Send { owner, is_extra, subqueries: vec![subquery] }),
        }
    }
}

impl Query {
    /// Sends a subquery for each shard that has no answer and none in flight.
    pub(super) fn send_missing<R: Routes>(&mut self, cx: &mut QueryCx<'_, R>, outbox: &mut Outbox) {
        for i in 0..self.plans.len() {
            let ShardPlan { shard, sends, .. } = self.plans[i];
            if self.gather.is_in_flight(shard) || !self.may_send(shard) {
                continue;
            }
            match self.choose_untried(cx, shard) {
                Ok(target) => self.send_to_target(cx, shard, &target, sends, outbox),
                Err(missing) => self.on_no_replica(cx, shard, missing),
            }
        }
    }

    /// Sends a subquery to `target`, as first send, retry or restart, if the
    /// budget allows it.
    fn send_to_target<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        shard: ShardId,
        target: &Target,
        sends: u32,
        outbox: &mut Outbox,
    ) {
        let is_restart = self.pins.len() > 1;
        let kind = match (is_restart, sends) {
            (true, _) => SendKind::Restart,
            (false, 0) => SendKind::First,
            (false, _) => SendKind::Retry,
        };
        if kind == SendKind::First {
            self.earn_budget(cx, shard);
        }
        let is_within_budget = kind != SendKind::Retry
            || cx.shared.budgets.try_spend(&self.req.service.name, &target.name);
        if is_within_budget {
            self.send(cx, shard, target, kind, outbox);
        }
    }

    fn earn_budget<R>(&self, cx: &mut QueryCx<'_, R>, shard: ShardId) {
        let replicas = self.req.view.replicas(shard).iter().map(|it| &it.name);
        cx.shared.budgets.earn(&self.req.service.name, replicas);
    }

    /// Sends a hedge for each shard whose hedge delay is over: to another replica
    /// or, if there is none, to the same target through its other owner.
    pub(super) fn send_due_hedges<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        outbox: &mut Outbox,
    ) {
        for i in 0..self.plans.len() {
            let plan = &mut self.plans[i];
            if plan.hedge_at.is_none_or(|at| at > cx.now) {
                continue;
            }
            plan.hedge_at = None;
            let shard = plan.shard;
            let is_suspect = cx.shared.quarantine.is_suspect(self.req.fingerprint);
            if is_suspect || cx.shared.hedge_delay(&self.req.service.pool).is_none() {
                continue;
            }
            let Some(target) = self.choose_hedge(cx, shard) else { continue };
            if !cx.shared.budgets.try_spend(&self.req.service.name, &target.name) {
                continue;
            }
            self.send(cx, shard, &target, SendKind::Hedge, outbox);
        }
    }

    /// Chooses a replica of `shard` that was not tried.
    pub(super) fn choose_untried<R: Routes>(
        &self,
        cx: &mut QueryCx<'_, R>,
        shard: ShardId,
    ) -> Result<std::sync::Arc<Target>, base::Missing> {
        let plan = self.plan(shard);
        let tried = plan.map(ShardPlan::tried_targets).unwrap_or_default();
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
        choose_replica(&plan_cx, shard, &tried, cx.rng)
    }

    /// Sends a subquery to `target` through one of its owners. Returns false if
    /// the shard may not be sent again, or if no owner is left through which the
    /// target was not tried.
    pub(super) fn send<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        shard: ShardId,
        target: &Target,
        kind: SendKind,
        outbox: &mut Outbox,
    ) -> bool {
        if !self.may_send(shard) {
            return false;
        }
        let Some(owner) = self.choose_owner(cx, shard, &target.name) else {
            self.gather.set_missing(shard, base::Missing::OwnerUnreachable);
            return false;
        };
        let delay = cx.shared.hedge_delay(&self.req.service.pool);
        let is_suspect = cx.shared.quarantine.is_suspect(self.req.fingerprint);
        let may_hedge = self.req.is_idempotent && kind != SendKind::Hedge && !is_suspect;
        let hedge_at = delay.filter(|_| may_hedge).map(|it| cx.now + it);
        let Some(plan) = self.plan_mut(shard) else { return false };
        plan.tried.push((target.name.clone(), owner.clone()));
        plan.sends += 1;
        plan.retry_at = None;
        plan.hedge_at = hedge_at;
        let status = cx.shared.table.status(&target.name);
        let incarnation = status.map_or(Incarnation::default(), |it| it.incarnation);
        self.sent_incarnations.insert(target.name.clone(), incarnation);
        cx.shared.table.record_sent(&target.name);
        let id = AttemptId(cx.rng.random());
        let attempt = Attempt {
            shard,
            target: target.name.clone(),
            owner: owner.clone(),
            kind,
            sent: cx.now,
            snapshot: self.gather.snapshot(),
            ended: None,
        };
        self.gather.add_attempt(id, attempt);
        let subquery = Subquery { attempt: id, shard, target: target.name.clone() };
        outbox.send(owner, kind != SendKind::First, subquery);
        true
    }

    /// Returns whether a subquery for `shard` may be sent. Non-idempotent work may
    /// be sent again only if no earlier send can have run.
    pub(super) fn may_send(&self, shard: ShardId) -> bool {
        !self.gather.is_answered(shard)
            && (self.req.is_idempotent || self.gather.is_certainly_not_run(shard))
    }

    /// Returns the actions of one step: cancellations first, then sends.
    pub(super) fn flush(&self, now: Time, outbox: Outbox) -> Vec<Action> {
        let cancels = outbox.cancels.into_iter();
        let cancels = cancels.map(|(owner, attempts)| Action::Cancel { owner, attempts });
        let sends = outbox.sends.into_iter().map(|send| {
            let batch = self.batch(now, send.is_extra, send.subqueries);
            Action::Send { owner: send.owner, batch }
        });
        cancels.chain(sends).collect()
    }

    fn choose_hedge<R: Routes>(
        &self,
        cx: &mut QueryCx<'_, R>,
        shard: ShardId,
    ) -> Option<std::sync::Arc<Target>> {
        if let Ok(target) = self.choose_untried(cx, shard) {
            return Some(target);
        }
        let plan = self.plan(shard)?;
        let (last, _) = plan.tried.last()?;
        let target = self.req.view.replicas(shard).iter().find(|it| it.name == *last)?;
        self.choose_owner(cx, shard, last).map(|_| target.clone())
    }

    /// Returns an owner through which `target` was not tried, preferring owners
    /// that are not silent, and of these the primary.
    pub(super) fn choose_owner<R: Routes>(
        &self,
        cx: &QueryCx<'_, R>,
        shard: ShardId,
        target: &TargetName,
    ) -> Option<HostName> {
        let (primary, standby) = cx.routes.owners(target)?;
        let plan = self.plan(shard)?;
        let is_tried =
            |owner: &HostName| plan.tried.iter().any(|it| it.0 == *target && it.1 == *owner);
        let owners = std::iter::once(primary).chain(standby);
        let untried = owners.filter(|it| !is_tried(it));
        untried.min_by_key(|it| cx.shared.table.is_silent(cx.now, it))
    }

    fn batch(&self, now: Time, is_extra: bool, subqueries: Vec<Subquery>) -> Batch {
        Batch {
            request: self.req.id,
            service: self.req.service.name.clone(),
            pool: self.req.service.pool.clone(),
            snapshot: self.gather.snapshot(),
            time_left: self.time_left(now),
            is_idempotent: self.req.is_idempotent,
            is_extra,
            fingerprint: self.req.fingerprint,
            body: self.req.body.clone(),
            subqueries,
        }
    }
}
