//! The state machine of one request: which target each part is sent to, when it
//! is sent again, and when the request ends. A request to one target is a query
//! over one shard.
//!
//! The caller of this module does the I/O: it reports the end of each send, polls
//! the query and carries out the returned steps.
//!
//! Load patterns answered: those of [`gather`](crate::gather), and targets that
//! shed, break the connection or fall silent. A part that certainly did not run
//! is retried at another target, one that may have run only if the request is
//! idempotent, and both only within the service's budget.

mod hedges;
mod left_out;

use std::time::Duration;

use base::{RegionName, Time, always};

use crate::{
    customers::CustomerKey,
    gather::{Gather, PartState, Schedule, Verdict},
    placement::{
        Admission, Arrival, ClassKey, PartTime, Placement, PlacementRequest, Send, ServiceKey,
        TargetKey, Targets, Waiting,
    },
    target::SendResult,
};

/// Time between two checks for unresponsive targets of a late query.
const UNRESPONSIVE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time after which a part that waits for a target of the domain is placed anew.
const MIN_PLACEMENT_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of hosts that a request is passed on to. More refusals than this
/// mean that it cannot be served.
const MAX_HOSTS_TRIED: usize = 3;

/// How a request is to be carried out.
#[derive(Clone, Debug)]
pub struct QueryPlan {
    pub shards: Vec<ServiceKey>,
    /// Minimum number of shards in an answer.
    pub min_shards: usize,
    pub class: ClassKey,
    /// Regions whose targets may be used; all if empty.
    pub regions: Vec<RegionName>,
    /// Maximum number of targets of each shard that may run the request.
    pub attempts: u32,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Customer with whose other requests this one takes turns.
    pub customer: Option<CustomerKey>,
    pub is_idempotent: bool,
    /// Whether overloaded shards are spared: parts that the minimum does not require are left
    /// out there, and hedged only if that is expected to help. Targets that only pause may be
    /// taken for overloaded, so that answers hold fewer parts.
    pub spares_overloaded: bool,
    pub schedule: Schedule,
}

/// An action to carry out for a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Send {
        index: usize,
        send: Send,
    },
    /// Queue the part with [`Targets::enqueue`]; [`Query::waiting`] creates the entry.
    Wait {
        index: usize,
    },
}

/// What follows from the end of a send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedSend {
    /// The send's answer is the first one of its part.
    pub is_part: bool,
    /// Retry of the part, if any.
    pub step: Option<Step>,
}

/// State of a query.
#[derive(Clone, Debug)]
pub struct Query {
    plan: QueryPlan,
    gather: Gather,
    /// Targets that each part was sent to.
    tried: Vec<Vec<TargetKey>>,
    /// Number of sends of each part that may have run or may run still.
    runs: Vec<u32>,
    in_flight: usize,
    /// Some send ended that did run or may have run.
    has_run: bool,
    sends: u32,
    /// Time from which parts that are left out are evaluated again.
    next_check: Time,
    /// Expected time of the soonest part that was left out, by the last evaluation.
    left_out_time: Duration,
    /// The shard that goes first among equal ones.
    first_shard: usize,
    /// Whether nothing more is to be sent.
    is_stopped: bool,
}

impl QueryPlan {
    /// Returns whether parts of overloaded shards may be left out.
    fn may_spare(&self) -> bool {
        self.spares_overloaded && self.min_shards < self.shards.len()
    }

    /// Decides whether to accept the request. A query over many shards must be
    /// answered within its objective. One to a single shard, which has no incomplete
    /// answer, is accepted if it can be answered before its deadline.
    pub fn admit<W>(&self, targets: &Targets<W>, now: Time) -> Admission {
        let is_gather = self.shards.len() > 1;
        let answer_by = if is_gather { self.schedule.settle_at() } else { self.schedule.deadline };
        let arrival = Arrival {
            services: &self.shards,
            min_services: self.min_shards,
            customer: self.customer,
            class: self.class,
            regions: &self.regions,
            answer_by,
            in_time_until: self.schedule.settle_at(),
        };
        targets.admit(&arrival, now)
    }
}

impl Query {
    /// Creates a query and records it in the budgets of its services.
    pub fn new<W>(plan: QueryPlan, targets: &mut Targets<W>, now: Time) -> Query {
        for &service in &plan.shards {
            targets.record_request(service, now);
        }
        let shards = plan.shards.len();
        let mut query = Query {
            gather: Gather::new(shards, plan.min_shards, plan.schedule),
            tried: vec![Vec::new(); shards],
            runs: vec![0; shards],
            in_flight: 0,
            has_run: false,
            sends: 0,
            next_check: now,
            left_out_time: Duration::ZERO,
            first_shard: targets.next_rotation() % shards.max(1),
            is_stopped: false,
            plan,
        };
        query.leave_out_overloaded(targets, now);
        query
    }

