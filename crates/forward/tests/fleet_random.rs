//! Randomized simulation of several hosts, their targets, their callers and the
//! source of reports in one process, on virtual time, with faults that overlap and
//! repeat. Checks what callers and targets observe, over all hosts.
//!
//! `GODWITYARD_STEPS` sets the simulated milliseconds of all seeds together, divided
//! equally, `GODWITYARD_SEED` a single seed to run (for one seed's share of the time),
//! `GODWITYARD_EVENTS` the minimum number of events.

mod fleet;

use fleet::World;

const DEFAULT_STEPS_MS: u64 = 400_000;
const SEEDS: u64 = 20;

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|it| it.parse().ok())
}

#[test]
fn invariants_hold_over_all_hosts_under_random_faults() {
    let steps = env_number("GODWITYARD_STEPS").unwrap_or(DEFAULT_STEPS_MS);
    let seeds = match env_number("GODWITYARD_SEED") {
        Some(seed) => seed..=seed,
        None => 1..=SEEDS,
    };
    let seed_count = seeds.clone().count() as u64;
    let (mut events, mut answered, mut queries) = (0, 0, 0);
    for seed in seeds {
        let mut world = World::new(seed);
        for _ in 0..steps / SEEDS {
            world.step();
        }
        world.check();
        events += world.events;
        answered += world.answered;
        queries += world.queries_ended;
    }
    // A run with fewer events would cover little.
    let min_events = env_number("GODWITYARD_EVENTS").unwrap_or(steps / SEEDS * seed_count / 10);
    assert!(events >= min_events, "{events} of {min_events} events");
    assert!(answered * 2 > queries, "{answered} of {queries} queries answered");
}
