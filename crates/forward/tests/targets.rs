//! Placement: reports of targets, draining, evacuation, silence, cold targets,
//! reach.

use std::{sync::Arc, time::Duration};

use base::{DomainName, HashSet, RegionName, ServiceName, TargetName, Time};
use forward::{
    Lifecycle, Placement, Service, TargetReport, Targets,
    budget::RetryLimits,
    isolation::cut_off,
    placement::{Ask, ClassKey, Limits, Send, ServiceKey},
    route::Configuration,
    target::SendResult,
};

const LEAVING_FOR: Duration = Duration::from_millis(1_800);

struct Fixture {
    core: Targets<u32>,
    service: ServiceKey,
    class: ClassKey,
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn report(name: &str, domain: &str) -> TargetReport {
    TargetReport {
        name: TargetName::new(name),
        born: Some(10),
        sequence: 1,
        service: ServiceName::new("s"),
        address: ([127, 0, 0, 1], 1_000).into(),
        domain: DomainName::new(domain),
        slots: 2,
        lifecycle: Lifecycle::Ready,
        cold_for: Duration::ZERO,
    }
}

impl Fixture {
    fn new(warmup_rate: Option<f64>) -> Fixture {
        let limits = Limits {
            retry: RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 10.0 },
            cold_ratio: 1.5,
            cold_slack: 5.0,
            cross_domain: Duration::from_millis(3),
            leaving_for: LEAVING_FOR,
        };
        let regions = [("a", "r1"), ("b", "r1"), ("c", "r2")];
        let regions =
            regions.iter().map(|(zone, region)| (DomainName::new(zone), RegionName::new(region)));
        let mut core = Targets::new(limits, DomainName::new("a"), regions.collect());
        core.set_hosts(1);
        let name = ServiceName::new("s");
        let service = Service {
            health_path: Arc::from("/health"),
            max_connections: 20,
            warmup: Duration::from_secs(3),
            warmup_rate,
        };
        let services = [(name.clone(), service)].into_iter().collect();
        core.configure(&Configuration { version: 1, services, ..Default::default() });
        let service = core.service(&name);
        let class = core.class(&Arc::from("route"));
        Fixture { core, service, class }
    }

    fn place(&mut self, now: Time) -> Placement {
        let ask = Ask { service: self.service, class: self.class, tried: &[], regions: &[] };
        self.core.place(&ask, now)
    }

    fn send(&mut self, now: Time) -> Send {
        match self.place(now) {
            Placement::Send(send) => send,
            other => panic!("not sent at {now:?}: {other:?}"),
        }
    }

    fn name(&self, send: &Send) -> String {
        self.core.target(send.target).expect("a known target").report.name.to_string()
    }
}

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
    it.core.removed(&TargetName::new("one"), age, at(5_000));
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
fn sends_in_flight_stay_within_the_hosts_share_of_connections() {
    for hosts in 1..40 {
        let mut it = Fixture::new(None);
        it.core.set_hosts(hosts);
        it.core.reported(report("one", "a"), at(0));
        let placed = (0..100).filter(|_| matches!(it.place(at(0)), Placement::Send(_))).count();
        assert!(placed >= 1);
        assert!(placed * hosts <= 20.max(hosts), "{placed} on each of {hosts} hosts");
    }
}

#[test]
fn one_connection_is_used_until_the_number_of_hosts_is_known() {
    let mut core: Targets<u32> = {
        let limits = Limits {
            retry: RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 10.0 },
            cold_ratio: 1.0,
            cold_slack: 0.0,
            cross_domain: Duration::ZERO,
            leaving_for: LEAVING_FOR,
        };
        Targets::new(limits, DomainName::new("a"), Default::default())
    };
    let service = core.service(&ServiceName::new("s"));
    assert_eq!(core.connection_share(service), 1);
}

/// Over all hosts, a cold target gets no more than it bears in any second.
#[test]
fn a_cold_target_gets_what_it_bears_over_all_hosts() {
    const HOSTS: usize = 6;
    let mut arrivals = Vec::new();
    for host in 0..HOSTS as u64 {
        let mut it = Fixture::new(Some(20.0));
        it.core.set_hosts(HOSTS);
        let cold = TargetReport { cold_for: Duration::from_secs(4), ..report("one", "a") };
        it.core.reported(cold, at(0));
        for ms in (host..4_000).step_by(7) {
            if let Placement::Send(send) = it.place(at(ms)) {
                it.core.finished(&send, at(ms + 1), SendResult::Answered);
                arrivals.push(ms);
            }
        }
    }
    for start in 0..3_000 {
        let count = arrivals.iter().filter(|it| (start..start + 1_000).contains(*it)).count();
        assert!(count as f64 <= 20.0 * 1.5 + 5.0, "{count} from {start} ms");
    }
    assert!(!arrivals.is_empty());
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

/// Targets may turn cold while nothing is sent to them.
#[test]
fn targets_of_a_domain_that_returns_count_as_cold() {
    let mut it = Fixture::new(Some(4.0));
    it.core.set_hosts(1);
    it.core.reported(report("one", "a"), at(0));
    it.core.set_evacuated([DomainName::new("a")].into_iter().collect(), at(0));
    it.core.set_evacuated(HashSet::default(), at(10_000));
    let mut placed = 0;
    for ms in 10_000..11_000 {
        if let Placement::Send(send) = it.place(at(ms)) {
            it.core.finished(&send, at(ms), SendResult::Answered);
            placed += 1;
        }
    }
    // What it bears: 4 a second by 1.5, and 5 beside that.
    assert!((1..=11).contains(&placed), "{placed}");
}

#[test]
fn a_target_that_was_down_counts_as_cold_when_it_is_reached() {
    let mut it = Fixture::new(Some(4.0));
    let key = it.core.reported(report("one", "a"), at(0));
    let send = it.send(at(0));
    it.core.finished(&send, at(1_000), SendResult::Silent);
    it.core.reached(key, at(2_000));
    assert!(it.core.target(key).is_some_and(|it| it.is_cold(at(2_500))));
}

#[test]
fn each_new_target_gets_one_connection_ahead_of_its_first_request() {
    let mut it = Fixture::new(None);
    for i in 0..10 {
        it.core.reported(report(&format!("t{i}"), "a"), at(0));
    }
    let mut all = Vec::new();
    for ms in 0..10 {
        all.extend(it.core.due_first_connections(at(ms)));
    }
    all.sort();
    all.dedup();
    assert_eq!(all.len(), 10);
    assert!(it.core.due_first_connections(at(20)).is_empty());
    // Twenty hosts share twenty connections a target: none to spare.
    it.core.set_hosts(20);
    it.core.reported(report("late", "a"), at(30));
    assert!(it.core.due_first_connections(at(30)).is_empty());
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

/// Many hosts and a target that bears little: each host sends seldom, and none
/// never.
#[test]
fn a_share_below_one_a_second_is_spread_over_several_seconds() {
    let mut it = Fixture::new(Some(1.0));
    it.core.set_hosts(30);
    let cold = TargetReport { cold_for: Duration::from_secs(60), ..report("one", "a") };
    it.core.reported(cold, at(0));
    let mut placed = 0;
    for ms in 0..60_000 {
        if let Placement::Send(send) = it.place(at(ms)) {
            it.core.finished(&send, at(ms), SendResult::Answered);
            placed += 1;
        }
    }
    // It bears 6.5 a second from all: 390 in a minute from 40 hosts.
    assert!((3..=9).contains(&placed), "{placed}");
}
