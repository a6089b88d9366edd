//! Drives one request over its shards; a request to one target is a query
//! over a single shard.

mod notes;
mod plan;

use std::time::Duration;

use base::Time;
use forward::{
    Gather, Placement, Verdict,
    gather::PartState,
    placement::{Ask, Send, TargetKey, Waiting},
    target::SendResult,
};
use tokio::{sync::mpsc, time::sleep_until};

use crate::{
    SharedCx,
    callers::log_line::caller_left,
    targets::{Job, Outcome, TargetAnswer, submit},
};

pub(crate) use self::{
    notes::Note,
    plan::{Collected, Event, Plan, Waiter},
};

/// Time between two looks at targets that a late request waits for.
const DOUBT_INTERVAL: Duration = Duration::from_millis(100);

struct Scatter<'a> {
    cx: &'a SharedCx,
    plan: Plan<'a>,
    gather: Gather,
    tried: Vec<Vec<TargetKey>>,
    /// Sends of each part that may have run.
    runs: Vec<u32>,
    tx: mpsc::UnboundedSender<Event>,
    parts: Vec<TargetAnswer>,
    failure: Option<TargetAnswer>,
    in_flight: usize,
    may_have_run: bool,
    sends: u32,
    notes: Vec<Note>,
    is_ended: bool,
}

/// Marks the request as over when the caller has its answer.
pub(crate) async fn scatter(cx: &SharedCx, plan: Plan<'_>) -> Collected {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let shards = plan.shards.len();
    let gather = Gather::new(shards, plan.min_shards, plan.schedule);
    let mut scatter = Scatter {
        cx,
        gather,
        tried: vec![Vec::new(); shards],
        runs: vec![0; shards],
        tx,
        parts: Vec::with_capacity(shards),
        failure: None,
        in_flight: 0,
        may_have_run: false,
        sends: 0,
        notes: Vec::new(),
        is_ended: false,
        plan,
    };
    scatter.start();
    let verdict = scatter.run(&mut rx).await;
    scatter.plan.request.is_answered.set(true);
    let missing = scatter.gather.missing();
    scatter.note_missing();
    let started = scatter.gather.started() as u32;
    scatter.is_ended = true;
    Collected {
        verdict,
        parts: std::mem::take(&mut scatter.parts),
        missing,
        failure: scatter.failure.take(),
        may_have_run: scatter.may_have_run || scatter.in_flight > 0,
        extra_sends: scatter.sends - started,
        notes: std::mem::take(&mut scatter.notes),
    }
}

impl Drop for Scatter<'_> {
    fn drop(&mut self) {
        self.withdraw();
        if !self.is_ended {
            self.note_missing();
            let received = self.plan.schedule.received;
            let done = self.gather.done();
            caller_left(self.cx, &self.plan.request, received, done, &self.notes);
        }
    }
}

