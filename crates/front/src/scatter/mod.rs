//! Runs one query: passes its sends to connections, reports their results back
//! to it, and collects its parts.

mod notes;

use std::rc::Rc;

use base::TargetName;
use forward::{
    Query, QueryPlan, Verdict,
    gather::PartState,
    placement::Send,
    query::{FinishedSend, Step},
    target::{LeavingTarget, SendResult},
};
use tokio::{sync::mpsc, time::sleep_until};

use crate::{
    SharedCx,
    log_line::caller_left,
    messages::{
        Collected, Event, Job, KeyRejection, Note, Outcome, Outgoing, TargetAnswer, Waiter,
    },
    targets::submit,
};

struct Scatter<'a> {
    cx: &'a SharedCx,
    request: Rc<Outgoing>,
    query: Query,
    tx: mpsc::UnboundedSender<Event>,
    parts: Vec<TargetAnswer>,
    failure: Option<TargetAnswer>,
    notes: Vec<Note>,
    /// Why nothing more is sent, if the key may no longer be used.
    rejection: Option<KeyRejection>,
    is_ended: bool,
}

/// Runs a query until its verdict, and marks the request as answered. If the
/// future is dropped before, the caller has left, which is logged.
pub(crate) async fn scatter(cx: &SharedCx, plan: QueryPlan, request: &Rc<Outgoing>) -> Collected {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let query = Query::new(plan, &mut cx.targets.borrow_mut(), cx.clock.now());
    let mut scatter = Scatter {
        cx,
        request: request.clone(),
        query,
        tx,
        parts: Vec::new(),
        failure: None,
        notes: Vec::new(),
        rejection: None,
        is_ended: false,
    };
    scatter.start();
    let verdict = scatter.run(&mut rx).await;
    scatter.request.is_answered.set(true);
    scatter.record_missing();
    scatter.is_ended = true;
    Collected {
        verdict,
        parts: std::mem::take(&mut scatter.parts),
        missing: scatter.query.missing(),
        left_out: scatter.query.left_out(),
        failure: scatter.failure.take(),
        may_have_run: scatter.query.may_have_run(),
        rejection: scatter.rejection,
        extra_sends: scatter.query.extra_sends(),
        last_target: scatter.last_target(),
        leaving: scatter.leaving(),
        notes: std::mem::take(&mut scatter.notes),
    }
}

impl Drop for Scatter<'_> {
    fn drop(&mut self) {
        self.leave_queues();
        if !self.is_ended {
            self.record_missing();
            let received = self.query.plan().schedule.received;
            caller_left(self.cx, &self.request, received, self.query.done(), &self.notes);
        }
    }
}

