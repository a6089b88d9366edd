//! The process's monotonic clock as the pure crates read it.

use std::time::Duration;

use base::Time;
use tokio::time::Instant;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.as_micros())
    }
}
