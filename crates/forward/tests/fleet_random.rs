//! Several hosts, their targets, their callers and the source of reports in one
//! process, on virtual time, with faults that overlap and repeat. What must
//! hold is judged from what callers and targets see, over all hosts.
//!
//! `GODWITYARD_STEPS` sets the milliseconds that all seeds play together,
//! `GODWITYARD_SEED` the only seed to play, `GODWITYARD_EVENTS` the events that
//! must have happened.

mod fleet;

use fleet::World;

const DEFAULT_STEPS_MS: u64 = 400_000;
const SEEDS: u64 = 20;

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|it| it.parse().ok())
}

#[test]
fn promises_hold_over_all_hosts_whatever_fails() {
    let steps = setting("GODWITYARD_STEPS").unwrap_or(DEFAULT_STEPS_MS);
    let seeds = match setting("GODWITYARD_SEED") {
        Some(seed) => seed..=seed,
        None => 1..=SEEDS,
    };
    let played = seeds.clone().count() as u64;
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
    // Fewer would show little.
    let wanted = setting("GODWITYARD_EVENTS").unwrap_or(steps / SEEDS * played / 10);
    assert!(events >= wanted, "{events} of {wanted} events");
    assert!(answered * 2 > queries, "{answered} of {queries} queries answered");
}
