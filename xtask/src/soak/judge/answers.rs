//! MIXED, TWICE and REFUSED: whether answers are those of the targets that ran the
//! request, and whether requests ran as often as their answers say.

use super::{Evidence, Finding, Rule};
use crate::soak::{
    configuration::{Destination, MIN_SHARE, TOP, Version},
    record::{Answer, Attempt, AttemptEnd, Run},
};

/// Length of a record in bytes.
const RECORD_BYTES: usize = 16;

pub fn judge(evidence: &Evidence<'_>) -> Vec<Finding> {
    let attempts = evidence.record.attempts.iter();
    let versions = &evidence.record.versions;
    attempts.flat_map(|it| judge_attempt(it, evidence.runs(it), versions)).collect()
}

fn judge_attempt(attempt: &Attempt, runs: &[&Run], versions: &[Version]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut add = |rule, detail: String| findings.push(Finding::new(rule, attempt, detail));
    if !attempt.is_idempotent && runs.len() > 1 {
        add(Rule::Twice, format!("ran {} times", runs.len()));
    }
    let AttemptEnd::Answered(answer) = &attempt.end else { return findings };
    let says_not_run = matches!(answer.status, 429 | 503 | 408 | 421);
    if !attempt.is_idempotent && says_not_run && !runs.is_empty() && answer.stamp.is_none() {
        add(Rule::Refused, format!("answered with {} though it ran", answer.status));
    }
    if (200..300).contains(&answer.status) && !is_answer_of(attempt, answer, runs, versions) {
        let detail = format!(
            "a success that is no answer of its targets: stamp {:?}, parts {:?}, {} bytes",
            answer.stamp,
            answer.part_stamps,
            answer.body.len()
        );
        add(Rule::Mixed, detail);
    }
    findings
}

fn is_answer_of(attempt: &Attempt, answer: &Answer, runs: &[&Run], versions: &[Version]) -> bool {
    let run_of = |stamp: &String| runs.iter().find(|it| it.stamp == *stamp);
    if let Some(stamp) = &answer.stamp {
        return run_of(stamp).is_some_and(|it| it.body == answer.body);
    }
    let parts: Option<Vec<&&Run>> = answer.part_stamps.iter().map(run_of).collect();
    let Some(parts) = parts.filter(|it| !it.is_empty()) else { return false };
    let mut services: Vec<&str> = parts.iter().map(|it| it.service.as_str()).collect();
    services.sort_unstable();
    services.dedup();
    let mut records: Vec<&[u8]> =
        parts.iter().flat_map(|it| it.body.chunks_exact(RECORD_BYTES)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(TOP);
    let sent = versions.iter().filter(|it| it.sent <= attempt.ended);
    services.len() == parts.len()
        && records.concat() == answer.body
        && sent.filter_map(|it| shards(it, attempt)).any(|it| is_cover(it, &services, answer))
}

fn shards<'a>(version: &'a Version, attempt: &Attempt) -> Option<&'a [String]> {
    match &version.route(&attempt.path)?.destination {
        Destination::Gather(shards) => Some(shards),
        Destination::Service(_) => None,
    }
}

/// Returns whether an answer accounts for all these shards and holds enough of them.
fn is_cover(shards: &[String], services: &[&str], answer: &Answer) -> bool {
    services.iter().all(|service| shards.iter().any(|it| it == service))
        && services.len() + answer.missing_parts == shards.len()
        && services.len() as f64 >= shards.len() as f64 * MIN_SHARE
}
