//! Parses responses to callers and checks them against the request's key and
//! the shard counts of the partition maps.

use std::collections::BTreeSet;

use base::Snapshot;
use serde::Deserialize;

#[cfg(test)]
mod tests;

/// Outcome of one send of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    Answered {
        answered: u32,
        total: u32,
    },
    Refused {
        status: u16,
        reason: String,
        outcome: String,
    },
    /// No response, or a malformed one, with the cause.
    Failed(String),
}

/// Faults found in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerFaults {
    /// The stated coverage does not match the parts.
    pub false_coverage: bool,
    /// A part was read from another snapshot than the one stated.
    pub mixed_snapshots: bool,
    /// A part belongs to another call or shard, or is malformed.
    pub crossed: bool,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct AnswerWire {
    snapshot: String,
    coverage: CoverageWire,
    parts: Vec<PartWire>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct CoverageWire {
    answered: u32,
    total: u32,
    #[serde(default)]
    missing: Vec<MissingWire>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct MissingWire {
    shard: u32,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct PartWire {
    shard: u32,
    body: String,
}

/// Body of a part, as the target stand-in writes it.
#[derive(Debug)]
#[derive(Deserialize)]
struct TargetBody {
    shard: u32,
    snapshot: String,
    key: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RefusalWire {
    reason: String,
    outcome: String,
}

impl CallOutcome {
    /// Returns whether the response states that no target ran the request.
    pub fn claims_not_run(&self) -> bool {
        matches!(self, CallOutcome::Refused { outcome, .. } if outcome == "not_run")
    }
}

/// Parses a response and checks it. `shard_count` returns the true number of
/// shards of a partition map.
pub fn read(
    status: u16,
    body: &[u8],
    key: &str,
    shard_count: impl Fn(u32) -> Option<u32>,
) -> (CallOutcome, AnswerFaults) {
    if status != 200 {
        return (read_refusal(status, body), AnswerFaults::default());
    }
    match serde_json::from_slice::<AnswerWire>(body) {
        Ok(answer) => read_answer(&answer, key, shard_count),
        Err(err) => {
            (CallOutcome::Failed(format!("malformed answer: {err}")), AnswerFaults::default())
        }
    }
}

fn read_refusal(status: u16, body: &[u8]) -> CallOutcome {
    match serde_json::from_slice::<RefusalWire>(body) {
        Ok(it) => CallOutcome::Refused { status, reason: it.reason, outcome: it.outcome },
        Err(_) => CallOutcome::Failed(format!("status {status} without a reason")),
    }
}

fn read_answer(
    answer: &AnswerWire,
    key: &str,
    shard_count: impl Fn(u32) -> Option<u32>,
) -> (CallOutcome, AnswerFaults) {
    let mut faults = AnswerFaults::default();
    let mut present = BTreeSet::new();
    for part in &answer.parts {
        let body = serde_json::from_str::<TargetBody>(&part.body);
        let Ok(body) = body.as_ref() else {
            faults.crossed = true;
            continue;
        };
        faults.crossed |= body.key != key || body.shard != part.shard;
        faults.mixed_snapshots |= body.snapshot != answer.snapshot;
        present.insert(part.shard);
    }
    let coverage = &answer.coverage;
    faults.false_coverage = !is_coverage_true(answer, &present, shard_count);
    let outcome = CallOutcome::Answered { answered: coverage.answered, total: coverage.total };
    (outcome, faults)
}

/// Returns whether each shard of the map is either present or stated as missing,
/// and the stated counts are right.
fn is_coverage_true(
    answer: &AnswerWire,
    present: &BTreeSet<u32>,
    shard_count: impl Fn(u32) -> Option<u32>,
) -> bool {
    let Ok(snapshot) = answer.snapshot.parse::<Snapshot>() else { return false };
    let Some(shards) = shard_count(snapshot.map) else { return false };
    let coverage = &answer.coverage;
    let mut all: BTreeSet<u32> = coverage.missing.iter().map(|it| it.shard).collect();
    let is_disjoint = all.is_disjoint(present);
    all.extend(present);
    coverage.total == shards
        && coverage.answered as usize == present.len()
        && is_disjoint
        && all.into_iter().eq(0..shards)
}
