//! What targets bear: cold ones, and connections, over all hosts.

mod fixture;

use std::time::Duration;

use base::{DomainName, HashSet, ServiceName};
use forward::{
    Placement, TargetReport, Targets, budget::RetryLimits, placement::Limits, target::SendResult,
};

use fixture::{Fixture, LEAVING_FOR, at, report};

#[test]
fn sends_in_flight_stay_within_the_hosts_share_of_connections() {
    for hosts in 1..40 {
        let mut it = Fixture::new(None);
        it.core.set_hosts(hosts);
        it.core.apply_report(report("one", "a"), at(0));
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
        it.core.apply_report(cold, at(0));
        for ms in (host..4_000).step_by(7) {
            if let Placement::Send(send) = it.place(at(ms)) {
                it.core.finish_send(&send, at(ms + 1), SendResult::Answered);
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

/// Targets may turn cold while nothing is sent to them.
#[test]
fn targets_of_a_domain_that_returns_count_as_cold() {
    let mut it = Fixture::new(Some(4.0));
    it.core.set_hosts(1);
    it.core.apply_report(report("one", "a"), at(0));
    it.core.set_evacuated([DomainName::new("a")].into_iter().collect(), at(0));
    it.core.set_evacuated(HashSet::default(), at(10_000));
    let mut placed = 0;
    for ms in 10_000..11_000 {
        if let Placement::Send(send) = it.place(at(ms)) {
            it.core.finish_send(&send, at(ms), SendResult::Answered);
            placed += 1;
        }
    }
    // What it bears: 4 a second by 1.5, and 5 beside that.
    assert!((1..=11).contains(&placed), "{placed}");
}

#[test]
fn a_target_that_was_down_counts_as_cold_when_it_is_reached() {
    let mut it = Fixture::new(Some(4.0));
    let key = it.core.apply_report(report("one", "a"), at(0));
    let send = it.send(at(0));
    it.core.finish_send(&send, at(1_000), SendResult::Silent);
    it.core.probe_succeeded(key, at(2_000));
    assert!(it.core.target(key).is_some_and(|it| it.is_cold(at(2_500))));
}

#[test]
fn each_new_target_gets_one_connection_ahead_of_its_first_request() {
    let mut it = Fixture::new(None);
    for i in 0..10 {
        it.core.apply_report(report(&format!("t{i}"), "a"), at(0));
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
    it.core.apply_report(report("late", "a"), at(30));
    assert!(it.core.due_first_connections(at(30)).is_empty());
}

/// Many hosts and a target that bears little: each host sends seldom, and none
/// never.
#[test]
fn a_share_below_one_a_second_is_spread_over_several_seconds() {
    let mut it = Fixture::new(Some(1.0));
    it.core.set_hosts(30);
    let cold = TargetReport { cold_for: Duration::from_secs(60), ..report("one", "a") };
    it.core.apply_report(cold, at(0));
    let mut placed = 0;
    for ms in 0..60_000 {
        if let Placement::Send(send) = it.place(at(ms)) {
            it.core.finish_send(&send, at(ms), SendResult::Answered);
            placed += 1;
        }
    }
    // It bears 6.5 a second from all: 390 in a minute from 40 hosts.
    assert!((3..=9).contains(&placed), "{placed}");
}
