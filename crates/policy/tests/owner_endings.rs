//! How work ends other than by an answer: leaving targets, domains that are
//! out, cancellations, drains.

mod owner_world;

use std::time::Duration;

use base::{Missing, Outcome, ServiceName, Share};
use documents::model::{EarlyRefusal, PolicySettings};
use owner_world::{
    fixture::{Fixture, SECOND},
    share,
};
use policy::owner::LimitCause;

#[test]
fn leaving_sticks_to_the_incarnation_whatever_later_reports_say() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).is_leaving = true;
    f.load(SECOND / 10, 100);
    let model = f.world.target(&f.target);
    model.is_told = true;
    model.is_leaving = false;
    f.load(3 * SECOND, 100);
    assert_eq!(f.world.targets[&f.target].arrivals_after_told, 0);
    let attempt = f.submit(SECOND);
    assert_eq!(f.failure(attempt), (Missing::TargetLeaving, Outcome::NotRun));

    f.world.target(&f.target).restart();
    f.world.run_for(3 * SECOND);
    let attempt = f.submit(SECOND);
    f.world.run_for(SECOND);
    assert!(f.is_answered(attempt), "the next incarnation serves");
}

#[test]
fn idle_target_is_known_to_leave_by_its_report_alone() {
    let mut f = Fixture::warm();
    f.world.run_for(2 * SECOND);
    f.world.target(&f.target).is_leaving = true;
    f.world.run_for(2 * SECOND);
    let attempt = f.submit(SECOND);
    assert_eq!(f.failure(attempt), (Missing::TargetLeaving, Outcome::NotRun));
}

#[test]
fn report_of_an_earlier_incarnation_undoes_nothing() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).restart();
    f.world.run_for(2 * SECOND);
    f.world.target(&f.target).is_leaving = true;
    f.world.run_for(2 * SECOND);
    f.world.target(&f.target).reports_lag = true;
    f.world.run_for(3 * SECOND);
    let attempt = f.submit(SECOND);
    assert_eq!(f.failure(attempt), (Missing::TargetLeaving, Outcome::NotRun));
}

#[test]
fn domain_out_stops_new_work_at_once_and_returns_cold() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).service_ms = 100.0;
    let attempts = (0..20).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.run_for(Duration::from_millis(1));
    f.world.set_domain(false);
    f.world.target(&f.target).is_told = true;
    let queued = attempts.iter().filter(|it| f.failed_as(**it, Missing::DomainOut)).count();
    assert_eq!(queued, 17, "all but those in flight");
    f.load(SECOND, 100);
    assert_eq!(f.world.targets[&f.target].arrivals_after_told, 0);
    assert!(attempts[..3].iter().all(|it| f.is_answered(*it)), "work in flight is finished");
    assert_eq!(f.world.targets[&f.target].connections(), 0);

    f.world.target(&f.target).is_told = false;
    f.world.set_domain(true);
    f.world.run_for(SECOND / 10);
    assert_eq!(f.limit(), 1);
    assert!(f.lowered_by(LimitCause::DomainReturned));
}

#[test]
fn document_that_marks_a_target_leaving_stops_new_work() {
    let mut f = Fixture::warm();
    f.world.set_leaving(&f.target.clone());
    let attempt = f.submit(SECOND);
    assert_eq!(f.failure(attempt), (Missing::TargetLeaving, Outcome::NotRun));
}

#[test]
fn early_refusal_is_not_run_and_only_when_something_waits() {
    let mut f = Fixture::warm();
    let soon = Duration::from_millis(60);
    let attempts = (0..100).map(|_| f.submit(soon)).collect::<Vec<_>>();
    let refused = attempts.iter().filter(|it| f.failed_as(**it, Missing::Refused)).count();
    // Three slots of 10 ms do 18 in that time; half of it is kept in reserve.
    assert!((82..=94).contains(&refused), "{refused} refused at once");
    f.world.run_for(SECOND);
    let lone = f.submit(Duration::from_millis(1));
    assert!(!f.failed_as(lone, Missing::Refused), "a free target refuses nothing");

    let settings = PolicySettings { early_refusal: EarlyRefusal::Off, ..PolicySettings::default() };
    let mut f = Fixture::with(settings);
    let attempts = (0..100).map(|_| f.submit(soon)).collect::<Vec<_>>();
    assert!(!attempts.iter().any(|it| f.failed_as(*it, Missing::Refused)));
}

