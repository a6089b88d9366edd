//! Parts of a gather that are left out, as their shards are overloaded.

use super::{Gather, PartState};

impl Gather {
    /// Leaves out a part that was not sent.
    pub fn leave_out(&mut self, index: usize) {
        let part = &mut self.parts[index];
        if part.state == PartState::Waiting && part.sent_at.is_none() {
            part.state = PartState::LeftOut;
        }
    }

    /// Makes a part that was left out one that waits to be placed.
    pub fn take_back(&mut self, index: usize) {
        let state = &mut self.parts[index].state;
        if *state == PartState::LeftOut {
            *state = PartState::Waiting;
        }
    }

    pub fn left_out(&self) -> usize {
        self.count(|it| it == PartState::LeftOut)
    }

    /// Returns how many parts a late gather may take beyond those that it waits for, so that
    /// it waits for twice as many as it lacks. It then does not depend on each of them.
    pub fn reserve_needed(&self) -> usize {
        let lacking = self.min_shards.saturating_sub(self.done());
        (2 * lacking).saturating_sub(self.pending())
    }

    /// Returns how many parts the minimum requires beyond those that are received or may
    /// still be.
    pub fn short_of_minimum(&self) -> usize {
        self.min_shards.saturating_sub(self.done() + self.pending())
    }
}