    pub fn plan(&self) -> &QueryPlan {
        &self.plan
    }

    /// Ends the query at `at` at the latest, as if that were its deadline.
    pub fn end_by(&mut self, at: Time) {
        self.plan.schedule.deadline = self.plan.schedule.deadline.min(at);
        self.gather.end_by(at);
    }

    /// Sends nothing more, as the request may no longer be: parts that wait fail, and those in
    /// flight are neither retried nor hedged.
    pub fn stop_sending(&mut self) {
        self.is_stopped = true;
        for index in 0..self.plan.shards.len() {
            if self.is_waiting(index) {
                self.gather.mark_failed(index);
            }
        }
    }

    pub fn part(&self, index: usize) -> PartState {
        self.gather.part(index)
    }

    /// Returns the targets that the part was sent to; none if the query has no such part.
    pub fn tried(&self, index: usize) -> &[TargetKey] {
        self.tried.get(index).map_or(&[], Vec::as_slice)
    }

    pub fn done(&self) -> usize {
        self.gather.done()
    }

    pub fn missing(&self) -> usize {
        self.gather.missing()
    }

    /// Returns the number of sends beyond the first of each part.
    pub fn extra_sends(&self) -> u32 {
        self.sends - self.gather.started() as u32
    }

    /// Returns whether any target may have run the query, or may run it still.
    pub fn may_have_run(&self) -> bool {
        self.has_run || self.in_flight > 0
    }

    /// Places a part. To be called once for each part of a new query, and for a
    /// waiting part when a connection may be free. Returns nothing for a part that is left
    /// out.
    pub fn place<W>(&mut self, targets: &mut Targets<W>, index: usize, now: Time) -> Option<Step> {
        if self.gather.part(index) == PartState::LeftOut {
            return None;
        }
        if self.is_stopped {
            self.gather.mark_failed(index);
            return None;
        }
        let until = self.plan.schedule.settle_at();
        let placement = targets.place_in_time(&self.placement_request(index), until, now);
        match placement {
            Placement::Send(send) => return Some(self.record_send(index, send, now)),
            Placement::Busy => self.gather.record_waiting(index, false),
            Placement::BusyAtHome => {
                self.gather.record_waiting(index, false);
                self.gather.record_waiting_at_home(index, now);
            }
            Placement::Limited if self.is_limit_in_time(targets, index, now) => {
                self.gather.record_waiting(index, false);
            }
            Placement::Silent => self.gather.record_waiting(index, true),
            Placement::Limited | Placement::NoTarget => {
                self.gather.mark_failed(index);
                return None;
            }
        }
        Some(Step::Wait { index })
    }

    /// Returns whether stated limits are expected to allow the part in time.
    fn is_limit_in_time<W>(&self, targets: &Targets<W>, index: usize, now: Time) -> bool {
        let wait = targets.limit_wait(self.plan.shards[index], &self.plan.regions, now);
        now + wait + targets.expected_latency(self.plan.class) <= self.gather.settle_at()
    }

    /// Returns whether the part waits for a connection.
    pub fn is_waiting(&self, index: usize) -> bool {
        matches!(self.gather.part(index), PartState::Waiting | PartState::Silent)
    }

    /// Returns a queue entry for `waiter`.
    pub fn waiting<W>(&self, waiter: W) -> Waiting<W> {
        Waiting {
            priority: self.plan.priority,
            customer: self.plan.customer,
            in_time_until: self.plan.schedule.settle_at(),
            deadline: self.plan.schedule.deadline,
            waiter,
        }
    }

    /// Records that the service's queue was full, so that the part fails.
    pub fn record_rejection(&mut self, index: usize) {
        self.gather.mark_failed(index);
    }

