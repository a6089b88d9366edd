//! Load tests of the owner against the bounds of its design: fairness and the
//! other services' tail latency beside one greedy service, and the load on cold
//! targets.

mod owner_world;

use std::time::Duration;

use base::{ServiceName, TargetName};
use documents::model::{FairTurns, PolicySettings, WarmUp};
use owner_world::{
    World,
    load::{Completion, Demand, jain, quantile, satisfaction},
};

const MINUTE: Duration = Duration::from_secs(60);
const SERVICES: usize = 20;
/// Three slots at 10 ms a subquery.
const CAPACITY: f64 = 300.0;
const FAIR_SHARE: f64 = CAPACITY / SERVICES as f64;
/// Bounds of the design with one service at 10 times its share: the fairness
/// index, and the ratio of the others' p99 to theirs without that service.
const MIN_JAIN: f64 = 0.95;
const MAX_P99_RATIO: f64 = 1.5;

#[test]
fn greedy_service_does_not_starve_others() {
    for seed in 1..=3 {
        let alone = run(seed, FairTurns::DeficitRoundRobin, &others());
        let completions = run(seed, FairTurns::DeficitRoundRobin, &with_greedy());
        let index = jain_of(&completions);
        assert!(index >= MIN_JAIN, "Jain index {index:.3} with seed {seed}");
        let ratio = p99_of_others(&completions).as_secs_f64() / p99_of_others(&alone).as_secs_f64();
        assert!(
            ratio <= MAX_P99_RATIO,
            "the others' p99 is {ratio:.2} times that without the greedy service, seed {seed}"
        );
    }
}

#[test]
fn single_service_can_use_all_slots() {
    // A single service gets all the slots that the others do not use.
    let completions =
        run(1, FairTurns::DeficitRoundRobin, &[Demand::new("greedy", 2.0 * CAPACITY)]);
    let answered = completions.iter().filter(|it| it.missing.is_none()).count() as f64;
    assert!(answered / MINUTE.as_secs_f64() >= 0.9 * CAPACITY);
}

#[test]
fn slot_time_is_divided_by_weight() {
    let mut world = warm_world(1, PolicySettings::default());
    world.set_services(vec![("heavy".into(), 3), ("light".into(), 1)]);
    let demands = [Demand::new("heavy", CAPACITY), Demand::new("light", CAPACITY)];
    let completions = world.run_load(&target(), &demands, MINUTE);
    let answered = |name: &str| {
        let own = completions.iter().filter(|it| *it.service == *name && it.missing.is_none());
        own.count() as f64
    };
    let ratio = answered("heavy") / answered("light");
    assert!((2.5..=3.5).contains(&ratio), "expected a ratio of about 3, got {ratio:.2}");
}

#[test]
fn expensive_jobs_are_charged_for_their_slot_time() {
    let mut world = warm_world(1, PolicySettings::default());
    world.target(&target()).service_ms_of.insert("slow".into(), 40.0);
    let demands = [Demand::new("slow", CAPACITY), Demand::new("quick", CAPACITY)];
    let completions = world.run_load(&target(), &demands, MINUTE);
    let answered = |name: &str| {
        let own = completions.iter().filter(|it| *it.service == *name && it.missing.is_none());
        own.count() as f64
    };
    // Equal slot time, so the quick service gets more answers.
    let ratio = answered("quick") / answered("slow");
    assert!((3.0..=6.0).contains(&ratio), "expected a ratio of about 4, got {ratio:.2}");
}

#[test]
fn cold_target_under_full_demand_is_never_overloaded() {
    for seed in 1..=5 {
        let mut world = World::new(seed, 1, PolicySettings::default());
        world.target(&target()).restart();
        world.run_load(&target(), &[Demand::new("s", CAPACITY)], MINUTE / 4);
        assert_eq!(world.targets[&target()].overloads, 0);
        assert_eq!(world.core.status(world.now, None)[0].limit, 3);
    }
    // Without the limit, the same load crashes the target.
    let settings = PolicySettings { warm_up: WarmUp::Off, ..PolicySettings::default() };
    let mut world = World::new(1, 1, settings);
    world.target(&target()).restart();
    world.run_load(&target(), &[Demand::new("s", CAPACITY)], MINUTE / 4);
    assert!(world.targets[&target()].overloads > 0);
}

fn run(seed: u64, fair_turns: FairTurns, demands: &[Demand]) -> Vec<Completion> {
    let mut world = warm_world(seed, PolicySettings { fair_turns, ..PolicySettings::default() });
    world.run_load(&target(), demands, MINUTE)
}

fn warm_world(seed: u64, settings: PolicySettings) -> World {
    let mut world = World::new(seed, 1, settings);
    world.run_load(&target(), &[Demand::new("warm-up", CAPACITY)], MINUTE / 6);
    world
}

fn others() -> Vec<Demand> {
    (1..SERVICES).map(|i| Demand::new(format!("s{i}"), 0.8 * FAIR_SHARE)).collect()
}

fn with_greedy() -> Vec<Demand> {
    let mut demands = others();
    demands.push(Demand::new("greedy", 10.0 * FAIR_SHARE));
    demands
}

fn jain_of(completions: &[Completion]) -> f64 {
    let fair = FAIR_SHARE * MINUTE.as_secs_f64();
    let names = with_greedy().into_iter().map(|it| it.service);
    let each = names.map(|it: ServiceName| satisfaction(completions, &it, fair));
    jain(&each.collect::<Vec<_>>())
}

fn p99_of_others(completions: &[Completion]) -> Duration {
    quantile(completions, 0.99, |it| &*it.service != "greedy" && it.missing.is_none())
}

fn target() -> TargetName {
    TargetName::new("t0")
}
