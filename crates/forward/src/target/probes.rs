//! When a target that is down is tried again.

use std::time::Duration;

use base::Time;

/// Pause before the first trial, and the longest.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(1_600);

/// A target that is down gets no requests until a trial shows that it can be
/// reached. One that is down again soon is tried less often.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trials {
    next: Option<Time>,
    pause: Duration,
    /// Pause of the next time that it is down.
    first_pause: Duration,
}

impl Trials {
    pub(super) fn new() -> Trials {
        Trials { next: None, pause: MIN_PAUSE, first_pause: MIN_PAUSE }
    }

    pub(super) fn is_down(&self) -> bool {
        self.next.is_some()
    }

    pub(super) fn take_down(&mut self, now: Time) {
        if self.next.is_none() {
            self.pause = self.first_pause;
            self.next = Some(now + self.pause);
            self.first_pause = (self.first_pause * 2).min(MAX_PAUSE);
        }
    }

    /// Whether a trial is due; the next one is later then.
    pub(super) fn take(&mut self, now: Time) -> bool {
        if self.next.is_none_or(|next| now < next) {
            return false;
        }
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.next = Some(now + self.pause);
        true
    }

    /// It is up; false if it was before.
    pub(super) fn end(&mut self) -> bool {
        self.next.take().is_some()
    }

    /// It answered as it should.
    pub(super) fn forgive(&mut self) {
        *self = Trials::new();
    }
}
