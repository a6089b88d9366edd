//! MIXED, TWICE and REFUSED: whether answers are those of the targets that ran the
//! request, and whether requests ran as often as their answers say.

use super::{Evidence, Finding, Rule};
use crate::soak::{
    configuration::TOP,
    record::{Answer, Attempt, AttemptEnd, Run},
};

/// Length of a record in bytes.
const RECORD_BYTES: usize = 16;

pub fn judge(evidence: &Evidence<'_>) -> Vec<Finding> {
    let attempts = evidence.record.attempts.iter();
    attempts.flat_map(|it| judge_attempt(it, evidence.runs(it))).collect()
}

fn judge_attempt(attempt: &Attempt, runs: &[&Run]) -> Vec<Finding> {
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
    if (200..300).contains(&answer.status) && !is_answer_of(answer, runs) {
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

fn is_answer_of(answer: &Answer, runs: &[&Run]) -> bool {
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
    services.len() == parts.len() && records.concat() == answer.body
}
