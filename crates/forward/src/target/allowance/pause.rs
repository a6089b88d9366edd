//! A time for which a target asks for no requests, as it turned one away.
//!
//! Load pattern answered: a target in need that names a time after which it expects to
//! have recovered, while callers of all hosts wait for its end. Hosts return one after
//! the other, each at a time of its own, and each lets its requests in flight grow by
//! degrees, so that what waited doesn't arrive at once.

use std::time::Duration;

use base::Time;

/// Limit on the time for which a target is left alone at its own request, so that one that
/// names a time by mistake is asked again some day.
pub const MAX_PAUSE: Duration = Duration::from_secs(24 * 3_600);

/// Time after a pause over which hosts return in turn, and then the time in which each of
/// them returns to all that it has to send: a share of the pause, up to a limit.
const RETURN_SHARE: f64 = 0.25;
const MAX_RETURN_TIME: Duration = Duration::from_millis(500);

/// Number of times that the requests in flight double while a host returns.
const DOUBLINGS: u32 = 5;

/// Spacing of requests after a pause, which limits nothing itself.
pub(super) const SPACING: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Pause {
    until: Option<Time>,
    /// Time at which it was first asked for.
    asked_at: Time,
    /// Time after its end in which this host returns.
    returns_in: Duration,
}

impl Pause {
    /// Records that the target asks for a pause; returns whether it is a new one. Hosts
    /// return one after the other, each at its own `phase` (0 to 1).
    pub(crate) fn ask(&mut self, pause: Duration, phase: f64, now: Time) -> bool {
        let pause = pause.min(MAX_PAUSE);
        let returns_in = pause.mul_f64(RETURN_SHARE).min(MAX_RETURN_TIME);
        let until = Some(now + pause + returns_in.mul_f64(phase));
        let is_new = self.until(now).is_none();
        let asked_at = if is_new { now } else { self.asked_at };
        if is_new || until > self.until {
            *self = Pause { until, asked_at, returns_in };
        }
        is_new
    }

    /// Returns the end of the pause, if it is not over.
    pub(crate) fn until(&self, now: Time) -> Option<Time> {
        self.until.filter(|it| *it > now)
    }

    /// Returns the time since which it is asked for, and its end, if it is not over.
    pub(crate) fn span(&self, now: Time) -> Option<(Time, Time)> {
        self.until(now).map(|until| (self.asked_at, until))
    }

    /// Returns the most requests that this host may have in flight, if it has not returned
    /// in full after the pause.
    pub(super) fn window(&self, now: Time) -> Option<usize> {
        let returned = now.since(self.until.filter(|it| *it <= now)?);
        let doublings = (returned * DOUBLINGS).div_duration_f64(self.returns_in);
        (returned < self.returns_in).then(|| 1 << doublings as u32)
    }
}
