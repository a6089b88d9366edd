//! CONFIG on routes that were added later: a host that answers 503 in place of 404 is as
//! far behind, and only shows it by serving these routes less often.

use super::{Certainty, Evidence, Finding, Rule, configuration::is_allowed};
use crate::soak::record::{Attempt, AttemptEnd};

/// Requests on added routes from which the share that is served counts.
const MIN_REQUESTS: usize = 20;
/// Part of the share of the first routes that must be served.
const MIN_SHARE: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    requests: usize,
    served: usize,
}

impl Served {
    fn count(&mut self, is_served: bool) {
        self.requests += 1;
        self.served += usize::from(is_served);
    }

    fn share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

/// Returns refusals of requests on added routes: shown if too few of all are served, else
/// suspected, as a host may refuse them for other reasons.
pub fn judge(evidence: &Evidence<'_>) -> Vec<Finding> {
    let record = evidence.record;
    let Some(first) = record.versions.first() else { return Vec::new() };
    let (mut of_first, mut of_added) = (Served::default(), Served::default());
    let mut unserved: Vec<&Attempt> = Vec::new();
    for attempt in record.attempts.iter().filter(|it| is_due(evidence, it)) {
        let is_served = status(attempt) == Some(200);
        if first.route(&attempt.path).is_some() {
            of_first.count(is_served);
            continue;
        }
        of_added.count(is_served);
        if !is_served {
            unserved.push(attempt);
        }
    }
    let is_shown =
        of_added.requests >= MIN_REQUESTS && of_added.share() < of_first.share() * MIN_SHARE;
    let certainty = if is_shown { Certainty::Shown } else { Certainty::Suspected };
    let finding = |attempt: &Attempt| {
        let detail = format!(
            "not served on an added route that is due ({}); of {} such requests {} were served, of {} on \
             the first routes {}",
            attempt.path, of_added.requests, of_added.served, of_first.requests, of_first.served
        );
        Finding { certainty, ..Finding::new(Rule::Unserved, attempt, detail) }
    };
    let is_refused = |it: &&Attempt| {
        let has_reached_target = !evidence.runs(it).is_empty() || record.rejected.contains(&it.id);
        status(it) == Some(503) && !has_reached_target
    };
    unserved.into_iter().filter(|it| is_shown || is_refused(it)).map(finding).collect()
}

/// Returns whether a request came to a host in touch and all versions allow it that may be
/// in force there.
fn is_due(evidence: &Evidence<'_>, attempt: &Attempt) -> bool {
    let is_in_touch = evidence.contact.is_in_touch(attempt.host, attempt.sent, attempt.ended);
    is_in_touch && is_allowed(evidence, attempt).1
}

fn status(attempt: &Attempt) -> Option<u16> {
    match &attempt.end {
        AttemptEnd::Answered(answer) => Some(answer.status),
        _ => None,
    }
}
