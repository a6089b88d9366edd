//! When a host counts as late to get a configuration that others have.

use std::time::Duration;

use base::Time;
use forward::VersionLag;

const BOUND: Duration = Duration::from_secs(4);

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// Guards against hosts on an old configuration whose origin doesn't tell of the next one.
#[test]
fn a_host_that_others_are_ahead_of_for_long_is_late() {
    let mut lag = VersionLag::new(BOUND);
    lag.record(5, 5, at(0));
    assert!(!lag.is_late(at(60_000)));
    lag.record(5, 6, at(60_000));
    assert!(!lag.is_late(at(60_900)));
    assert!(lag.is_late(at(61_000)));
    // Those that are ahead may be out of sight for a moment.
    lag.record(5, 4, at(61_000));
    assert!(lag.is_late(at(61_000)));
    lag.record(6, 6, at(61_300));
    assert!(!lag.is_late(at(99_000)));
}

/// Versions in quick succession: the host is always one behind, but never for long.
#[test]
fn a_host_that_keeps_up_is_not_late() {
    let mut lag = VersionLag::new(BOUND);
    for version in 1..100 {
        let now = version * 330;
        lag.record(version - 1, version, at(now));
        assert!(!lag.is_late(at(now)), "version {version}");
    }
}

/// Guards against hosts that go back to an old version, as callers see it: a request was
/// passed on and handled by a later one.
#[test]
fn a_host_whose_callers_were_shown_a_later_version_is_late_at_once() {
    let mut lag = VersionLag::new(BOUND);
    lag.record(5, 5, at(0));
    lag.record_shown(5);
    assert!(!lag.is_late(at(0)));
    lag.record_shown(6);
    assert!(lag.is_late(at(0)));
    lag.record_shown(4);
    lag.record(5, 5, at(300));
    assert!(lag.is_late(at(300)));
    lag.record(6, 6, at(600));
    assert!(!lag.is_late(at(600)));
}
