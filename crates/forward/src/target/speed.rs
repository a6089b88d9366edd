//! How fast a target answers, beside what is usual.

use std::time::Duration;

use base::Time;

/// An old slowdown is halved in this time without news.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Weight of the newest answer.
const GAIN: f64 = 0.25;

/// Least and longest slowdown that is believed.
const MIN_SLOWDOWN: f64 = 0.3;
const MAX_SLOWDOWN: f64 = 50.0;

/// Most that is assumed of a target that was down and can be reached again.
const REACHED_SLOWDOWN: f64 = 1.5;

/// The time that answers take, as a multiple of what is expected. It returns
/// to 1 while nothing is heard, so that a slow target is tried again.
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

    /// An answer took `ratio` times as long as expected.
    pub(super) fn note(&mut self, ratio: f64, now: Time) {
        let known = self.slowdown(now);
        let next = known + (ratio.min(MAX_SLOWDOWN) - known) * GAIN;
        *self = Speed { slowdown: next.max(MIN_SLOWDOWN), at: now };
    }

    pub(super) fn note_reached(&mut self, now: Time) {
        *self = Speed { slowdown: self.slowdown.min(REACHED_SLOWDOWN), at: now };
    }
}
