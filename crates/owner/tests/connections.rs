//! Tests of the owner against scripted targets over real sockets: the part that
//! results from each failure of a connection.

mod common;

use std::{sync::atomic::Ordering, time::Duration};

use assert_matches::assert_matches;
use base::{AttemptId, Missing, Outcome, RequestId, Share, Time};
use policy::message::PartResult;
use tokio::sync::mpsc;

use crate::common::{
    FakeTarget, RESULT_TIMEOUT, SNAPSHOT, Script, batch, now, owner_of, run, share,
};

/// Runs one subquery against a target that follows `scripts`.
async fn result_of(scripts: &'static [Script]) -> PartResult {
    let target = FakeTarget::start(scripts).await;
    let owner = owner_of(target.address, share());
    run(&owner, batch([1])).await.remove(0).result
}

#[tokio::test]
async fn answers_carry_snapshot_and_status() {
    let target = FakeTarget::start(&[Script::Answer]).await;
    let owner = owner_of(target.address, share());
    let parts = run(&owner, batch(1..=20)).await;
    for part in &parts {
        assert_matches!(&part.result, PartResult::Answer { snapshot, body } => {
            assert_eq!(*snapshot, SNAPSHOT);
            assert_eq!(&**body, b"answer");
        });
        let status = part.status.as_ref().unwrap();
        assert_eq!(status.snapshots.last(), Some(&SNAPSHOT));
        assert!(status.is_up && !status.is_leaving);
    }
    assert_eq!(owner.status(None).await.len(), 1);
    assert_eq!(owner.status(Some("other".into())).await.len(), 0);
}

#[tokio::test]
async fn unknown_target_is_not_run() {
    let target = FakeTarget::start(&[Script::Answer]).await;
    let owner = owner_of(target.address, share());
    let mut batch = batch([1]);
    batch.subqueries[0].target = "elsewhere".into();
    let part = run(&owner, batch).await.remove(0);
    let PartResult::Failed { missing, outcome } = part.result else { panic!("answered") };
    assert_eq!((missing, outcome), (Missing::OwnerUnreachable, Outcome::NotRun));
}

