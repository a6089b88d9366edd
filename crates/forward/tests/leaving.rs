//! Targets that say themselves that they leave.

mod fixture;

use std::{collections::VecDeque, time::Duration};

use base::{HashSet, TargetName};
use fixture::{Fixture, LEAVING_FOR, at, report};
use forward::{
    Lifecycle, Placement, TargetReport,
    placement::{Send, TargetKey},
    target::{LeavingTarget, SendResult},
};

type Targets = forward::Targets<u32>;

const LONG_AFTER_MS: u64 = 60_000;

/// Returns a host with a target that said at 0 that it leaves.
fn with_leaving_target() -> (Fixture, TargetKey) {
    let mut it = Fixture::new(None);
    let key = it.targets.apply_report(report("one", "a"), at(0));
    assert!(it.targets.record_leaving(key, at(0)));
    assert!(!it.targets.record_leaving(key, at(1)));
    (it, key)
}

fn leaving(born: u64, age_ms: u64) -> LeavingTarget {
    let age = Duration::from_millis(age_ms);
    LeavingTarget { name: TargetName::new("one"), born: Some(born), age }
}

fn later_report() -> TargetReport {
    TargetReport { sequence: 9, ..report("one", "a") }
}

/// Guards against sends to a target that leaves, once the source lists it as sound again
/// after it was removed for a lapse or has been leaving for long.
#[test]
fn no_later_list_takes_back_that_a_target_leaves() {
    let (mut it, _) = with_leaving_target();
    it.targets.apply_report(later_report(), at(100));
    assert_eq!(it.place(at(2_000)), Placement::NoTarget);
    it.targets.retain_listed(&HashSet::default(), at(2_000), at(2_000));
    it.targets.remove_unlisted(at(LONG_AFTER_MS));
    assert_eq!(it.targets.target_count(), 0);
    for apply in [Targets::apply_report, Targets::apply_late_report] {
        apply(&mut it.targets, later_report(), at(LONG_AFTER_MS));
        assert_eq!(it.place(at(LONG_AFTER_MS)), Placement::NoTarget);
        it.targets.remove_unlisted(at(LONG_AFTER_MS));
    }
    it.targets.apply_change(later_report(), Duration::ZERO, at(LONG_AFTER_MS));
    assert_eq!(it.place(at(LONG_AFTER_MS)), Placement::NoTarget);
}

/// Guards against sends to a target that leaves and is listed at another address.
#[test]
fn a_leaving_target_that_moves_still_leaves_and_a_new_incarnation_does_not() {
    let (mut it, _) = with_leaving_target();
    let moved = TargetReport { address: ([127, 0, 0, 2], 1_000).into(), ..later_report() };
    it.targets.apply_report(moved.clone(), at(100));
    assert_eq!(it.place(at(2_000)), Placement::NoTarget);
    it.targets.apply_report(TargetReport { born: Some(11), ..moved }, at(2_000));
    let _ = it.send(at(LONG_AFTER_MS));
}

/// Guards against a new incarnation that is left out for an answer of the one before.
#[test]
fn a_late_answer_of_an_earlier_incarnation_does_not_mark_the_new_one() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    let send = it.send(at(0));
    it.targets.apply_report(TargetReport { born: Some(11), ..report("one", "a") }, at(100));
    it.targets.record_leaving(send.target, at(200));
    it.targets.finish_send(&send, at(200), SendResult::Answered);
    it.targets.learn_leaving(&leaving(10, 0), at(200));
    it.targets.apply_report(TargetReport { born: Some(11), ..later_report() }, at(300));
    let _ = it.send(at(LONG_AFTER_MS));
}

/// Guards against a target whose address changed before the answer that says that it leaves,
/// and one whose entry no longer states when it started.
#[test]
fn an_answer_to_a_request_to_an_earlier_address_says_that_the_target_leaves() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    let send = it.send(at(0));
    let moved = TargetReport { address: ([127, 0, 0, 2], 1_000).into(), ..later_report() };
    it.targets.apply_report(moved.clone(), at(100));
    assert!(it.targets.record_leaving(send.target, at(200)));
    it.targets.finish_send(&send, at(200), SendResult::Answered);
    assert_eq!(it.place(at(2_100)), Placement::NoTarget);
    it.targets.remove_unlisted(at(LONG_AFTER_MS));
    it.targets.apply_report(TargetReport { born: None, ..moved }, at(LONG_AFTER_MS));
    assert_eq!(it.place(at(LONG_AFTER_MS)), Placement::NoTarget);
}

/// Guards against connections that are opened ahead to a target that leaves.
#[test]
fn no_connection_is_opened_ahead_to_a_leaving_target() {
    let mut it = Fixture::new(None);
    let key = it.targets.apply_report(report("one", "a"), at(0));
    it.targets.record_leaving(key, at(0));
    assert_eq!(it.targets.due_first_connections(at(1)), []);
}

