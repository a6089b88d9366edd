//! One part of a query: its state, and when it is hedged or placed anew.

use std::time::Duration;

use base::Time;

use super::PartState;

/// Whether a part may be hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Hedge {
    Open,
    NotBefore(Time),
    /// The answer can do without the part. This changes only as another part turns late, so
    /// no time is set to look again.
    Held,
    Done,
}

/// One shard's part of a query.
#[derive(Clone, Copy, Debug)]
pub(super) struct Part {
    pub(super) state: PartState,
    /// Time of the last send.
    pub(super) sent_at: Option<Time>,
    /// Since when it waits for a target of the domain, though others are free.
    pub(super) waits_at_home: Option<Time>,
    pub(super) hedge: Hedge,
}

impl Part {
    pub(super) fn overdue_at(&self, delay: Duration) -> Option<Time> {
        let is_waiting = self.state == PartState::Waiting;
        self.waits_at_home.filter(|_| is_waiting).map(|at| at + delay)
    }

    pub(super) fn is_sent_once(&self) -> bool {
        self.state == (PartState::Sent { in_flight: 1 })
    }

    pub(super) fn hedge_at(&self, delay: Duration) -> Option<Time> {
        if !self.is_sent_once() {
            return None;
        }
        let late_at = self.sent_at? + delay;
        match self.hedge {
            Hedge::Open => Some(late_at),
            Hedge::NotBefore(at) => Some(late_at.max(at)),
            Hedge::Held | Hedge::Done => None,
        }
    }
}