impl Scatter<'_> {
    fn start(&mut self) {
        self.check_key();
        for index in 0..self.query.plan().shards.len() {
            self.place(index);
        }
    }

    async fn run(&mut self, rx: &mut mpsc::UnboundedReceiver<Event>) -> Verdict {
        loop {
            while let Ok(event) = rx.try_recv() {
                self.handle(event);
            }
            if let Some(stop) = self.cx.stop.get() {
                self.query.end_by(stop.ends_at());
            }
            self.check_key();
            let now = self.cx.clock.now();
            let (steps, verdict) = self.query.poll(&mut self.cx.targets.borrow_mut(), now);
            steps.into_iter().for_each(|it| self.run_overdue_step(it));
            let wake_at = match verdict {
                Verdict::Wait(until) => until,
                verdict => return verdict,
            };
            tokio::select! {
                biased;
                event = rx.recv() => {
                    if let Some(event) = event {
                        self.handle(event);
                    }
                }
                () = self.cx.stop_begun.notified() => {}
                () = sleep_until(self.cx.clock.instant(wake_at)) => {}
            }
        }
    }

    /// Has the query send nothing more if its key may no longer be used.
    fn check_key(&mut self) {
        let Some(identity) = &self.request.customer else { return };
        if self.rejection.is_some() {
            return;
        }
        let Err(why) = self.cx.check_key(identity) else { return };
        self.rejection = Some(why);
        self.leave_queues();
        self.query.stop_sending();
    }

    fn handle(&mut self, event: Event) {
        self.check_key();
        match event {
            Event::Ended { index, send, outcome } => self.ended(index, &send, outcome),
            Event::Place { index } if self.query.is_waiting(index) => {
                self.place(index);
                if self.query.part(index) == PartState::Failed {
                    self.wake_next(index);
                }
            }
            Event::Place { index } => self.wake_next(index),
        }
    }

    /// Wakes the next part that waits for the same service, as this one does not use the
    /// connection, or as no target may get either.
    fn wake_next(&self, index: usize) {
        self.cx.wake_waiting(self.query.plan().shards[index]);
    }

    fn ended(&mut self, index: usize, send: &Send, outcome: Outcome) {
        let result = outcome.result;
        if result != SendResult::Answered {
            self.record_note(index, Some(send.target), result.as_str());
        }
        let now = self.cx.clock.now();
        let finished = {
            let mut targets = self.cx.targets.borrow_mut();
            self.query.finish_send(&mut targets, index, send, result, now)
        };
        let FinishedSend { is_part, step } = finished;
        match outcome.answer {
            Some(answer) if is_part => self.parts.push(answer),
            Some(answer) if self.is_failure(result) => self.failure = Some(answer),
            Some(_) | None => {}
        }
        if let Some(step) = step {
            self.run_step(step);
        }
    }

    /// Returns whether an answer with this result may become the caller's. A refusal by
    /// another host states when the caller should retry.
    fn is_failure(&self, result: SendResult) -> bool {
        let is_refusal = result == SendResult::Shed && self.request.relay.is_some();
        result == SendResult::Failed || is_refusal
    }

    fn last_target(&self) -> Option<TargetName> {
        let target = self.query.tried(0).last()?;
        let targets = self.cx.targets.borrow();
        targets.target(*target).map(|it| it.report.name.clone())
    }

    /// Returns the targets that the query was sent to and that said that they leave.
    fn leaving(&self) -> Vec<LeavingTarget> {
        let (targets, now) = (self.cx.targets.borrow(), self.cx.clock.now());
        let tried = (0..self.query.plan().shards.len()).flat_map(|it| self.query.tried(it));
        tried.filter_map(|it| targets.stated_leaving(*it, now)).collect()
    }

    fn place(&mut self, index: usize) {
        let now = self.cx.clock.now();
        let step = self.query.place(&mut self.cx.targets.borrow_mut(), index, now);
        if let Some(step) = step {
            self.run_step(step);
        }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Send { index, send } => {
                let (request, tx) = (self.request.clone(), self.tx.clone());
                submit(self.cx, Job { request, send, index, tx });
            }
            Step::Wait { index } => {
                let waiting = self.query.waiting(Waiter { tx: self.tx.clone(), index });
                let service = self.query.plan().shards[index];
                if !self.cx.targets.borrow_mut().enqueue(service, waiting) {
                    self.query.record_rejection(index);
                }
            }
        }
    }

    /// Runs a step of a part that may have waited in its service's queue.
    fn run_overdue_step(&mut self, step: Step) {
        if let Step::Send { index, .. } = step {
            let service = self.query.plan().shards[index];
            let is_part = |it: &Waiter| it.index == index && it.tx.same_channel(&self.tx);
            self.cx.targets.borrow_mut().remove_waiting(service, is_part);
        }
        self.run_step(step);
    }

    /// Removes the parts that still wait for a connection from their services'
    /// queues.
    fn leave_queues(&self) {
        let mut targets = self.cx.targets.borrow_mut();
        for (index, service) in self.query.plan().shards.iter().enumerate() {
            if self.query.is_waiting(index) {
                targets.remove_waiting(*service, |it| it.tx.same_channel(&self.tx));
            }
        }
    }
}
