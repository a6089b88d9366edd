//! Monotonic clock of the process, read in the time type of the pure crates.
//!
//! This clock advances while the host is suspended, because callers' deadlines
//! pass then too. The runtime's clock, which drives timers, does not.

use std::time::Duration;

use base::Time;
use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::Instant;

/// Reading at the start of the process. State that a host learns may be older than its
/// process; such ages reach back to before the start.
const START: Time = Time::from_millis(24 * 3_600 * 1_000);

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        Clock { start: since_boot() }
    }

    pub fn now(&self) -> Time {
        START + self.uptime()
    }

    /// Returns the time since the start.
    pub fn uptime(&self) -> Duration {
        since_boot().saturating_sub(self.start)
    }

    /// Returns the runtime's instant for `time`, or the current instant if
    /// `time` has passed.
    pub fn instant(&self, time: Time) -> Instant {
        Instant::now() + time.until(self.now())
    }
}

fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(tv_sec).unwrap_or_default();
    Duration::from_secs(secs) + Duration::from_nanos(u64::try_from(tv_nsec).unwrap_or_default())
}
