//! Limits of connections and of requests to cold targets, over all hosts.

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
        it.targets.set_hosts(hosts);
        it.targets.apply_report(report("one", "a"), at(0));
        let placed = (0..100).filter(|_| matches!(it.place(at(0)), Placement::Send(_))).count();
        assert!(placed >= 1);
        assert!(placed * hosts <= 20.max(hosts), "{placed} on each of {hosts} hosts");
    }
}

#[test]
fn one_connection_is_used_until_the_number_of_hosts_is_known() {
    let mut targets: Targets<u32> = {
        let limits = Limits {
            retry: RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 10.0 },
            cold_ratio: 1.0,
            cold_slack: 0.0,
            cross_domain: Duration::ZERO,
            leaving_for: LEAVING_FOR,
        };
        Targets::new(limits, DomainName::new("a"), Default::default())
    };
    let service = targets.service(&ServiceName::new("s"));
    assert_eq!(targets.connection_share(service), 1);
}

/// Each host counts only its own requests to a cold target. Their sum in any second
/// must stay within the limit.
#[test]
fn a_cold_target_gets_no_more_than_its_limit_from_all_hosts() {
    const HOSTS: usize = 6;
    let mut arrivals = Vec::new();
    for host in 0..HOSTS as u64 {
        let mut it = Fixture::new(Some(20.0));
        it.targets.set_hosts(HOSTS);
        let cold = TargetReport { cold_for: Duration::from_secs(4), ..report("one", "a") };
        it.targets.apply_report(cold, at(0));
        for ms in (host..4_000).step_by(7) {
            if let Placement::Send(send) = it.place(at(ms)) {
                it.targets.finish_send(&send, at(ms + 1), SendResult::Answered);
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

/// Targets may turn cold while they get no requests.
#[test]
fn targets_of_a_domain_that_returns_count_as_cold() {
    let mut it = Fixture::new(Some(4.0));
    it.targets.set_hosts(1);
    it.targets.apply_report(report("one", "a"), at(0));
    it.targets.set_evacuated([DomainName::new("a")].into_iter().collect(), at(0));
    it.targets.set_evacuated(HashSet::default(), at(10_000));
    let mut placed = 0;
    for ms in 10_000..11_000 {
        if let Placement::Send(send) = it.place(at(ms)) {
            it.targets.finish_send(&send, at(ms), SendResult::Answered);
            placed += 1;
        }
    }
    // The limit is 4 per second times 1.5, plus 5.
    assert!((1..=11).contains(&placed), "{placed}");
}

#[test]
fn a_target_that_was_down_counts_as_cold_when_it_is_reached() {
    let mut it = Fixture::new(Some(4.0));
    let key = it.targets.apply_report(report("one", "a"), at(0));
    let send = it.send(at(0));
    it.targets.finish_send(&send, at(1_000), SendResult::Silent);
    it.targets.probe_succeeded(key, at(2_000));
    assert!(it.targets.target(key).is_some_and(|it| it.is_cold(at(2_500))));
}

#[test]
fn each_new_target_gets_one_connection_ahead_of_its_first_request() {
    let mut it = Fixture::new(None);
    for i in 0..10 {
        it.targets.apply_report(report(&format!("t{i}"), "a"), at(0));
    }
    let mut all = Vec::new();
    for ms in 0..10 {
        all.extend(it.targets.due_first_connections(at(ms)));
    }
    all.sort();
    all.dedup();
    assert_eq!(all.len(), 10);
    assert!(it.targets.due_first_connections(at(20)).is_empty());
    // 20 hosts share 20 connections to a target, so none is opened ahead.
    it.targets.set_hosts(20);
    it.targets.apply_report(report("late", "a"), at(30));
    assert!(it.targets.due_first_connections(at(30)).is_empty());
}

/// With many hosts and a low capacity each host's share is less than one request
/// per second. Rounded down to zero, the target would never get a request.
#[test]
fn a_share_below_one_a_second_is_spread_over_several_seconds() {
    let mut it = Fixture::new(Some(1.0));
    it.targets.set_hosts(30);
    let cold = TargetReport { cold_for: Duration::from_secs(60), ..report("one", "a") };
    it.targets.apply_report(cold, at(0));
    let mut placed = 0;
    for ms in 0..60_000 {
        if let Placement::Send(send) = it.place(at(ms)) {
            it.targets.finish_send(&send, at(ms), SendResult::Answered);
            placed += 1;
        }
    }
    // The limit is 6.5 per second from all hosts: 390 in a minute from 40 hosts.
    assert!((3..=9).contains(&placed), "{placed}");
}
