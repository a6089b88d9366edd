//! Placement: reports of targets, draining, evacuation, silence, reach.

mod fixture;

use std::time::Duration;

use base::{DomainName, HashSet, RegionName, TargetName};
use forward::{
    Lifecycle, Placement, TargetReport, isolation::cut_off, placement::Ask, target::SendResult,
};

use fixture::{Fixture, LEAVING_FOR, at, report};

#[test]
fn targets_of_the_own_domain_are_preferred_while_they_are_as_fast() {
    let mut it = Fixture::new(None);
    it.core.reported(report("far", "b"), at(0));
    it.core.reported(report("near", "a"), at(0));
    let send = it.send(at(1));
    assert_eq!(it.name(&send), "near");
}

/// Changes are awaited with pauses between the calls, so one may be heard of
/// some time after it was made. What counts is when it was made.
#[test]
fn a_target_heard_to_leave_late_is_no_resort_for_longer() {
    let age = Duration::from_millis(1_000);
    let mut it = Fixture::new(None);
    it.core.reported(report("one", "a"), at(0));
    let draining =
        TargetReport { lifecycle: Lifecycle::Draining, sequence: 2, ..report("one", "a") };
    it.core.changed(draining, age, at(5_000));
    let left = LEAVING_FOR.saturating_sub(age);
    assert!(matches!(it.place(at(5_000) + left), Placement::Send(_)));
    assert_eq!(it.place(at(5_001) + left), Placement::Nowhere);

    let mut it = Fixture::new(None);
    it.core.reported(report("one", "a"), at(0));
    it.core.unlisted(&TargetName::new("one"), at(5_000).ago(age));
    assert!(matches!(it.place(at(5_000) + left), Placement::Send(_)));
    assert_eq!(it.place(at(5_001) + left), Placement::Nowhere);
}

/// Targets differ in speed; callers notice a difference of a third less than
/// operators notice the bytes between domains.
#[test]
fn another_domain_is_used_only_where_it_is_much_faster() {
    for (near_ms, wanted) in [(26, "near"), (80, "far")] {
        let mut it = Fixture::new(None);
        let near = it.core.reported(report("near", "a"), at(0));
        it.core.reported(report("far", "b"), at(0));
        let mut now = 0;
        for _ in 0..60 {
            let (first, second) = (it.send(at(now)), it.send(at(now)));
            for send in [first, second] {
                let took = if send.target == near { near_ms } else { 20 };
                it.core.finished(&send, at(now + took), SendResult::Answered);
            }
            now += 100;
        }
        let send = it.send(at(now));
        assert_eq!(it.name(&send), wanted, "{near_ms} ms");
    }
}

#[test]
fn a_draining_target_is_a_last_resort_for_a_while() {
    let mut it = Fixture::new(None);
    it.core.reported(report("one", "a"), at(0));
    let draining =
        TargetReport { lifecycle: Lifecycle::Draining, sequence: 2, ..report("one", "a") };
    it.core.reported(draining, at(0));
    let send = it.send(at(1_000));
    assert_eq!(it.name(&send), "one");
    it.core.reported(report("two", "b"), at(1_100));
    let send = it.send(at(1_200));
    assert_eq!(it.name(&send), "two");
    it.core.unlisted(&TargetName::new("two"), at(1_300));
    assert_eq!(it.place(at(3_200)), Placement::Nowhere);
}

#[test]
fn an_entry_that_lapsed_and_comes_back_is_used_again() {
    let mut it = Fixture::new(None);
    it.core.reported(report("one", "a"), at(0));
    it.core.unlisted(&TargetName::new("one"), at(100));
    let send = it.send(at(1_500));
    it.core.finished(&send, at(1_510), SendResult::Answered);
    it.core.reported(TargetReport { sequence: 9, ..report("one", "a") }, at(2_000));
    let _ = it.send(at(9_000));
}

#[test]
fn an_entry_that_stays_away_is_forgotten() {
    let mut it = Fixture::new(None);
    it.core.reported(report("one", "a"), at(0));
    it.core.retain_listed(&HashSet::default(), at(100));
    it.core.forget_unlisted(at(60_000));
    assert_eq!(it.core.target_count(), 0);
    assert_eq!(it.place(at(60_000)), Placement::Nowhere);
}

#[test]
fn an_older_report_does_not_undo_a_newer_one() {
    let mut it = Fixture::new(None);
    it.core.reported(report("one", "a"), at(0));
    let draining =
        TargetReport { lifecycle: Lifecycle::Draining, sequence: 5, ..report("one", "a") };
    it.core.reported(draining, at(10));
    it.core.reported(TargetReport { sequence: 4, ..report("one", "a") }, at(20));
    it.core.reported(TargetReport { sequence: 6, ..report("one", "a") }, at(30));
    assert_eq!(it.place(at(5_000)), Placement::Nowhere);
}

