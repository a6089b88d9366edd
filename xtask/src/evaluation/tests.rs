use std::{collections::BTreeMap, time::Duration};

use standins::targets::RunCount;

use super::{Measurements, fairness::fair_shares};
use crate::{
    load::{Call, CallOutcome, CallResult, answer::AnswerFaults},
    monitor::Counters,
    scenario::CallKind,
};

fn result(service: &str, key: &str, outcome: CallOutcome) -> CallResult {
    let call = Call {
        at: Duration::ZERO,
        group: "g".into(),
        service: service.to_owned(),
        kind: CallKind::Query,
        key: key.to_owned(),
        body: String::new(),
        resends: 0,
        timeout: Duration::ZERO,
    };
    CallResult {
        call,
        domain: "a".to_owned(),
        latency: Duration::from_millis(10),
        lag: Duration::ZERO,
        outcome,
        faults: AnswerFaults::default(),
        sends: 1,
        may_have_run_before: false,
        is_host_stopping: false,
        body: Vec::new(),
    }
}

fn answered(service: &str, key: &str) -> CallResult {
    result(service, key, CallOutcome::Answered { answered: 2, total: 2 })
}

fn not_run(service: &str, key: &str) -> CallResult {
    let reason = "overloaded".to_owned();
    let outcome = "not_run".to_owned();
    result(service, key, CallOutcome::Refused { status: 503, reason, outcome })
}

fn run(key: &str, is_idempotent: bool, count: u32) -> RunCount {
    RunCount { service: "s".to_owned(), shard: 0, key: key.to_owned(), is_idempotent, count }
}

fn measurements(results: Vec<CallResult>, runs: Vec<RunCount>) -> Measurements {
    Measurements {
        results,
        settle: Duration::ZERO,
        duration: Duration::from_secs(1),
        fairness_from: Duration::ZERO,
        records: Vec::new(),
        runs,
        counters: [Counters::default(); 2],
        platform_calls: 0,
        hosts: 1,
        slots: 1,
        failed_stops: 0,
        config_rollout_time: Duration::ZERO,
        config_reverts: 0,
        logged_invariant_violations: 0,
    }
}

#[test]
fn duplicate_runs_and_false_not_run_are_counted_over_all_targets() {
    // Two targets ran the same non-idempotent key on the same shard.
    let runs = vec![run("k1", false, 1), run("k1", false, 1), run("k2", true, 1)];
    let results = vec![answered("s", "k1"), not_run("s", "k2"), not_run("s", "k3")];
    let summary = measurements(results, runs).summary();
    assert_eq!(summary.duplicate_runs, 1);
    assert_eq!(summary.false_not_run, 1);
    assert_eq!(summary.broken_guarantees(), ["false_not_run", "duplicate_runs"]);
}

#[test]
fn not_run_is_not_counted_as_false_if_an_earlier_send_may_have_run() {
    let mut resent = not_run("s", "k1");
    resent.may_have_run_before = true;
    let results = vec![resent, not_run("s", "k2")];
    let runs = vec![run("k1", true, 1), run("k2", true, 1)];
    assert_eq!(measurements(results, runs).summary().false_not_run, 1);
}

#[test]
fn extra_load_counts_runs_beyond_the_first() {
    let runs = vec![run("k1", true, 1), run("k1", true, 1), run("k2", true, 1), run("k3", true, 1)];
    let summary = measurements(vec![answered("s", "k1")], runs).summary();
    assert!((summary.extra_load_ratio - 1.0 / 3.0).abs() < 1e-9);
}

#[test]
fn fairness_is_one_when_only_the_greedy_service_is_refused() {
    let mut results: Vec<_> = (0..4).map(|_| answered("modest", "k")).collect();
    results.extend((0..4).map(|_| answered("greedy", "k")));
    results.extend((0..36).map(|_| not_run("greedy", "k")));
    assert!(measurements(results, Vec::new()).summary().fairness_jain > 0.999);
    let mut results: Vec<_> = (0..4).map(|_| not_run("modest", "k")).collect();
    results.extend((0..40).map(|_| answered("greedy", "k")));
    assert!(measurements(results, Vec::new()).summary().fairness_jain < 0.6);
}

#[test]
fn fair_shares_redistribute_unused_capacity() {
    assert_eq!(fair_shares(&[10.0, 100.0, 100.0], 70.0), [10.0, 30.0, 30.0]);
}

#[test]
fn values_are_found_by_key_and_as_ratios() {
    let summary = measurements(vec![answered("s", "k")], Vec::new()).summary();
    assert_eq!(summary.value("groups.g.answered"), Some(1.0));
    assert_eq!(summary.value("groups.g.answered / requests"), Some(1.0));
    assert_eq!(summary.value("nonsense"), None);
    let keys: BTreeMap<&str, bool> =
        super::super::report::KEYS.iter().map(|it| (*it, summary.value(it).is_some())).collect();
    assert!(keys.values().all(|it| *it), "{keys:?}");
}
