//! What the owner does in each failure, one test a failure.

mod owner_world;

use std::time::Duration;

use assert_matches::assert_matches;
use base::{AttemptId, Missing, Outcome, ServiceName, Share, TargetName};
use documents::model::{EarlyRefusal, PolicySettings};
use owner_world::{World, share, target::Fault};
use policy::{
    message::PartResult,
    owner::{CloseCause, LimitCause, Note},
};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn cold_target_gets_what_it_bears_and_rises_with_proven_work() {
    let mut f = Fixture::new();
    f.world.target(&f.target).restart();
    f.load(8 * SECOND, 400);
    assert_eq!(f.world.targets[&f.target].overloads, 0);
    assert_eq!(f.limit(), 3, "a proven target gets all its slots");
}

#[test]
fn limit_does_not_rise_without_demand() {
    let mut f = Fixture::new();
    // Many answers, but nothing ever waits.
    f.world.target(&f.target).service_ms = 1.0;
    f.load(60 * SECOND, 5);
    assert_eq!(f.limit(), 1);
}

#[test]
fn new_incarnation_is_cold_again() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).restart();
    f.load(SECOND / 2, 400);
    assert_eq!(f.world.targets[&f.target].overloads, 0);
    assert_eq!(f.limit(), 1);
}

#[test]
fn share_of_one_slot_proves_no_more_than_one() {
    let mut f = Fixture::new();
    f.assign(share(1));
    f.load(5 * SECOND, 400);
    f.assign(share(3));
    assert_eq!(f.limit(), 1);
}

#[test]
fn slots_lent_for_a_while_stay_proven() {
    let mut f = Fixture::warm();
    f.assign(share(1));
    assert_eq!(f.limit(), 1);
    f.load(SECOND, 50);
    f.assign(share(3));
    assert_eq!(f.limit(), 3);
}

#[test]
fn shedding_lowers_the_limit_and_is_not_run() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).fault = Some(Fault::Shed);
    let attempt = f.submit(SECOND);
    f.world.run_for(SECOND);
    assert_eq!(f.failure(attempt), (Missing::Shed, Outcome::NotRun));
    assert_eq!(f.limit(), 1);
    assert!(f.lowered_by(LimitCause::Shed));
}

#[test]
fn latency_jump_lowers_the_limit() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).service_ms = 200.0;
    f.load(2 * SECOND, 100);
    assert!(f.lowered_by(LimitCause::LatencyJump));
}

#[test]
fn attempts_that_run_into_their_deadlines_lower_the_limit() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).service_ms = 20_000.0;
    f.load(2 * SECOND, 100);
    assert!(f.lowered_by(LimitCause::LatencyJump));
}

#[test]
fn long_idle_target_counts_as_cold() {
    let mut f = Fixture::warm();
    f.world.run_for(31 * SECOND);
    assert_eq!(f.limit(), 1);
    assert!(f.lowered_by(LimitCause::LongIdle));
}

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
fn pause_between_decision_and_send_sends_nothing_on_the_old_lease() {
    let mut f = Fixture::warm();
    let valid_until = Some(f.world.now + SECOND);
    f.assign(Share { valid_until, ..share(3) });
    f.world.send_delay = Duration::from_millis(1);
    let attempt = f.submit(5 * SECOND);
    f.world.pause(2 * SECOND);
    f.world.run_for(SECOND);
    assert_eq!(f.failure(attempt), (Missing::OwnerUnreachable, Outcome::NotRun));
    let attempt = f.submit(SECOND);
    assert_eq!(f.failure(attempt), (Missing::OwnerUnreachable, Outcome::NotRun));
}

#[test]
fn answers_that_came_during_a_pause_blame_no_connection() {
    let mut f = Fixture::warm();
    let attempts = (0..3).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.pause(5 * SECOND);
    f.world.run_for(SECOND);
    for attempt in attempts {
        assert_eq!(f.failure(attempt), (Missing::Deadline, Outcome::MayHaveRun));
    }
    assert!(!f.has_note(|it| matches!(it, Note::Condemned { .. })));
    assert_eq!(f.limit(), 3);
}

#[test]
fn crash_makes_suspects_of_the_work_in_flight_only() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).service_ms = 100.0;
    let attempts = (0..10).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.run_for(Duration::from_millis(1));
    f.world.target(&f.target).crash();
    f.world.run_for(SECOND);
    for &attempt in &attempts {
        let expected = match f.world.targets[&f.target].runs(attempt) {
            0 => (Missing::NoTarget, Outcome::NotRun),
            _ => (Missing::ConnectionLost, Outcome::MayHaveRun),
        };
        assert_eq!(f.failure(attempt), expected);
    }
    let suspects = attempts.iter().filter(|it| f.failed_as(**it, Missing::ConnectionLost));
    assert!(suspects.count() <= 3);
}

