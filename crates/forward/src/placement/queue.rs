//! Queue of the sends that wait for a connection to a service's targets.
//!
//! Load pattern answered: bursts, slow targets and partitions, when more work
//! arrives than targets can take. Entries that can still be answered in time go
//! before those that are late already; among these the most urgent goes first,
//! then the oldest. Entries past their deadline are dropped unsent.

use base::Time;

/// Limit of queue entries for one service at one host.
const MAX_WAITING: usize = 256;

/// A queue entry.
#[derive(Clone, Debug)]
pub struct Waiting<W> {
    /// 0 is the most urgent.
    pub priority: u32,
    /// Time after which an answer is late.
    pub in_time_until: Time,
    /// Time after which the entry is dropped.
    pub deadline: Time,
    pub waiter: W,
}

#[derive(Debug)]
pub(super) struct Queue<W> {
    /// Sorted by priority, then by age.
    waiting: Vec<Waiting<W>>,
}

impl<W> Default for Queue<W> {
    fn default() -> Self {
        Queue { waiting: Vec::new() }
    }
}

impl<W> Queue<W> {
    /// Inserts `it` behind all entries that are at least as urgent; returns it as an
    /// error if the queue is full.
    pub(super) fn push(&mut self, it: Waiting<W>) -> Result<(), Waiting<W>> {
        if self.waiting.len() >= MAX_WAITING {
            return Err(it);
        }
        let behind = self.waiting.iter().rposition(|other| other.priority <= it.priority);
        self.waiting.insert(behind.map_or(0, |index| index + 1), it);
        Ok(())
    }

    /// Drops expired entries, then removes and returns the first that is in time, or
    /// else the first.
    pub(super) fn pop(&mut self, now: Time) -> Option<Waiting<W>> {
        self.waiting.retain(|it| it.deadline > now);
        let in_time = self.waiting.iter().position(|it| it.in_time_until > now);
        let index = in_time.unwrap_or(0);
        (index < self.waiting.len()).then(|| self.waiting.remove(index))
    }

    /// Removes and returns an entry that is late at `at`.
    pub(super) fn pop_late(&mut self, at: Time) -> Option<Waiting<W>> {
        let index = self.waiting.iter().position(|it| it.in_time_until < at)?;
        Some(self.waiting.remove(index))
    }

    /// Removes the entries for whose waiter `is_over` returns true.
    pub(super) fn remove_waiting(&mut self, is_over: impl Fn(&W) -> bool) {
        self.waiting.retain(|it| !is_over(&it.waiter));
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}
