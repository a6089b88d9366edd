//! The parts of a query over many shards: which are received, which are hedged,
//! and when the query is answered.
//!
//! Load patterns answered: with wide fan-out and targets that pause 4% of the
//! time, most queries have a late part. A late part is hedged. The query is
//! answered completely if that is possible in time, else shortly before the
//! caller's objective with the parts received, if they are enough. Parts that
//! cannot be obtained are not waited for, and a query that cannot be answered is
//! refused at once.

mod left_out;
mod part;

use std::time::Duration;

use base::Time;

use self::part::{Hedge, Part};

/// A query is answered ahead of its objective by this share of it, and by at
/// least `MIN_MARGIN`, so that the answer arrives in time.
const MARGIN_SHARE: f64 = 0.08;
const MIN_MARGIN: Duration = Duration::from_millis(14);

/// Time after which a hedge that could not be sent is tried again: another
/// target's pause may end while the part is still late.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time limits of a query, on the host's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schedule {
    pub received: Time,
    pub objective: Duration,
    /// Time by which the query ends, answered or not.
    pub deadline: Time,
}

impl Schedule {
    /// Returns the time from which an incomplete answer is preferred to a late one.
    pub fn settle_at(&self) -> Time {
        let margin = self.objective.mul_f64(MARGIN_SHARE).max(MIN_MARGIN);
        self.received + self.objective.saturating_sub(margin)
    }
}

/// State of one shard's part of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartState {
    /// Waits for a free connection.
    Waiting,
    /// Waits, as all of the shard's targets are silent.
    Silent,
    /// Has sends in flight, all to unresponsive targets.
    Unresponsive {
        in_flight: u32,
    },
    /// Has sends in flight.
    Sent {
        in_flight: u32,
    },
    Done,
    /// No send is in flight and none is queued.
    Failed,
    /// Not sent, as the shard is overloaded and the minimum does not require it.
    LeftOut,
}

/// What to do with a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Evaluate the query again at this time, or at the next event if that is
    /// earlier.
    Wait(Time),
    /// Answer with the parts received.
    Answer,
    /// Fail: too few parts can still be received.
    GiveUp,
    /// Fail: the deadline passed with too few parts.
    TimedOut,
}

impl Verdict {
    /// Returns the text for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Wait(_) => "waiting",
            Verdict::Answer => "answer",
            Verdict::GiveUp => "too few parts can come",
            Verdict::TimedOut => "timed out",
        }
    }
}

/// The parts of one query.
#[derive(Clone, Debug)]
pub struct Gather {
    parts: Vec<Part>,
    min_shards: usize,
    schedule: Schedule,
}

impl Gather {
    pub fn new(shards: usize, min_shards: usize, schedule: Schedule) -> Gather {
        let part = Part {
            state: PartState::Waiting,
            sent_at: None,
            waits_at_home: None,
            hedge: Hedge::Open,
        };
        Gather { parts: vec![part; shards], min_shards, schedule }
    }

    pub fn part(&self, index: usize) -> PartState {
        self.parts[index].state
    }

    pub fn done(&self) -> usize {
        self.count(|it| it == PartState::Done)
    }

    /// Returns the number of parts that were sent at least once.
    pub fn started(&self) -> usize {
        self.parts.iter().filter(|it| it.sent_at.is_some()).count()
    }

    pub fn missing(&self) -> usize {
        self.parts.len() - self.done()
    }

    pub fn record_send(&mut self, index: usize, now: Time) {
        let part = &mut self.parts[index];
        part.sent_at = Some(now);
        part.waits_at_home = None;
        part.state = match part.state {
            PartState::Sent { in_flight } | PartState::Unresponsive { in_flight } => {
                PartState::Sent { in_flight: in_flight + 1 }
            }
            PartState::Waiting | PartState::Silent | PartState::Failed | PartState::LeftOut => {
                PartState::Sent { in_flight: 1 }
            }
            PartState::Done => PartState::Done,
        };
    }

    pub fn record_waiting(&mut self, index: usize, is_silent: bool) {
        let state = &mut self.parts[index].state;
        let is_open = matches!(state, PartState::Waiting | PartState::Silent | PartState::Failed);
        if is_open {
            *state = if is_silent { PartState::Silent } else { PartState::Waiting };
        }
    }

    /// Records that a part that waits does so for a target of the domain.
    pub fn record_waiting_at_home(&mut self, index: usize, now: Time) {
        self.parts[index].waits_at_home = Some(now);
    }

    /// Returns the parts that have waited for a target of the domain for `delay`.
    pub fn take_overdue(&mut self, now: Time, delay: Duration) -> Vec<usize> {
        let mut overdue = Vec::new();
        for (index, part) in self.parts.iter_mut().enumerate() {
            if part.overdue_at(delay).is_some_and(|at| at <= now) {
                part.waits_at_home = None;
                overdue.push(index);
            }
        }
        overdue
    }

