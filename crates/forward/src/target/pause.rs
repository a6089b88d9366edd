//! A time for which a target asks for no requests, as it turned one away.

use std::time::Duration;

use base::Time;

/// Limit on the time for which a target is left alone at its own request.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// Time after a pause over which hosts return in turn: a share of the pause, up to a limit.
const RETURN_SHARE: f64 = 0.25;
const MAX_RETURN_TIME: Duration = Duration::from_millis(500);

/// Spacing of requests after a pause, which limits nothing itself.
pub(super) const SPACING: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Pause {
    until: Option<Time>,
}

impl Pause {
    /// Records that the target asks for a pause; returns whether it is a new one. Hosts
    /// return one after the other, each at its own `phase` (0 to 1).
    pub(crate) fn ask(&mut self, pause: Duration, phase: f64, now: Time) -> bool {
        let pause = pause.min(MAX_PAUSE);
        let returning = pause.mul_f64(RETURN_SHARE).min(MAX_RETURN_TIME).mul_f64(phase);
        let is_new = self.until(now).is_none();
        self.until = self.until.max(Some(now + pause + returning));
        is_new
    }

    /// Returns the end of the pause, if it is not over.
    pub(crate) fn until(&self, now: Time) -> Option<Time> {
        self.until.filter(|it| *it > now)
    }
}
