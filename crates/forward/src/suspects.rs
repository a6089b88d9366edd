//! Requests that are suspected of crashing the targets that run them.
//!
//! Load pattern answered: one request that brings down each target that
//! begins to run it, and whose caller sends it again, at any host. A request
//! in flight at a target when it crashed gets a strike; strikes that come
//! together count once, as a fault of many targets hits many innocent
//! requests at once; and a request that was answered is innocent.

use std::time::Duration;

use base::{HashMap, Time};

/// Identifies a request by its content, whoever sends it.
pub type Fingerprint = u64;

/// Strikes after which a request is turned away.
const MAX_STRIKES: usize = 3;

/// Strikes closer together than this count as one.
const STRIKE_SPACING: Duration = Duration::from_millis(250);

/// A strike, and the proof of innocence, count for this long.
const LIFE: Duration = Duration::from_secs(60);

/// Requests remembered.
const MAX_REMEMBERED: usize = 1_024;

/// Strikes told to other hosts at once.
const MAX_TOLD: usize = 32;

/// A strike as other hosts are told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    pub request: Fingerprint,
    /// Time since it happened.
    pub age: Duration,
}

/// The requests under suspicion.
#[derive(Debug)]
#[derive(Default)]
pub struct Suspects {
    strikes: HashMap<Fingerprint, Vec<Time>>,
    innocent: HashMap<Fingerprint, Time>,
}

impl Suspects {
    /// A target crashed while it had the request; true if it counted.
    pub fn record_strike(&mut self, request: Fingerprint, at: Time) -> bool {
        if self.innocent.contains_key(&request) || self.is_full(request) {
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

    /// A target answered the request.
    pub fn record_answer(&mut self, request: Fingerprint, now: Time) {
        if self.strikes.remove(&request).is_some() {
            self.innocent.insert(request, now);
        }
    }

    pub fn is_blocked(&self, request: Fingerprint) -> bool {
        self.strikes.get(&request).is_some_and(|it| it.len() >= MAX_STRIKES)
    }

    /// The latest strikes, for other hosts.
    pub fn recent_strikes(&self, now: Time) -> Vec<Strike> {
        let all = self.strikes.iter().flat_map(|(request, strikes)| {
            strikes.iter().map(|at| Strike { request: *request, age: now.since(*at) })
        });
        let mut recent: Vec<Strike> = all.collect();
        recent.sort_unstable_by_key(|it| it.age);
        recent.truncate(MAX_TOLD);
        recent
    }

    /// Takes what another host told.
    pub fn merge(&mut self, strikes: &[Strike], now: Time) {
        for strike in strikes.iter().filter(|it| it.age < LIFE) {
            self.record_strike(strike.request, now.ago(strike.age));
        }
    }

    pub fn remove_expired(&mut self, now: Time) {
        self.innocent.retain(|_, at| now.since(*at) < LIFE);
        self.strikes.retain(|_, strikes| {
            strikes.retain(|at| now.since(*at) < LIFE);
            !strikes.is_empty()
        });
    }

    fn is_full(&self, request: Fingerprint) -> bool {
        self.strikes.len() >= MAX_REMEMBERED && !self.strikes.contains_key(&request)
    }
}
