//! Several hosts, their targets, their callers and the source of reports in one
//! process, on virtual time, with faults that overlap and repeat. What must
//! hold is judged from what callers and targets see, over all hosts.
//!
//! `GODWITYARD_STEPS` sets the milliseconds that all seeds play together,
//! `GODWITYARD_SEED` the only seed to play.

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
    let (mut events, mut answered, mut queries) = (0, 0, 0);
    for seed in seeds.clone() {
        let mut world = World::new(seed);
        for _ in 0..steps / SEEDS {
            world.step();
        }
        world.check();
        events += world.events;
        answered += world.answered;
        queries += world.queries_ended;
    }
    println!("{events} events, {queries} queries, {answered} answered");
    // Fewer would show little.
    let share = seeds.count() as u64;
    assert!(events > steps / SEEDS * share / 10, "{events} events");
    assert!(answered * 2 > queries, "{answered} of {queries} queries answered");
}
