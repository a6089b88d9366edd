//! Bounded set of requests that were recently answered in full.

use std::time::Duration;

use base::{HashSet, Time};

/// Age at which the current generation replaces the previous one.
const GENERATION_LIFETIME: Duration = Duration::from_secs(300);
/// Size at which the current generation replaces the previous one.
const MAX_GENERATION_LEN: usize = 8_192;

/// Fingerprints in two generations; the older one is dropped as a whole.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredSet {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    started: Time,
}

impl AnsweredSet {
    pub(super) fn insert(&mut self, now: Time, fingerprint: u64) {
        let is_expired = now.since(self.started) >= GENERATION_LIFETIME;
        if is_expired || self.current.len() >= MAX_GENERATION_LEN {
            self.previous = std::mem::take(&mut self.current);
            self.started = now;
        }
        self.current.insert(fingerprint);
    }

    pub(super) fn contains(&self, fingerprint: u64) -> bool {
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }
}
