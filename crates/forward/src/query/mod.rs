//! One request on its way: where each part goes, when it is sent again, and
//! when the request ends. A request to one target is a query over one shard.
//!
//! Whoever carries a query out tells it of each end of a send and asks it what
//! to do next; it reads no clock and sends nothing itself.
//!
//! Load patterns answered: those of [`gather`](crate::gather), and targets that
//! shed, break off or fall silent. A part that certainly did not run goes
//! elsewhere, one that may have run only if the request may run again, and
//! both only within the service's budget.

use std::time::Duration;

use base::{RegionName, Time, always};

use crate::{
    gather::{Gather, PartState, Schedule, Verdict},
    placement::{
        Admission, Arrival, ClassKey, Placement, PlacementRequest, Send, ServiceKey, TargetKey,
        Targets, Waiting,
    },
    target::SendResult,
};

/// Time between two looks at targets that a late query waits for.
const DOUBT_INTERVAL: Duration = Duration::from_millis(100);

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct QueryPlan {
    pub shards: Vec<ServiceKey>,
    /// Fewest shards that make an answer.
    pub min_shards: usize,
    pub class: ClassKey,
    /// Regions allowed; empty: all.
    pub regions: Vec<RegionName>,
    /// Targets of each shard that may run it.
    pub attempts: u32,
    /// 0 is the most urgent.
    pub priority: u32,
    pub is_idempotent: bool,
    pub schedule: Schedule,
}

/// What is to be done for a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Send {
        index: usize,
        send: Send,
    },
    /// The part waits for a connection, see [`Query::waiting`].
    Wait {
        index: usize,
    },
}

/// What the end of a send means for its query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedSend {
    /// The answer is a part of the query's answer.
    pub is_part: bool,
    pub step: Option<Step>,
}

/// A query's state.
#[derive(Clone, Debug)]
pub struct Query {
    plan: QueryPlan,
    gather: Gather,
    tried: Vec<Vec<TargetKey>>,
    /// Sends of each part that may have run.
    runs: Vec<u32>,
    in_flight: usize,
    has_run: bool,
    sends: u32,
}

impl QueryPlan {
    /// Whether to take the request on. One over many shards has to be in time;
    /// one to a single target, which has no incomplete answer, is taken on if
    /// it can be answered at all.
    pub fn admit<W>(&self, targets: &Targets<W>, now: Time) -> Admission {
        let is_gather = self.shards.len() > 1;
        let answer_by = if is_gather { self.schedule.settle_at() } else { self.schedule.deadline };
        let (services, min_services, class) = (&*self.shards, self.min_shards, self.class);
        targets.admit(&Arrival { services, min_services, class, answer_by }, now)
    }
}

impl Query {
    /// Counts the request for its services' budgets.
    pub fn new<W>(plan: QueryPlan, targets: &mut Targets<W>, now: Time) -> Query {
        for &service in &plan.shards {
            targets.record_request(service, now);
        }
        let shards = plan.shards.len();
        Query {
            gather: Gather::new(shards, plan.min_shards, plan.schedule),
            tried: vec![Vec::new(); shards],
            runs: vec![0; shards],
            in_flight: 0,
            has_run: false,
            sends: 0,
            plan,
        }
    }

    pub fn plan(&self) -> &QueryPlan {
        &self.plan
    }

    pub fn part(&self, index: usize) -> PartState {
        self.gather.part(index)
    }

    /// Targets that the part was sent to.
    pub fn tried(&self, index: usize) -> &[TargetKey] {
        &self.tried[index]
    }

    pub fn done(&self) -> usize {
        self.gather.done()
    }

    pub fn missing(&self) -> usize {
        self.gather.missing()
    }

    /// Sends beyond the first of each part.
    pub fn extra_sends(&self) -> u32 {
        self.sends - self.gather.started() as u32
    }

    /// Whether any target may have run it, or may run it still.
    pub fn may_have_run(&self) -> bool {
        self.has_run || self.in_flight > 0
    }

    /// Places the part; asked for each part at first, and for one that waits
    /// when a connection may be free.
    pub fn place<W>(&mut self, targets: &mut Targets<W>, index: usize, now: Time) -> Option<Step> {
        let placement = targets.place(&self.ask(index), now);
        match placement {
            Placement::Send(send) => return Some(self.sent(index, send, now)),
            Placement::Busy => self.gather.waits(index, false),
            Placement::Silent => self.gather.waits(index, true),
            Placement::NoTarget => {
                self.gather.failed(index);
                return None;
            }
        }
        Some(Step::Wait { index })
    }

    /// Whether the part waits for a connection.
    pub fn is_waiting(&self, index: usize) -> bool {
        matches!(self.gather.part(index), PartState::Waiting | PartState::Silent)
    }

    /// An entry for the queue of the part's service.
    pub fn waiting<W>(&self, waiter: W) -> Waiting<W> {
        Waiting {
            priority: self.plan.priority,
            in_time_until: self.plan.schedule.settle_at(),
            deadline: self.plan.schedule.deadline,
            waiter,
        }
    }