    /// Returns the time at which the next part has waited for `delay`.
    pub fn next_overdue(&self, delay: Duration) -> Option<Time> {
        self.parts.iter().filter_map(|it| it.overdue_at(delay)).min()
    }

    /// Records an answer; returns whether it is the first one of the part.
    pub fn record_answer(&mut self, index: usize) -> bool {
        let before = std::mem::replace(&mut self.parts[index].state, PartState::Done);
        before != PartState::Done
    }

    /// Records that a send ended without an answer. Returns true if no other send
    /// of the part is in flight, so that the part should be retried.
    pub fn record_lost_send(&mut self, index: usize) -> bool {
        let state = &mut self.parts[index].state;
        let (PartState::Sent { in_flight } | PartState::Unresponsive { in_flight }) = *state else {
            return false;
        };
        if in_flight > 1 {
            *state = PartState::Sent { in_flight: in_flight - 1 };
            return false;
        }
        *state = PartState::Failed;
        true
    }

    /// Marks a part whose targets are not expected to answer.
    ///
    /// Has no effect on a request to a single shard: its target may still be
    /// working on it.
    pub fn mark_unresponsive(&mut self, index: usize) {
        if self.parts.len() > 1 {
            self.mark_answer_lost(index);
        }
    }

    /// Marks a part whose targets may work on it, but whose answer does not arrive.
    pub fn mark_answer_lost(&mut self, index: usize) {
        if let PartState::Sent { in_flight } = self.parts[index].state {
            self.parts[index].state = PartState::Unresponsive { in_flight };
        }
    }

    pub fn mark_failed(&mut self, index: usize) {
        let state = &mut self.parts[index].state;
        if *state != PartState::Done {
            *state = PartState::Failed;
        }
    }

    /// Returns the parts whose only send in flight is older than `delay`. A part is
    /// returned once, unless its hedge is postponed, or held and `takes_held`.
    pub fn due_hedges(&mut self, now: Time, delay: Duration, takes_held: bool) -> Vec<usize> {
        let mut due = Vec::new();
        for (index, part) in self.parts.iter_mut().enumerate() {
            let is_held = takes_held && part.hedge == Hedge::Held && part.is_sent_once();
            if is_held || part.hedge_at(delay).is_some_and(|at| at <= now) {
                part.hedge = Hedge::Done;
                due.push(index);
            }
        }
        due
    }

    /// Makes a hedge that could not be sent due again after a delay.
    pub fn postpone_hedge(&mut self, index: usize, now: Time) {
        self.parts[index].hedge = Hedge::NotBefore(now + HEDGE_RETRY_DELAY);
    }

    /// Makes a hedge for a part that the answer can do without due again once held hedges are
    /// taken.
    pub fn hold_hedge(&mut self, index: usize) {
        self.parts[index].hedge = Hedge::Held;
    }

    /// Returns the number of parts that are received or were sent within `delay`.
    pub fn on_time(&self, now: Time, delay: Duration) -> usize {
        let is_recent = |it: &Part| it.sent_at.is_some_and(|at| now < at + delay);
        let is_on_time = |it: &&Part| match it.state {
            PartState::Done => true,
            PartState::Sent { .. } => is_recent(it),
            _ => false,
        };
        self.parts.iter().filter(is_on_time).count()
    }

    /// Returns the time at which the next hedge is due.
    pub fn next_hedge(&self, delay: Duration) -> Option<Time> {
        self.parts.iter().filter_map(|it| it.hedge_at(delay)).min()
    }

    pub fn settle_at(&self) -> Time {
        self.schedule.settle_at()
    }

    /// Ends the query at `at` at the latest.
    pub fn end_by(&mut self, at: Time) {
        self.schedule.deadline = self.schedule.deadline.min(at);
    }

    /// Evaluates whether the query is answered, fails or waits.
    pub fn verdict(&self, now: Time) -> Verdict {
        let done = self.done();
        let failed = self.count(|it| it == PartState::Failed);
        if self.parts.len() - failed < self.min_shards {
            return Verdict::GiveUp;
        }
        if done == self.parts.len() {
            return Verdict::Answer;
        }
        let is_enough = done >= self.min_shards;
        if now >= self.schedule.deadline {
            return if is_enough { Verdict::Answer } else { Verdict::TimedOut };
        }
        let pending = self.pending();
        let settle_at = self.settle_at();
        if is_enough && (pending == 0 || now >= settle_at) {
            return Verdict::Answer;
        }
        if now >= settle_at && done + pending < self.min_shards {
            return Verdict::GiveUp;
        }
        let next = if now < settle_at { settle_at } else { self.schedule.deadline };
        Verdict::Wait(next.min(self.schedule.deadline))
    }

    fn pending(&self) -> usize {
        self.count(|it| matches!(it, PartState::Sent { .. } | PartState::Waiting))
    }

    fn count(&self, is_counted: impl Fn(PartState) -> bool) -> usize {
        self.parts.iter().filter(|it| is_counted(it.state)).count()
    }
}
