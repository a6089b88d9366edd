//! Randomised runs of whole requests. Guards against false or mixed answers while
//! parts are late, lost, duplicated, swapped between requests or from another
//! snapshot, targets and owners fail, and snapshots are published.

mod request_fleet;

use std::time::Duration;

use base::Time;
use policy::request::Verdict;
use rand::Rng;

use crate::request_fleet::{Faults, Fleet};

const HOSTS: usize = 4;
const DEFAULT_STEPS: u64 = 8_000;

fn steps() -> u64 {
    let steps = std::env::var("GODWITYARD_STEPS").ok().and_then(|it| it.parse().ok());
    steps.unwrap_or(DEFAULT_STEPS)
}

fn run(seed: u64, shards: u32, non_idempotent: f64, faults: Faults) -> Fleet {
    let mut fleet = Fleet::new(seed, shards, HOSTS, faults);
    for i in 0..steps() {
        let host = fleet.rng.random_range(0..HOSTS);
        let is_idempotent = !fleet.rng.random_bool(non_idempotent);
        fleet.start_query(host, i, is_idempotent);
        let pause = Duration::from_micros(fleet.rng.random_range(0..4_000));
        fleet.run_until(fleet.now + pause);
    }
    fleet.run_until(fleet.now + Duration::from_secs(2));
    assert_eq!(fleet.verdicts.len() as u64, steps(), "a request without a verdict");
    fleet
}

fn answered(fleet: &Fleet) -> usize {
    fleet.verdicts.iter().filter(|it| matches!(it.3, Verdict::Answer(_))).count()
}

/// Asserts that at least 99.9 % of the requests were answered.
fn assert_answered(fleet: &Fleet) {
    let (answered, all) = (answered(fleet), fleet.verdicts.len());
    assert!(answered as f64 >= 0.999 * all as f64, "{answered} of {all}");
}

#[test]
fn answers_are_complete_and_correct_under_every_fault() {
    for (seed, shards) in [(1, 1), (2, 2), (3, 9)] {
        let fleet = run(
            seed,
            shards,
            0.3,
            Faults {
                mutations: 50,
                lost_connections: 20,
                publishes: true,
                skips: true,
                losses: true,
                straggles: true,
                ..Faults::default()
            },
        );
        let answered = answered(&fleet);
        assert!(answered > fleet.verdicts.len() / 2, "{answered} of {}", fleet.verdicts.len());
    }
}

#[test]
fn a_healthy_fleet_answers_everything_within_the_budget_of_extra_load() {
    let fleet = run(4, 9, 0.0, Faults { straggles: true, ..Faults::default() });
    assert_answered(&fleet);
    let count = |kind| fleet.sends.get(kind).copied().unwrap_or(0) as f64;
    let extra = count("hedge") + count("retry") + count("restart");
    let initial = (HOSTS * 2) as f64;
    assert!(extra <= 0.05 * count("first") + initial, "{:?}", fleet.sends);
    assert!(count("hedge") > 0.0);
}

#[test]
fn moving_to_new_snapshots_answers_everything() {
    let fleet = run(5, 2, 0.0, Faults { publishes: true, straggles: true, ..Faults::default() });
    assert_answered(&fleet);
    assert!(fleet.now > Time::from_millis(1_000));
}
