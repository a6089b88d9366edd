//! One request crashes every target that runs it, and its caller sends it again
//! through other hosts, while harmless requests run at the same time. Guards
//! against too many crashes and against long refusals of harmless requests.

mod request_fleet;

use std::time::Duration;

use base::{HashMap, Reason, Time};
use policy::request::Verdict;
use rand::Rng;

use crate::request_fleet::{CRASHER, Faults, Fleet};

const DEFAULT_SEEDS: u64 = 8;
/// Approximate number of requests in the run of one seed.
const STEPS_PER_SEED: u64 = 8_000;
const HOSTS: usize = 8;
const RESENDS: usize = 20;
const MAX_DEATHS: usize = 3;
const MAX_REFUSAL: Duration = Duration::from_secs(1);
/// Number of distinct harmless requests, each sent repeatedly.
const HARMLESS_REQUESTS: u64 = 200;

struct Outcome {
    deaths: usize,
    longest_refusal: Duration,
}

/// Sends the crashing request [`RESENDS`] times, through the hosts in turn.
fn run(seed: u64) -> Outcome {
    let mut fleet = Fleet::new(seed, 2, HOSTS, Faults { straggles: true, ..Faults::default() });
    run_harmless_load(&mut fleet, Duration::from_millis(500), &mut HashMap::default());
    let mut refused = HashMap::default();
    let mut longest_refusal = Duration::ZERO;
    for i in 0..RESENDS {
        let id = fleet.start_query(i % HOSTS, CRASHER, true);
        while !fleet.verdicts.iter().any(|it| it.0 == id) {
            let longest = run_harmless_load(&mut fleet, Duration::from_millis(1), &mut refused);
            longest_refusal = longest_refusal.max(longest);
        }
        let pause = Duration::from_millis(fleet.rng.random_range(2..400));
        let longest = run_harmless_load(&mut fleet, pause, &mut refused);
        longest_refusal = longest_refusal.max(longest);
    }
    let longest = run_harmless_load(&mut fleet, Duration::from_secs(2), &mut refused);
    let still_refused = refused.values().map(|&since| fleet.now.since(since)).max();
    longest_refusal = longest_refusal.max(longest).max(still_refused.unwrap_or_default());
    Outcome { deaths: fleet.deaths.len(), longest_refusal }
}

/// Sends harmless requests for `time`, and refused ones again and again. Returns
/// the longest time from a request's first refusal to its next verdict other than
/// quarantine.
fn run_harmless_load(
    fleet: &mut Fleet,
    time: Duration,
    refused: &mut HashMap<u64, Time>,
) -> Duration {
    let until = fleet.now + time;
    let mut longest = Duration::ZERO;
    while fleet.now < until {
        let seen = fleet.verdicts.len();
        let host = fleet.rng.random_range(0..HOSTS);
        let harmless = fleet.rng.random_range(0..HARMLESS_REQUESTS);
        let again: Vec<_> =
            refused.keys().copied().filter(|_| fleet.rng.random_ratio(1, 20)).collect();
        again.into_iter().chain([harmless]).for_each(|it| {
            fleet.start_query(host, it, true);
        });
        let pause = Duration::from_micros(fleet.rng.random_range(0..2_000));
        fleet.run_until(until.min(fleet.now + pause));
        for (_, _, fingerprint, verdict) in &fleet.verdicts[seen..] {
            let is_quarantined =
                matches!(verdict, Verdict::Refused(it) if it.reason == Reason::Quarantined);
            if is_quarantined && *fingerprint != CRASHER {
                refused.entry(*fingerprint).or_insert(fleet.now);
            } else if let Some(since) = refused.remove(fingerprint) {
                longest = longest.max(fleet.now.since(since));
            }
        }
    }
    longest
}

#[test]
fn a_crashing_request_kills_few_targets_and_delays_harmless_ones_briefly() {
    let steps: Option<u64> = std::env::var("GODWITYARD_STEPS").ok().and_then(|it| it.parse().ok());
    let seeds = steps.map_or(DEFAULT_SEEDS, |it| it.div_ceil(STEPS_PER_SEED));
    for seed in 0..seeds {
        let Outcome { deaths, longest_refusal } = run(seed);
        assert!(deaths <= MAX_DEATHS, "{deaths} targets died, seed {seed}");
        assert!(longest_refusal <= MAX_REFUSAL, "refused for {longest_refusal:?}, seed {seed}");
    }
}

#[test]
fn lost_connections_to_live_targets_cause_only_brief_refusals() {
    for seed in 0..4 {
        let faults = Faults { lost_connections: 50, straggles: true, ..Faults::default() };
        let mut fleet = Fleet::new(seed, 2, HOSTS, faults);
        let mut refused = HashMap::default();
        let longest = run_harmless_load(&mut fleet, Duration::from_secs(4), &mut refused);
        let still = refused.values().map(|&since| fleet.now.since(since)).max();
        let longest = longest.max(still.unwrap_or_default());
        assert!(longest <= MAX_REFUSAL, "refused for {longest:?}, seed {seed}");
    }
}
