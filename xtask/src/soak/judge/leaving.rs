//! DRAIN by what targets state: a request that a client sent later than `drain_ms` after
//! its host had passed on an answer by which the target leaves, and that reaches this
//! target from this host, in touch or not.

use std::time::Duration;

use base::HashMap;

use super::{Certainty, Evidence, Finding, Rule};
use crate::soak::{
    record::{Arrival, Attempt, AttemptEnd, HostIndex},
    settings::Bounds,
};

/// An answer that told a host that its target leaves.
struct Told {
    at: Duration,
    /// Whether the answer is seen to have come to the host, as it passed it on.
    is_passed_on: bool,
}

pub fn judge(evidence: &Evidence<'_>) -> Vec<Finding> {
    let told = answers_that_tell(evidence);
    let arrivals = evidence.record.arrivals.iter();
    arrivals.filter_map(|it| judge_arrival(evidence, &told, it)).collect()
}

fn judge_arrival(
    evidence: &Evidence<'_>,
    told: &HashMap<(usize, HostIndex), Vec<Told>>,
    arrival: &Arrival,
) -> Option<Finding> {
    let attempt = evidence.senders.attempt(arrival)?;
    let host = evidence.senders.host(arrival)?;
    if arrival.reply.as_ref().is_some_and(|it| it.status == 421) {
        return None;
    }
    let is_counted = |it: &&Told| {
        attempt.sent > it.at + Bounds::DRAIN && evidence.contact.has_run(host, it.at, arrival.at)
    };
    let counted = || told.get(&(arrival.process, host)).into_iter().flatten().filter(is_counted);
    let passed_on = counted().filter(|it| it.is_passed_on).min_by_key(|it| it.at);
    let earliest = passed_on.or_else(|| counted().min_by_key(|it| it.at))?;
    let what = if earliest.is_passed_on { "passed on" } else { "been sent" };
    let detail = format!(
        "reached {} though sent {:.3} s after the host had {what} an answer by which it leaves",
        arrival.target,
        (attempt.sent - earliest.at).as_secs_f64()
    );
    let mut finding = Finding::new(Rule::Leaving, attempt, detail);
    if !earliest.is_passed_on || evidence.senders.are_passed_on() {
        finding.certainty = Certainty::Suspected;
    }
    Some(finding)
}

/// Returns the answers by which targets leave, by the target's process and the host.
fn answers_that_tell(evidence: &Evidence<'_>) -> HashMap<(usize, HostIndex), Vec<Told>> {
    let mut told: HashMap<_, Vec<Told>> = HashMap::default();
    for arrival in &evidence.record.arrivals {
        let Some(reply) = arrival.reply.as_ref().filter(|it| it.is_leaving) else { continue };
        let Some(host) = evidence.senders.host(arrival) else { continue };
        let attempt = evidence.senders.attempt(arrival);
        let passed_on = attempt.filter(|it| has_passed_on(it, reply.stamp.as_deref()));
        let at = passed_on.map_or(reply.at, |it| it.ended);
        let is_passed_on = passed_on.is_some();
        told.entry((arrival.process, host)).or_default().push(Told { at, is_passed_on });
    }
    told
}

/// Returns whether the client got the answer with this stamp, alone or as a part.
fn has_passed_on(attempt: &Attempt, stamp: Option<&str>) -> bool {
    let AttemptEnd::Answered(answer) = &attempt.end else { return false };
    let mut stamps = answer.stamp.iter().chain(&answer.part_stamps);
    stamp.is_some_and(|stamp| stamps.any(|it| it == stamp))
}