impl Scatter<'_> {
    fn start(&mut self) {
        let now = self.cx.clock.now();
        for &service in &self.plan.shards {
            self.cx.targets.borrow_mut().note_request(service, now);
        }
        for index in 0..self.plan.shards.len() {
            self.place(index);
        }
    }

    async fn run(&mut self, rx: &mut mpsc::UnboundedReceiver<Event>) -> Verdict {
        loop {
            while let Ok(event) = rx.try_recv() {
                self.handle(event);
            }
            let next_hedge = self.hedge();
            self.doubt_silent();
            let now = self.cx.clock.now();
            let wake_at = match self.gather.verdict(now) {
                Verdict::Wait(until) => {
                    let next = next_hedge.map_or(until, |it| it.min(until));
                    next.min(self.next_doubt(now))
                }
                verdict => return verdict,
            };
            tokio::select! {
                biased;
                event = rx.recv() => {
                    if let Some(event) = event {
                        self.handle(event);
                    }
                }
                () = sleep_until(self.cx.clock.instant(wake_at)) => {}
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ended { index, send, outcome } => self.ended(index, &send, outcome),
            Event::Place { index } => {
                let is_open =
                    matches!(self.gather.part(index), PartState::Waiting | PartState::Silent);
                if is_open {
                    self.place(index);
                } else {
                    self.cx.wake_waiting(self.plan.shards[index]);
                }
            }
        }
    }

    fn ended(&mut self, index: usize, send: &Send, outcome: Outcome) {
        self.in_flight -= 1;
        match outcome.result {
            SendResult::Answered => {
                self.may_have_run = true;
                if self.gather.arrived(index)
                    && let Some(answer) = outcome.answer
                {
                    self.parts.push(answer);
                }
                return;
            }
            SendResult::Failed | SendResult::Broken | SendResult::Silent => {
                self.may_have_run = true;
                self.note(index, Some(send.target), outcome.result.as_str());
            }
            SendResult::Shed
            | SendResult::Misdirected
            | SendResult::NotSent
            | SendResult::Cancelled => {
                self.runs[index] -= 1;
                self.note(index, Some(send.target), outcome.result.as_str());
            }
        }
        if outcome.result == SendResult::NotSent {
            self.tried[index].retain(|it| *it != send.target);
        }
        if outcome.result == SendResult::Failed && outcome.answer.is_some() {
            self.failure = outcome.answer;
        }
        if self.gather.lost(index) {
            self.retry(index, outcome.result);
        }
    }

    /// Tries the part elsewhere if that is allowed and within the budget.
    fn retry(&mut self, index: usize, result: SendResult) {
        let did_not_run =
            matches!(result, SendResult::Shed | SendResult::Misdirected | SendResult::NotSent);
        if !did_not_run && !self.plan.request.is_idempotent {
            return;
        }
        if self.runs[index] >= self.plan.attempts {
            return;
        }
        let now = self.cx.clock.now();
        let service = self.plan.shards[index];
        let is_free = result == SendResult::NotSent;
        if is_free || self.cx.targets.borrow_mut().take_retry(service, now) {
            self.place(index);
        }
    }

    fn place(&mut self, index: usize) {
        match self.try_place(index) {
            Placement::Send(_) => {}
            Placement::Busy => self.wait(index, false),
            Placement::Silent => self.wait(index, true),
            Placement::Nowhere => self.gather.failed(index),
        }
    }

    fn try_place(&mut self, index: usize) -> Placement {
        let now = self.cx.clock.now();
        let placement = self.cx.targets.borrow_mut().place(&self.ask(index), now);
        if let Placement::Send(send) = placement {
            self.tried[index].push(send.target);
            self.runs[index] += 1;
            self.in_flight += 1;
            self.sends += 1;
            self.gather.sent(index, now);
            let request = self.plan.request.clone();
            submit(self.cx, Job { request, send, index, tx: self.tx.clone() });
        }
        placement
    }

    fn wait(&mut self, index: usize, is_silent: bool) {
        self.gather.waits(index, is_silent);
        let waiting = Waiting {
            priority: self.plan.priority,
            in_time_until: self.gather.settle_at(),
            until: self.plan.schedule.until,
            who: Waiter { tx: self.tx.clone(), index },
        };
        let service = self.plan.shards[index];
        if !self.cx.targets.borrow_mut().wait(service, waiting) {
            self.gather.failed(index);
        }
    }

    /// Takes back what still waits for a connection.
    fn withdraw(&self) {
        let mut targets = self.cx.targets.borrow_mut();
        for (index, service) in self.plan.shards.iter().enumerate() {
            if matches!(self.gather.part(index), PartState::Waiting | PartState::Silent) {
                targets.withdraw(*service, |it| it.tx.same_channel(&self.tx));
            }
        }
    }

    /// Marks parts whose targets have not answered anything for long.
    fn doubt_silent(&mut self) {
        let now = self.cx.clock.now();
        if now < self.gather.settle_at() {
            return;
        }
        let targets = self.cx.targets.borrow();
        for index in 0..self.plan.shards.len() {
            let is_sent = matches!(self.gather.part(index), PartState::Sent { .. });
            if is_sent && self.tried[index].iter().all(|it| targets.is_hopeless(*it, now)) {
                self.gather.doubt(index);
            }
        }
    }

    /// When to look again for targets without hope.
    fn next_doubt(&self, now: Time) -> Time {
        if now < self.gather.settle_at() { self.gather.settle_at() } else { now + DOUBT_INTERVAL }
    }

    /// Takes a hedge from the budget if there is a target for it.
    fn take_hedge(&mut self, index: usize, now: Time) -> bool {
        let mut targets = self.cx.targets.borrow_mut();
        let ask = self.ask(index);
        targets.can_place(&ask, now) && targets.take_retry(ask.service, now)
    }

    fn ask(&self, index: usize) -> Ask<'_> {
        Ask {
            service: self.plan.shards[index],
            class: self.plan.class,
            tried: &self.tried[index],
            regions: self.plan.regions,
        }
    }

    /// Sends late parts once more; returns when the next is due.
    fn hedge(&mut self) -> Option<Time> {
        if !self.plan.request.is_idempotent || self.plan.attempts < 2 {
            return None;
        }
        let now = self.cx.clock.now();
        let delay = self.cx.targets.borrow().hedge_delay(self.plan.class)?;
        for index in self.gather.due_hedges(now, delay) {
            if self.runs[index] >= self.plan.attempts {
                continue;
            }
            if self.take_hedge(index, now) {
                self.try_place(index);
            } else {
                self.gather.put_hedge_off(index, now);
            }
        }
        self.gather.next_hedge(delay)
    }
}
