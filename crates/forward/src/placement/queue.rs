//! What waits for a connection to a service's targets.
//!
//! Load pattern answered: bursts, slow targets and cuts, when more work comes
//! than targets take. What can still be answered in time goes before what is
//! late already; among these the most urgent goes first, then the oldest. What
//! can no longer be of use leaves the queue unsent.

use base::Time;

/// Most that wait for one service at one host.
const MAX_WAITING: usize = 256;

/// Something that waits for a connection.
#[derive(Clone, Debug)]
pub struct Waiting<W> {
    pub priority: u32,
    /// Late after this.
    pub in_time_until: Time,
    /// Of no use after this.
    pub deadline: Time,
    pub waiter: W,
}

#[derive(Debug)]
pub(super) struct Queue<W> {
    /// Most urgent first, then oldest first.
    waiting: Vec<Waiting<W>>,
}

impl<W> Default for Queue<W> {
    fn default() -> Self {
        Queue { waiting: Vec::new() }
    }
}

impl<W> Queue<W> {
    /// Adds `it` behind all that is at least as urgent; gives it back if the
    /// queue is full.
    pub(super) fn push(&mut self, it: Waiting<W>) -> Result<(), Waiting<W>> {
        if self.waiting.len() >= MAX_WAITING {
            return Err(it);
        }
        let behind = self.waiting.iter().rposition(|other| other.priority <= it.priority);
        self.waiting.insert(behind.map_or(0, |index| index + 1), it);
        Ok(())
    }

    pub(super) fn pop(&mut self, now: Time) -> Option<Waiting<W>> {
        self.waiting.retain(|it| it.deadline > now);
        let in_time = self.waiting.iter().position(|it| it.in_time_until > now);
        let index = in_time.unwrap_or(0);
        (index < self.waiting.len()).then(|| self.waiting.remove(index))
    }

    /// Removes what need not wait any more.
    pub(super) fn remove_waiting(&mut self, is_over: impl Fn(&W) -> bool) {
        self.waiting.retain(|it| !is_over(&it.waiter));
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}
