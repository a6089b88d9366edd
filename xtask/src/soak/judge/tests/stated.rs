//! What targets state in their answers.

use super::*;
use crate::soak::record::{Arrival, Reply};

const CONNECTION: u64 = 5;

fn arrival(id: &str, at: u64, reply: Reply) -> Arrival {
    let id = Some(id.to_owned());
    let (process, target) = (1, "i-1".to_owned());
    Arrival { id, at: ms(at), process, target, connection: CONNECTION, reply: Some(reply) }
}

/// Adds an attempt that reaches the target, which says that it leaves.
fn add_told(record: &mut Record, id: &str, sent: u64) {
    add_served(record, id, "/core/1", OLD, sent);
    let stamp = Some(format!("1.{id}"));
    let reply = Reply { at: ms(sent + 30), status: 200, stamp, is_leaving: true, pause: None };
    record.arrivals.push(arrival(id, sent + 5, reply));
}

/// Adds an attempt that the target rejects, and may ask for a pause.
fn add_rejected(record: &mut Record, id: &str, sent: u64, pause: Option<u64>) {
    record.attempts.push(attempt(id, "/core/1", sent, 503));
    let pause = pause.map(ms);
    let reply = Reply { at: ms(sent), status: 503, pause, ..Reply::default() };
    record.arrivals.push(arrival(id, sent, reply));
}

#[test]
fn a_request_that_reaches_a_target_that_said_that_it_leaves_breaks_drain() {
    let mut record = record();
    add_told(&mut record, "a", 20_000);
    add_told(&mut record, "b", 23_040);
    assert_eq!(count(&record, Rule::Leaving), 0);
    add_told(&mut record, "c", 23_041);
    assert_eq!(count(&record, Rule::Leaving), 1);
    record.arrivals[2].reply.as_mut().unwrap().status = 421;
    assert_eq!(count(&record, Rule::Leaving), 0);
}

#[test]
fn another_host_or_target_was_not_told_that_the_target_leaves() {
    let mut of_host = record();
    add_told(&mut of_host, "a", 20_000);
    add_told(&mut of_host, "b", 24_000);
    of_host.attempts[1].host = 1;
    of_host.arrivals[1].connection += 1;
    assert_eq!(count(&of_host, Rule::Leaving), 0);
    let mut of_target = record();
    add_told(&mut of_target, "a", 20_000);
    add_told(&mut of_target, "b", 24_000);
    of_target.arrivals[1].process += 1;
    assert_eq!(count(&of_target, Rule::Leaving), 0);
}

#[test]
fn only_a_restart_or_a_freeze_since_then_excuses_requests_to_a_target_that_leaves() {
    for (place, from, until, cases) in [
        (Place::Host(0), 20_100, 20_200, 0),
        (Place::Host(0), 18_000, 19_900, 1),
        (Place::Host(1), 20_100, 20_200, 1),
        (Place::StorePath(0), 18_000, 30_000, 1),
        (Place::Store, 18_000, 30_000, 1),
    ] {
        let mut record = record();
        add_told(&mut record, "a", 20_000);
        add_told(&mut record, "b", 24_000);
        disrupt(&mut record, place, from, until);
        assert_eq!(count(&record, Rule::Leaving), cases, "{place:?} {from}");
    }
}

#[test]
fn a_leave_that_only_a_refusal_told_is_suspected() {
    let mut record = record();
    add_rejected(&mut record, "a", 20_000, None);
    record.arrivals[0].reply.as_mut().unwrap().is_leaving = true;
    add_told(&mut record, "b", 24_000);
    let findings = judge(&record);
    assert_eq!(findings.len(), 1);
    assert_eq!(findings[0].rule, Rule::Leaving);
    assert_eq!(findings[0].certainty, Certainty::Suspected);
}

#[test]
fn more_than_two_requests_in_a_pause_break_budget() {
    let mut record = record();
    add_rejected(&mut record, "a", 20_000, Some(2_000));
    for (id, sent) in [("b", 20_400), ("c", 20_600), ("d", 21_900), ("e", 22_100)] {
        add_rejected(&mut record, id, sent, None);
    }
    assert_eq!(count(&record, Rule::Pause), 0);
    add_rejected(&mut record, "f", 21_000, None);
    assert_eq!(count(&record, Rule::Pause), 1);
    record.arrivals[1].process += 1;
    record.arrivals[2].process += 1;
    assert_eq!(count(&record, Rule::Pause), 0);
}

#[test]
fn health_checks_count_in_a_pause() {
    let mut record = record();
    add_rejected(&mut record, "a", 20_000, Some(2_000));
    for sent in [20_600, 20_800, 21_000] {
        let mut health = arrival("", sent, Reply { status: 200, ..Reply::default() });
        health.id = None;
        record.arrivals.push(health);
    }
    assert_eq!(count(&record, Rule::Pause), 1);
}

#[test]
fn a_restart_a_freeze_or_a_cut_of_the_host_excuses_requests_in_a_pause() {
    for (place, cases) in
        [(Place::Host(0), 0), (Place::StorePath(0), 0), (Place::Host(1), 1), (Place::Store, 1)]
    {
        let mut record = record();
        add_rejected(&mut record, "a", 20_000, Some(2_000));
        for (id, sent) in [("b", 20_600), ("c", 20_700), ("d", 20_800)] {
            add_rejected(&mut record, id, sent, None);
        }
        disrupt(&mut record, place, 20_300, 20_400);
        assert_eq!(count(&record, Rule::Pause), cases, "{place:?}");
    }
}

#[test]
fn a_connection_that_carries_requests_of_several_hosts_tells_no_sender() {
    let mut record = record();
    add_told(&mut record, "a", 20_000);
    add_told(&mut record, "b", 24_000);
    record.attempts[1].host = 1;
    assert_eq!(count(&record, Rule::Leaving), 0);
}

/// Two senders that served a host each may both count as this host.
#[test]
fn what_targets_state_is_suspected_where_hosts_pass_requests_on() {
    let mut record = record();
    for (id, sent) in [("a", 20_000), ("b", 24_000)] {
        add_told(&mut record, id, sent);
    }
    add_rejected(&mut record, "c", 25_000, Some(2_000));
    for (id, sent) in [("d", 25_600), ("e", 25_700), ("f", 25_800)] {
        add_rejected(&mut record, id, sent, None);
    }
    let shown = |record: &Record| {
        let findings = judge(record).into_iter();
        findings.filter(|it| it.certainty == Certainty::Shown).map(|it| it.rule).collect::<Vec<_>>()
    };
    let pause_and_leave =
        |rules: &[Rule]| rules.contains(&Rule::Pause) && rules.contains(&Rule::Leaving);
    assert!(pause_and_leave(&shown(&record)));
    // A connection that carries the requests of two hosts.
    for (id, host) in [("x", 0), ("y", 1)] {
        add_rejected(&mut record, id, 30_000, None);
        record.attempts.last_mut().unwrap().host = host;
        record.arrivals.last_mut().unwrap().connection += 1;
    }
    assert_eq!(shown(&record), []);
    assert!(count(&record, Rule::Pause) > 0 && count(&record, Rule::Leaving) > 0);
}
