//! How soon a host follows a source again that was silent: calls made meanwhile get no
//! answer, neither then nor later.

use std::{ops::Range, time::Duration};

use forward::source_calls::{AnswerDelay, CallLimits, MAX_JITTER, MIN_JITTER};

/// Time between an answer and the next call for changes.
const PAUSE_MS: u64 = 1_000;

fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Returns the time from which on a host knows all changes that are made after the
/// silence. `called` is the time of a call for changes before it.
fn follows_again_at(
    limits: &CallLimits,
    jitter: f64,
    mut called: u64,
    silence: &Range<u64>,
) -> u64 {
    while called < silence.start {
        called += ms(limits.wait) + PAUSE_MS;
    }
    if called >= silence.end {
        // The call before is answered at the first change.
        return silence.end;
    }
    let mut backoff = limits.first_backoff;
    let mut failed = called + ms(limits.changes);
    loop {
        let read = failed + ms(backoff.mul_f64(jitter));
        if read >= silence.end {
            return read;
        }
        failed = read + ms(limits.read);
        backoff = (backoff * 2).min(limits.max_backoff);
    }
}

/// Guards against hosts that stay on an old configuration, as their calls for changes
/// were lost in a silence of the source.
#[test]
fn a_host_follows_a_source_again_within_the_bound_whenever_it_called() {
    for recovery in [1_000, 4_000, 5_000, 6_000, 30_000] {
        let limits = CallLimits::new(Duration::from_millis(recovery));
        // The time that a read through a slow source may take.
        let bound = recovery - recovery / 20;
        for length in (100..3 * recovery).step_by(97) {
            let silence = 50_000..50_000 + length;
            for called in (silence.start - ms(limits.wait) - PAUSE_MS..silence.start).step_by(31) {
                for jitter in [MIN_JITTER, MAX_JITTER] {
                    let at = follows_again_at(&limits, jitter, called, &silence);
                    let late = at - silence.end;
                    assert!(late <= bound, "{late} ms late of {recovery}; called at {called}");
                }
            }
        }
    }
}

/// A bound of zero, and one beyond what sources allow, give calls that neither follow
/// each other at once nor are refused.
#[test]
fn calls_wait_neither_too_short_nor_too_long() {
    let shortest = CallLimits::new(Duration::ZERO);
    assert!(shortest.wait >= Duration::from_millis(500));
    assert!(shortest.changes > shortest.wait);
    let longest = CallLimits::new(Duration::from_secs(24 * 3_600));
    assert!(longest.wait <= Duration::from_secs(30));
    assert!(longest.changes > longest.wait);
}

/// Guards against hosts that lose a source which answers each call, as its answers are later
/// than the slack of a call that it holds.
#[test]
fn calls_to_a_source_that_answers_late_do_not_fail() {
    for recovery in [1_000, 4_000, 6_000] {
        let limits = CallLimits::new(Duration::from_millis(recovery)).for_reader();
        for late in (0..ms(limits.changes)).step_by(10).map(Duration::from_millis) {
            let mut delay = AnswerDelay::default();
            // The complete read.
            delay.record(Duration::ZERO, late, true);
            for _ in 0..100 {
                let wait = delay.hold(limits.wait, limits.changes);
                assert!(wait + late <= limits.changes, "{late:?} late");
                delay.record(wait, wait + late, false);
            }
        }
    }
}

/// A source that answers at once again is called no more often than before.
#[test]
fn calls_wait_as_long_as_before_after_late_answers() {
    let limits = CallLimits::new(Duration::from_secs(4));
    let mut delay = AnswerDelay::default();
    delay.record(Duration::ZERO, Duration::from_secs(4), true);
    assert_eq!(delay.hold(limits.wait, limits.changes), Duration::ZERO);
    for _ in 0..8 {
        let wait = delay.hold(limits.wait, limits.changes);
        delay.record(wait, wait + Duration::from_millis(4), false);
    }
    assert_eq!(delay.hold(limits.wait, limits.changes), limits.wait);
}
