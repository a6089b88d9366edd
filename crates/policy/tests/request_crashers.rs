//! One request crashes every target that runs it, and its caller sends it
//! again through other hosts, while innocent requests run beside it.

mod request_fleet;

use std::time::Duration;

use base::{HashMap, Reason, Time};
use policy::request::Verdict;
use rand::Rng;

use crate::request_fleet::{CRASHER, Faults, Fleet};

const DEFAULT_SEEDS: u64 = 8;
/// Requests in the run of one seed, about.
const STEPS_PER_SEED: u64 = 8_000;
const HOSTS: usize = 8;
const RESENDS: usize = 20;
const MAX_DEATHS: usize = 3;
const MAX_REFUSAL: Duration = Duration::from_secs(1);
/// Distinct innocent requests, each asked for again and again.
const INNOCENTS: u64 = 200;

struct Outcome {
    deaths: usize,
    longest_refusal: Duration,
}

/// Resends the crashing request 20 times, each through another host.
fn run(seed: u64) -> Outcome {
    let mut fleet = Fleet::new(seed, 2, HOSTS, Faults { straggles: true, ..Faults::default() });
    innocents(&mut fleet, Duration::from_millis(500), &mut HashMap::default());
    let mut refused = HashMap::default();
    let mut longest_refusal = Duration::ZERO;
    for i in 0..RESENDS {
        let id = fleet.ask(i % HOSTS, CRASHER, true);
        while !fleet.verdicts.iter().any(|it| it.0 == id) {
            let longest = innocents(&mut fleet, Duration::from_millis(1), &mut refused);
            longest_refusal = longest_refusal.max(longest);
        }
        let pause = Duration::from_millis(fleet.rng.random_range(2..400));
        let longest = innocents(&mut fleet, pause, &mut refused);
        longest_refusal = longest_refusal.max(longest);
    }
    let longest = innocents(&mut fleet, Duration::from_secs(2), &mut refused);
    let still_refused = refused.values().map(|&since| fleet.now.since(since)).max();
    longest_refusal = longest_refusal.max(longest).max(still_refused.unwrap_or_default());
    Outcome { deaths: fleet.deaths.len(), longest_refusal }
}

/// Innocent load for a while; the longest time that one of them was refused
/// for, from its first refusal to its next answer. A refused one is asked for
/// again and again.
fn innocents(fleet: &mut Fleet, time: Duration, refused: &mut HashMap<u64, Time>) -> Duration {
    let until = fleet.now + time;
    let mut longest = Duration::ZERO;
    while fleet.now < until {
        let seen = fleet.verdicts.len();
        let host = fleet.rng.random_range(0..HOSTS);
        let innocent = fleet.rng.random_range(0..INNOCENTS);
        let again: Vec<_> =
            refused.keys().copied().filter(|_| fleet.rng.random_ratio(1, 20)).collect();
        again.into_iter().chain([innocent]).for_each(|it| {
            fleet.ask(host, it, true);
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
fn a_crashing_request_brings_down_few_targets_and_condemns_no_innocent() {
    let steps: Option<u64> = std::env::var("GODWITYARD_STEPS").ok().and_then(|it| it.parse().ok());
    let seeds = steps.map_or(DEFAULT_SEEDS, |it| it.div_ceil(STEPS_PER_SEED));
    for seed in 0..seeds {
        let Outcome { deaths, longest_refusal } = run(seed);
        assert!(deaths <= MAX_DEATHS, "{deaths} targets died, seed {seed}");
        assert!(longest_refusal <= MAX_REFUSAL, "refused for {longest_refusal:?}, seed {seed}");
    }
}

#[test]
fn connections_lost_by_living_targets_condemn_nobody() {
    for seed in 0..4 {
        let faults = Faults { lost_connections: 50, straggles: true, ..Faults::default() };
        let mut fleet = Fleet::new(seed, 2, HOSTS, faults);
        let mut refused = HashMap::default();
        let longest = innocents(&mut fleet, Duration::from_secs(4), &mut refused);
        let still = refused.values().map(|&since| fleet.now.since(since)).max();
        let longest = longest.max(still.unwrap_or_default());
        assert!(longest <= MAX_REFUSAL, "refused for {longest:?}, seed {seed}");
    }
}
