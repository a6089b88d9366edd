//! Tests for the owner's reaction to single failures of targets, connections
//! and its own process.

mod owner_world;

use std::time::Duration;

use base::{Missing, Outcome, Share};
use owner_world::{
    fixture::{Fixture, SECOND},
    share,
    target::Fault,
};
use policy::{
    message::PartResult,
    owner::{CloseCause, LimitCause, TargetEvent},
};

#[test]
fn nothing_is_sent_on_a_lease_that_expired_after_the_decision() {
    let mut f = Fixture::warm();
    let valid_until = Some(f.world.now + SECOND);
    f.assign(Share { valid_until, ..share(3) });
    f.world.send_delay = Duration::from_millis(1);
    let attempt = f.submit(5 * SECOND);
    f.world.pause(2 * SECOND);
    f.world.run_for(SECOND);
    assert_eq!(f.failure(attempt), (Missing::OwnerUnreachable, Outcome::NotRun));
    let attempt = f.submit(SECOND);
    assert_eq!(f.failure(attempt), (Missing::OwnerUnreachable, Outcome::NotRun));
}

#[test]
fn answers_received_during_a_pause_close_no_connection() {
    let mut f = Fixture::warm();
    let attempts = (0..3).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.pause(5 * SECOND);
    f.world.run_for(SECOND);
    for attempt in attempts {
        assert_eq!(f.failure(attempt), (Missing::Deadline, Outcome::MayHaveRun));
    }
    assert!(!f.has_event(|it| matches!(it, TargetEvent::ConnectionClosed { .. })));
    assert_eq!(f.limit(), 3);
}

#[test]
fn crash_loses_only_the_work_in_flight() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).service_ms = 100.0;
    let attempts = (0..10).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.run_for(Duration::from_millis(1));
    f.world.target(&f.target).crash();
    f.world.run_for(SECOND);
    for &attempt in &attempts {
        let expected = match f.world.targets[&f.target].runs(attempt) {
            0 => (Missing::NoTarget, Outcome::NotRun),
            _ => (Missing::ConnectionLost, Outcome::MayHaveRun),
        };
        assert_eq!(f.failure(attempt), expected);
    }
    let suspects = attempts.iter().filter(|it| f.has_failed_with(**it, Missing::ConnectionLost));
    assert!(suspects.count() <= 3);
}

#[test]
fn crash_of_an_idle_target_fails_jobs_without_delay() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).crash();
    let attempts = (0..5).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.run_for(Duration::from_millis(20));
    for attempt in attempts {
        assert_eq!(f.failure(attempt), (Missing::NoTarget, Outcome::NotRun));
    }
}

#[test]
fn frozen_target_gets_no_further_work() {
    let mut f = Fixture::new();
    f.world.target(&f.target).is_frozen = true;
    f.world.parts.clear();
    f.load(5 * SECOND, 100);
    f.world.run_for(SECOND);
    let is_lost = |it: &&policy::message::Part| {
        matches!(it.result, PartResult::Failed { outcome: Outcome::MayHaveRun, .. })
    };
    assert_eq!(f.world.parts.iter().filter(is_lost).count(), 1);
    assert!(f.has_event(|it| *it == TargetEvent::Down));
}

#[test]
fn nothing_is_sent_after_a_lost_connection_until_the_target_responds() {
    let mut f = Fixture::new();
    f.world.target(&f.target).fault = Some(Fault::Lost);
    let lost = f.submit(SECOND);
    let next = f.submit(SECOND);
    while f.result(lost).is_none() {
        f.world.run_for(Duration::from_micros(100));
    }
    // Opening a connection takes at least a millisecond.
    f.world.run_for(Duration::from_micros(500));
    assert_eq!(f.failure(lost), (Missing::ConnectionLost, Outcome::MayHaveRun));
    assert_eq!(f.world.targets[&f.target].runs(next), 0);
    f.world.run_for(SECOND);
    assert!(f.is_answered(next));
}

#[test]
fn down_target_is_probed_by_one_connection_at_a_time() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).crash();
    f.world.run_for(SECOND);
    let before = f.world.opened;
    f.world.run_for(20 * SECOND);
    // One probe every 2 seconds, with a jitter of a quarter.
    let probes = f.world.opened - before;
    assert!((8..=14).contains(&probes), "{probes} probes");

    f.world.target(&f.target).restart();
    f.world.run_for(3 * SECOND);
    let attempt = f.submit(SECOND);
    f.world.run_for(SECOND);
    assert!(f.is_answered(attempt));
    assert_eq!(f.limit(), 1);
}

#[test]
fn silence_of_all_connections_loses_only_work_in_flight() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).silence_connections();
    let lost = (0..3).map(|_| f.submit(SECOND / 10)).collect::<Vec<_>>();
    // The deadline, and the time after which the connection is closed.
    f.world.run_for(Duration::from_millis(200));
    for attempt in lost {
        assert_eq!(f.failure(attempt), (Missing::Deadline, Outcome::MayHaveRun));
    }
    let attempts = (0..10).map(|_| f.submit(SECOND / 2)).collect::<Vec<_>>();
    f.world.run_for(SECOND);
    assert!(attempts.iter().all(|it| f.is_answered(*it)));
    assert!(f.has_event(|it| matches!(
        it,
        TargetEvent::ConnectionClosed { cause: CloseCause::Silent, .. }
    )));
    assert!(!f.has_event(|it| *it == TargetEvent::Down));
    assert_eq!(f.limit(), 3, "the limit must not be lowered");
}

#[test]
fn limit_is_lowered_if_only_probes_are_answered() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).is_stuck = true;
    f.load(SECOND, 100);
    assert!(f.was_limit_lowered_by(LimitCause::NoAnswer));
}

#[test]
fn one_silent_connection_loses_only_its_own_request() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).silence_next_connection = true;
    let lost = f.submit(Duration::from_millis(100));
    f.world.run_for(Duration::from_millis(10));
    let others = (0..5).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.run_for(SECOND);
    assert_eq!(f.failure(lost), (Missing::Deadline, Outcome::MayHaveRun));
    assert!(others.iter().all(|it| f.is_answered(*it)));
    assert_eq!(f.limit(), 3, "the limit must not be lowered");
}

#[test]
fn invalid_answer_closes_its_connection() {
    for (fault, missing) in [
        (Fault::WrongId, Missing::WrongId),
        (Fault::WrongSnapshot, Missing::WrongSnapshot),
        (Fault::Truncated, Missing::Truncated),
        (Fault::CrossedRefusal, Missing::WrongId),
    ] {
        let mut f = Fixture::warm();
        f.world.target(&f.target).fault = Some(fault);
        let attempt = f.submit(SECOND);
        f.world.run_for(SECOND);
        assert_eq!(f.failure(attempt), (missing, Outcome::MayHaveRun));
        let cause = CloseCause::WrongAnswer;
        assert!(f.has_event(
            |it| matches!(it, TargetEvent::ConnectionClosed { cause: c, .. } if *c == cause)
        ));
    }
}

#[test]
fn vanished_snapshot_is_not_run() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).fault = Some(Fault::SnapshotGone);
    let attempt = f.submit(SECOND);
    f.world.run_for(SECOND);
    assert_eq!(f.failure(attempt), (Missing::WrongSnapshot, Outcome::NotRun));
}
