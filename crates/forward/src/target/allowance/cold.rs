//! Requests of this host to a target that is cold, each second.

use std::time::Duration;

use base::Time;

/// Time over which requests are counted.
const SECOND: Duration = Duration::from_secs(1);

/// Minimum rate of one host's requests to a cold target, and the longest time
/// between two.
const MIN_PER_SECOND: f64 = 0.01;
const MAX_SPACING: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
pub(super) struct ColdRate {
    until: Time,
    /// Start of the current second, and the number of sends in it.
    second: (Time, u32),
    last_send: Option<Time>,
}

impl ColdRate {
    pub(super) fn new(until: Time, now: Time) -> ColdRate {
        ColdRate { until, second: (now, 0), last_send: None }
    }

    pub(super) fn until(&self) -> Time {
        self.until
    }

    /// Records that the target is cold until `until` at least.
    pub(super) fn extend(&mut self, until: Time) {
        self.until = self.until.max(until);
    }

    /// Returns the time from which this host may send its next request, if the target is
    /// cold. `per_second` is this host's part.
    pub(super) fn next_send(&self, per_second: f64, now: Time) -> Option<Time> {
        if now >= self.until {
            return None;
        }
        if per_second < 1.0 {
            let spacing = Duration::from_secs_f64(1.0 / per_second.max(MIN_PER_SECOND));
            return self.last_send.map(|at| at + spacing.min(MAX_SPACING));
        }
        let (start, sends) = self.second;
        let is_used = now.since(start) < SECOND && f64::from(sends) >= per_second.floor();
        is_used.then(|| start + SECOND)
    }

    pub(super) fn record_send(&mut self, now: Time) {
        self.last_send = Some(now);
        if now.since(self.second.0) >= SECOND {
            self.second = (now, 0);
        }
        self.second.1 += 1;
    }
}