    /// The queue has no room for the part.
    pub fn record_rejection(&mut self, index: usize) {
        self.gather.failed(index);
    }

    /// A send of the part ended.
    pub fn finish_send<W>(
        &mut self,
        targets: &mut Targets<W>,
        index: usize,
        send: &Send,
        result: SendResult,
        now: Time,
    ) -> FinishedSend {
        always!(self.in_flight > 0, "ended-send-was-in-flight", "part {index}");
        self.in_flight = self.in_flight.saturating_sub(1);
        if result == SendResult::Answered {
            self.has_run = true;
            return FinishedSend { is_part: self.gather.arrived(index), step: None };
        }
        if certainly_did_not_run(result) {
            self.runs[index] -= 1;
        } else {
            self.has_run = true;
        }
        if result == SendResult::NotSent {
            self.tried[index].retain(|it| *it != send.target);
        }
        let is_lost = self.gather.lost(index);
        let is_again = is_lost && self.may_retry(targets, index, result, now);
        let step = if is_again { self.place(targets, index, now) } else { None };
        FinishedSend { is_part: false, step }
    }

    /// What is due now, and how the query stands.
    pub fn poll<W>(&mut self, targets: &mut Targets<W>, now: Time) -> (Vec<Step>, Verdict) {
        self.doubt_silent(targets, now);
        let until = match self.gather.verdict(now) {
            Verdict::Wait(until) => until,
            verdict => return (Vec::new(), verdict),
        };
        let (steps, next_hedge) = self.hedge(targets, now);
        let next = next_hedge.map_or(until, |it| it.min(until));
        (steps, Verdict::Wait(next.min(self.next_doubt(now))))
    }

    fn sent(&mut self, index: usize, send: Send, now: Time) -> Step {
        self.tried[index].push(send.target);
        self.runs[index] += 1;
        let runs = self.runs[index];
        always!(runs <= self.plan.attempts, "attempts-of-a-part", "{runs} sends of part {index}");
        self.in_flight += 1;
        self.sends += 1;
        self.gather.sent(index, now);
        Step::Send { index, send }
    }

    fn ask(&self, index: usize) -> PlacementRequest<'_> {
        PlacementRequest {
            service: self.plan.shards[index],
            class: self.plan.class,
            tried: &self.tried[index],
            regions: &self.plan.regions,
        }
    }

    /// Whether a lost part is tried elsewhere; takes it from the budget.
    fn may_retry<W>(
        &self,
        targets: &mut Targets<W>,
        index: usize,
        result: SendResult,
        now: Time,
    ) -> bool {
        let may_run_again = certainly_did_not_run(result) || self.plan.is_idempotent;
        if !may_run_again || self.runs[index] >= self.plan.attempts {
            return false;
        }
        // What was not written never arrived, so it is no extra send.
        let is_free = result == SendResult::NotSent;
        is_free || targets.take_retry(self.plan.shards[index], now)
    }

    /// Sends late parts once more; returns when the next is due.
    fn hedge<W>(&mut self, targets: &mut Targets<W>, now: Time) -> (Vec<Step>, Option<Time>) {
        let mut steps = Vec::new();
        if !self.plan.is_idempotent || self.plan.attempts < 2 {
            return (steps, None);
        }
        let Some(delay) = targets.hedge_delay(self.plan.class) else { return (steps, None) };
        for index in self.gather.due_hedges(now, delay) {
            if self.runs[index] >= self.plan.attempts {
                continue;
            }
            if !self.take_hedge(targets, index, now) {
                self.gather.put_hedge_off(index, now);
                continue;
            }
            if let Placement::Send(send) = targets.place(&self.ask(index), now) {
                steps.push(self.sent(index, send, now));
            }
        }
        (steps, self.gather.next_hedge(delay))
    }

    /// Takes a hedge from the budget if there is a target for it.
    fn take_hedge<W>(&self, targets: &mut Targets<W>, index: usize, now: Time) -> bool {
        let ask = self.ask(index);
        targets.can_place(&ask, now) && targets.take_retry(ask.service, now)
    }

    /// Marks parts whose targets have not answered anything for long.
    fn doubt_silent<W>(&mut self, targets: &Targets<W>, now: Time) {
        if now < self.gather.settle_at() {
            return;
        }
        for index in 0..self.plan.shards.len() {
            let is_sent = matches!(self.gather.part(index), PartState::Sent { .. });
            if is_sent && self.tried[index].iter().all(|it| targets.is_unresponsive(*it, now)) {
                self.gather.doubt(index);
            }
        }
    }

    /// When to look again for targets without hope.
    fn next_doubt(&self, now: Time) -> Time {
        let settle_at = self.gather.settle_at();
        if now < settle_at { settle_at } else { now + DOUBT_INTERVAL }
    }
}

/// Whether the target says so, or nothing was written.
fn certainly_did_not_run(result: SendResult) -> bool {
    match result {
        SendResult::Shed
        | SendResult::Misdirected
        | SendResult::NotSent
        | SendResult::Cancelled => true,
        SendResult::Answered | SendResult::Failed | SendResult::Broken | SendResult::Silent => {
            false
        }
    }
}