/// Guards against an incarnation without a start time that is left out for the one before.
#[test]
fn an_incarnation_without_a_start_time_that_counts_anew_does_not_leave() {
    let mut it = Fixture::new(None);
    let unborn = |sequence| TargetReport { born: None, sequence, ..report("one", "a") };
    let key = it.targets.apply_report(unborn(5), at(0));
    it.targets.record_leaving(key, at(0));
    it.targets.apply_report(unborn(6), at(100));
    assert_eq!(it.place(at(2_000)), Placement::NoTarget);
    it.targets.apply_report(unborn(1), at(2_000));
    let _ = it.send(at(LONG_AFTER_MS));
}

/// Guards against a host that uses a target longer than the one that told it, or uses it
/// after all once the source lists it.
#[test]
fn what_another_host_tells_counts_from_the_time_at_which_it_learned_it() {
    let ms = LEAVING_FOR.as_millis() as u64;
    for is_listed_before in [true, false] {
        let mut it = Fixture::new(None);
        if is_listed_before {
            it.targets.apply_report(report("one", "a"), at(10_000));
        }
        assert!(it.targets.learn_leaving(&leaving(10, 500), at(10_000)));
        assert!(!it.targets.learn_leaving(&leaving(10, 0), at(10_000)));
        it.targets.apply_report(later_report(), at(10_100));
        let send = it.send(at(9_500 + ms));
        it.targets.finish_send(&send, at(9_500 + ms), SendResult::Answered);
        assert_eq!(it.place(at(9_501 + ms)), Placement::NoTarget);
        it.targets.apply_report(TargetReport { born: Some(11), ..report("one", "a") }, at(20_000));
        let _ = it.send(at(LONG_AFTER_MS));
    }
}

/// Guards against a host with a later entry that passes over what a peer knows: that the
/// target drains.
#[test]
fn an_earlier_entry_of_the_same_incarnation_that_drains_counts() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(later_report(), at(0));
    let draining = TargetReport { lifecycle: Lifecycle::Draining, ..report("one", "a") };
    it.targets.apply_late_report(TargetReport { born: Some(9), ..draining.clone() }, at(100));
    let send = it.send(at(200));
    it.targets.finish_send(&send, at(210), SendResult::Answered);
    it.targets.apply_late_report(draining, at(300));
    assert_eq!(it.place(at(LONG_AFTER_MS)), Placement::NoTarget);
}

/// Guards against memory that grows with each target that leaves.
#[test]
fn what_is_remembered_of_targets_that_left_is_bounded() {
    let mut it = Fixture::new(None);
    for i in 0..6_000_u64 {
        let name = TargetName::new(&format!("t{i}"));
        it.targets
            .learn_leaving(&LeavingTarget { name, born: Some(1), age: Duration::ZERO }, at(i));
    }
    let is_leaving = |it: &mut Fixture, name: &str| {
        let listed = TargetReport { born: Some(1), ..report(name, "a") };
        let key = it.targets.apply_report(listed, at(6_000));
        it.targets.target(key).is_some_and(|it| it.leaving_since().is_some())
    };
    assert!(!is_leaving(&mut it, "t0"));
    assert!(is_leaving(&mut it, "t5999"));
}

/// Guards against targets of which nobody is told, while many leave at once.
#[test]
fn other_hosts_are_told_of_all_targets_that_leave_in_turn() {
    let mut it = Fixture::new(None);
    for i in 0..40 {
        let name = TargetName::new(&format!("t{i}"));
        let leaving = LeavingTarget { name, born: Some(i), age: Duration::from_millis(i) };
        it.targets.learn_leaving(&leaving, at(1_000));
    }
    let mut told = HashSet::default();
    for _ in 0..3 {
        let shared = it.targets.next_shared_leaving(at(1_500));
        assert!(shared.len() <= 16);
        for it in shared {
            assert_eq!(it.age.as_millis(), 500 + u128::from(it.born.expect("stated")));
            told.insert(it.name);
        }
    }
    assert_eq!(told.len(), 40);
    assert_eq!(it.targets.next_shared_leaving(at(2 * LONG_AFTER_MS)), []);
}

/// Guards against a rush of new connections when a busy target leaves: its work spreads over
/// the others, and none of it waits.
#[test]
fn the_work_of_a_target_that_leaves_spreads_evenly() {
    const IN_FLIGHT: usize = 10;
    const TOOK_MS: u64 = 10;
    let mut it = Fixture::new(None);
    let keys: Vec<TargetKey> = ["one", "two", "three", "four", "five"]
        .map(|name| it.targets.apply_report(report(name, "a"), at(0)))
        .into();
    let mut running: VecDeque<(u64, Send)> = VecDeque::new();
    let mut most = 0;
    for ms in 0..2_000 {
        while let Some((sent_at, send)) = running.front().copied()
            && sent_at + TOOK_MS <= ms
        {
            running.pop_front();
            it.targets.finish_send(&send, at(ms), SendResult::Answered);
        }
        if ms == 1_000 {
            it.targets.record_leaving(keys[0], at(ms));
        }
        while running.len() < IN_FLIGHT {
            let send = it.send(at(ms));
            assert!(ms < 1_000 || send.target != keys[0]);
            running.push_back((ms, send));
        }
        let of = |key: &TargetKey| running.iter().filter(|(_, it)| it.target == *key).count();
        most = most.max(keys[1..].iter().map(of).max().unwrap_or_default());
    }
    assert_eq!(most, IN_FLIGHT.div_ceil(keys.len() - 1));
}
