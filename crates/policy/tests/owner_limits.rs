//! What a target is trusted with: cold, proven, slow, shedding.

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
fn cold_target_gets_what_it_bears_and_rises_with_proven_work() {
    let mut f = Fixture::new();
    f.world.target(&f.target).restart();
    f.load(8 * SECOND, 400);
    assert_eq!(f.world.targets[&f.target].overloads, 0);
    assert_eq!(f.limit(), 3, "a proven target gets all its slots");
}

#[test]
fn limit_does_not_rise_without_demand() {
    let mut f = Fixture::new();
    // Many answers, but nothing ever waits.
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
fn share_of_one_slot_proves_no_more_than_one() {
    let mut f = Fixture::new();
    f.assign(share(1));
    f.load(5 * SECOND, 400);
    f.assign(share(3));
    assert_eq!(f.limit(), 1);
}

#[test]
fn slots_lent_for_a_while_stay_proven() {
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
    assert!(f.lowered_by(LimitCause::Shed));
}

#[test]
fn latency_jump_lowers_the_limit() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).service_ms = 200.0;
    f.load(2 * SECOND, 100);
    assert!(f.lowered_by(LimitCause::LatencyJump));
}

#[test]
fn attempts_that_run_into_their_deadlines_lower_the_limit() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).service_ms = 20_000.0;
    f.load(2 * SECOND, 100);
    assert!(f.lowered_by(LimitCause::LatencyJump));
}

#[test]
fn long_idle_target_counts_as_cold() {
    let mut f = Fixture::warm();
    f.world.run_for(31 * SECOND);
    assert_eq!(f.limit(), 1);
    assert!(f.lowered_by(LimitCause::LongIdle));
}

#[test]
fn restart_unseen_while_idle_gets_no_more_than_a_cold_target_bears() {
    let mut f = Fixture::warm();
    f.world.run_for(SECOND / 10);
    f.world.target(&f.target).restart();
    // All at once, over connections that the owner still believes in.
    let attempts = (0..10).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.run_for(SECOND);
    assert_eq!(f.world.targets[&f.target].overloads, 0);
    assert!(attempts.iter().all(|it| f.is_answered(*it)), "nothing was sent, nothing is lost");
}

#[test]
fn target_taken_back_soon_keeps_what_it_proved() {
    let mut f = Fixture::warm();
    f.world.assign_all([]);
    f.world.run_for(10 * SECOND);
    f.assign(share(3));
    assert_eq!(f.limit(), 3);

    f.world.assign_all([]);
    f.world.target(&f.target).restart();
    f.assign(share(3));
    f.load(SECOND / 2, 300);
    assert_eq!(f.limit(), 1, "another incarnation has proven nothing");

    let mut f = Fixture::warm();
    f.world.assign_all([]);
    f.world.run_for(31 * SECOND);
    f.assign(share(3));
    assert_eq!(f.limit(), 1, "what is old counts no more");

    let mut f = Fixture::warm();
    f.world.assign_all([]);
    f.assign(Share { starts_cold: true, ..share(3) });
    assert_eq!(f.limit(), 1);
}

#[test]
fn former_owner_vouches_for_the_same_incarnation_only() {
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