#[tokio::test]
async fn invalid_answers_fail_as_may_have_run() {
    let cases: [(&'static [Script], Missing); 4] = [
        (&[Script::WrongId], Missing::WrongId),
        (&[Script::WrongSnapshot], Missing::WrongSnapshot),
        (&[Script::Truncated], Missing::Truncated),
        (&[Script::Crash], Missing::ConnectionLost),
    ];
    for (scripts, expected) in cases {
        let PartResult::Failed { missing, outcome } = result_of(scripts).await else {
            panic!("{scripts:?} answered")
        };
        assert_eq!((missing, outcome), (expected, Outcome::MayHaveRun));
    }
}

#[tokio::test]
async fn shed_work_is_not_run() {
    let result = result_of(&[Script::Shed]).await;
    let expected = PartResult::Failed { missing: Missing::Shed, outcome: Outcome::NotRun };
    assert_eq!(result, expected);
}

#[tokio::test]
async fn each_answer_that_closes_its_connection_is_replaced_by_a_new_one() {
    let target = FakeTarget::start(&[Script::AnswerAndClose]).await;
    let owner = owner_of(target.address, share());
    let parts = run(&owner, batch(1..=30)).await;
    for part in parts {
        assert_matches!(part.result, PartResult::Answer { .. });
    }
    // A query is never sent again over a connection that was reopened unknown to
    // the owner.
    assert_eq!(target.counters.queries.load(Ordering::Relaxed), 30);
}

#[tokio::test]
async fn silent_connection_is_closed_and_target_keeps_serving() {
    let target = FakeTarget::start(&[Script::Silent, Script::Answer]).await;
    let owner = owner_of(target.address, share());
    let mut first = batch([1]);
    first.time_left = Duration::from_millis(100);
    let part = run(&owner, first).await.remove(0);
    let missing = assert_failed(&part.result);
    assert_eq!(missing, (Missing::Deadline, Outcome::MayHaveRun));
    let parts = run(&owner, batch(2..=5)).await;
    for part in parts {
        assert_matches!(part.result, PartResult::Answer { .. });
    }
}

#[tokio::test]
async fn cancellation_reaches_the_target() {
    let target = FakeTarget::start(&[Script::UntilCancelled]).await;
    let owner = owner_of(target.address, share());
    let (tx, mut rx) = mpsc::channel(1);
    owner.run(batch([1]), tx);
    while target.counters.queries.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    owner.cancel(RequestId(1), vec![AttemptId(1)]);
    let part = tokio::time::timeout(RESULT_TIMEOUT, rx.recv()).await.unwrap().unwrap();
    assert_eq!(assert_failed(&part.result), (Missing::Cancelled, Outcome::MayHaveRun));
    assert_eq!(target.counters.cancelled.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn dropped_receiver_cancels_idempotent_work() {
    let target = start_query_and_drop_receiver(true).await;
    let cancelled = async {
        while target.counters.cancelled.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(RESULT_TIMEOUT, cancelled).await.unwrap();
}

#[tokio::test]
async fn dropped_receiver_does_not_cancel_non_idempotent_work() {
    let target = start_query_and_drop_receiver(false).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(target.counters.cancelled.load(Ordering::Relaxed), 0);
}

/// Returns a target that was running a query when its receiver was dropped.
async fn start_query_and_drop_receiver(is_idempotent: bool) -> FakeTarget {
    let target = FakeTarget::start(&[Script::UntilCancelled]).await;
    let owner = owner_of(target.address, share());
    let (tx, rx) = mpsc::channel(1);
    owner.run(policy::message::Batch { is_idempotent, ..batch([1]) }, tx);
    while target.counters.queries.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    drop(rx);
    // Keep a handle, so that the owner does not end.
    tokio::spawn(async move {
        tokio::time::sleep(RESULT_TIMEOUT).await;
        drop(owner);
    });
    target
}

#[tokio::test]
async fn nothing_is_sent_on_a_stale_lease() {
    let target = FakeTarget::start(&[Script::Answer]).await;
    let _ = now();
    let stale = Share { valid_until: Some(Time::from_millis(1)), ..share() };
    let owner = owner_of(target.address, stale);
    let part = run(&owner, batch([1])).await.remove(0);
    assert_eq!(assert_failed(&part.result), (Missing::OwnerUnreachable, Outcome::NotRun));
    assert_eq!(target.counters.queries.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn unreachable_target_is_reported_as_down() {
    let unused = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = unused.local_addr().unwrap();
    drop(unused);
    let owner = owner_of(address, share());
    let part = run(&owner, batch([1])).await.remove(0);
    assert_eq!(assert_failed(&part.result), (Missing::NoTarget, Outcome::NotRun));
    assert!(!owner.status(None).await[0].is_up);
}

#[tokio::test]
async fn drain_waits_for_admitted_work_and_refuses_new() {
    let target = FakeTarget::start(&[Script::Answer]).await;
    let owner = owner_of(target.address, share());
    let (tx, mut rx) = mpsc::channel(20);
    owner.run(batch(1..=20), tx);
    tokio::time::timeout(RESULT_TIMEOUT, owner.drain()).await.unwrap();
    for _ in 0..20 {
        let part = rx.try_recv().expect("drained before all parts were out");
        assert_matches!(part.result, PartResult::Answer { .. });
    }
    let part = run(&owner, batch([21])).await.remove(0);
    assert_eq!(assert_failed(&part.result), (Missing::Refused, Outcome::NotRun));
}

#[track_caller]
fn assert_failed(result: &PartResult) -> (Missing, Outcome) {
    let PartResult::Failed { missing, outcome } = result else { panic!("answered: {result:?}") };
    (*missing, *outcome)
}
