//! BUDGET by what targets state: more than two requests reach a target from a host between
//! half a second after it answered this host with 503 and a pause, and the pause's end.

use std::time::Duration;

use base::HashMap;

use super::{Certainty, Evidence, Finding, Rule};
use crate::soak::record::{Arrival, HostIndex};

/// Time after the answer from which the pause binds.
const BINDS_AFTER: Duration = Duration::from_millis(500);
/// Requests that may reach a target in its pause.
const ALLOWED: usize = 2;

pub fn judge(evidence: &Evidence<'_>) -> Vec<Finding> {
    let mut by_sender: HashMap<(usize, HostIndex), Vec<&Arrival>> = HashMap::default();
    for arrival in &evidence.record.arrivals {
        if let Some(host) = evidence.senders.host(arrival) {
            by_sender.entry((arrival.process, host)).or_default().push(arrival);
        }
    }
    let pairs = by_sender.iter();
    pairs.flat_map(|((_, host), arrivals)| judge_sender(evidence, *host, arrivals)).collect()
}

fn judge_sender(evidence: &Evidence<'_>, host: HostIndex, arrivals: &[&Arrival]) -> Vec<Finding> {
    let pauses = arrivals.iter().filter_map(|it| {
        let reply = it.reply.as_ref().filter(|it| it.status == 503)?;
        Some((reply.at, reply.pause?))
    });
    pauses.filter_map(|(at, pause)| judge_pause(evidence, host, arrivals, at, pause)).collect()
}

fn judge_pause(
    evidence: &Evidence<'_>,
    host: HostIndex,
    arrivals: &[&Arrival],
    at: Duration,
    pause: Duration,
) -> Option<Finding> {
    let is_in_pause = |it: &&&Arrival| {
        let is_counted = it.reply.as_ref().is_none_or(|it| it.status != 421);
        is_counted && it.at > at + BINDS_AFTER && it.at < at + pause
    };
    let in_pause: Vec<&Arrival> = arrivals.iter().filter(is_in_pause).copied().collect();
    let beyond = in_pause.get(ALLOWED)?;
    if !evidence.contact.has_run_with_store(host, at, beyond.at) {
        return None;
    }
    let ids: Vec<&str> = in_pause.iter().map(|it| it.id.as_deref().unwrap_or("health")).collect();
    let detail = format!(
        "{} requests reached {} in its pause of {:.3} s, asked for at {:.3} s: {}",
        in_pause.len(),
        beyond.target,
        pause.as_secs_f64(),
        at.as_secs_f64(),
        ids.join(" ")
    );
    let is_suspected = evidence.senders.are_passed_on();
    Some(Finding {
        rule: Rule::Pause,
        certainty: if is_suspected { Certainty::Suspected } else { Certainty::Shown },
        at: beyond.at,
        host,
        request: beyond.id.clone().unwrap_or_else(|| "health".to_owned()),
        detail,
    })
}
