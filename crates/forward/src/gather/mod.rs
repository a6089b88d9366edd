//! A query over many shards: what is in, what is hedged, when it is answered.
//!
//! Load patterns answered: with wide fan-out and targets that pause 4% of the
//! time, most queries meet a late part. A part is hedged when it is late; the
//! query is answered whole if it can be in time, else shortly before the
//! caller's objective with what is in, once that is enough; parts that cannot
//! be had are not waited for; and a query that cannot become an answer is
//! refused at once.

use std::time::Duration;

use base::Time;

/// A query is answered this share of its objective early, and at least
/// `MIN_MARGIN`, so that the answer arrives in time.
const MARGIN_SHARE: f64 = 0.08;
const MIN_MARGIN: Duration = Duration::from_millis(14);

/// A hedge that no target could take is tried again after this. Siblings come
/// back from their pauses while a part is still late.
const HEDGE_PAUSE: Duration = Duration::from_millis(10);

/// Times that bound a query, on the host's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schedule {
    pub received: Time,
    pub objective: Duration,
    /// When the caller or the route wants a final answer.
    pub deadline: Time,
}

impl Schedule {
    /// The moment from which an incomplete answer is better than a late one.
    pub fn settle_at(&self) -> Time {
        let margin = self.objective.mul_f64(MARGIN_SHARE).max(MIN_MARGIN);
        self.received + self.objective.saturating_sub(margin)
    }
}

/// One shard's standing within a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartState {
    /// Waits for a connection.
    Waiting,
    /// All of its targets are silent.
    Silent,
    /// Sends in flight, all to targets that have not answered for long.
    Unresponsive {
        in_flight: u32,
    },
    /// Sends in flight.
    Sent {
        in_flight: u32,
    },
    Done,
    /// Nothing more is tried.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Look again then, unless something comes in first.
    Wait(Time),
    /// Merge what is in.
    Answer,
    /// Too few parts can come in.
    GiveUp,
    /// The time is over with too few parts.
    TimedOut,
}

impl Verdict {
    /// For the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Wait(_) => "waiting",
            Verdict::Answer => "answer",
            Verdict::GiveUp => "too few parts can come",
            Verdict::TimedOut => "timed out",
        }
    }
}

/// Whether a part may be sent once more because it is late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hedge {
    Open,
    NotBefore(Time),
    Done,
}

/// One shard within a query.
#[derive(Clone, Copy, Debug)]
struct Part {
    state: PartState,
    /// When it was sent last.
    sent_at: Option<Time>,
    hedge: Hedge,
}

/// The state of one query.
#[derive(Clone, Debug)]
pub struct Gather {
    parts: Vec<Part>,
    min_shards: usize,
    schedule: Schedule,
}

impl Gather {
    pub fn new(shards: usize, min_shards: usize, schedule: Schedule) -> Gather {
        let part = Part { state: PartState::Waiting, sent_at: None, hedge: Hedge::Open };
        Gather { parts: vec![part; shards], min_shards, schedule }
    }

    pub fn part(&self, index: usize) -> PartState {
        self.parts[index].state
    }

    pub fn done(&self) -> usize {
        self.count(|it| it == PartState::Done)
    }

    /// Parts that were sent at least once.
    pub fn started(&self) -> usize {
        self.parts.iter().filter(|it| it.sent_at.is_some()).count()
    }

    pub fn missing(&self) -> usize {
        self.parts.len() - self.done()
    }

    pub fn sent(&mut self, index: usize, now: Time) {
        let part = &mut self.parts[index];
        part.sent_at = Some(now);
        part.state = match part.state {
            PartState::Sent { in_flight } | PartState::Unresponsive { in_flight } => {
                PartState::Sent { in_flight: in_flight + 1 }
            }
            PartState::Waiting | PartState::Silent | PartState::Failed => {
                PartState::Sent { in_flight: 1 }
            }
            PartState::Done => PartState::Done,
        };
    }

    pub fn waits(&mut self, index: usize, is_silent: bool) {
        let state = &mut self.parts[index].state;
        let is_open = matches!(state, PartState::Waiting | PartState::Silent | PartState::Failed);
        if is_open {
            *state = if is_silent { PartState::Silent } else { PartState::Waiting };
        }
    }

    /// A part came in; false if one was there already.
    pub fn arrived(&mut self, index: usize) -> bool {
        let before = std::mem::replace(&mut self.parts[index].state, PartState::Done);
        before != PartState::Done
    }

    /// A send of the part ended without an answer. True if no other is in
    /// flight, so that the part should be tried elsewhere.
    pub fn lost(&mut self, index: usize) -> bool {
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

    /// The targets that the part was sent to are not expected to answer.
    ///
    /// A request to a single target waits on: the target may be at work.
    pub fn doubt(&mut self, index: usize) {
        if self.parts.len() > 1
            && let PartState::Sent { in_flight } = self.parts[index].state
        {
            self.parts[index].state = PartState::Unresponsive { in_flight };
        }
    }

    pub fn failed(&mut self, index: usize) {
        let state = &mut self.parts[index].state;
        if *state != PartState::Done {
            *state = PartState::Failed;
        }
    }

    /// Parts whose only send is older than `delay`, each named once unless its
    /// hedge is put off.
    pub fn due_hedges(&mut self, now: Time, delay: Duration) -> Vec<usize> {
        let mut due = Vec::new();
        for (index, part) in self.parts.iter_mut().enumerate() {
            if part.hedge_at(delay).is_some_and(|at| at <= now) {
                part.hedge = Hedge::Done;
                due.push(index);
            }
        }
        due
    }

    /// No target could take the hedge now; it may be due again soon.
    pub fn put_hedge_off(&mut self, index: usize, now: Time) {
        self.parts[index].hedge = Hedge::NotBefore(now + HEDGE_PAUSE);
    }

    /// When the next part is due for a hedge.
    pub fn next_hedge(&self, delay: Duration) -> Option<Time> {
        self.parts.iter().filter_map(|it| it.hedge_at(delay)).min()
    }

    pub fn settle_at(&self) -> Time {
        self.schedule.settle_at()
    }

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
        let can_come = self.count(|it| matches!(it, PartState::Sent { .. } | PartState::Waiting));
        let settle_at = self.settle_at();
        if is_enough && (can_come == 0 || now >= settle_at) {
            return Verdict::Answer;
        }
        if now >= settle_at && done + can_come < self.min_shards {
            return Verdict::GiveUp;
        }
        let next = if now < settle_at { settle_at } else { self.schedule.deadline };
        Verdict::Wait(next.min(self.schedule.deadline))
    }

    fn count(&self, is_counted: impl Fn(PartState) -> bool) -> usize {
        self.parts.iter().filter(|it| is_counted(it.state)).count()
    }
}

impl Part {
    fn hedge_at(&self, delay: Duration) -> Option<Time> {
        if self.state != (PartState::Sent { in_flight: 1 }) {
            return None;
        }
        let late_at = self.sent_at? + delay;
        match self.hedge {
            Hedge::Open => Some(late_at),
            Hedge::NotBefore(at) => Some(late_at.max(at)),
            Hedge::Done => None,
        }
    }
}
