//! How slow a target is for longer than a pause.

use std::time::Duration;

use base::Time;

/// Time within which the average follows a change. Targets pause for 100 to 250 ms: the
/// answers that follow a pause are all late at once, but say nothing of the next ones.
const TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Average, weighted by time, of latency relative to the expected one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sustained {
    slowdown: f64,
    at: Time,
}

impl Sustained {
    pub(super) fn new(now: Time) -> Sustained {
        Sustained { slowdown: 1.0, at: now }
    }

    pub(super) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    pub(super) fn record(&mut self, ratio: f64, now: Time) {
        let age = now.since(self.at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.slowdown += (ratio - self.slowdown) * (1.0 - (-age).exp());
        self.at = now;
    }
}
