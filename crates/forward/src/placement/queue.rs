//! What waits for a connection to a service's targets.
//!
//! Load pattern answered: bursts and slow targets, when more work comes than
//! connections are free. The most urgent goes first, then the oldest; what
//! can no longer be of use leaves the queue unsent.

use std::collections::VecDeque;

use base::Time;

/// Most that wait for one service at one host.
const MAX_WAITING: usize = 256;

/// Something that waits for a connection.
#[derive(Clone, Debug)]
pub struct Waiting<W> {
    pub priority: u32,
    /// Of no use after this.
    pub until: Time,
    pub who: W,
}

#[derive(Debug)]
pub(super) struct Queue<W> {
    waiting: VecDeque<Waiting<W>>,
}

impl<W> Default for Queue<W> {
    fn default() -> Self {
        Queue { waiting: VecDeque::new() }
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
        while let Some(first) = self.waiting.pop_front() {
            if first.until > now {
                return Some(first);
            }
        }
        None
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}
