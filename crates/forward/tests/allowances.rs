//! Targets that are cold, state a limit and ask for a pause, one after the other and at
//! once, on virtual time.

mod fixture;

use std::time::Duration;

use fixture::{Fixture, at, report};
use forward::{Placement, TargetReport, target::SendResult};

const HOSTS: usize = 3;

/// Requests per second of a cold target; the fixture allows 1.5 times as many and five
/// more.
const WARMUP_RATE: f64 = 6.0;
const COLD_BOUND: usize = 14;

/// Requests per second that the target states, and the most in any second: a time to send that
/// is not used is kept for a second.
const LIMIT: f64 = 6.0;
const LIMIT_BOUND: usize = 2 * LIMIT as usize;

/// Times in milliseconds: the target is cold at first, states a limit, asks for a pause while
/// it is both, is free, and is cold again while the limit ends.
const COLD_UNTIL: u64 = 8_000;
const LIMIT_FROM: u64 = 3_000;
const PAUSE_FROM: u64 = 5_000;
const PAUSE_UNTIL: u64 = 7_000;
const LIMIT_ENDS: u64 = 12_000;
const END: u64 = 20_000;

/// Returns when requests of all hosts, which have callers all the time, arrive.
fn replay() -> Vec<u64> {
    let mut arrivals = Vec::new();
    for host in 0..HOSTS {
        let mut it = Fixture::new(Some(WARMUP_RATE));
        it.targets.set_hosts(HOSTS);
        it.targets.set_phase((host + 1) as f64 / HOSTS as f64);
        let cold_for = Duration::from_millis(COLD_UNTIL);
        let target =
            it.targets.apply_report(TargetReport { cold_for, ..report("one", "a") }, at(0));
        for ms in 0..END {
            let now = at(ms);
            it.targets.expire_limits(now);
            if ms == PAUSE_FROM {
                let pause = Duration::from_millis(PAUSE_UNTIL - PAUSE_FROM);
                it.targets.record_pause(target, pause, now);
            }
            if ms == LIMIT_FROM {
                it.targets.record_limit(target, LIMIT, now);
            }
            let Placement::Send(send) = it.place(now) else { continue };
            arrivals.push(ms);
            if ms >= LIMIT_ENDS {
                it.targets.record_no_limit(&send, now);
            }
            it.targets.finish_send(&send, now, SendResult::Answered);
        }
    }
    arrivals
}

/// Guards against one of the three being forgotten beside the others.
#[test]
fn a_target_that_is_cold_limited_and_in_a_pause_gets_what_all_of_them_allow() {
    let arrivals = replay();
    let count = |from: u64, to: u64| arrivals.iter().filter(|it| (from..to).contains(it)).count();
    for from in 0..=COLD_UNTIL - 1_000 {
        let sent = count(from, from + 1_000);
        assert!(sent <= COLD_BOUND, "{sent} in the second from {from} ms");
    }
    for from in LIMIT_FROM + 1_000..=LIMIT_ENDS - 1_000 {
        let sent = count(from, from + 1_000);
        assert!(sent <= LIMIT_BOUND, "{sent} in the second from {from} ms");
    }
    assert_eq!(count(PAUSE_FROM, PAUSE_UNTIL), 0);
    assert!(count(0, LIMIT_FROM) >= 3 * HOSTS, "a cold target is used");
    assert!(count(PAUSE_UNTIL, LIMIT_ENDS) > 15, "a limited target is used");
    assert!(count(19_000, END) > 500, "a free target is used");
}
