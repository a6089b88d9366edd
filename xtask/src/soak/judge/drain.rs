//! DRAIN: requests that reach a target later than `drain_ms` after the store has
//! acknowledged that it leaves or is gone.

use base::HashMap;

use super::{Certainty, Evidence, Finding, Rule};
use crate::soak::{
    record::{Attempt, Leave, Run},
    settings::Bounds,
};

pub fn judge(evidence: &Evidence<'_>) -> Vec<Finding> {
    let record = evidence.record;
    let leaves: HashMap<usize, &Leave> = record.leaves.iter().map(|it| (it.process, it)).collect();
    let mut findings = Vec::new();
    for attempt in &record.attempts {
        for &run in evidence.runs(attempt) {
            let Some(leave) = leaves.get(&run.process) else { continue };
            findings.extend(judge_run(evidence, attempt, run, leave));
        }
    }
    findings
}

fn judge_run(
    evidence: &Evidence<'_>,
    attempt: &Attempt,
    run: &Run,
    leave: &Leave,
) -> Option<Finding> {
    let contact = &evidence.contact;
    let is_late = run.at > leave.acked + Bounds::DRAIN;
    let is_counted = contact.is_store_stable(leave.acked, leave.acked)
        && contact.is_in_touch(attempt.host, attempt.sent, run.at);
    if !is_late || !is_counted {
        return None;
    }
    let detail = format!(
        "reached {} {:.3} s after the store had acknowledged that it leaves",
        run.target,
        (run.at - leave.acked).as_secs_f64()
    );
    let mut finding = Finding::new(Rule::Drain, attempt, detail);
    // Another host may have sent it on.
    if !contact.are_hosts_calm(attempt.sent, run.at) {
        finding.certainty = Certainty::Suspected;
    }
    Some(finding)
}
