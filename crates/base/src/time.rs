//! Monotonic time as plain data, so that the pure crates take `now` as an
//! argument and randomised runs set it as they like.

use std::{
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

/// A reading of one process's monotonic clock, in microseconds since its
/// start. Readings of different processes are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    pub const ZERO: Time = Time(0);

    pub const fn from_micros(micros: u64) -> Self {
        Time(micros)
    }

    pub const fn from_millis(millis: u64) -> Self {
        Time(millis * 1_000)
    }

    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`, zero if that lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The moment `age` ago, the process's start at the earliest.
    pub fn ago(self, age: Duration) -> Time {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }

    /// Time left until `self`, zero if past.
    pub fn until(self, now: Time) -> Duration {
        self.since(now)
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub for Time {
    type Output = Duration;

    fn sub(self, earlier: Time) -> Duration {
        self.since(earlier)
    }
}