#[test]
fn cancellation_stops_queued_work_and_reaches_the_target() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).service_ms = 300.0;
    let attempts = (0..6).map(|_| f.submit(2 * SECOND)).collect::<Vec<_>>();
    f.world.run_for(Duration::from_millis(1));
    f.world.cancel(attempts[5]);
    assert_eq!(f.failure(attempts[5]), (Missing::Cancelled, Outcome::NotRun));
    f.world.cancel(attempts[0]);
    f.world.run_for(3 * SECOND);
    assert_eq!(f.failure(attempts[0]).0, Missing::Cancelled);
}

#[test]
fn slot_is_held_until_the_target_has_given_an_attempt_up() {
    let mut f = Fixture::new();
    let model = f.world.target(&f.target);
    model.restart();
    model.service_ms = 5_000.0;
    model.cancel_ms = 200;
    f.load(5 * SECOND, 50);
    // A second attempt at once would bring the cold target down.
    assert_eq!(f.world.targets[&f.target].overloads, 0);
    assert!(f.world.targets[&f.target].cancellations > 5);
}

#[test]
fn cancelled_work_is_not_sent_over_another_connection() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).restart();
    // Its connection will turn out to be closed.
    let attempt = f.submit(SECOND);
    f.world.cancel(attempt);
    f.world.run_for(SECOND);
    assert_eq!(f.failure(attempt), (Missing::Cancelled, Outcome::NotRun));
}

#[test]
fn target_is_told_of_a_cancellation_once() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).is_stuck = true;
    let attempt = f.submit(SECOND);
    f.world.run_for(Duration::from_millis(1));
    for _ in 0..20 {
        f.world.cancel(attempt);
        f.world.run_for(Duration::from_millis(10));
    }
    assert_eq!(f.world.targets[&f.target].cancellations, 1);
}

#[test]
fn running_non_idempotent_work_is_never_cancelled() {
    let mut f = Fixture::warm();
    let service = ServiceName::new("s");
    let attempt = f.world.submit(&service, &f.target, SECOND, false);
    f.world.run_for(Duration::from_millis(1));
    f.world.cancel(attempt);
    f.world.run_for(SECOND);
    assert!(f.is_answered(attempt));
}

#[test]
fn target_that_is_let_go_finishes_what_is_in_flight() {
    let mut f = Fixture::warm();
    let attempts = (0..10).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.assign_all([]);
    let queued = attempts.iter().filter(|it| f.failed_as(**it, Missing::OwnerUnreachable));
    assert_eq!(queued.count(), 7);
    f.world.run_for(SECOND);
    assert!(attempts[..3].iter().all(|it| f.is_answered(*it)));
    assert_eq!(f.world.targets[&f.target].connections(), 0);
    assert!(f.world.core.status(f.world.now, None).is_empty());
}

#[test]
fn one_connection_is_enough_for_a_reserve() {
    let mut f = Fixture::new();
    f.assign(Share { connections: 1, ..share(1) });
    f.world.run_for(5 * SECOND);
    let attempts = (0..5).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.run_for(SECOND);
    assert!(attempts.iter().all(|it| f.is_answered(*it)));
    assert_eq!(f.world.targets[&f.target].connections(), 1);
}

#[test]
fn drain_finishes_admitted_work_and_refuses_new() {
    let mut f = Fixture::warm();
    let attempts = (0..5).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.tell(policy::owner::Input::Drain);
    let late = f.submit(SECOND);
    assert_eq!(f.failure(late), (Missing::Refused, Outcome::NotRun));
    assert!(!f.world.core.is_idle());
    f.world.run_for(SECOND);
    assert!(attempts.iter().all(|it| f.is_answered(*it)));
    assert!(f.world.core.is_idle());
}
