//! Requests that were answered in full not long ago, in bounded memory.

use std::time::Duration;

use base::{HashSet, Time};

/// Age at which the older half is forgotten.
const GENERATION_TIME: Duration = Duration::from_secs(300);
const MAX_GENERATION: usize = 8_192;

/// Fingerprints in two generations; the older one is dropped as a whole.
#[derive(Clone, Debug, Default)]
pub(super) struct Answered {
    young: HashSet<u64>,
    old: HashSet<u64>,
    began: Time,
}

impl Answered {
    pub(super) fn insert(&mut self, now: Time, fingerprint: u64) {
        let is_aged = now.since(self.began) >= GENERATION_TIME;
        if is_aged || self.young.len() >= MAX_GENERATION {
            self.old = std::mem::take(&mut self.young);
            self.began = now;
        }
        self.young.insert(fingerprint);
    }

    pub(super) fn contains(&self, fingerprint: u64) -> bool {
        self.young.contains(&fingerprint) || self.old.contains(&fingerprint)
    }
}
