//! First sends and hedges, grouped into one batch for each owner.

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

/// What is planned for one shard.
#[derive(Clone, Debug)]
pub(super) struct ShardPlan {
    pub shard: ShardId,
    /// Each target tried, with the owner it was tried through.
    pub tried: Vec<(TargetName, HostName)>,
    pub sends: u32,
    pub hedge_at: Option<Time>,
    pub retry_at: Option<Time>,
    /// Waits before a retry so far.
    pub backoffs: u32,
    /// Whether another send would be extra load: some send may have run, or
    /// was shed.
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

    /// Drops the sends of this step and cancels what was open before.
    pub(super) fn restart(&mut self, open: Vec<(AttemptId, HostName)>) {
        self.sends.clear();
        self.cancel(open);
    }

    fn send(&mut self, owner: HostName, is_extra: bool, subquery: Subquery) {
        let open = self.sends.iter_mut().find(|it| it.owner == owner && it.is_extra == is_extra);
        match open {
            Some(send) => send.subqueries.push(subquery),
            None => self.sends.push(Send { owner, is_extra, subqueries: vec![subquery] }),
        }
    }
}

impl Query {
    /// Sends a subquery for each shard that has no answer and none in flight.
    pub(super) fn send_first<R: Routes>(&mut self, cx: &mut QueryCx<'_, R>, outbox: &mut Outbox) {
        for i in 0..self.plans.len() {
            let ShardPlan { shard, sends, .. } = self.plans[i];
            if self.gather.is_in_flight(shard) || !self.may_send(shard) {
                continue;
            }
            match self.choose_untried(cx, shard) {
                Ok(target) => self.send_in_turn(cx, shard, &target, sends, outbox),
                Err(missing) => self.on_no_replica(cx, shard, missing),
            }
        }
    }

    fn send_in_turn<R: Routes>(
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
        let is_paid = kind != SendKind::Retry
            || cx.shared.budgets.try_spend(&self.req.service.name, &target.name);
        if is_paid {
            self.send(cx, shard, target, kind, outbox);
        }
    }

    fn earn_budget<R>(&self, cx: &mut QueryCx<'_, R>, shard: ShardId) {
        let replicas = self.req.view.replicas(shard).iter().map(|it| &it.name);
        cx.shared.budgets.earn(&self.req.service.name, replicas);
    }

    /// Sends a second subquery for each shard that has waited too long, to
    /// another replica or else through the target's other owner.
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
            typical: cx.shared.median_latency(&self.req.service.pool),
        };
        choose_replica(&plan_cx, shard, &tried, cx.rng)
    }

    /// Hands a subquery to the target's owner; false if no owner is left
    /// that it was not tried through.
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
        self.sent_to.insert(target.name.clone(), incarnation);
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
        self.gather.open(id, attempt);
        let subquery = Subquery { attempt: id, shard, target: target.name.clone() };
        outbox.send(owner, kind != SendKind::First, subquery);
        true
    }

    /// Whether a subquery for the shard may be sent. Work that is not
    /// idempotent may be sent again only if no send of it can have run.
    pub(super) fn may_send(&self, shard: ShardId) -> bool {
        !self.gather.is_answered(shard)
            && (self.req.is_idempotent || self.gather.is_certainly_not_run(shard))
    }

    /// The actions of a step, one batch for each owner.
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

    /// The primary, unless it was tried or is silent.
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
