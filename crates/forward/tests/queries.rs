//! One query: where its parts go, when they are sent again, how it ends.

mod services;

use std::time::Duration;

use base::Time;
use forward::{
    Query, Verdict,
    query::Step,
    target::{ReportedLoad, SendResult},
};
use services::{ServicesFixture, at};

const UNTIL: u64 = 1_000;

fn sent(step: Option<Step>) -> forward::placement::Send {
    match step {
        Some(Step::Send { send, .. }) => send,
        other => panic!("not sent: {other:?}"),
    }
}

fn place(query: &mut Query, it: &mut ServicesFixture, now: Time) -> forward::placement::Send {
    sent(query.place(&mut it.core, 0, now))
}

/// Ends the send both for its target and for the query.
fn end(
    query: &mut Query,
    it: &mut ServicesFixture,
    send: &forward::placement::Send,
    result: SendResult,
    now: Time,
) -> Option<Step> {
    it.core.finish_send(send, now, result);
    query.finish_send(&mut it.core, 0, send, result, now).step
}

#[test]
fn what_may_have_run_is_sent_again_only_if_it_may_run_again() {
    for (is_idempotent, result, is_again) in [
        (true, SendResult::Broken, true),
        (true, SendResult::Failed, true),
        (true, SendResult::Shed, true),
        (false, SendResult::Broken, false),
        (false, SendResult::Failed, false),
        (false, SendResult::Silent, false),
        (false, SendResult::Shed, true),
        (false, SendResult::Misdirected, true),
        (false, SendResult::NotSent, true),
    ] {
        let mut it = ServicesFixture::new(1, 2);
        let mut query = it.query(1, is_idempotent, UNTIL, at(0));
        let send = place(&mut query, &mut it, at(0));
        let step = end(&mut query, &mut it, &send, result, at(5));
        assert_eq!(step.is_some(), is_again, "{is_idempotent} {result:?}");
        let may_have_run =
            !matches!(result, SendResult::Shed | SendResult::Misdirected | SendResult::NotSent);
        assert_eq!(query.may_have_run(), may_have_run || is_again, "{result:?}");
    }
}

#[test]
fn a_part_runs_at_no_more_targets_than_the_route_allows() {
    let mut it = ServicesFixture::new(1, 6);
    let mut query = it.query(1, true, UNTIL, at(0));
    let mut send = place(&mut query, &mut it, at(0));
    let mut runs = 1;
    while let Some(step) = end(&mut query, &mut it, &send, SendResult::Broken, at(5)) {
        send = sent(Some(step));
        runs += 1;
    }
    assert_eq!(runs, services::ATTEMPTS);
    assert_eq!(query.poll(&mut it.core, at(5)).1, Verdict::GiveUp);
}

/// The sibling is full when the part is late, and free a little later.
#[test]
fn a_hedge_that_finds_no_target_is_tried_again() {
    let mut it = ServicesFixture::new(1, 2);
    it.teach(Duration::from_millis(10));
    let mut query = it.query(1, true, UNTIL, at(1_000));
    let first = place(&mut query, &mut it, at(1_000));
    let sibling = it.other_target(first.target);
    let full = ReportedLoad { running: 3, waiting: 9, at: at(1_001) };
    let busy = it.send_to(sibling, at(1_001));
    it.core.record_load(sibling, full);
    let (steps, verdict) = query.poll(&mut it.core, at(1_020));
    assert_eq!(steps, []);
    let Verdict::Wait(next) = verdict else { panic!("{verdict:?}") };
    assert!(next <= at(1_040), "{next:?}");
    it.core.finish_send(&busy, at(1_025), SendResult::Answered);
    it.core.record_load(sibling, ReportedLoad { running: 0, waiting: 0, at: at(1_025) });
    let (steps, _) = query.poll(&mut it.core, next);
    let [Step::Send { send, .. }] = steps[..] else { panic!("{steps:?}") };
    assert_eq!(send.target, sibling);
}

#[test]
fn only_the_first_answer_of_a_shard_is_a_part() {
    let mut it = ServicesFixture::new(1, 2);
    it.teach(Duration::from_millis(10));
    let mut query = it.query(1, true, UNTIL, at(1_000));
    let first = place(&mut query, &mut it, at(1_000));
    let (steps, _) = query.poll(&mut it.core, at(1_060));
    let [Step::Send { send: hedge, .. }] = steps[..] else { panic!("{steps:?}") };
    for (send, is_part) in [(hedge, true), (first, false)] {
        let ended = query.finish_send(&mut it.core, 0, &send, SendResult::Answered, at(1_070));
        assert_eq!(ended.is_part, is_part);
    }
    assert_eq!(query.poll(&mut it.core, at(1_070)).1, Verdict::Answer);
    assert_eq!(query.extra_sends(), 1);
}

#[test]
fn a_query_with_no_target_at_all_ends_at_once_and_has_not_run() {
    let mut it = ServicesFixture::new(2, 0);
    let mut query = it.query(2, true, UNTIL, at(0));
    for index in 0..2 {
        assert_eq!(query.place(&mut it.core, index, at(0)), None);
    }
    assert_eq!(query.poll(&mut it.core, at(0)).1, Verdict::GiveUp);
    assert!(!query.may_have_run());
}

/// A query that ends now sends nothing more, even if a hedge is due as well.
#[test]
fn no_hedge_goes_out_with_the_answer() {
    let mut it = ServicesFixture::new(2, 2);
    it.teach(Duration::from_millis(10));
    let mut query = it.query(1, true, UNTIL, at(2_000));
    let first = place(&mut query, &mut it, at(2_000));
    sent(query.place(&mut it.core, 1, at(2_000)));
    it.core.finish_send(&first, at(2_010), SendResult::Answered);
    query.finish_send(&mut it.core, 0, &first, SendResult::Answered, at(2_010));
    let settled = query.plan().schedule.settle_at();
    assert_eq!(query.poll(&mut it.core, settled), (Vec::new(), Verdict::Answer));
    assert_eq!(query.extra_sends(), 0);
}

/// An answer names one part at least.
#[test]
fn a_query_over_no_shards_is_no_answer() {
    let mut it = ServicesFixture::new(0, 0);
    let mut query = it.query(1, true, UNTIL, at(0));
    assert_eq!(query.poll(&mut it.core, at(0)).1, Verdict::GiveUp);
}
