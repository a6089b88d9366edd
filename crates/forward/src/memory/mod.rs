//! Budget of the memory that requests and answers in progress may take on a host.
//!
//! Load patterns answered: many callers that each send a legal body and stop just short of
//! its end, and many that ask for long answers and hardly read them. Memory is reserved
//! before bytes are read, in three shares that cannot take from each other. If a share
//! runs out, the slowest holders lose what they have, and if none is slow, what is new is
//! refused.

mod eviction;
mod pace;
mod share;

use std::net::IpAddr;

use base::{HashMap, Time};

use self::{eviction::Entry, pace::Pace};
pub use self::{
    pace::{LEAST_PACE, NEW_FOR, PRESSED_PACE},
    share::{Kind, Share, budget_bytes},
};

/// A reservation up to this size may use the whole of its share. Larger ones leave a part
/// of it, so that ordinary requests are served while large bodies fill the rest.
pub const SMALL_BYTES: usize = 16 * 1024;

/// Part of a share that only small reservations use, given as a divisor.
const SMALL_PART: usize = 8;

/// Identifies a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Reservation(u64);

/// Result of an attempt to reserve memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reserved {
    Granted(Reservation),
    /// The attempt may be repeated once these were released. They stay reserved until
    /// then, but are not named again.
    AfterEviction(Vec<Reservation>),
    Exhausted,
}

/// Memory that is reserved on a host.
#[derive(Debug)]
pub struct MemoryBudget {
    bytes: usize,
    /// Limit on the part of a share that one address holds.
    address_part: f64,
    held: [usize; Kind::ALL.len()],
    by_address: HashMap<(Share, IpAddr), usize>,
    entries: HashMap<Reservation, Entry>,
    next: u64,
}

impl MemoryBudget {
    /// Creates a budget of `bytes`, of each share of which one address holds at most
    /// `address_part`.
    pub fn new(bytes: usize, address_part: f64) -> MemoryBudget {
        MemoryBudget {
            bytes,
            address_part,
            held: [0; Kind::ALL.len()],
            by_address: HashMap::default(),
            entries: HashMap::default(),
            next: 0,
        }
    }

    pub fn held(&self, kind: Kind) -> usize {
        self.held[kind as usize]
    }

    /// Returns the size of a share.
    pub fn share_bytes(&self, share: Share) -> usize {
        share.of(self.bytes)
    }

    /// Returns whether so much may be reserved while nothing else is.
    pub fn can_ever_hold(&self, kind: Kind, bytes: usize) -> bool {
        bytes <= self.usable(kind.share(), bytes)
    }

    /// Reserves memory for a client at `owner`, or for this host itself.
    pub fn reserve(
        &mut self,
        kind: Kind,
        owner: Option<IpAddr>,
        bytes: usize,
        now: Time,
    ) -> Reserved {
        if let Err(short) = self.make_room(kind, owner, bytes, bytes, None, now) {
            return short;
        }
        let id = self.insert(kind, owner, now);
        self.resize(id, bytes);
        Reserved::Granted(id)
    }

    /// Returns a reservation of no memory, for a holder that limits itself.
    pub fn reserve_uncounted(&mut self, kind: Kind, now: Time) -> Reservation {
        self.insert(kind, None, now)
    }

    /// Makes a reservation larger, to `bytes` altogether.
    pub fn grow(&mut self, id: Reservation, bytes: usize, now: Time) -> Reserved {
        let Some(entry) = self.entries.get(&id) else { return Reserved::Exhausted };
        let (kind, owner, before) = (entry.kind, entry.owner, entry.bytes);
        if entry.is_evicted {
            return Reserved::Exhausted;
        }
        let more = bytes.saturating_sub(before);
        if let Err(short) = self.make_room(kind, owner, bytes, more, Some(id), now) {
            return short;
        }
        self.resize(id, before.max(bytes));
        Reserved::Granted(id)
    }

