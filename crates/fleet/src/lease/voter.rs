//! What this host promised to others.

use std::time::Duration;

use base::{HashMap, HostName, Incarnation, Time};

use super::{PROMISE_DURATION, VOTER_CHANGE_WAIT};
use crate::{
    assignment::GroupId,
    message::{Answer, Claim, Right},
};

/// A promise that ended is remembered for this long, to tell whether the next
/// holder follows an orderly hand-over.
const MEMORY: Duration = Duration::from_secs(60);

#[derive(Debug)]
pub(crate) struct Voter {
    promises: HashMap<Right, Promise>,
    /// Voters of each group as last seen, and since when.
    views: HashMap<GroupId, View>,
    next_cleaning: Time,
}

#[derive(Debug)]
struct Promise {
    holder: HostName,
    incarnation: Incarnation,
    seq: u64,
    until: Time,
    /// The holder gave it up while it held it.
    was_released: bool,
}

#[derive(Debug)]
struct View {
    voters: u64,
    /// New promises wait until then.
    wait_until: Time,
    last_used: Time,
}

/// The host that claims.
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
            next_cleaning: now + MEMORY,
        }
    }

    /// Answers a claim. `voters` is the hash of the voters as this host sees
    /// them, None if it is not one; `changed` is when any voters last changed.
    pub(crate) fn decide(
        &mut self,
        now: Time,
        claimant: Claimant<'_>,
        claim: &Claim,
        voters: Option<u64>,
        changed: Time,
    ) -> Answer {
        if voters != Some(claim.voters) {
            return Answer::OtherVoters;
        }
        let wait_until = self.wait_until(now, claim, changed);
        let mut was_released = false;
        if let Some(promise) = self.promises.get(&claim.right) {
            let is_same = promise.is_to(claimant);
            let is_late = is_same && claimant.seq < promise.seq;
            let is_kept = promise.until > now;
            if is_late || (is_kept && !is_same) {
                return Answer::Held;
            }
            was_released = is_same || promise.was_released;
            if is_kept {
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

    /// Until when this host may not know of a promise that binds the voters.
    fn wait_until(&mut self, now: Time, claim: &Claim, changed: Time) -> Time {
        let wait_until = changed + VOTER_CHANGE_WAIT;
        let new = View { voters: claim.voters, wait_until, last_used: now };
        let view = self.views.entry(claim.right.group).or_insert(new);
        if view.voters != claim.voters {
            view.voters = claim.voters;
            view.wait_until = now + VOTER_CHANGE_WAIT;
        }
        view.last_used = now;
        view.wait_until
    }

    /// Ends promises that their holder gave up.
    pub(crate) fn release(&mut self, now: Time, holder: Claimant<'_>, rights: &[Right]) {
        for right in rights {
            let Some(promise) = self.promises.get_mut(right) else { continue };
            if !promise.is_to(holder) || promise.seq > holder.seq {
                continue;
            }
            // A release that comes after the promise ended says nothing about
            // who came since.
            promise.was_released |= promise.until > now;
            promise.seq = holder.seq;
            promise.until = now;
        }
    }

    /// Drops what is long over.
    pub(crate) fn expire(&mut self, now: Time) {
        if now < self.next_cleaning {
            return;
        }
        self.next_cleaning = now + MEMORY;
        self.promises.retain(|_, it| it.until + MEMORY > now);
        // A view not asked for since the memory began is as good as new, but
        // forgetting it must not cut a wait short.
        self.views.retain(|_, it| it.wait_until > now || it.last_used + MEMORY > now);
    }
}

impl Promise {
    fn is_to(&self, claimant: Claimant<'_>) -> bool {
        self.holder == *claimant.host && self.incarnation == claimant.incarnation
    }
}
