//! Budgets of extra sends, and requests that crash targets.

use std::time::Duration;

use base::Time;
use forward::{
    budget::{RetryBudget, RetryLimits},
    suspects::Suspects,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 52.0 };

/// Each host knows only its own requests. The sum of their extra sends in any
/// window must still stay within the ratio and the slack.
#[test]
fn extra_sends_of_all_hosts_stay_within_the_budget_of_every_window() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = rng.random_range(1..12);
        let mut budgets: Vec<RetryBudget> = (0..hosts).map(|_| RetryBudget::default()).collect();
        let mut requests = Vec::new();
        let mut extra = Vec::new();
        for ms in 0..40_000_u64 {
            let now = Time::from_millis(ms);
            for budget in &mut budgets {
                if rng.random_bool(0.02) {
                    budget.record_request(now, &LIMITS);
                    requests.push(ms);
                }
                if rng.random_bool(0.05) && budget.try_take(now, &LIMITS, 1.0 / hosts as f64) {
                    extra.push(ms);
                }
            }
        }
        for start in (0..30_000).step_by(250) {
            let inside = |it: &&u64| (start..start + 10_000).contains(*it);
            let allowed = 0.2 * requests.iter().filter(inside).count() as f64 + 52.0;
            let taken = extra.iter().filter(inside).count() as f64;
            assert!(taken <= allowed, "seed {seed} at {start} ms: {taken} of {allowed}");
        }
    }
}

#[test]
fn an_idle_service_has_its_share_of_the_slack() {
    let mut budget = RetryBudget::default();
    let taken = (0..100).filter(|_| budget.try_take(Time::ZERO, &LIMITS, 0.25)).count();
    assert!((10..=13).contains(&taken), "{taken}");
}

#[test]
fn a_request_that_crashed_three_targets_is_blocked_at_all_hosts() {
    let mut first = Suspects::default();
    let mut second = Suspects::default();
    for i in 0..3 {
        assert!(!first.is_blocked(7));
        first.record_strike(7, Time::from_millis(1_000 * i));
    }
    let now = Time::from_millis(3_000);
    assert!(first.is_blocked(7));
    second.merge(&first.recent_strikes(now), now);
    assert!(second.is_blocked(7));
}

#[test]
fn strikes_received_twice_count_once() {
    let mut first = Suspects::default();
    let mut second = Suspects::default();
    first.record_strike(7, Time::from_millis(1_000));
    for ms in [1_500, 2_000, 2_500] {
        let now = Time::from_millis(ms);
        second.merge(&first.recent_strikes(now), now);
    }
    assert_eq!(second.recent_strikes(Time::from_millis(3_000)).len(), 1);
}

#[test]
fn a_crash_of_many_targets_at_once_is_one_strike() {
    let mut suspects = Suspects::default();
    for ms in 0..20 {
        suspects.record_strike(7, Time::from_millis(ms));
    }
    assert!(!suspects.is_blocked(7));
}

#[test]
fn a_request_that_was_answered_is_cleared_of_suspicion() {
    let mut suspects = Suspects::default();
    suspects.record_strike(7, Time::from_millis(0));
    suspects.record_strike(7, Time::from_millis(1_000));
    suspects.record_answer(7, Time::from_millis(1_500));
    suspects.record_strike(7, Time::from_millis(2_000));
    assert!(!suspects.is_blocked(7));
}

#[test]
fn suspicion_expires() {
    let mut suspects = Suspects::default();
    for i in 0..3 {
        suspects.record_strike(7, Time::from_millis(1_000 * i));
    }
    suspects.remove_expired(Time::from_millis(70_000));
    assert!(!suspects.is_blocked(7));
}