#[test]
fn a_target_that_starts_again_under_its_name_is_a_new_one() {
    let mut it = Fixture::new(None);
    it.core.reported(report("one", "a"), at(0));
    let draining =
        TargetReport { lifecycle: Lifecycle::Draining, sequence: 5, ..report("one", "a") };
    it.core.reported(draining, at(10));
    it.core.reported(TargetReport { born: Some(11), sequence: 1, ..report("one", "a") }, at(20));
    let send = it.send(at(5_000));
    it.core.finished(&send, at(5_010), SendResult::Answered);
    let older = TargetReport { born: Some(10), sequence: 99, ..report("one", "b") };
    it.core.reported(older, at(5_100));
    let send = it.send(at(5_200));
    assert_eq!(it.core.target(send.target).map(|it| it.report.born), Some(Some(11)));
}

#[test]
fn a_target_whose_address_is_anothers_gets_nothing_more() {
    let mut it = Fixture::new(None);
    it.core.reported(report("one", "a"), at(0));
    let send = it.send(at(1));
    it.core.finished(&send, at(2), SendResult::Misdirected);
    assert_eq!(it.place(at(3)), Placement::Nowhere);
}

#[test]
fn an_evacuated_domain_gets_nothing() {
    let mut it = Fixture::new(None);
    it.core.reported(report("one", "a"), at(0));
    it.core.reported(report("two", "b"), at(0));
    it.core.set_evacuated([DomainName::new("a")].into_iter().collect(), at(0));
    let send = it.send(at(1));
    assert_eq!(it.name(&send), "two");
    it.core.set_evacuated(["a", "b"].into_iter().map(DomainName::new).collect(), at(1));
    assert_eq!(it.place(at(2)), Placement::Nowhere);
}

#[test]
fn only_the_regions_of_a_route_are_used() {
    let mut it = Fixture::new(None);
    it.core.reported(report("one", "a"), at(0));
    let regions = [RegionName::new("r2")];
    let ask = Ask { service: it.service, class: it.class, tried: &[], regions: &regions };
    assert_eq!(it.core.place(&ask, at(1)), Placement::Nowhere);
}

#[test]
fn a_silent_target_gets_nothing_until_it_answers() {
    let mut it = Fixture::new(None);
    it.core.reported(report("one", "a"), at(0));
    let send = it.send(at(0));
    assert_eq!(it.place(at(300)), Placement::Silent);
    it.core.finished(&send, at(301), SendResult::Answered);
    let _ = it.send(at(302));
}

#[test]
fn a_long_request_at_a_target_that_answers_others_is_no_silence() {
    let mut it = Fixture::new(None);
    it.core.reported(report("one", "a"), at(0));
    let long = it.send(at(0));
    for ms in (10..1_000).step_by(10) {
        let send = it.send(at(ms));
        it.core.finished(&send, at(ms + 9), SendResult::Answered);
    }
    it.core.finished(&long, at(1_000), SendResult::Silent);
    let _ = it.send(at(1_001));
}

#[test]
fn a_target_that_is_down_is_tried_apart_from_requests() {
    let mut it = Fixture::new(None);
    let key = it.core.reported(report("one", "a"), at(0));
    let send = it.send(at(0));
    it.core.finished(&send, at(1_000), SendResult::Silent);
    assert_eq!(it.place(at(1_001)), Placement::Silent);
    assert!(it.core.due_trials(at(1_050)).is_empty());
    assert_eq!(it.core.due_trials(at(1_100)), [key]);
    assert!(it.core.due_trials(at(1_101)).is_empty(), "trials are spaced");
    it.core.reached(key, at(1_150));
    let _ = it.send(at(1_151));
}

#[test]
fn only_the_smaller_side_of_a_cut_steps_back() {
    let set = |names: &[&str]| names.iter().map(|it| DomainName::new(it)).collect::<HashSet<_>>();
    // Alone: both others are dark and unheard.
    assert_eq!(cut_off(&set(&["b", "c"]), &set(&["b", "c"]), 2), set(&["b", "c"]));
    // On the larger side only one is.
    assert!(cut_off(&set(&["b"]), &set(&["b"]), 2).is_empty());
    // Targets crashed there, but their hosts are heard.
    assert!(cut_off(&set(&["b", "c"]), &set(&[]), 2).is_empty());
    // Two domains: neither side is smaller.
    assert!(cut_off(&set(&["b"]), &set(&["b"]), 1).is_empty());
}

/// A host that starts cannot tell for how long a target has been leaving.
#[test]
fn a_target_first_heard_of_as_draining_gets_nothing() {
    let mut it = Fixture::new(None);
    let draining = TargetReport { lifecycle: Lifecycle::Draining, ..report("one", "a") };
    it.core.reported(draining, at(0));
    assert_eq!(it.place(at(1)), Placement::Nowhere);
}

#[test]
fn a_target_that_began_to_drain_during_a_gap_gets_nothing() {
    let mut it = Fixture::new(None);
    it.core.reported(report("one", "a"), at(0));
    let draining =
        TargetReport { lifecycle: Lifecycle::Draining, sequence: 2, ..report("one", "a") };
    it.core.reported_late(draining, at(5_000));
    assert_eq!(it.place(at(5_001)), Placement::Nowhere);
}
