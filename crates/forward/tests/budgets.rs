//! Budgets of extra sends, and requests that crash targets.

mod fixture;

use std::time::Duration;

use base::Time;
use fixture::{Fixture, at, limits};
use forward::{
    budget::{RetryBudget, RetryLimits},
    placement::Limits,
    suspects::Suspects,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 52.0 };

const HOSTS: usize = 6;

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

/// A fleet of hosts that are replaced one after the other while targets turn requests away.
struct ReplacedHosts {
    hosts: Vec<Fixture>,
    requests: Vec<u64>,
    extra: Vec<u64>,
}

/// Time in which a host is gone.
const GONE_MS: u64 = 3_600;

impl ReplacedHosts {
    fn host(now: Time) -> Fixture {
        let mut it = Fixture::new(None);
        it.targets.set_limits(Limits { retry: LIMITS, ..limits() });
        it.targets.set_hosts(HOSTS);
        it.targets.set_started(now);
        it
    }

    /// Sends requests of all callers, which go to the hosts that are there, and as many extra
    /// sends as hosts allow.
    fn play(rng: &mut SmallRng) -> ReplacedHosts {
        let hosts = (0..HOSTS).map(|_| ReplacedHosts::host(at(0))).collect();
        let mut world = ReplacedHosts { hosts, requests: Vec::new(), extra: Vec::new() };
        let gone_at: Vec<u64> = (0..HOSTS as u64 / 2).map(|it| 36_000 + it * 1_300).collect();
        for ms in 0..60_000 {
            for (host, gone) in gone_at.iter().enumerate() {
                if ms == gone + GONE_MS {
                    world.hosts[host] = ReplacedHosts::host(at(ms));
                }
            }
            let is_there = |host: usize| {
                gone_at.get(host).is_none_or(|gone| !(*gone..gone + GONE_MS).contains(&ms))
            };
            let there: Vec<usize> = (0..HOSTS).filter(|it| is_there(*it)).collect();
            if rng.random_bool(0.095) {
                let it = &mut world.hosts[there[rng.random_range(0..there.len())]];
                it.targets.record_request(it.service, at(ms));
                world.requests.push(ms);
            }
            // Targets turn requests away from then on.
            for host in there.iter().filter(|_| ms >= 35_000) {
                let it = &mut world.hosts[*host];
                if rng.random_bool(0.05) && it.targets.take_retry(it.service, at(ms)) {
                    world.extra.push(ms);
                }
            }
        }
        world
    }
}

/// Guards against a budget that is spent twice: by a host that goes, and by those that have
/// its callers and its place after it.
#[test]
fn hosts_that_are_replaced_stay_within_the_budget_of_every_window() {
    for seed in 0..10 {
        let world = ReplacedHosts::play(&mut SmallRng::seed_from_u64(seed));
        let count = |times: &[u64], from: u64| {
            times.iter().filter(|it| (from..from + 10_000).contains(*it)).count() as f64
        };
        for start in (10_000..50_000).step_by(250) {
            let windows = [start, start - 5_000, start - 10_000];
            let requests = windows.map(|it| count(&world.requests, it));
            let allowed = 0.2 * requests.into_iter().fold(0.0, f64::max) + 52.0;
            let taken = count(&world.extra, start);
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
