//! What waits for targets: in which order, for how long, and what is turned
//! away.

mod services;

use std::time::Duration;

use base::Time;
use forward::{
    Placement,
    placement::{Admission, Arrival, Waiting},
    target::{ReportedLoad, SendResult},
};
use services::{SLOTS, ServicesFixture, at};

fn wait(
    it: &mut ServicesFixture,
    service: usize,
    waiter: &'static str,
    priority: u32,
    in_time_until: u64,
) {
    let (in_time_until, deadline) = (at(in_time_until), at(10_000));
    let waiting = Waiting { priority, in_time_until, deadline, waiter };
    assert!(it.core.enqueue(it.services[service], waiting));
}

fn next(it: &mut ServicesFixture, now: Time) -> Option<&'static str> {
    it.core.pop_waiting(it.services[0], now)
}

fn admit(it: &ServicesFixture, min_services: usize, answer_by: Time, now: Time) -> Admission {
    let (services, class) = (&*it.services, it.class);
    it.core.admit(&Arrival { services, min_services, class, answer_by }, now)
}

/// Ends a send of `service` every 20 ms, while some wait.
fn drain(it: &mut ServicesFixture, service: usize, count: u64) {
    for i in 0..count {
        let send = it.send(service, at(i * 20));
        it.core.finish_send(&send, at((i + 1) * 20), SendResult::Answered);
    }
}

#[test]
fn the_most_urgent_goes_first_then_the_oldest() {
    let mut it = ServicesFixture::new(1, 1);
    wait(&mut it, 0, "late", 0, 50);
    wait(&mut it, 0, "first", 1, 500);
    wait(&mut it, 0, "second", 1, 500);
    wait(&mut it, 0, "urgent", 0, 500);
    let order: Vec<_> = std::iter::from_fn(|| next(&mut it, at(100))).collect();
    assert_eq!(order, ["urgent", "first", "second", "late"]);
}

#[test]
fn what_is_over_leaves_the_queue() {
    let mut it = ServicesFixture::new(1, 1);
    wait(&mut it, 0, "over", 1, 500);
    wait(&mut it, 0, "stays", 1, 500);
    let service = it.services[0];
    it.core.remove_waiting(service, |waiter| *waiter == "over");
    assert_eq!(it.core.waiting_count(), 1);
    assert_eq!(next(&mut it, at(1)), Some("stays"));
    wait(&mut it, 0, "expired", 1, 500);
    assert_eq!(next(&mut it, at(20_000)), None);
}

/// Work waits here, where it can still be withdrawn or go elsewhere, and not
/// at a target that has a round of work waiting.
#[test]
fn a_target_with_a_full_queue_gets_nothing_more() {
    let mut it = ServicesFixture::new(1, 1);
    let load = |waiting, ms| ReportedLoad { running: SLOTS, waiting, at: at(ms) };
    let first = it.send(0, at(0));
    it.core.record_load(first.target, load(SLOTS - 1, 1));
    assert!(matches!(it.place(0, at(2)), Placement::Send(_)));
    it.core.record_load(first.target, load(SLOTS, 3));
    assert_eq!(it.place(0, at(4)), Placement::Busy);
    // An old word counts no more.
    it.core.finish_send(&first, at(250), SendResult::Answered);
    assert!(matches!(it.place(0, at(260)), Placement::Send(_)));
}

/// The last send of this host brings the target's next word, so that it is not
/// taken for full forever.
#[test]
fn a_full_target_without_a_send_of_this_host_is_tried() {
    let mut it = ServicesFixture::new(1, 1);
    let send = it.send(0, at(0));
    it.core.record_load(send.target, ReportedLoad { running: 3, waiting: 9, at: at(1) });
    it.core.finish_send(&send, at(2), SendResult::Answered);
    assert!(matches!(it.place(0, at(3)), Placement::Send(_)));
}

#[test]
fn a_query_that_would_be_late_is_refused_at_its_arrival() {
    let mut it = ServicesFixture::new(2, 1);
    for _ in 0..10 {
        wait(&mut it, 0, "one", 1, 10_000);
        wait(&mut it, 1, "two", 1, 10_000);
    }
    drain(&mut it, 0, 12);
    drain(&mut it, 1, 12);
    // Ten wait, and one leaves each 20 ms.
    let now = at(240);
    assert_eq!(admit(&it, 2, now + Duration::from_millis(500), now), Admission::Accept);
    let Admission::Refuse { wait } = admit(&it, 2, now + Duration::from_millis(150), now) else {
        panic!("taken on");
    };
    assert_eq!(wait, Duration::from_millis(200));
}

/// What waits for a shard that need not answer delays nobody.
#[test]
fn a_shard_that_may_be_missing_turns_nobody_away() {
    let mut it = ServicesFixture::new(2, 1);
    for _ in 0..10 {
        wait(&mut it, 0, "one", 1, 10_000);
    }
    drain(&mut it, 0, 12);
    let now = at(240);
    let until = now + Duration::from_millis(100);
    assert_eq!(admit(&it, 1, until, now), Admission::Accept);
    assert!(matches!(admit(&it, 2, until, now), Admission::Refuse { .. }));
}

#[test]
fn nobody_is_refused_while_nothing_waits() {
    let mut it = ServicesFixture::new(1, 1);
    drain(&mut it, 0, 3);
    assert_eq!(admit(&it, 1, at(60), at(60)), Admission::Accept);
}

/// A service was silent for long while something waited. Once its queue was
/// empty that tells nothing of the next queue.
#[test]
fn an_old_outage_turns_nobody_away() {
    let mut it = ServicesFixture::new(1, 1);
    wait(&mut it, 0, "one", 1, 20_000);
    let (first, second) = (it.send(0, at(0)), it.send(0, at(0)));
    it.core.finish_send(&first, at(10), SendResult::Answered);
    it.core.finish_send(&second, at(5_000), SendResult::Answered);
    assert_eq!(next(&mut it, at(5_000)), Some("one"));
    let last = it.send(0, at(5_000));
    it.core.finish_send(&last, at(5_020), SendResult::Answered);
    wait(&mut it, 0, "two", 1, 20_000);
    assert_eq!(admit(&it, 1, at(8_100), at(8_000)), Admission::Accept);
}
