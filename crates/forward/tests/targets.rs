//! Placement: reports of targets, draining, evacuation, silence, partitions.

mod fixture;

use std::time::Duration;

use base::{DomainName, HashSet, RegionName, TargetName};
use forward::{
    Lifecycle, Placement, TargetReport, isolation::partitioned_domains,
    placement::PlacementRequest, target::SendResult,
};

use fixture::{Fixture, LEAVING_FOR, at, report};

#[test]
fn targets_of_the_own_domain_are_preferred_while_they_are_as_fast() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("far", "b"), at(0));
    it.targets.apply_report(report("near", "a"), at(0));
    let send = it.send(at(1));
    assert_eq!(it.name(&send), "near");
}

/// Hosts poll for changes, so a change may be received some time after it was made.
/// The fallback time must count from when the change was made.
#[test]
fn a_change_received_late_does_not_extend_the_fallback_time() {
    let age = Duration::from_millis(1_000);
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    let draining =
        TargetReport { lifecycle: Lifecycle::Draining, sequence: 2, ..report("one", "a") };
    it.targets.apply_change(draining, age, at(5_000));
    let left = LEAVING_FOR.saturating_sub(age);
    assert!(matches!(it.place(at(5_000) + left), Placement::Send(_)));
    assert_eq!(it.place(at(5_001) + left), Placement::NoTarget);

    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    it.targets.mark_unlisted(&TargetName::new("one"), at(5_000).ago(age));
    assert!(matches!(it.place(at(5_000) + left), Placement::Send(_)));
    assert_eq!(it.place(at(5_001) + left), Placement::NoTarget);
}

/// A latency difference of a third matters less to callers than the traffic between
/// domains does to operators.
#[test]
fn another_domain_is_used_only_where_it_is_much_faster() {
    for (near_ms, wanted) in [(26, "near"), (80, "far")] {
        let mut it = Fixture::new(None);
        let near = it.targets.apply_report(report("near", "a"), at(0));
        it.targets.apply_report(report("far", "b"), at(0));
        let mut now = 0;
        for _ in 0..60 {
            let (first, second) = (it.send(at(now)), it.send(at(now)));
            for send in [first, second] {
                let took = if send.target == near { near_ms } else { 20 };
                it.targets.finish_send(&send, at(now + took), SendResult::Answered);
            }
            now += 100;
        }
        let send = it.send(at(now));
        assert_eq!(it.name(&send), wanted, "{near_ms} ms");
    }
}

#[test]
fn a_draining_target_is_a_fallback_for_a_while() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    let draining =
        TargetReport { lifecycle: Lifecycle::Draining, sequence: 2, ..report("one", "a") };
    it.targets.apply_report(draining, at(0));
    let send = it.send(at(1_000));
    assert_eq!(it.name(&send), "one");
    it.targets.apply_report(report("two", "b"), at(1_100));
    let send = it.send(at(1_200));
    assert_eq!(it.name(&send), "two");
    it.targets.mark_unlisted(&TargetName::new("two"), at(1_300));
    assert_eq!(it.place(at(3_200)), Placement::NoTarget);
}

#[test]
fn an_entry_that_lapsed_and_comes_back_is_used_again() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    it.targets.mark_unlisted(&TargetName::new("one"), at(100));
    let send = it.send(at(1_500));
    it.targets.finish_send(&send, at(1_510), SendResult::Answered);
    it.targets.apply_report(TargetReport { sequence: 9, ..report("one", "a") }, at(2_000));
    let _ = it.send(at(9_000));
}

#[test]
fn an_entry_that_stays_unlisted_is_removed() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    it.targets.retain_listed(&HashSet::default(), at(100), at(100));
    it.targets.remove_unlisted(at(60_000));
    assert_eq!(it.targets.target_count(), 0);
    assert_eq!(it.place(at(60_000)), Placement::NoTarget);
}

#[test]
fn an_older_report_does_not_undo_a_newer_one() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    let draining =
        TargetReport { lifecycle: Lifecycle::Draining, sequence: 5, ..report("one", "a") };
    it.targets.apply_report(draining, at(10));
    it.targets.apply_report(TargetReport { sequence: 4, ..report("one", "a") }, at(20));
    it.targets.apply_report(TargetReport { sequence: 6, ..report("one", "a") }, at(30));
    assert_eq!(it.place(at(5_000)), Placement::NoTarget);
}

