//! State machine of one request.
//!
//! A [`Query`] pins a snapshot, sends one subquery for each shard, and reacts to
//! parts and wake-ups with further sends until it has a verdict. Only idempotent
//! requests are hedged; other work is sent again only if no earlier send can
//! have run. After the verdict there are no more actions.

mod recover;
mod send;
mod trial;
mod verdict;

use std::{sync::Arc, time::Duration};

use base::{
    AttemptId, HashMap, HostName, Incarnation, Missing, Outcome, Reason, RequestId, ShardId,
    Snapshot, TargetName, Time,
};
use documents::{Service, model::Preference};

use super::{
    gather::{Gather, PartEffect},
    pool_view::PoolView,
    shared::{QueryCx, Routes},
    snapshot::choose_snapshot,
};
use crate::message::{Batch, Part, PartResult, Refusal, TargetStatus};

pub use self::verdict::{Answer, Verdict};
use self::{
    recover::Failure,
    send::{Outbox, ShardPlan},
    trial::Trial,
};

/// When a shard has its answer, the latency of a target that has not answered
/// yet is estimated as this many times the time since it was sent to.
const LOSER_LATENCY_FACTOR: u32 = 2;
/// For services that prefer latency: once there is enough coverage, the request
/// waits for the other shards until this many times the pool's high latency
/// since its start.
const STRAGGLER_WAIT_FACTOR: u32 = 3;

/// A caller's request that has passed all checks.
#[derive(Clone, Debug)]
pub struct QueryRequest {
    pub id: RequestId,
    pub service: Arc<Service>,
    pub view: Arc<PoolView>,
    /// Only shard to ask; every shard if `None`.
    pub shard: Option<ShardId>,
    pub body: Arc<[u8]>,
    pub fingerprint: u64,
    pub is_idempotent: bool,
    pub min_coverage: f64,
    pub started: Time,
    pub deadline: Time,
}

/// Action that the host must perform for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send { owner: HostName, batch: Batch },
    Cancel { owner: HostName, attempts: Vec<AttemptId> },
    Finish(Verdict),
}

/// State of one request.
#[derive(Clone, Debug)]
pub struct Query {
    req: QueryRequest,
    gather: Gather,
    plans: Vec<ShardPlan>,
    /// Snapshots pinned so far; the last one is in use.
    pins: Vec<Snapshot>,
    /// Time from which the request is answered as soon as coverage is enough.
    straggler_deadline: Time,
    trial: Trial,
    /// Incarnation of each target when it was last sent to.
    sent_incarnations: HashMap<TargetName, Incarnation>,
    is_implicated: bool,
    is_finished: bool,
}

impl Query {
    pub fn new(req: QueryRequest) -> Self {
        let gather = Gather::new(Snapshot::default(), std::iter::empty(), req.deadline);
        Query {
            straggler_deadline: req.deadline,
            req,
            gather,
            plans: Vec::new(),
            pins: Vec::new(),
            trial: Trial::None,
            sent_incarnations: HashMap::default(),
            is_implicated: false,
            is_finished: false,
        }
    }

    /// Pins a snapshot and sends the first subqueries.
    pub fn start<R: Routes>(&mut self, cx: &mut QueryCx<'_, R>) -> Vec<Action> {
        let pin = choose_snapshot(cx.configuration, &cx.shared.table, &self.req.view);
        let Some(pin) = pin else {
            let detail = "no usable target of the pool has told which snapshots it holds";
            return self.refuse(no_snapshot(detail));
        };
        self.pin(pin.snapshot);
        self.gather = Gather::new(pin.snapshot, self.shards(), self.req.deadline);
        self.straggler_deadline = self.straggler_deadline(cx);
        let mut outbox = Outbox::default();
        if let Err(refusal) = self.send_admitted(cx, &mut outbox) {
            return self.finish_refused(cx, outbox, refusal);
        }
        self.conclude(cx, outbox)
    }

    /// Handles a received part.
    pub fn on_part<R: Routes>(&mut self, cx: &mut QueryCx<'_, R>, part: &Part) -> Vec<Action> {
        self.learn(cx, part);
        if self.is_finished {
            return Vec::new();
        }
        let mut outbox = Outbox::default();
        match self.gather.accept(cx.now, part) {
            PartEffect::Ignored => return Vec::new(),
            PartEffect::Answered { shard } => self.on_answer(cx, shard, part.queued, &mut outbox),
            PartEffect::Failed { shard, missing, outcome } => {
                let failure = Failure { part, shard, missing, outcome };
                self.on_failure(cx, &failure, &mut outbox);
            }
        }
        if let Err(refusal) = self.send_due_trial(cx, &mut outbox) {
            return self.finish_refused(cx, outbox, refusal);
        }
        self.conclude(cx, outbox)
    }

    /// Sends what has become due; to be called at [`Query::next_wakeup`].
    pub fn on_wakeup<R: Routes>(&mut self, cx: &mut QueryCx<'_, R>) -> Vec<Action> {
        if self.is_finished {
            return Vec::new();
        }
        let mut outbox = Outbox::default();
        if cx.now < self.req.deadline {
            if let Err(refusal) = self.send_due_trial(cx, &mut outbox) {
                return self.finish_refused(cx, outbox, refusal);
            }
            self.send_due_hedges(cx, &mut outbox);
            self.send_due_retries(cx, &mut outbox);
        }
        let actions = self.conclude(cx, outbox);
        let is_wakeup_later = self.is_finished || self.next_wakeup() > cx.now;
        base::always!(is_wakeup_later, "wakeup-lies-ahead", "request {}", self.req.id);
        actions
    }

