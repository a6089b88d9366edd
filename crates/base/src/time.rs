//! Monotonic time as plain data, so that crates without I/O take `now` as an
//! argument and randomised runs can set it freely.

use std::{
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

/// A reading of one process's monotonic clock, in microseconds. Readings of
/// different processes are not comparable.
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

    /// Returns the time since `earlier`, or zero if `earlier` is after `self`.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `age` before `self`, but no earlier than [`Time::ZERO`].
    pub fn ago(self, age: Duration) -> Time {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }

    /// Returns the time from `now` until `self`, or zero if `self` has passed.
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
