//! Reading what a caller got back, and checking it against what the caller
//! knows itself.

use std::collections::BTreeSet;

use base::Snapshot;
use serde::Deserialize;

#[cfg(test)]
mod tests;

/// What became of a call.
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
    /// No answer, or one that is none.
    Failed(String),
}

/// What an answer got wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerFaults {
    pub false_coverage: bool,
    pub mixed_snapshots: bool,
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

/// A part's body as the targets' stand-in writes it.
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
    pub fn claims_not_run(&self) -> bool {
        matches!(self, CallOutcome::Refused { outcome, .. } if outcome == "not_run")
    }
}

/// Reads a response. `shard_count` gives the true number of shards of a map.
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

/// Whether each shard of the map is either present or stated as missing.
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