#[test]
fn death_of_an_idle_target_costs_its_callers_no_wait() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).crash();
    let attempts = (0..5).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.run_for(Duration::from_millis(20));
    for attempt in attempts {
        assert_eq!(f.failure(attempt), (Missing::NoTarget, Outcome::NotRun));
    }
}

#[test]
fn frozen_target_gets_no_more_than_was_in_flight() {
    let mut f = Fixture::new();
    f.world.target(&f.target).is_frozen = true;
    f.world.parts.clear();
    f.load(5 * SECOND, 100);
    f.world.run_for(SECOND);
    let is_lost = |it: &&policy::message::Part| {
        matches!(it.result, PartResult::Failed { outcome: Outcome::MayHaveRun, .. })
    };
    assert_eq!(f.world.parts.iter().filter(is_lost).count(), 1);
    assert!(f.has_note(|it| *it == Note::Down));
}

#[test]
fn after_a_loss_nothing_is_sent_until_the_target_shows_life() {
    let mut f = Fixture::new();
    f.world.target(&f.target).fault = Some(Fault::Lost);
    let lost = f.submit(SECOND);
    let next = f.submit(SECOND);
    while f.result(lost).is_none() {
        f.world.run_for(Duration::from_micros(100));
    }
    // A new connection takes a millisecond at least.
    f.world.run_for(Duration::from_micros(500));
    assert_eq!(f.failure(lost), (Missing::ConnectionLost, Outcome::MayHaveRun));
    assert_eq!(f.world.targets[&f.target].runs(next), 0);
    f.world.run_for(SECOND);
    assert!(f.is_answered(next));
}

#[test]
fn down_target_is_probed_by_single_spaced_connections() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).crash();
    f.world.run_for(SECOND);
    let before = f.world.opened;
    f.world.run_for(20 * SECOND);
    // One probe every 2 seconds, give or take a quarter.
    let probes = f.world.opened - before;
    assert!((8..=14).contains(&probes), "{probes} probes");

    f.world.target(&f.target).restart();
    f.world.run_for(3 * SECOND);
    let attempt = f.submit(SECOND);
    f.world.run_for(SECOND);
    assert!(f.is_answered(attempt));
    assert_eq!(f.limit(), 1);
}

#[test]
fn restart_unseen_while_idle_gets_no_more_than_a_cold_target_bears() {
    let mut f = Fixture::warm();
    f.world.run_for(SECOND / 10);
    f.world.target(&f.target).restart();
    // All at once, over connections that the owner still believes in.
    let attempts = (0..10).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.run_for(SECOND);
    assert_eq!(f.world.targets[&f.target].overloads, 0);
    assert!(attempts.iter().all(|it| f.is_answered(*it)), "nothing was sent, nothing is lost");
}

#[test]
fn silence_of_all_connections_costs_what_was_in_flight() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).silence();
    let lost = (0..3).map(|_| f.submit(SECOND / 10)).collect::<Vec<_>>();
    // Deadline, and the time after which its connection is given up.
    f.world.run_for(Duration::from_millis(200));
    for attempt in lost {
        assert_eq!(f.failure(attempt), (Missing::Deadline, Outcome::MayHaveRun));
    }
    let attempts = (0..10).map(|_| f.submit(SECOND / 2)).collect::<Vec<_>>();
    f.world.run_for(SECOND);
    assert!(attempts.iter().all(|it| f.is_answered(*it)));
    assert!(f.has_note(|it| matches!(it, Note::Condemned { cause: CloseCause::Silent, .. })));
    assert!(!f.has_note(|it| *it == Note::Down));
    assert_eq!(f.limit(), 3, "the target is not blamed");
}

#[test]
fn target_that_answers_probes_but_no_work_is_blamed() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).is_stuck = true;
    f.load(SECOND, 100);
    assert!(f.lowered_by(LimitCause::NoAnswer));
}

#[test]
fn one_silent_connection_costs_its_own_request_only() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).silence_next = true;
    let lost = f.submit(Duration::from_millis(100));
    f.world.run_for(Duration::from_millis(10));
    let others = (0..5).map(|_| f.submit(SECOND)).collect::<Vec<_>>();
    f.world.run_for(SECOND);
    assert_eq!(f.failure(lost), (Missing::Deadline, Outcome::MayHaveRun));
    assert!(others.iter().all(|it| f.is_answered(*it)));
    assert_eq!(f.limit(), 3, "the target is not blamed");
}

#[test]
fn suspect_answer_closes_its_connection() {
    for (fault, missing) in [
        (Fault::WrongId, Missing::WrongId),
        (Fault::WrongSnapshot, Missing::WrongSnapshot),
        (Fault::Truncated, Missing::Truncated),
        (Fault::CrossedRefusal, Missing::WrongId),
    ] {
        let mut f = Fixture::warm();
        f.world.target(&f.target).fault = Some(fault);
        let attempt = f.submit(SECOND);
        f.world.run_for(SECOND);
        assert_eq!(f.failure(attempt), (missing, Outcome::MayHaveRun));
        let cause = CloseCause::WrongAnswer;
        assert!(f.has_note(|it| matches!(it, Note::Condemned { cause: c, .. } if *c == cause)));
    }
}

