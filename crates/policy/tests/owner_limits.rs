//! Tests for the concurrency limit of targets that are cold, proven, slow or
//! shedding.

mod owner_world;

use std::time::Duration;

use base::{Missing, Outcome, Share};
use owner_world::{
    fixture::{Fixture, SECOND},
    share,
    target::Fault,
};
use policy::owner::LimitCause;

#[test]
fn cold_target_is_not_overloaded_and_limit_rises_with_answers() {
    let mut f = Fixture::new();
    f.world.target(&f.target).restart();
    f.load(8 * SECOND, 400);
    assert_eq!(f.world.targets[&f.target].overloads, 0);
    assert_eq!(f.limit(), 3, "a proven target gets all its slots");
}

#[test]
fn limit_does_not_rise_without_demand() {
    let mut f = Fixture::new();
    // Many answers, but no job ever waits.
    f.world.target(&f.target).service_ms = 1.0;
    f.load(60 * SECOND, 5);
    assert_eq!(f.limit(), 1);
}

#[test]
fn new_incarnation_is_cold_again() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).restart();
    f.load(SECOND / 2, 400);
    assert_eq!(f.world.targets[&f.target].overloads, 0);
    assert_eq!(f.limit(), 1);
}

#[test]
fn limit_does_not_rise_above_the_share() {
    let mut f = Fixture::new();
    f.assign(share(1));
    f.load(5 * SECOND, 400);
    f.assign(share(3));
    assert_eq!(f.limit(), 1);
}

#[test]
fn limit_survives_a_temporary_smaller_share() {
    let mut f = Fixture::warm();
    f.assign(share(1));
    assert_eq!(f.limit(), 1);
    f.load(SECOND, 50);
    f.assign(share(3));
    assert_eq!(f.limit(), 3);
}

#[test]
fn shedding_lowers_the_limit_and_is_not_run() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).fault = Some(Fault::Shed);
    let attempt = f.submit(SECOND);
    f.world.run_for(SECOND);
    assert_eq!(f.failure(attempt), (Missing::Shed, Outcome::NotRun));
    assert_eq!(f.limit(), 1);
    assert!(f.was_limit_lowered_by(LimitCause::Shed));
}

#[test]
fn latency_jump_lowers_the_limit() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).service_ms = 200.0;
    f.load(2 * SECOND, 100);
    assert!(f.was_limit_lowered_by(LimitCause::LatencyJump));
}

#[test]
fn attempts_that_run_into_their_deadlines_lower_the_limit() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).service_ms = 20_000.0;
    f.load(2 * SECOND, 100);
    assert!(f.was_limit_lowered_by(LimitCause::LatencyJump));
}

#[test]
fn long_idle_target_counts_as_cold() {
    let mut f = Fixture::warm();
    f.world.run_for(31 * SECOND);
    assert_eq!(f.limit(), 1);
    assert!(f.was_limit_lowered_by(LimitCause::LongIdle));
}

#[test]
fn target_restarted_unnoticed_while_idle_is_not_overloaded() {
    let mut f = Fixture::warm();
    f.world.run_for(SECOND / 10);
    f.world.target(&f.target).restart();
    // All at once, over connections that the owner still takes for open.
    let attempts = (0..10).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.run_for(SECOND);
    assert_eq!(f.world.targets[&f.target].overloads, 0);
    assert!(attempts.iter().all(|it| f.is_answered(*it)), "a job that was not sent was lost");
}

#[test]
fn target_reassigned_soon_keeps_its_limit() {
    let mut f = Fixture::warm();
    f.world.assign_all([]);
    f.world.run_for(10 * SECOND);
    f.assign(share(3));
    assert_eq!(f.limit(), 3);

    f.world.assign_all([]);
    f.world.target(&f.target).restart();
    f.assign(share(3));
    f.load(SECOND / 2, 300);
    assert_eq!(f.limit(), 1, "a new incarnation has not proven a limit");

    let mut f = Fixture::warm();
    f.world.assign_all([]);
    f.world.run_for(31 * SECOND);
    f.assign(share(3));
    assert_eq!(f.limit(), 1, "an outdated limit was kept");

    let mut f = Fixture::warm();
    f.world.assign_all([]);
    f.assign(Share { starts_cold: true, ..share(3) });
    assert_eq!(f.limit(), 1);
}

#[test]
fn limit_of_former_owner_applies_to_the_same_incarnation_only() {
    let limit_after = |incarnation: u64, age: Duration, starts_cold: bool| {
        let mut f = Fixture::unassigned();
        f.learn(incarnation, 3);
        f.world.run_for(age);
        f.assign(Share { starts_cold, ..share(3) });
        f.world.run_for(SECOND / 10);
        f.limit()
    };
    assert_eq!(limit_after(1, SECOND, false), 3);
    assert_eq!(limit_after(2, SECOND, false), 1);
    assert_eq!(limit_after(1, 6 * SECOND, false), 1);
    assert_eq!(limit_after(1, SECOND, true), 1);
}
