//! Monotonic clock of the process.

use std::{
    sync::LazyLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use base::{Incarnation, Time};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the time since the clock was first used in this process.
pub fn now() -> Time {
    Time::ZERO + START.elapsed()
}

/// Converts `time` to an `Instant`, for timers of the runtime.
pub fn to_instant(time: Time) -> Instant {
    *START + time.since(Time::ZERO)
}

/// Returns an incarnation above those of earlier starts, provided that the wall
/// clock does not go back between two starts of a host.
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