#[test]
fn vanished_snapshot_is_not_run() {
    let mut f = Fixture::warm();
    f.world.target(&f.target).fault = Some(Fault::SnapshotGone);
    let attempt = f.submit(SECOND);
    f.world.run_for(SECOND);
    assert_eq!(f.failure(attempt), (Missing::WrongSnapshot, Outcome::NotRun));
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
fn target_taken_back_soon_keeps_what_it_proved() {
    let mut f = Fixture::warm();
    f.world.assign_all([]);
    f.world.run_for(10 * SECOND);
    f.assign(share(3));
    assert_eq!(f.limit(), 3);

    f.world.assign_all([]);
    f.world.target(&f.target).restart();
    f.assign(share(3));
    f.load(SECOND / 2, 300);
    assert_eq!(f.limit(), 1, "another incarnation has proven nothing");

    let mut f = Fixture::warm();
    f.world.assign_all([]);
    f.world.run_for(31 * SECOND);
    f.assign(share(3));
    assert_eq!(f.limit(), 1, "what is old counts no more");

    let mut f = Fixture::warm();
    f.world.assign_all([]);
    f.assign(Share { starts_cold: true, ..share(3) });
    assert_eq!(f.limit(), 1);
}

#[test]
fn former_owner_vouches_for_the_same_incarnation_only() {
    let limit_after = |incarnation: u64, age: Duration, starts_cold: bool| {
        let mut f = Fixture::unassigned();
        f.learn(incarnation, 3);
        f.world.run_for(age);
        f.assign(Share { starts_cold, ..share(3) });
        f.world.run_for(SECOND / 10);
        f.limit()
    };
    assert_eq!(limit_after(1, SECOND, false), 3);
    assert_eq!(limit_after(2, SECOND, false), 1);
    assert_eq!(limit_after(1, 6 * SECOND, false), 1);
    assert_eq!(limit_after(1, SECOND, true), 1);
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

/// One target `t0` and a service `s`.
struct Fixture {
    world: World,
    target: TargetName,
}

impl Fixture {
    fn new() -> Self {
        let mut world = World::new(1, 1, PolicySettings::default());
        world.run_for(Duration::from_millis(100));
        Fixture { world, target: "t0".into() }
    }

    /// A target that is nobody's yet.
    fn unassigned() -> Self {
        let mut f =
            Fixture { world: World::new(1, 1, PolicySettings::default()), target: "t0".into() };
        f.world.assign_all([]);
        f.world.run_for(31 * SECOND);
        f
    }

    /// Another owner tells what it has proven.
    fn learn(&mut self, incarnation: u64, limit: u32) {
        self.world.learn(&self.target.clone(), incarnation, limit);
    }

    /// A target that has proven all its slots.
    fn warm() -> Self {
        Self::with(PolicySettings::default())
    }

    fn with(settings: PolicySettings) -> Self {
        let mut f = Fixture { world: World::new(1, 1, settings), target: "t0".into() };
        f.load(5 * SECOND, 300);
        f.world.run_for(SECOND);
        assert_eq!(f.limit(), 3);
        f.world.notes.clear();
        f
    }

    fn assign(&mut self, share: Share) {
        self.world.assign_all([(self.target.clone(), share)]);
    }

    fn submit(&mut self, time_left: Duration) -> AttemptId {
        self.world.submit(&"s".into(), &self.target, time_left, true)
    }

    /// Submits `per_second` subqueries evenly for a time.
    fn load(&mut self, time: Duration, per_second: u32) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.submit(Duration::from_millis(200));
            self.world.run_for(SECOND / per_second);
        }
    }

    fn limit(&self) -> u32 {
        self.world.core.status(self.world.now, None)[0].limit
    }

    fn result(&self, attempt: AttemptId) -> Option<&PartResult> {
        self.world.parts.iter().find(|it| it.attempt == attempt).map(|it| &it.result)
    }

    fn is_answered(&self, attempt: AttemptId) -> bool {
        matches!(self.result(attempt), Some(PartResult::Answer { .. }))
    }

    #[track_caller]
    fn failure(&self, attempt: AttemptId) -> (Missing, Outcome) {
        let result = self.result(attempt);
        assert_matches!(result, Some(PartResult::Failed { missing, outcome }) => {
            (*missing, *outcome)
        })
    }

    fn failed_as(&self, attempt: AttemptId, expected: Missing) -> bool {
        let result = self.result(attempt);
        matches!(result, Some(PartResult::Failed { missing, .. }) if *missing == expected)
    }

    fn lowered_by(&self, expected: LimitCause) -> bool {
        self.has_note(|it| matches!(it, Note::LimitLowered { cause, .. } if *cause == expected))
    }

    fn has_note(&self, wanted: impl Fn(&Note) -> bool) -> bool {
        self.world.notes.iter().any(|it| wanted(&it.1))
    }
}
