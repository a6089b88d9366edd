//! How fast a target answers relative to the expected latency.

use std::time::Duration;

use base::Time;

/// Half-life of the slowdown while there are no samples.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Weight of the newest sample in the moving average.
const GAIN: f64 = 0.25;

/// Bounds of the slowdown.
const MIN_SLOWDOWN: f64 = 0.3;
const MAX_SLOWDOWN: f64 = 50.0;

/// Maximum slowdown assumed of a target that was down and is reachable again.
const MAX_RECOVERED_SLOWDOWN: f64 = 1.5;

/// Moving average of latency relative to the expected one. It decays to 1 while
/// there are no samples, so that a slow target is tried again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    slowdown: f64,
    at: Time,
}

impl Speed {
    pub(super) fn new(now: Time) -> Speed {
        Speed { slowdown: 1.0, at: now }
    }

    pub(super) fn slowdown(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        let weight = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        1.0 + (self.slowdown - 1.0) * weight
    }

    /// Records that an answer took `ratio` times the expected latency.
    pub(super) fn record(&mut self, ratio: f64, now: Time) {
        let known = self.slowdown(now);
        let next = known + (ratio.min(MAX_SLOWDOWN) - known) * GAIN;
        *self = Speed { slowdown: next.max(MIN_SLOWDOWN), at: now };
    }

    /// Limits the slowdown of a target that is reachable again.
    pub(super) fn cap_after_recovery(&mut self, now: Time) {
        *self = Speed { slowdown: self.slowdown.min(MAX_RECOVERED_SLOWDOWN), at: now };
    }
}