#[test]
fn a_target_that_starts_again_under_its_name_is_a_new_one() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    let draining =
        TargetReport { lifecycle: Lifecycle::Draining, sequence: 5, ..report("one", "a") };
    it.targets.apply_report(draining, at(10));
    it.targets
        .apply_report(TargetReport { born: Some(11), sequence: 1, ..report("one", "a") }, at(20));
    let send = it.send(at(5_000));
    it.targets.finish_send(&send, at(5_010), SendResult::Answered);
    let older = TargetReport { born: Some(10), sequence: 99, ..report("one", "b") };
    it.targets.apply_report(older, at(5_100));
    let send = it.send(at(5_200));
    assert_eq!(it.targets.target(send.target).map(|it| it.report.born), Some(Some(11)));
}

#[test]
fn a_target_whose_address_is_anothers_gets_nothing_more() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    let send = it.send(at(1));
    it.targets.finish_send(&send, at(2), SendResult::Misdirected);
    assert_eq!(it.place(at(3)), Placement::NoTarget);
}

#[test]
fn an_evacuated_domain_gets_nothing() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    it.targets.apply_report(report("two", "b"), at(0));
    it.targets.set_evacuated([DomainName::new("a")].into_iter().collect(), at(0));
    let send = it.send(at(1));
    assert_eq!(it.name(&send), "two");
    it.targets.set_evacuated(["a", "b"].into_iter().map(DomainName::new).collect(), at(1));
    assert_eq!(it.place(at(2)), Placement::NoTarget);
}

#[test]
fn only_the_regions_of_a_route_are_used() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    let regions = [RegionName::new("r2")];
    let req =
        PlacementRequest { service: it.service, class: it.class, tried: &[], regions: &regions };
    assert_eq!(it.targets.place(&req, at(1)), Placement::NoTarget);
}

#[test]
fn a_silent_target_gets_nothing_until_it_answers() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    let send = it.send(at(0));
    assert_eq!(it.place(at(300)), Placement::Silent);
    it.targets.finish_send(&send, at(301), SendResult::Answered);
    let _ = it.send(at(302));
}

#[test]
fn a_long_request_at_a_target_that_answers_others_does_not_make_it_silent() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    let long = it.send(at(0));
    for ms in (10..1_000).step_by(10) {
        let send = it.send(at(ms));
        it.targets.finish_send(&send, at(ms + 9), SendResult::Answered);
    }
    it.targets.finish_send(&long, at(1_000), SendResult::Silent);
    let _ = it.send(at(1_001));
}

#[test]
fn a_target_that_is_down_is_probed_without_requests() {
    let mut it = Fixture::new(None);
    let key = it.targets.apply_report(report("one", "a"), at(0));
    let send = it.send(at(0));
    it.targets.finish_send(&send, at(1_000), SendResult::Silent);
    assert_eq!(it.place(at(1_001)), Placement::Silent);
    assert!(it.targets.due_probes(at(1_050)).is_empty());
    assert_eq!(it.targets.due_probes(at(1_100)), [key]);
    assert!(it.targets.due_probes(at(1_101)).is_empty(), "the next probe is later");
    it.targets.probe_succeeded(key, at(1_150));
    let _ = it.send(at(1_151));
}

#[test]
fn only_the_smaller_side_of_a_partition_is_isolated() {
    let set = |names: &[&str]| names.iter().map(|it| DomainName::new(it)).collect::<HashSet<_>>();
    // One domain of three: targets and hosts of both others are silent.
    assert_eq!(partitioned_domains(&set(&["b", "c"]), &set(&["b", "c"]), 2), set(&["b", "c"]));
    // The larger side: only one domain is silent.
    assert!(partitioned_domains(&set(&["b"]), &set(&["b"]), 2).is_empty());
    // Targets of both other domains crashed, but their hosts are reachable.
    assert!(partitioned_domains(&set(&["b", "c"]), &set(&[]), 2).is_empty());
    // Two domains: neither side is smaller.
    assert!(partitioned_domains(&set(&["b"]), &set(&["b"]), 1).is_empty());
}

/// A host that starts does not know for how long a target has been draining.
#[test]
fn a_target_first_reported_as_draining_gets_nothing() {
    let mut it = Fixture::new(None);
    let draining = TargetReport { lifecycle: Lifecycle::Draining, ..report("one", "a") };
    it.targets.apply_report(draining, at(0));
    assert_eq!(it.place(at(1)), Placement::NoTarget);
}

#[test]
fn a_target_that_began_to_drain_during_a_gap_gets_nothing() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    let draining =
        TargetReport { lifecycle: Lifecycle::Draining, sequence: 2, ..report("one", "a") };
    it.targets.apply_late_report(draining, at(5_000));
    assert_eq!(it.place(at(5_001)), Placement::NoTarget);
}
