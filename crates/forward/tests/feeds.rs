//! How old a change may be that a host hears of after a gap.

mod fixture;

use std::time::Duration;

use base::{HashSet, ServiceName, TargetName};
use fixture::{Fixture, LEAVING_FOR, at, report};
use forward::{FeedProgress, Placement, Position, Provenance, Reach, TargetReport};

/// Time for which calls are held.
const WAIT: Duration = Duration::from_secs(2);

/// Largest age of a change heard of at `now_ms`, in milliseconds.
fn age(progress: FeedProgress, now_ms: u64) -> Option<u64> {
    progress.max_age(LEAVING_FOR, at(now_ms)).map(|it| it.as_millis() as u64)
}

#[test]
fn a_change_is_as_old_as_the_gap_in_which_it_was_missed() {
    let mut it = FeedProgress::default();
    assert_eq!(age(it, 100), None);
    it.record_complete(at(100), Provenance::Source);
    // An answer at once, and one to a call that waited.
    it.record_call(at(1_000), WAIT, Duration::ZERO);
    assert_eq!(age(it, 1_005), Some(905));
    assert_eq!(age(it, 1_700), Some(700));
    it.record_complete(at(1_700), Provenance::Source);
    // The next call fails; what a later one brings may have been made at any time
    // since.
    it.record_call(at(1_700), WAIT, Duration::ZERO);
    it.record_failure(at(1_900));
    it.record_call(at(3_000), WAIT, Duration::ZERO);
    assert_eq!(age(it, 3_010), Some(1_310));
    // An older list, learned elsewhere, takes nothing back.
    it.record_complete(at(900), Provenance::Source);
    assert_eq!(age(it, 3_010), Some(1_310));
}

/// Guards against targets that left and are used as if they had left when a late answer
/// came: it was late, or the call wasn't held at all.
#[test]
fn a_change_that_a_late_answer_tells_of_is_as_old_as_answers_are_late() {
    let late = Duration::from_millis(700);
    let mut it = FeedProgress::default();
    it.record_complete(at(1_000), Provenance::Source);
    it.record_call(at(1_000), WAIT, late);
    assert_eq!(age(it, 1_900), Some(900));
    assert_eq!(age(it, 2_200), Some(1_200));
    it.record_call(at(1_000), Duration::ZERO, late);
    assert_eq!(age(it, 2_200), Some(1_200));
}

/// After a gap that is longer, missing entries may have lapsed with the source away.
#[test]
fn nothing_is_known_of_the_age_of_changes_after_a_long_gap() {
    let mut it = FeedProgress::default();
    it.record_complete(at(1_000), Provenance::Source);
    let last = 1_000 + LEAVING_FOR.as_millis() as u64;
    assert!(age(it, last).is_some());
    assert_eq!(age(it, last + 1), None);
}

/// Guards against targets that left during a long gap and are used as if they had left at
/// its end: a lapsed entry is back two seconds after the source, so one that is missing
/// for longer has left.
#[test]
fn after_a_long_gap_a_missing_target_is_used_until_lapsed_entries_are_back() {
    let mut it = FeedProgress::default();
    it.record_complete(at(1_000), Provenance::Source);
    it.record_call(at(1_000), WAIT, Duration::ZERO);
    it.record_failure(at(4_000));
    it.record_failure(at(7_000));
    // The source is back somewhat later, and the list is read.
    for leaving_for in [2_400, 4_800].map(Duration::from_millis) {
        let since = it.missing_since(leaving_for, at(8_200));
        assert_eq!(since + leaving_for, at(9_000));
    }
    // Where leaving targets are used for less, so are these.
    let since = it.missing_since(LEAVING_FOR, at(8_200));
    assert_eq!(since, at(7_000));
    // A host that never followed the source knows nothing.
    assert_eq!(FeedProgress::default().missing_since(LEAVING_FOR, at(50)), at(50));
}

/// Guards against targets and evacuations that come back by the word of a host that is
/// behind.
#[test]
fn older_state_is_no_news() {
    let known_until = |until| Reach { known_until: until, ..Reach::default() };
    let mut it = FeedProgress::default();
    assert!(it.is_news(known_until(Some(at(10)))) && it.is_news(known_until(None)));
    it.record_complete(at(1_000), Provenance::Source);
    assert!(!it.is_news(known_until(Some(at(999)))));
    assert!(it.is_news(known_until(Some(at(1_000)))) && it.is_news(known_until(None)));
}

/// Guards against hosts that leave all readers, as these proved the same state earlier.
#[test]
fn state_of_the_same_revision_is_no_older() {
    let reach = |revision| reach(None, revision);
    let mut it = FeedProgress::default();
    it.record_complete(at(1_000), Provenance::Source);
    assert!(!it.is_news(reach(7)));
    it.record_position(Position { epoch: None, revision: 7 });
    assert!(it.is_news(reach(7)) && it.is_news(reach(8)));
    assert!(!it.is_news(reach(6)));
    // Also if it was asked for later: its answer was overtaken.
    let overtaken = Reach { known_until: Some(at(1_500)), ..reach(6) };
    assert!(!it.is_news(overtaken));
    // State of a peer was applied, of an unknown revision.
    it.forget_position();
    assert!(!it.is_news(reach(8)));
}

fn reach(epoch: Option<u64>, revision: u64) -> Reach {
    let position = Some(Position { epoch, revision });
    Reach { position, known_until: Some(at(500)) }
}

