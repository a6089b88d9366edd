//! Proof that a host's configuration was the newest one, which is needed to accept keys
//! where the revocation of keys is strict.
//!
//! The proof is the time at which a call was made that was answered completely: an answer
//! that comes late, or is read late, says nothing of changes after its call. Who takes over
//! the proof of another host adds the age that this one stated to the time since it was
//! asked, so that no proof becomes younger on the way.
//!
//! Load pattern answered: keys are removed while some hosts hear nothing of the source, as
//! they are cut off or frozen, follow a host that is, or learn their state from one.

use std::time::Duration;

use base::Time;

use super::CustomerBounds;

/// Part of the time in which a key is to be revoked for which a call for changes of the
/// configuration is held. A reader's and its follower's call, as much again until each is
/// answered, and the choice of another reader fit into that time.
const HOLD_SHARE: f64 = 0.1;

/// Part of that time after which a call for changes has failed, so that another origin can
/// prove the configuration before the time is over.
const FAILURE_SHARE: f64 = 0.25;

/// Age of a proof, as part of that time, from which on a host asks peers for theirs. Those
/// that are answered by their origin never get there.
const ASK_SHARE: f64 = 0.5;

/// When the configuration in force was last proven to be the newest one.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreshnessProof {
    proven_at: Option<Time>,
    /// Whether the program of this host sets the configuration itself.
    is_local: bool,
}

/// What a host says of its proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedProof {
    /// Time since no configuration later than `version` was published.
    pub age: Duration,
    pub version: u64,
}

impl FreshnessProof {
    /// Records a complete answer to a call that was made at `called`. Its origin had its
    /// proof `age` before the answer, zero for the source itself.
    pub fn record(&mut self, called: Time, age: Duration) {
        self.proven_at = self.proven_at.max(Some(called.ago(age)));
        self.is_local = false;
    }

    /// Records that the program of this host sets the configuration itself.
    pub fn record_local(&mut self) {
        self.is_local = true;
    }

    /// Returns the age of the proof, if there is one.
    pub fn age(&self, now: Time) -> Option<Duration> {
        if self.is_local {
            return Some(Duration::ZERO);
        }
        self.proven_at.map(|it| now.since(it))
    }
}

/// What a host knows when it decides whether it should get new callers.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessView {
    /// Age of the own proof.
    pub own: Option<Duration>,
    /// Age of the youngest proof that another host stated.
    pub elsewhere: Option<Duration>,
    /// Whether there are hosts that this one hears nothing of, which may have a proof.
    pub misses_hosts: bool,
}

impl CustomerBounds {
    /// Returns whether a request with a key may be sent by a configuration whose proof is of
    /// this age.
    pub fn allows_keys(&self, age: Option<Duration>) -> bool {
        !self.is_revocation_strict || age.is_some_and(|it| it < self.revocation_due)
    }

    /// Returns whether callers with keys are better served elsewhere. If no host has a proof
    /// that is young enough, they are not, and those without keys are served here.
    pub fn should_leave_callers(&self, view: FreshnessView) -> bool {
        let may_be_served_elsewhere = view.misses_hosts || self.allows_keys(view.elsewhere);
        !self.allows_keys(view.own) && may_be_served_elsewhere
    }

    /// Returns the limit on the time for which a call for changes of the configuration is
    /// held, if there is one.
    pub fn hold_limit(&self) -> Option<Duration> {
        self.is_revocation_strict.then(|| self.revocation_due.mul_f64(HOLD_SHARE))
    }

    /// Returns the limit on the time after which such a call has failed, if there is one.
    pub fn failure_limit(&self) -> Option<Duration> {
        self.is_revocation_strict.then(|| self.revocation_due.mul_f64(FAILURE_SHARE))
    }

    /// Returns whether peers are to be asked for their proof.
    pub fn needs_proof_of_peer(&self, age: Option<Duration>) -> bool {
        let limit = self.revocation_due.mul_f64(ASK_SHARE);
        self.is_revocation_strict && age.is_none_or(|it| it >= limit)
    }
}
