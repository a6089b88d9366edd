//! LOST: requests that a host accepted and whose connection it closed without an answer.

use std::time::Duration;

use super::{Evidence, Finding, Rule};
use crate::soak::{
    record::{Attempt, AttemptEnd, HostEvent, Record, Signal},
    settings::Bounds,
};

/// Requests from kept connections that may get no answer in a run.
const KEPT_SLACK: usize = 3;
/// Planned stops count for so long after the grace period.
const AFTER_GRACE: Duration = Duration::from_secs(1);
/// A request that is sent by then after SIGTERM may be cut at the end of the grace
/// period.
const EARLY: Duration = Duration::from_secs(3);
/// Part of its time after which a request may end.
const USED_PART: f64 = 0.7;

pub fn judge(evidence: &Evidence<'_>) -> Vec<Finding> {
    let attempts = evidence.record.attempts.iter();
    let cut = attempts
        .filter(|it| matches!(it.end, AttemptEnd::Closed | AttemptEnd::Reset))
        .filter(|it| !has_used_its_time(evidence, it));
    let (mut kept, mut planned) = (Vec::new(), Vec::new());
    for attempt in cut {
        kept.extend(lost_on_kept(evidence, attempt));
        planned.extend(lost_in_planned_work(evidence, attempt));
    }
    if kept.len() > KEPT_SLACK {
        planned.extend(kept);
    }
    planned
}

/// In touch, passed on from a kept connection to a sound target, and closed.
fn lost_on_kept(evidence: &Evidence<'_>, attempt: &Attempt) -> Option<Finding> {
    let contact = &evidence.contact;
    let run = evidence.runs(attempt).last()?;
    let is_counted = attempt.is_reused
        && contact.is_in_touch(attempt.host, attempt.sent, attempt.ended)
        && contact.is_target_calm(attempt.sent, attempt.ended);
    let detail = format!(
        "passed on to {} from a kept connection that ended without an answer after {:.3} s",
        run.target,
        (attempt.ended - attempt.sent).as_secs_f64()
    );
    is_counted.then(|| Finding::new(Rule::Lost, attempt, detail))
}

/// Around a planned stop or reload of the host, with nothing unplanned going on.
fn lost_in_planned_work(evidence: &Evidence<'_>, attempt: &Attempt) -> Option<Finding> {
    let (what, at) = planned_work(evidence.record, attempt)?;
    if !evidence.contact.is_free_of_unplanned(attempt.sent, attempt.ended) {
        return None;
    }
    let run = evidence.runs(attempt).last();
    let took = attempt.ended.saturating_sub(attempt.sent);
    // A reset may mean that the host never read the request.
    let was_read = matches!(attempt.end, AttemptEnd::Closed) && took > Bounds::LOSS_SLACK;
    if run.is_none() && !was_read {
        return None;
    }
    let detail = format!(
        "sent {:.3} s after {what:?}, {}, and the connection ended after {:.3} s without an answer",
        attempt.sent.as_secs_f64() - at.as_secs_f64(),
        run.map_or("not passed on".to_owned(), |it| format!("passed on to {}", it.target)),
        took.as_secs_f64()
    );
    Some(Finding::new(Rule::Lost, attempt, detail))
}

/// Returns the planned work on the host during which the attempt was cut.
fn planned_work(record: &Record, attempt: &Attempt) -> Option<(Signal, Duration)> {
    let of_host = record.host_events.iter().filter(|it| it.0 == attempt.host);
    let signals = of_host.filter_map(|(_, at, event)| match event {
        HostEvent::Signalled(signal) => Some((*signal, *at)),
        HostEvent::Started | HostEvent::EndedByItself => None,
    });
    let mut of_attempt = signals.filter(|(signal, at)| {
        let span = match signal {
            Signal::Terminate => Bounds::GRACE + AFTER_GRACE,
            Signal::Hangup => Bounds::CONFIG,
        };
        attempt.ended >= *at && attempt.sent <= *at + span && !is_excused(attempt, *signal, *at)
    });
    of_attempt.next()
}

/// Returns whether a request was sent soon after SIGTERM and lasted to the end of the
/// grace period.
fn is_excused(attempt: &Attempt, signal: Signal, at: Duration) -> bool {
    signal == Signal::Terminate
        && attempt.sent <= at + EARLY
        && attempt.ended >= at + Bounds::GRACE * 5 / 6
}

fn has_used_its_time(evidence: &Evidence<'_>, attempt: &Attempt) -> bool {
    let routes = evidence.record.versions.iter().filter_map(|it| it.route(&attempt.path));
    let timeout = routes.map(|it| it.timeout_ms).min().unwrap_or(0);
    let took = attempt.ended.saturating_sub(attempt.sent);
    took >= Duration::from_millis(timeout).mul_f64(USED_PART)
}
