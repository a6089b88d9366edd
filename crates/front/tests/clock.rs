//! The clock that measures deadlines.

use std::time::Duration;

use front::Clock;
use tokio::time::Instant;

/// Timers are set from the clock, so the two must advance at the same rate while
/// the host is not suspended, independently of the time of day.
#[test]
fn timers_agree_with_the_clock() {
    let clock = Clock::start();
    let mut last = clock.now();
    for ms in [0, 1, 50, 60_000] {
        let wait = Duration::from_millis(ms);
        let before = Instant::now();
        let at = clock.instant(clock.now() + wait);
        assert!(at >= before && at <= Instant::now() + wait);
        assert!(clock.now() >= last);
        last = clock.now();
    }
}

#[test]
fn a_time_that_has_passed_is_due_now() {
    let clock = Clock::start();
    let past = clock.now();
    std::thread::sleep(Duration::from_millis(2));
    assert!(clock.instant(past) <= Instant::now());
}

/// Guards against old state that a host takes for no older than its own process.
#[test]
fn ages_reach_back_to_before_the_start() {
    let clock = Clock::start();
    let (now, age) = (clock.now(), Duration::from_secs(3_600));
    assert_eq!(now.since(now.ago(age)), age);
    assert!(clock.uptime() < age);
}
