//! The process's monotonic clock as the pure crates read it.
//!
//! It goes on while the machine is suspended: callers' deadlines pass then too.
//! The runtime's clock, which timers use, stands still in that time.

use std::time::Duration;

use base::Time;
use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::Instant;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        Clock { start: reading() }
    }

    pub fn now(&self) -> Time {
        Time::ZERO + reading().saturating_sub(self.start)
    }

    /// When the runtime's clock will read as this one at `time`.
    pub fn instant(&self, time: Time) -> Instant {
        Instant::now() + time.until(self.now())
    }
}

fn reading() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(tv_sec).unwrap_or_default();
    Duration::from_secs(secs) + Duration::from_nanos(u64::try_from(tv_nsec).unwrap_or_default())
}