/// Guards against hosts that take revisions of a source from before and after it was restored
/// for one count.
#[test]
fn state_of_a_later_epoch_is_news_whatever_its_revision() {
    let mut it = FeedProgress::default();
    it.record_position(Position { epoch: Some(3), revision: 70 });
    assert!(it.is_news(reach(Some(4), 60)) && it.is_news(reach(Some(3), 70)));
    assert!(!it.is_news(reach(Some(2), 80)) && !it.is_news(reach(Some(3), 69)));
    // A reader of an earlier build.
    assert!(it.is_news(reach(None, 70)) && !it.is_news(reach(None, 69)));
    // A source that began to state its epoch.
    it.record_position(Position { epoch: None, revision: 70 });
    assert!(it.is_news(reach(Some(1), 60)));
}

/// Guards against changes that are taken for all since the known ones, though what came in
/// between was lost or written anew.
#[test]
fn changes_of_another_epoch_do_not_follow_on_known_ones() {
    let at = |epoch, revision| Position { epoch, revision };
    let known = at(Some(3), 70);
    assert!(known.leads_to(at(Some(3), 71)) && known.leads_to(at(None, 71)));
    assert!(!known.leads_to(at(Some(4), 71)) && !at(None, 70).leads_to(at(Some(1), 71)));
}

#[test]
fn a_target_missing_from_a_list_is_used_no_longer_than_one_that_was_seen_to_leave() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    let listed = list_of_another_service(&mut it);
    let since = at(5_000).ago(Duration::from_millis(700));
    it.targets.retain_listed(&listed, since, at(5_000));
    assert!(matches!(it.place(since + LEAVING_FOR), Placement::Send(_)));
    assert_eq!(it.place(since + LEAVING_FOR + Duration::from_millis(1)), Placement::NoTarget);
    // A later list does not extend the time.
    it.targets.retain_listed(&listed, at(6_000), at(6_000));
    assert_eq!(it.place(at(6_500)), Placement::NoTarget);
}

/// If more than half of the entries are gone, they lapsed and will be back.
#[test]
fn targets_of_entries_that_lapsed_are_a_fallback_from_then_on() {
    let mut it = Fixture::new(None);
    it.targets.apply_report(report("one", "a"), at(0));
    list_of_another_service(&mut it);
    let since = at(5_000).ago(Duration::from_millis(700));
    it.targets.retain_listed(&HashSet::default(), since, at(5_000));
    assert!(matches!(it.place(at(5_000) + LEAVING_FOR), Placement::Send(_)));
    assert_eq!(it.place(at(5_001) + LEAVING_FOR), Placement::NoTarget);
}

/// Lists a target of another service, and returns the list without the others.
fn list_of_another_service(it: &mut Fixture) -> HashSet<TargetName> {
    let other = TargetReport { service: ServiceName::new("other"), ..report("two", "a") };
    it.targets.apply_report(other, at(0));
    [TargetName::new("two")].into_iter().collect()
}

/// Time between two signs that a host runs, the store's time for an answer, and the pause
/// between two calls, in milliseconds.
const SIGN_MS: u64 = 100;
const ANSWER_MS: u64 = 4;
const PAUSE_MS: u64 = 1_000;

/// Longest wait of a call for changes.
const WAIT_MS: u64 = 2_000;

/// Returns the time since which a change counts that the source acknowledges at
/// `changed_at`, at a host that does not run in `stall`. The answer that tells of it is on
/// its way for `late` longer than others.
fn known_since(changed_at: u64, late: u64, stall: &std::ops::Range<u64>) -> u64 {
    let mut it = FeedProgress::default();
    it.record_complete(at(0), Provenance::Source);
    let (mut called, mut next_call, mut last_sign) = (None, PAUSE_MS, 0);
    for now in (1..).filter(|now| !stall.contains(now)) {
        if now >= last_sign + SIGN_MS {
            it.record_running(at(now));
            last_sign = now;
        }
        let Some(begun) = called else {
            if now >= next_call {
                it.record_call(at(now), Duration::from_millis(WAIT_MS), Duration::ZERO);
                called = Some(now);
            }
            continue;
        };
        if now >= changed_at.max(begun) + ANSWER_MS + late {
            let age = it.max_age(Duration::from_secs(60), at(now)).expect("a known age");
            return now - age.as_millis() as u64;
        }
        if now >= begun + WAIT_MS + ANSWER_MS && changed_at > begun + WAIT_MS {
            it.record_complete(it.sent_after(at(now)), Provenance::Source);
            (called, next_call) = (None, now + PAUSE_MS);
        }
    }
    unreachable!("the change is heard of")
}

/// Guards against requests to targets that left on a machine with too little processor: an
/// answer that is read late must not pass for one to a call that waited.
#[test]
fn a_change_is_no_younger_than_its_acknowledgement_however_late_a_host_runs() {
    for changed_at in (20..7_000).step_by(31) {
        for stalled_at in (10..7_000).step_by(97) {
            for stall_ms in [0, 150, 450, 700, 1_900] {
                let stall = stalled_at..stalled_at + stall_ms;
                let since = known_since(changed_at, 0, &stall);
                assert!(since <= changed_at + ANSWER_MS, "{changed_at} {stall:?}: {since}");
            }
        }
    }
}

/// Guards against requests to targets that left, as the answer that tells of it was long on
/// its way: it is not known whether it is that or was held. The pause before the call
/// remains, which is short for that reason.
#[test]
fn a_change_is_no_younger_than_the_pause_however_late_its_answer_comes() {
    for changed_at in (20..7_000).step_by(31) {
        for late in [150, 450, 700, 1_900] {
            let since = known_since(changed_at, late, &(0..0));
            assert!(since <= changed_at + PAUSE_MS + ANSWER_MS, "{changed_at} {late}: {since}");
        }
    }
}
