//! Tests for work that is refused, cancelled or drained, and for targets that
//! are leaving, released or in a domain that is out.

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
fn leaving_holds_for_the_incarnation_despite_later_reports() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).is_leaving = true;
    f.load(SECOND / 10, 100);
    let model = f.world.target(&f.target);
    model.is_owner_informed = true;
    model.is_leaving = false;
    f.load(3 * SECOND, 100);
    assert_eq!(f.world.targets[&f.target].late_arrivals, 0);
    let attempt = f.submit(SECOND);
    assert_eq!(f.failure(attempt), (Missing::TargetLeaving, Outcome::NotRun));

    f.world.target(&f.target).restart();
    f.world.run_for(3 * SECOND);
    let attempt = f.submit(SECOND);
    f.world.run_for(SECOND);
    assert!(f.is_answered(attempt), "the next incarnation serves");
}

#[test]
fn leaving_idle_target_is_detected_by_its_report() {
    let mut f = Fixture::warm();
    f.world.run_for(2 * SECOND);
    f.world.target(&f.target).is_leaving = true;
    f.world.run_for(2 * SECOND);
    let attempt = f.submit(SECOND);
    assert_eq!(f.failure(attempt), (Missing::TargetLeaving, Outcome::NotRun));
}

#[test]
fn report_of_an_earlier_incarnation_is_ignored() {
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
    f.world.target(&f.target).is_owner_informed = true;
    let queued = attempts.iter().filter(|it| f.has_failed_with(**it, Missing::DomainOut)).count();
    assert_eq!(queued, 17, "queued jobs fail, jobs in flight do not");
    f.load(SECOND, 100);
    assert_eq!(f.world.targets[&f.target].late_arrivals, 0);
    assert!(attempts[..3].iter().all(|it| f.is_answered(*it)), "work in flight is finished");
    assert_eq!(f.world.targets[&f.target].connections(), 0);

    f.world.target(&f.target).is_owner_informed = false;
    f.world.set_domain(true);
    f.world.run_for(SECOND / 10);
    assert_eq!(f.limit(), 1);
    assert!(f.was_limit_lowered_by(LimitCause::DomainReturned));
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
    let refused = attempts.iter().filter(|it| f.has_failed_with(**it, Missing::Refused)).count();
    // Three slots at 10 ms a job run 18 jobs in that time; half of it is kept as
    // margin.
    assert!((82..=94).contains(&refused), "{refused} refused at once");
    f.world.run_for(SECOND);
    let lone = f.submit(Duration::from_millis(1));
    assert!(
        !f.has_failed_with(lone, Missing::Refused),
        "a target with a free slot refuses nothing"
    );

    let settings = PolicySettings { early_refusal: EarlyRefusal::Off, ..PolicySettings::default() };
    let mut f = Fixture::with_settings(settings);
    let attempts = (0..100).map(|_| f.submit(soon)).collect::<Vec<_>>();
    assert!(!attempts.iter().any(|it| f.has_failed_with(*it, Missing::Refused)));
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
fn slot_is_held_until_the_target_has_cancelled_the_attempt() {
    let mut f = Fixture::new();
    let model = f.world.target(&f.target);
    model.restart();
    model.service_ms = 5_000.0;
    model.cancel_ms = 200;
    f.load(5 * SECOND, 50);
    // A second concurrent attempt would crash the cold target.
    assert_eq!(f.world.targets[&f.target].overloads, 0);
    assert!(f.world.targets[&f.target].cancellations > 5);
}

#[test]
fn cancelled_work_is_not_sent_over_another_connection() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).restart();
    // The owner does not know yet that its connections are closed.
    let attempt = f.submit(SECOND);
    f.world.cancel(attempt);
    f.world.run_for(SECOND);
    assert_eq!(f.failure(attempt), (Missing::Cancelled, Outcome::NotRun));
}

#[test]
fn cancellation_is_sent_once() {
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
fn released_target_finishes_work_in_flight() {
    let mut f = Fixture::warm();
    let attempts = (0..10).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.assign_all([]);
    let queued = attempts.iter().filter(|it| f.has_failed_with(**it, Missing::OwnerUnreachable));
    assert_eq!(queued.count(), 7);
    f.world.run_for(SECOND);
    assert!(attempts[..3].iter().all(|it| f.is_answered(*it)));
    assert_eq!(f.world.targets[&f.target].connections(), 0);
    assert!(f.world.core.status(f.world.now, None).is_empty());
}

#[test]
fn one_connection_is_enough_to_serve() {
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
    f.world.handle_input(policy::owner::Input::Drain);
    let late = f.submit(SECOND);
    assert_eq!(f.failure(late), (Missing::Refused, Outcome::NotRun));
    assert!(!f.world.core.is_idle());
    f.world.run_for(SECOND);
    assert!(attempts.iter().all(|it| f.is_answered(*it)));
    assert!(f.world.core.is_idle());
}
