//! Which requests a host takes during a planned stop.
//!
//! Load pattern answered: hosts are stopped one after the other, under load. The
//! balancer goes on sending callers until it has noticed that a host is not ready, and
//! for longer while too few others are. What is taken has to be answered before the
//! process ends; the rest is refused at once, while its callers have time for another
//! host.

use std::time::Duration;

use base::Time;

/// Shortest time for which all requests are taken, but at most half of the limit. The
/// balancer needs it to detect that this host is not ready.
const MIN_SERVE_TIME: Duration = Duration::from_millis(3_000);

/// Time reserved at the end for the last answers. New connections are accepted at most
/// until twice this time is left.
const RESERVED_TIME: Duration = Duration::from_millis(900);

/// Part of the reserved time that is left for the process to end. Until then it sends
/// answers, also if it runs late.
const EXIT_TIME: Duration = Duration::from_millis(300);

/// A planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    begun: Time,
    /// Limit on the time of the stop.
    limit: Duration,
}

impl Stop {
    pub fn new(begun: Time, limit: Duration) -> Stop {
        Stop { begun, limit }
    }

    /// Returns the time until which all requests are taken.
    pub fn serves_until(&self) -> Time {
        self.begun + MIN_SERVE_TIME.min(self.limit / 2)
    }

    /// Returns the time until which new connections are accepted.
    pub fn accepts_until(&self) -> Time {
        self.begun + self.limit.saturating_sub(RESERVED_TIME * 2)
    }

    /// Returns the time by which requests end.
    pub fn ends_at(&self) -> Time {
        self.begun + self.limit.saturating_sub(RESERVED_TIME)
    }

    /// Returns the time until which the last answers are sent.
    pub fn exits_at(&self) -> Time {
        self.begun + self.limit.saturating_sub(EXIT_TIME)
    }

    /// Returns whether a request is taken that comes in now and ends within `time_limit`
    /// in any case.
    pub fn takes(&self, time_limit: Duration, now: Time) -> bool {
        now < self.serves_until() || now + time_limit <= self.ends_at()
    }
}
