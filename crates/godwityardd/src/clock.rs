//! The process's one monotonic clock.

use std::{
    sync::LazyLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use base::{Incarnation, Time};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Time since the first call in this process.
pub fn now() -> Time {
    Time::ZERO + START.elapsed()
}

/// When to wake for `time`, on the runtime's clock.
pub fn to_instant(time: Time) -> Instant {
    *START + time.since(Time::ZERO)
}

/// An incarnation above those of earlier starts, as long as the wall clock
/// does not go back between two starts of one host.
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
