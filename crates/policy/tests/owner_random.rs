//! Randomised test of the owner's state machine: faults occur at any time, also
//! together and repeatedly. The state machine asserts its invariants; the world
//! around it checks parts against what the targets ran.
//!
//! `GODWITYARD_STEPS` sets the steps, `GODWITYARD_SEED` the first seed.

mod owner_world;

use std::time::Duration;

use base::{AttemptId, ServiceName, Share, TargetName};
use documents::model::{EarlyRefusal, FairTurns, PolicySettings, WarmUp};
use owner_world::{World, share, target::Fault};
use rand::Rng;

const STEPS: u64 = 60_000;
const STEPS_PER_WORLD: u64 = 5_000;
const TARGETS: usize = 4;

#[test]
fn random_faults_break_no_invariant() {
    let steps = setting("GODWITYARD_STEPS").unwrap_or(STEPS);
    let first = setting("GODWITYARD_SEED").unwrap_or(1);
    for seed in first..first + steps.div_ceil(STEPS_PER_WORLD) {
        let run = std::panic::catch_unwind(|| run(seed));
        assert!(run.is_ok(), "reproduce with GODWITYARD_STEPS=1 GODWITYARD_SEED={seed}");
    }
}

fn run(seed: u64) {
    let warm_up = if seed.is_multiple_of(7) { WarmUp::Off } else { WarmUp::On };
    let settings = PolicySettings {
        fair_turns: match seed % 3 {
            0 => FairTurns::FirstComeFirstServed,
            _ => FairTurns::DeficitRoundRobin,
        },
        early_refusal: if seed.is_multiple_of(5) { EarlyRefusal::Off } else { EarlyRefusal::On },
        warm_up,
        ..PolicySettings::default()
    };
    let mut world = World::new(seed, TARGETS, settings);
    let services = (0..5).map(|i| (ServiceName::from(format!("s{i}")), i % 3 + 1));
    world.set_services(services.collect());
    let mut recent = Vec::new();
    for _ in 0..STEPS_PER_WORLD {
        step(&mut world, &mut recent, turns_cold(seed));
    }
    // Whatever happened, every subquery gets its part soon.
    world.run_for(Duration::from_secs(3));
    assert!(world.core.is_idle(), "subqueries without a part");
    assert_eq!(world.outstanding_count(), 0);
    let answers = world.parts.iter().filter(|it| is_answer(it)).count();
    assert!(answers >= 50, "{answers} of {} answered", world.parts.len());
    let overloads = world.targets.values().map(|it| it.overloads).sum::<u32>();
    if warm_up == WarmUp::On && !turns_cold(seed) {
        assert_eq!(overloads, 0, "a cold target got more work than it can handle");
    }
}

/// Returns whether targets of this run also turn cold without notice, which the
/// owner cannot detect before the first slow answers.
fn turns_cold(seed: u64) -> bool {
    seed.is_multiple_of(2)
}

fn step(world: &mut World, recent: &mut Vec<AttemptId>, turns_cold: bool) {
    let target = TargetName::from(format!("t{}", world.rng.random_range(0..TARGETS)));
    recover(world, &target);
    match world.rng.random_range(0..1_000) {
        0..600 => {
            let service = ServiceName::from(format!("s{}", world.rng.random_range(0..5)));
            let time_left = Duration::from_millis(world.rng.random_range(0..400));
            let is_idempotent = world.rng.random_bool(0.8);
            recent.push(world.submit(&service, &target, time_left, is_idempotent));
        }
        600..900 => {
            let time = Duration::from_millis(world.rng.random_range(1..20));
            world.run_for(time);
        }
        900..930 => {
            if let Some(attempt) = recent.pop() {
                world.cancel(attempt);
            }
        }
        930..960 => set_fault(world, &target),
        960..970 => world.target(&target).silence_connections(),
        970..975 => world.target(&target).crash(),
        975..985 => {
            world.target(&target).restart();
            world.target(&target).reports_lag = false;
        }
        985..988 => world.target(&target).is_leaving = true,
        988..990 => {
            let is_leaving = world.target(&target).is_leaving;
            world.target(&target).reports_lag = is_leaving;
        }
        990..992 if turns_cold => world.target(&target).warm_up_answers = 0,
        992..994 => {
            let is_in = !world.is_domain_in;
            world.set_domain(is_in);
            world.run_for(Duration::from_millis(50));
            world.set_domain(true);
        }
        994..996 => {
            let time = Duration::from_millis(world.rng.random_range(10..8_000));
            world.pause(time);
        }
        996..998 => reassign(world),
        _ => {
            let delay = world.rng.random_range(0..20);
            world.send_delay = Duration::from_millis(delay);
        }
    }
}

/// Restarts failed and leaving targets and restores shares, each with a small
/// probability.
fn recover(world: &mut World, target: &TargetName) {
    let is_alive = world.target(target).is_alive;
    let is_leaving = world.target(target).is_leaving;
    if (!is_alive && world.rng.random_bool(0.1)) || (is_leaving && world.rng.random_bool(0.05)) {
        world.target(target).restart();
    }
    if world.rng.random_bool(0.01) {
        world.assign_all((0..TARGETS).map(|i| (TargetName::from(format!("t{i}")), share(3))));
    }
}

fn set_fault(world: &mut World, target: &TargetName) {
    let faults = [
        Fault::WrongId,
        Fault::WrongSnapshot,
        Fault::Truncated,
        Fault::Shed,
        Fault::CrossedRefusal,
        Fault::Lost,
        Fault::SnapshotGone,
    ];
    let fault = faults[world.rng.random_range(0..faults.len())];
    world.target(target).fault = Some(fault);
}

/// Assigns random shares: some targets get none, fewer slots, or a lease that
/// expires.
fn reassign(world: &mut World) {
    let mut shares = Vec::new();
    for i in 0..TARGETS {
        if world.rng.random_bool(0.1) {
            continue;
        }
        let name = TargetName::from(format!("t{i}"));
        let model = &world.targets[&name];
        // A correct status of this incarnation, or one of an earlier one.
        let (incarnation, limit) = match world.rng.random_bool(0.5) {
            true => (model.incarnation, model.capacity()),
            false => (model.incarnation - 1, model.slots),
        };
        world.learn(&name, incarnation, limit);
        let lease = Duration::from_millis(world.rng.random_range(100..5_000));
        let has_lease = world.rng.random_bool(0.3);
        let share = Share {
            valid_until: has_lease.then(|| world.now + lease),
            starts_cold: world.rng.random_bool(0.2),
            connections: world.rng.random_range(1..8),
            ..share(world.rng.random_range(1..4))
        };
        shares.push((name, share));
    }
    world.assign_all(shares);
}

fn is_answer(part: &policy::message::Part) -> bool {
    matches!(part.result, policy::message::PartResult::Answer { .. })
}

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}
