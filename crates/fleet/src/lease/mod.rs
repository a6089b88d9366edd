//! Leases: the right to use a group of targets, granted by voters for a few
//! seconds.
//!
//! A group has two rights, primary and standby, whose shares of each target
//! are disjoint and together its limits. A voter promises a right to one host
//! at a time; a host holds it while a majority of the voters' promises to it
//! last. Two majorities of the same voters share a voter, so no two hosts hold
//! one right, whatever they believe of each other. A grant counts only between
//! hosts that agree on the voters.
//!
//! A host that hears too few voters for some seconds, because the others are
//! dead or out of reach at once, may use one slot and one connection of each
//! target that it is first for. The connection is one that no right covers;
//! the slot may come on top of the limit if the others live after all and
//! reach the target too.
//!
//! Time makes it safe without shared clocks: the holder counts a grant from
//! when it *sent* the claim, the voter from when it *received* it, and the
//! voter's promise is longer by more than clocks may drift apart. A voter that
//! starts, or that learns of other voters, first waits out the promises that
//! it may not know of.

mod holder;
mod share;
#[cfg(test)]
mod tests;
mod voter;

use std::time::Duration;

pub(crate) use self::{
    holder::{Holder, Lease},
    share::{Allowance, allowance},
    voter::{Claimant, Voter},
};

/// A right lasts this long after the claim was sent.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);

/// A voter keeps a promise for this long: the lease, the drift of clocks (a
/// twentieth) and the time that a request sent last may take.
pub const PROMISE_DURATION: Duration = Duration::from_millis(3_500);

/// A voter gives no new promise for this long after it started or after the
/// voters changed: others' promises, and the time in which all voters learn of
/// the change, must be over.
pub const VOTER_CHANGE_WAIT: Duration = Duration::from_millis(4_600);

/// Time between two claims of a right that is held.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time between two claims of a right that is wanted.
pub const CLAIM_INTERVAL: Duration = Duration::from_millis(300);

/// A primary may use the standby's slot for this long after it asked.
pub const BORROW_DURATION: Duration = Duration::from_millis(1_500);

/// A standby does not use a lent slot for this long.
pub const LEND_DURATION: Duration = Duration::from_millis(1_700);

/// Time between two requests for a loan.
pub const BORROW_INTERVAL: Duration = Duration::from_millis(700);

/// A right is given up this long after its last use was allowed, so that what
/// was sent can end.
pub const DRAIN_DURATION: Duration = Duration::from_millis(300);

/// A host that heard fewer than a majority of voters for this long uses what
/// the last resort allows.
pub const FALLBACK_AFTER: Duration = Duration::from_secs(5);

/// The last resort is good for this long at a time.
pub const FALLBACK_DURATION: Duration = Duration::from_secs(1);

/// Requests at once, and connections, that the last resort allows.
pub const FALLBACK_SLOTS: u32 = 1;
