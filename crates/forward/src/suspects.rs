//! Requests that are suspected of crashing the targets that run them.
//!
//! Load pattern answered: one request that crashes each target that runs it, and
//! whose caller retries it, at any host. A request in flight at a target when it
//! crashed gets a strike. Strikes close together count once, as a fault of many
//! targets affects many unrelated requests at once. A request that was answered
//! is cleared of suspicion.

use std::time::Duration;

use base::{HashMap, Time};

/// Identifies a request by its content, regardless of its caller.
pub type Fingerprint = u64;

/// Number of strikes from which a request is rejected.
const MAX_STRIKES: usize = 3;

/// Minimum time between two strikes; closer ones count as one.
const STRIKE_SPACING: Duration = Duration::from_millis(250);

/// Time after which strikes and clearances expire.
const RETENTION: Duration = Duration::from_secs(60);

/// Limit of requests with strikes that are tracked.
const MAX_TRACKED_REQUESTS: usize = 1_024;

/// Limit of strikes in one digest to other hosts.
const MAX_SHARED_STRIKES: usize = 32;

/// A strike as it is gossiped to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    pub request: Fingerprint,
    /// Time since the crash.
    pub age: Duration,
}

/// The requests under suspicion.
#[derive(Debug)]
#[derive(Default)]
pub struct Suspects {
    strikes: HashMap<Fingerprint, Vec<Time>>,
    cleared: HashMap<Fingerprint, Time>,
}

impl Suspects {
    /// Records that a target crashed with the request in flight. Returns whether the
    /// strike counts.
    pub fn record_strike(&mut self, request: Fingerprint, at: Time) -> bool {
        if self.cleared.contains_key(&request) || self.is_full(request) {
            return false;
        }
        let strikes = self.strikes.entry(request).or_default();
        let is_near = |it: &Time| at.since(*it).max(it.since(at)) < STRIKE_SPACING;
        if strikes.iter().any(is_near) {
            return false;
        }
        strikes.push(at);
        true
    }

    /// Records that a target answered the request, which clears it of suspicion.
    pub fn record_answer(&mut self, request: Fingerprint, now: Time) {
        if self.strikes.remove(&request).is_some() {
            self.cleared.insert(request, now);
        }
    }

    /// Returns whether the request is to be rejected.
    pub fn is_blocked(&self, request: Fingerprint) -> bool {
        self.strikes.get(&request).is_some_and(|it| it.len() >= MAX_STRIKES)
    }

    /// Returns the latest strikes, to be gossiped to other hosts.
    pub fn recent_strikes(&self, now: Time) -> Vec<Strike> {
        let all = self.strikes.iter().flat_map(|(request, strikes)| {
            strikes.iter().map(|at| Strike { request: *request, age: now.since(*at) })
        });
        let mut recent: Vec<Strike> = all.collect();
        recent.sort_unstable_by_key(|it| it.age);
        recent.truncate(MAX_SHARED_STRIKES);
        recent
    }

    /// Merges the strikes in another host's digest.
    pub fn merge(&mut self, strikes: &[Strike], now: Time) {
        for strike in strikes.iter().filter(|it| it.age < RETENTION) {
            self.record_strike(strike.request, now.ago(strike.age));
        }
    }

    pub fn remove_expired(&mut self, now: Time) {
        self.cleared.retain(|_, at| now.since(*at) < RETENTION);
        self.strikes.retain(|_, strikes| {
            strikes.retain(|at| now.since(*at) < RETENTION);
            !strikes.is_empty()
        });
    }

    fn is_full(&self, request: Fingerprint) -> bool {
        self.strikes.len() >= MAX_TRACKED_REQUESTS && !self.strikes.contains_key(&request)
    }
}
