//! How many requests usually wait at a target, by what its answers report.

use std::time::Duration;

use base::Time;

/// Half-life of the backlog while there are no reports.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Weight of the newest report in the moving average.
const GAIN: f64 = 0.25;

/// Moving average of the requests that wait. A single report is too old to tell the queue
/// of a slow target, which answers one host about once a second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backlog {
    waiting: f64,
    at: Time,
}

impl Backlog {
    pub(super) fn new(now: Time) -> Backlog {
        Backlog { waiting: 0.0, at: now }
    }

    /// Returns the number of requests that usually wait.
    pub(super) fn waiting(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.waiting * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    pub(super) fn record(&mut self, waiting: u32, now: Time) {
        let known = self.waiting(now);
        *self = Backlog { waiting: known + (f64::from(waiting) - known) * GAIN, at: now };
    }
}
