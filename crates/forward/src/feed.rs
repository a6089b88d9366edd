//! How far the changes of a feed are known.
//!
//! A change is as old as the gap in which it was missed, not as young as the answer
//! that tells of it.
//!
//! Load pattern answered: targets that leave while a host has lost the source for
//! moments, entries that lapse while the source is away for all, and a source that is
//! restored from an older copy, so that it gives out revisions for the second time.

use std::{fmt, net::SocketAddr, time::Duration};

use base::Time;

use crate::readers::Origin;

/// A call answered sooner than this did not wait for its changes: they may have
/// been made at any time since the previous answer.
const IMMEDIATE_ANSWER: Duration = Duration::from_millis(400);

/// Entries that lapsed while the source was away are back this long after its return,
/// if their targets live.
const LAPSED_FOR: Duration = Duration::from_millis(2_000);

/// Where a host has its knowledge of a feed from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Provenance {
    #[default]
    Unknown,
    /// The program of this host itself, which knows of each change at once.
    Local,
    Source,
    /// A host that reads the source for others.
    Reader(SocketAddr),
    /// The state of another host.
    Peer(SocketAddr),
}

impl From<Origin> for Provenance {
    fn from(origin: Origin) -> Provenance {
        match origin {
            Origin::Source => Provenance::Source,
            Origin::Host(address) => Provenance::Reader(address),
            Origin::None => Provenance::Unknown,
        }
    }
}

impl fmt::Display for Provenance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Provenance::Unknown => f.write_str("unknown"),
            Provenance::Local => f.write_str("local"),
            Provenance::Source => f.write_str("source"),
            Provenance::Reader(address) => write!(f, "reader {address}"),
            Provenance::Peer(address) => write!(f, "peer {address}"),
        }
    }
}

/// A call for changes that its origin holds until there are any.
#[derive(Clone, Copy, Debug)]
struct Called {
    at: Time,
    /// How late answers are.
    delay: Duration,
}

/// A place in the history of a source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Rises each time that the source is restored from an older copy. `None` if the source,
    /// or a host of an earlier build, doesn't state it.
    pub epoch: Option<u64>,
    /// Rises with each change, but falls when the source is restored.
    pub revision: u64,
}

impl Position {
    /// Returns whether this is earlier than `other`.
    fn is_before(self, other: Position) -> bool {
        match (self.epoch, other.epoch) {
            (Some(own), Some(other)) if own != other => own < other,
            // The source began to state it.
            (Some(_), None) => false,
            _ => self.revision < other.revision,
        }
    }

    /// Returns whether the source was restored from an older copy since it was at `earlier`.
    pub fn is_restored_since(self, earlier: Position) -> bool {
        match (earlier.epoch, self.epoch) {
            (Some(before), Some(after)) => before != after,
            _ => self.revision < earlier.revision,
        }
    }

    /// Returns whether changes that lead to `next` are all those after this position: none
    /// was lost in between, as far as their origin says.
    pub fn leads_to(self, next: Position) -> bool {
        next.epoch.is_none() || next.epoch == self.epoch
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.epoch {
            Some(epoch) => write!(f, "{} of epoch {epoch}", self.revision),
            None => write!(f, "{}", self.revision),
        }
    }
}

/// How far a complete state of a feed reaches, as far as its origin says so.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reach {
    /// Position of the source that the state includes.
    pub position: Option<Position>,
    /// Time until which the state includes all changes.
    pub known_until: Option<Time>,
}

/// Progress of a host in a feed.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedProgress {
    /// Position of the source from which on changes lead to its state.
    position: Option<Position>,
    /// All changes until then are known. An answer is needed to know: a call that waits
    /// may be one that is never answered.
    proven_until: Option<Time>,
    /// Who proved it.
    provenance: Provenance,
    /// The call for changes that waits.
    called: Option<Called>,
    /// Time at which the last call failed. The source returned no earlier than shortly
    /// before.
    failed_at: Option<Time>,
    /// The last two signs that the host runs.
    ran_at: [Option<Time>; 2],
}

