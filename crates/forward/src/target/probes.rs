//! Schedule of the connection probes of a target that is down.

use std::time::Duration;

use base::Time;

/// Shortest and longest time between two probes.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
const MAX_INTERVAL: Duration = Duration::from_millis(1_600);

/// Exponential backoff of probes. A target that is down gets no requests until a
/// probe connects. The first interval doubles with each outage until the target
/// answers a request, so that one that keeps failing is probed less often.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probes {
    /// Time of the next probe; `None` while the target is up.
    next: Option<Time>,
    interval: Duration,
    /// First interval of the next outage.
    first_interval: Duration,
}

impl Probes {
    pub(super) fn new() -> Probes {
        Probes { next: None, interval: MIN_INTERVAL, first_interval: MIN_INTERVAL }
    }

    pub(super) fn is_down(&self) -> bool {
        self.next.is_some()
    }

    pub(super) fn mark_down(&mut self, now: Time) {
        if self.next.is_none() {
            self.interval = self.first_interval;
            self.next = Some(now + self.interval);
            self.first_interval = (self.first_interval * 2).min(MAX_INTERVAL);
        }
    }

    /// Returns whether a probe is due, and schedules the next one if so.
    pub(super) fn take_due(&mut self, now: Time) -> bool {
        if self.next.is_none_or(|next| now < next) {
            return false;
        }
        self.interval = (self.interval * 2).min(MAX_INTERVAL);
        self.next = Some(now + self.interval);
        true
    }

    /// Marks the target as up; returns whether it was down.
    pub(super) fn mark_up(&mut self) -> bool {
        self.next.take().is_some()
    }

    /// Marks the target as up and resets the backoff.
    pub(super) fn reset(&mut self) {
        *self = Probes::new();
    }
}