    /// Changes the size of a reservation whatever is left, as others are released for it.
    pub fn resize(&mut self, id: Reservation, bytes: usize) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let (kind, owner, before) = (entry.kind, entry.owner, entry.bytes);
        entry.bytes = bytes;
        self.add(kind, owner, bytes);
        self.subtract(kind, owner, before);
    }

    /// Records what the memory is needed for from now on. An answer is evicted only if
    /// `is_evictable`.
    pub fn change_kind(
        &mut self,
        id: Reservation,
        kind: Kind,
        owner: Option<IpAddr>,
        is_evictable: bool,
        now: Time,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let (old_kind, old_owner, bytes) = (entry.kind, entry.owner, entry.bytes);
        (entry.kind, entry.owner, entry.is_evictable) = (kind, owner, is_evictable);
        (entry.pace, entry.left) = (Pace::new(now), None);
        self.subtract(old_kind, old_owner, bytes);
        self.add(kind, owner, bytes);
    }

    /// Records that a client sent or read `moved` bytes, and how many are left.
    pub fn record_progress(
        &mut self,
        id: Reservation,
        moved: usize,
        left: Option<usize>,
        now: Time,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.pace.record(moved, now);
        entry.left = left;
    }

    pub fn release(&mut self, id: Reservation) {
        let Some(entry) = self.entries.remove(&id) else { return };
        self.subtract(entry.kind, entry.owner, entry.bytes);
    }

    /// Returns whether the holder must release its memory.
    pub fn is_evicted(&self, id: Reservation) -> bool {
        self.entries.get(&id).is_some_and(|it| it.is_evicted)
    }

    /// Evicts the transfers that were slower than [`LEAST_PACE`] for the last `grace`.
    pub fn evict_slow(&mut self, grace: std::time::Duration, now: Time) -> Vec<Reservation> {
        let mut slow = Vec::new();
        for (id, entry) in &mut self.entries {
            let is_held = entry.kind.is_transfer() && entry.is_evictable && !entry.is_evicted;
            if is_held && entry.pace.is_below_least(grace, now) {
                entry.is_evicted = true;
                slow.push(*id);
            }
        }
        slow.sort_unstable();
        slow
    }

    fn insert(&mut self, kind: Kind, owner: Option<IpAddr>, now: Time) -> Reservation {
        let id = Reservation(self.next);
        self.next += 1;
        let (pace, is_evictable) = (Pace::new(now), kind == Kind::Bodies);
        let entry =
            Entry { kind, owner, bytes: 0, left: None, pace, is_evictable, is_evicted: false };
        self.entries.insert(id, entry);
        id
    }

    /// Checks that a reservation that is then `all` bytes large may get `more`. If not,
    /// evicts slow ones if these hold enough.
    fn make_room(
        &mut self,
        kind: Kind,
        owner: Option<IpAddr>,
        all: usize,
        more: usize,
        own: Option<Reservation>,
        now: Time,
    ) -> Result<(), Reserved> {
        let share = kind.share();
        let usable = self.usable(share, all);
        let used: usize = share.kinds().iter().map(|it| self.held(*it)).sum();
        let lacking = (used + more).saturating_sub(usable);
        let of_address = owner.map_or(0, |it| self.of_address(share, it) + more);
        let address_limit = owner.map_or(usable, |_| (usable as f64 * self.address_part) as usize);
        let lacking_of_address = of_address.saturating_sub(address_limit);
        if lacking == 0 && lacking_of_address == 0 {
            return Ok(());
        }
        if all > usable.min(address_limit) {
            return Err(Reserved::Exhausted);
        }
        // Those of other addresses would not bring this one below its limit. What the share
        // then still lacks is evicted for the next attempt.
        let (needed, only) = match lacking_of_address {
            0 => (lacking, None),
            beyond => (beyond, owner),
        };
        let victims = self.victims(share, needed, only, own, now);
        if victims.is_empty() {
            return Err(Reserved::Exhausted);
        }
        for id in &victims {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.is_evicted = true;
            }
        }
        Err(Reserved::AfterEviction(victims))
    }

    /// Returns how much of a share may be held after a reservation of this size.
    fn usable(&self, share: Share, bytes: usize) -> usize {
        let size = self.share_bytes(share);
        if bytes <= SMALL_BYTES { size } else { size - size / SMALL_PART }
    }

    fn of_address(&self, share: Share, owner: IpAddr) -> usize {
        self.by_address.get(&(share, owner)).copied().unwrap_or(0)
    }

    fn add(&mut self, kind: Kind, owner: Option<IpAddr>, bytes: usize) {
        self.held[kind as usize] += bytes;
        if let Some(owner) = owner {
            *self.by_address.entry((kind.share(), owner)).or_default() += bytes;
        }
    }

    fn subtract(&mut self, kind: Kind, owner: Option<IpAddr>, bytes: usize) {
        self.held[kind as usize] -= bytes;
        let Some(key) = owner.map(|it| (kind.share(), it)) else { return };
        if let Some(held) = self.by_address.get_mut(&key) {
            *held -= bytes;
            if *held == 0 {
                self.by_address.remove(&key);
            }
        }
    }
}
