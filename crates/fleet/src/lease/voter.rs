//! Promises that this host made as a voter.

use std::time::Duration;

use base::{HashMap, HostName, Incarnation, Time};

use super::{PROMISE_DURATION, VOTER_CHANGE_WAIT};
use crate::{
    assignment::GroupId,
    message::{Answer, Claim, Right},
};

/// Time for which an expired promise is kept, to determine whether the previous
/// holder released the right.
const PROMISE_RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug)]
pub(crate) struct Voter {
    promises: HashMap<Right, Promise>,
    /// Voter set of each group as of the last claim.
    views: HashMap<GroupId, View>,
    next_cleanup: Time,
}

#[derive(Debug)]
struct Promise {
    holder: HostName,
    incarnation: Incarnation,
    seq: u64,
    until: Time,
    /// The holder released the right before the promise expired.
    was_released: bool,
}

#[derive(Debug)]
struct View {
    voters: u64,
    /// No new promises are made before this time.
    wait_until: Time,
    last_used: Time,
}

/// The host that claims or releases rights, and the message's sequence number.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claimant<'a> {
    pub(crate) host: &'a HostName,
    pub(crate) incarnation: Incarnation,
    pub(crate) seq: u64,
}

impl Voter {
    pub(crate) fn new(now: Time) -> Voter {
        Voter {
            promises: HashMap::default(),
            views: HashMap::default(),
            next_cleanup: now + PROMISE_RETENTION,
        }
    }

    /// Decides a claim. `voters` is the hash of the voter set as this host knows
    /// it, `None` if this host is not in it; `voters_changed_at` is when the
    /// electorate of any domain last changed.
    pub(crate) fn decide(
        &mut self,
        now: Time,
        claimant: Claimant<'_>,
        claim: &Claim,
        voters: Option<u64>,
        voters_changed_at: Time,
    ) -> Answer {
        if voters != Some(claim.voters) {
            return Answer::OtherVoters;
        }
        let wait_until = self.wait_until(now, claim, voters_changed_at);
        let mut was_released = false;
        if let Some(promise) = self.promises.get(&claim.right) {
            let is_same = promise.is_held_by(claimant);
            let is_late = is_same && claimant.seq < promise.seq;
            let is_active = promise.until > now;
            if is_late || (is_active && !is_same) {
                return Answer::Held;
            }
            was_released = is_same || promise.was_released;
            if is_active {
                return self.promise(now, claimant, claim.right, was_released);
            }
        }
        if now < wait_until {
            return Answer::Waiting;
        }
        self.promise(now, claimant, claim.right, was_released)
    }

    fn promise(
        &mut self,
        now: Time,
        claimant: Claimant<'_>,
        right: Right,
        was_released: bool,
    ) -> Answer {
        let promise = Promise {
            holder: claimant.host.clone(),
            incarnation: claimant.incarnation,
            seq: claimant.seq,
            until: now + PROMISE_DURATION,
            was_released: false,
        };
        self.promises.insert(right, promise);
        Answer::Granted { was_released }
    }

    /// Returns the time until which unknown promises of other voters may be
    /// valid.
    fn wait_until(&mut self, now: Time, claim: &Claim, voters_changed_at: Time) -> Time {
        let wait_until = voters_changed_at + VOTER_CHANGE_WAIT;
        let new = View { voters: claim.voters, wait_until, last_used: now };
        let view = self.views.entry(claim.right.group).or_insert(new);
        if view.voters != claim.voters {
            view.voters = claim.voters;
            view.wait_until = now + VOTER_CHANGE_WAIT;
        }
        view.last_used = now;
        view.wait_until
    }

    /// Ends the promises of rights that their holder released.
    pub(crate) fn release(&mut self, now: Time, holder: Claimant<'_>, rights: &[Right]) {
        for right in rights {
            let Some(promise) = self.promises.get_mut(right) else { continue };
            if !promise.is_held_by(holder) || promise.seq > holder.seq {
                continue;
            }
            // A release received after the promise expired does not show that
            // no other host held the right since.
            promise.was_released |= promise.until > now;
            promise.seq = holder.seq;
            promise.until = now;
        }
    }

    /// Removes promises and views that are no longer needed.
    pub(crate) fn expire(&mut self, now: Time) {
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now + PROMISE_RETENTION;
        self.promises.retain(|_, it| it.until + PROMISE_RETENTION > now);
        // A view unused for the retention time can be rebuilt, but removing it
        // must not shorten a wait.
        self.views.retain(|_, it| it.wait_until > now || it.last_used + PROMISE_RETENTION > now);
    }
}

impl Promise {
    fn is_held_by(&self, claimant: Claimant<'_>) -> bool {
        self.holder == *claimant.host && self.incarnation == claimant.incarnation
    }
}