impl FeedProgress {
    /// Records that a call for changes is made, which is held for `wait` at most by an
    /// origin whose answers are late by `delay`.
    pub fn record_call(&mut self, now: Time, wait: Duration, delay: Duration) {
        // One that is held for less shows nothing of when its changes were made.
        self.called = (wait >= IMMEDIATE_ANSWER).then_some(Called { at: now, delay });
    }

    /// Records that the host runs. What has come in until then is read before the next
    /// sign.
    pub fn record_running(&mut self, now: Time) {
        self.ran_at = [self.ran_at[1], Some(now)];
    }

    /// Returns the time before which an answer, read now, was not sent. It may have come
    /// late, and a host that gets no processor for a while reads it late.
    pub fn sent_after(&self, now: Time) -> Time {
        let came_in_after = self.ran_at[0].unwrap_or(now);
        self.called.map_or(came_in_after, |it| came_in_after.ago(it.delay).max(it.at))
    }

    /// Records that all changes made until `until` are known.
    pub fn record_complete(&mut self, until: Time, provenance: Provenance) {
        if self.proven_until <= Some(until) {
            self.proven_until = Some(until);
            self.provenance = provenance;
        }
        self.called = None;
    }

    /// Records that the program of this host sets the state itself.
    pub fn record_local(&mut self) {
        self.provenance = Provenance::Local;
    }

    /// Records that a call is given up without an answer, for another origin.
    pub fn record_end(&mut self) {
        self.called = None;
    }

    /// Records that a call ended without an answer.
    pub fn record_failure(&mut self, now: Time) {
        self.called = None;
        self.failed_at = Some(now);
    }

    /// Returns the time until which all changes are known, if any are.
    pub fn proven_until(&self) -> Option<Time> {
        self.proven_until
    }

    /// Returns who proved that all changes until then are known.
    pub fn provenance(&self) -> Provenance {
        self.provenance
    }

    /// Returns the time since the source last proved, maybe through others, that all
    /// changes are known.
    pub fn age(&self, now: Time) -> Option<Duration> {
        if self.provenance == Provenance::Local {
            return Some(Duration::ZERO);
        }
        self.proven_until.map(|it| now.since(it))
    }

    /// Returns the position from which on changes are to be followed; `None` if the feed has
    /// to be read as a whole.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Records the position that is known now.
    pub fn record_position(&mut self, position: Position) {
        self.position = Some(position);
    }

    /// Records that changes after the own position no longer lead to the source's state, or
    /// are not to be had.
    pub fn forget_position(&mut self) {
        self.position = None;
    }

    /// Returns whether state that reaches so far may be later than what is known here. Times
    /// are compared only if a position is missing: an origin proves progress in steps, and
    /// one that knows the same may have proved it somewhat earlier.
    pub fn is_news(&self, state: Reach) -> bool {
        match (self.position, state.position) {
            (Some(own), Some(other)) => !other.is_before(own),
            _ => state.known_until.is_none() || state.known_until >= self.proven_until,
        }
    }

    /// Returns the largest age that a change may have which an answer, read now, tells
    /// of; `None` if that is more than `limit`. The answer to a call that waited tells of
    /// changes since the call. Any part of that time may be network delay.
    pub fn max_age(&self, limit: Duration, now: Time) -> Option<Duration> {
        let sent_after = self.sent_after(now);
        let has_waited = |it: &Called| sent_after.since(it.at) >= IMMEDIATE_ANSWER;
        let waited = self.called.filter(has_waited).map(|it| it.at);
        let known_until = waited.max(self.proven_until);
        let age = now.since(known_until?);
        (age <= limit).then_some(age)
    }

    /// Returns the time since which a target counts as leaving that a complete list, read
    /// now, lacks. Leaving targets are used for `leaving_for`. After a gap that is longer,
    /// the target has left long ago, or its entry lapsed and will be back soon.
    pub fn missing_since(&self, leaving_for: Duration, now: Time) -> Time {
        match self.max_age(leaving_for, now) {
            Some(age) => now.ago(age),
            None => {
                let lost_at = self.failed_at.max(self.proven_until).unwrap_or(now);
                lost_at.ago(leaving_for.saturating_sub(LAPSED_FOR))
            }
        }
    }
}
