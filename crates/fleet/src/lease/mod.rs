//! Leases: rights to use a group of targets, granted by voters for a few seconds
//! at a time.
//!
//! A group has two rights, primary and standby, whose shares of each target
//! are disjoint and within its limits together. A voter promises a right to one
//! host at a time; a host holds the right while the promises of a majority of
//! the voters last. Two majorities of the same voter set share a voter, so two
//! hosts never hold the same right, whatever their views of the membership. A
//! grant is valid only between hosts that agree on the voter set.
//!
//! Fallback: a host that receives answers from fewer than a majority of the
//! voters for some seconds, because the others failed or are unreachable at the
//! same time, may use one slot and one connection of each target for which it
//! is the assigned primary. No right covers that connection; the slot may
//! exceed the target's limit if the other hosts are running after all and reach
//! the target too.
//!
//! The protocol needs no synchronized clocks: the holder counts a lease from
//! when it *sent* the claim, the voter counts its promise from when it
//! *received* the claim, and the promise is longer by more than clocks may
//! drift in that time. A voter that starts, or whose voter set changes, first
//! waits until promises that it may not know of have expired.

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

/// Validity of a lease, counted from when the claim was sent.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);

/// Validity of a voter's promise, counted from when the claim was received:
/// the lease, a clock drift of one twentieth, and the time that the last
/// dispatched request may take.
pub const PROMISE_DURATION: Duration = Duration::from_millis(3_500);

/// Time for which a voter makes no new promise after its start or after a
/// change of the voters: promises of other voters must have expired, and all
/// voters must have learned of the change.
pub const VOTER_CHANGE_WAIT: Duration = Duration::from_millis(4_600);

/// Time between two claims that renew a held right.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time between two claims of a right that is not held yet.
pub const CLAIM_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which a primary may use a borrowed share, counted from its request.
pub const BORROW_DURATION: Duration = Duration::from_millis(1_500);

/// Time for which a standby leaves a lent slot unused.
pub const LEND_DURATION: Duration = Duration::from_millis(1_700);

/// Time between two requests to borrow the standby's share.
pub const BORROW_INTERVAL: Duration = Duration::from_millis(700);

/// Time between the last permitted dispatch under a right and its release, so
/// that requests in flight can end.
pub const DRAIN_DURATION: Duration = Duration::from_millis(300);

/// Time without answers from a majority of the voters after which a host uses
/// the fallback.
pub const FALLBACK_AFTER: Duration = Duration::from_secs(5);

/// Validity of a fallback share.
pub const FALLBACK_DURATION: Duration = Duration::from_secs(1);

/// Slots, and likewise connections, that the fallback allows per target.
pub const FALLBACK_SLOTS: u32 = 1;