    /// Records the end of a send of the part, and retries the part if allowed.
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
            return FinishedSend { is_part: self.gather.record_answer(index), step: None };
        }
        if certainly_did_not_run(result) {
            self.runs[index] -= 1;
        } else {
            self.has_run = true;
        }
        if result == SendResult::NotSent {
            self.tried[index].retain(|it| *it != send.target);
        }
        let is_lost = self.gather.record_lost_send(index);
        let should_retry = is_lost && self.may_retry(targets, index, result, now);
        let step = if should_retry { self.place(targets, index, now) } else { None };
        FinishedSend { is_part: false, step }
    }

    /// Returns the parts to send or queue now, hedges included, and the verdict on the query.
    pub fn poll<W>(&mut self, targets: &mut Targets<W>, now: Time) -> (Vec<Step>, Verdict) {
        self.mark_unresponsive_parts(targets, now);
        let mut steps = self.take_left_out(targets, now);
        let until = match self.gather.verdict(now) {
            Verdict::Wait(until) => until,
            verdict => return (steps, verdict),
        };
        let (hedges, next_hedge) = self.hedge(targets, now);
        steps.extend(hedges);
        let next_placement = self.place_overdue(targets, &mut steps, now);
        let others = [next_hedge, next_placement, self.next_left_out_check()];
        let next = others.into_iter().flatten().fold(until, Time::min);
        (steps, Verdict::Wait(next.min(self.next_unresponsive_check(now))))
    }

    fn record_send(&mut self, index: usize, send: Send, now: Time) -> Step {
        self.tried[index].push(send.target);
        self.runs[index] += 1;
        let runs = self.runs[index];
        always!(runs <= self.plan.attempts, "attempts-of-a-part", "{runs} sends of part {index}");
        self.in_flight += 1;
        self.sends += 1;
        self.gather.record_send(index, now);
        Step::Send { index, send }
    }

    fn placement_request(&self, index: usize) -> PlacementRequest<'_> {
        PlacementRequest {
            service: self.plan.shards[index],
            class: self.plan.class,
            tried: &self.tried[index],
            regions: &self.plan.regions,
        }
    }

    /// Returns when a part is expected that is sent now, if any target is expected to answer.
    fn expected_time<W>(&self, targets: &Targets<W>, index: usize, now: Time) -> Option<PartTime> {
        targets.expected_part_time(&self.placement_request(index), self.plan.customer, now)
    }

    /// Returns whether a lost part may be retried. Takes the retry from the budget.
    fn may_retry<W>(
        &self,
        targets: &mut Targets<W>,
        index: usize,
        result: SendResult,
        now: Time,
    ) -> bool {
        let may_run_again = certainly_did_not_run(result) || self.plan.is_idempotent;
        if self.is_stopped || !may_run_again || self.runs[index] >= self.plan.attempts {
            return false;
        }
        let service = self.plan.shards[index];
        if targets.are_hosts(service) {
            // A request that another host refused was sent to no target.
            return self.tried[index].len() < MAX_HOSTS_TRIED;
        }
        // The target received nothing, so the next send is not an extra one.
        let is_free = matches!(result, SendResult::NotSent | SendResult::Unreachable);
        is_free || targets.take_retry(service, now)
    }

    /// Places parts anew that have waited for a target of the domain for as long as a send is
    /// waited for before a hedge. Also returns when the next one is due.
    ///
    /// The target that they wait for may have fallen silent, and then no end of a send there
    /// wakes them.
    fn place_overdue<W>(
        &mut self,
        targets: &mut Targets<W>,
        steps: &mut Vec<Step>,
        now: Time,
    ) -> Option<Time> {
        if !targets.limits_outbound() {
            return None;
        }
        let class = self.plan.class;
        let usual = targets.hedge_delay(class).unwrap_or_else(|| targets.expected_latency(class));
        let delay = usual.max(MIN_PLACEMENT_INTERVAL);
        for index in self.gather.take_overdue(now, delay) {
            if let Some(step @ Step::Send { .. }) = self.place(targets, index, now) {
                steps.push(step);
            }
        }
        self.gather.next_overdue(delay)
    }

    /// Marks parts all of whose targets are unresponsive.
    fn mark_unresponsive_parts<W>(&mut self, targets: &Targets<W>, now: Time) {
        if now < self.gather.settle_at() {
            return;
        }
        for index in 0..self.plan.shards.len() {
            let is_sent = matches!(self.gather.part(index), PartState::Sent { .. });
            if is_sent && self.tried[index].iter().all(|it| targets.is_unresponsive(*it, now)) {
                self.gather.mark_unresponsive(index);
            }
            // The caller may repeat it at another host.
            if is_sent && self.plan.is_idempotent && targets.are_answers_lost(now) {
                self.gather.mark_answer_lost(index);
            }
        }
    }

    /// Returns the time of the next check for unresponsive targets.
    fn next_unresponsive_check(&self, now: Time) -> Time {
        let settle_at = self.gather.settle_at();
        if now < settle_at { settle_at } else { now + UNRESPONSIVE_CHECK_INTERVAL }
    }
}

/// Returns whether a send with this result certainly did not run: the target says
/// so, or nothing was written. A query gets `Cancelled` only if the request could
/// not be built; a send that is cancelled later ends after its query.
fn certainly_did_not_run(result: SendResult) -> bool {
    match result {
        SendResult::Shed
        | SendResult::Misdirected
        | SendResult::Unreachable
        | SendResult::NotSent
        | SendResult::Cancelled => true,
        SendResult::Answered
        | SendResult::Failed
        | SendResult::Broken
        | SendResult::NoMemory
        | SendResult::Silent => false,
    }
}
