//! Which reservations give way when a share runs out.

use std::net::IpAddr;

use base::Time;

use super::{Kind, MemoryBudget, Reservation, Share, pace::Pace};

/// Limit on the reservations that one new reservation evicts.
const MAX_EVICTIONS: usize = 64;

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub kind: Kind,
    pub owner: Option<IpAddr>,
    pub bytes: usize,
    /// Bytes that the transfer still needs, if known.
    pub left: Option<usize>,
    pub pace: Pace,
    pub is_evictable: bool,
    pub is_evicted: bool,
}

impl MemoryBudget {
    /// Returns the slowest transfers of a share that together hold `lacking` bytes, or
    /// none if too little is held by slow ones.
    pub(super) fn victims(
        &self,
        share: Share,
        lacking: usize,
        only: Option<IpAddr>,
        own: Option<Reservation>,
        now: Time,
    ) -> Vec<Reservation> {
        let is_candidate = |(id, entry): &(&Reservation, &Entry)| {
            let is_of = only.is_none() || entry.owner == only;
            let is_held = entry.is_evictable && !entry.is_evicted && Some(**id) != own;
            entry.kind.share() == share && is_of && is_held && !entry.is_almost_sent()
        };
        let candidates = self.entries.iter().filter(is_candidate);
        let mut slow: Vec<(f64, Reservation, usize)> = candidates
            .filter_map(|(id, entry)| Some((entry.pace.pressed(now)?, *id, entry.bytes)))
            .collect();
        slow.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut freed = 0;
        let mut victims = Vec::new();
        for (_, id, bytes) in slow.into_iter().take(MAX_EVICTIONS) {
            if freed >= lacking {
                break;
            }
            freed += bytes;
            victims.push(id);
        }
        if freed >= lacking { victims } else { Vec::new() }
    }
}

impl Entry {
    /// Returns whether a caller has read nearly all of its answer.
    fn is_almost_sent(&self) -> bool {
        self.kind == Kind::Answers && self.left.is_some_and(|it| it <= self.bytes / 8)
    }
}