    /// Returns when [`Query::on_wakeup`] must be called next.
    pub fn next_wakeup(&self) -> Time {
        let timers = self.plans.iter().flat_map(|it| [it.hedge_at, it.retry_at]).flatten();
        let timers = timers.chain(self.trial_wakeup());
        let first = timers.min().unwrap_or(self.req.deadline).min(self.req.deadline);
        if self.is_min_coverage_met() { first.min(self.straggler_deadline) } else { first }
    }

    pub fn request(&self) -> &QueryRequest {
        &self.req
    }

    pub fn gather(&self) -> &Gather {
        &self.gather
    }

    pub fn pins(&self) -> &[Snapshot] {
        &self.pins
    }

    /// Returns whether a target appeared to die while it ran this request.
    pub fn is_implicated(&self) -> bool {
        self.is_implicated
    }

    fn pin(&mut self, snapshot: Snapshot) {
        self.pins.push(snapshot);
        self.plans = self.shards().map(ShardPlan::new).collect();
    }

    /// Returns the shards to ask, in ascending order.
    fn shards(&self) -> impl Iterator<Item = ShardId> + use<> {
        let shards = match self.req.shard {
            Some(ShardId(shard)) => shard..shard.saturating_add(1),
            None => 0..self.req.view.pool.shards,
        };
        shards.map(ShardId)
    }

    fn straggler_deadline<R>(&self, cx: &QueryCx<'_, R>) -> Time {
        if self.req.service.prefer == Preference::Coverage {
            return self.req.deadline;
        }
        let Some(latency) = cx.shared.high_latency(&self.req.service.pool) else {
            return self.req.deadline;
        };
        (self.req.started + latency * STRAGGLER_WAIT_FACTOR).min(self.req.deadline)
    }

    /// Updates the state shared by requests from a part, even from a late one.
    fn learn<R>(&mut self, cx: &mut QueryCx<'_, R>, part: &Part) {
        let table = &mut cx.shared.table;
        if let Some(status) = &part.status {
            table.learn(cx.now, status);
        }
        let Some(attempt) = self.gather.attempt(part.attempt) else { return };
        let is_unreachable =
            matches!(part.result, PartResult::Failed { missing: Missing::OwnerUnreachable, .. });
        if is_unreachable {
            table.mark_silent(cx.now, &attempt.owner);
        } else {
            table.mark_responsive(cx.now, &attempt.owner);
        }
        if let (PartResult::Answer { .. }, Some(status)) = (&part.result, &part.status) {
            let TargetStatus { target, incarnation, .. } = status;
            cx.shared.quarantine.refute(cx.now, target, *incarnation, attempt.sent);
        }
    }

    fn on_answer<R: Routes>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        shard: ShardId,
        queued: Duration,
        outbox: &mut Outbox,
    ) {
        if let Some(plan) = self.plan_mut(shard) {
            plan.hedge_at = None;
            plan.retry_at = None;
        }
        self.record_latencies(cx, shard, queued);
        let losers = self.gather.abandon(cx.now, shard);
        outbox.cancel(losers);
        self.on_trial_answer(cx, shard, outbox);
    }

    /// Records the latencies of an answered shard's attempts. Attempts that lost
    /// to the answer count too, with an estimate based on the time so far; else
    /// slow targets would look fast. Time in the owner's queue is not counted for
    /// the target, as it depends on the service more than on the target.
    fn record_latencies<R>(&mut self, cx: &mut QueryCx<'_, R>, shard: ShardId, queued: Duration) {
        let load = cx.shared.pools.entry(self.req.service.pool.clone()).or_default();
        for attempt in self.gather.attempts_for(shard) {
            if attempt.ended.is_some_and(|(at, _)| at != cx.now) {
                continue;
            }
            let latency = cx.now.since(attempt.sent);
            load.latency.record(cx.now, latency);
            let is_loser = attempt.ended.is_none();
            let target_latency = match is_loser {
                true => latency * LOSER_LATENCY_FACTOR,
                false => latency.saturating_sub(queued),
            };
            cx.shared.table.record_latency(cx.now, &attempt.target, target_latency);
            if is_loser {
                cx.shared.table.mark_silent_if_overdue(cx.now, &attempt.owner, attempt.sent);
            }
        }
        load.record_part(cx.now, false);
    }

    fn plan(&self, shard: ShardId) -> Option<&ShardPlan> {
        let index = self.plans.binary_search_by_key(&shard, |it| it.shard).ok()?;
        self.plans.get(index)
    }

    fn plan_mut(&mut self, shard: ShardId) -> Option<&mut ShardPlan> {
        let index = self.plans.binary_search_by_key(&shard, |it| it.shard).ok()?;
        self.plans.get_mut(index)
    }

    /// Returns the time left for subqueries, less a margin for the way back.
    fn time_left(&self, now: Time) -> Duration {
        const RETURN_MARGIN: Duration = Duration::from_millis(1);
        self.req.deadline.until(now).saturating_sub(RETURN_MARGIN)
    }
}

fn no_snapshot(detail: &str) -> Refusal {
    const RETRY_AFTER: Duration = Duration::from_secs(1);
    Refusal {
        reason: Reason::NoSnapshot,
        outcome: Outcome::NotRun,
        detail: detail.to_owned(),
        retry_after: Some(RETRY_AFTER),
    }
}
