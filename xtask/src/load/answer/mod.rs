//! Reading what a caller got back, and checking it against what the caller
//! knows itself.

use std::collections::BTreeSet;

use base::Snapshot;
use serde::Deserialize;

#[cfg(test)]
mod tests;

/// What became of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
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
pub struct Checks {
    pub coverage_lie: bool,
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

impl Verdict {
    pub fn claims_not_run(&self) -> bool {
        matches!(self, Verdict::Refused { outcome, .. } if outcome == "not_run")
    }
}

/// Reads a response. `shards_in` gives the true number of shards of a map.
pub fn read(
    status: u16,
    body: &[u8],
    key: &str,
    shards_in: impl Fn(u32) -> Option<u32>,
) -> (Verdict, Checks) {
    if status != 200 {
        return (read_refusal(status, body), Checks::default());
    }
    match serde_json::from_slice::<AnswerWire>(body) {
        Ok(answer) => read_answer(&answer, key, shards_in),
        Err(err) => (Verdict::Failed(format!("malformed answer: {err}")), Checks::default()),
    }
}

fn read_refusal(status: u16, body: &[u8]) -> Verdict {
    match serde_json::from_slice::<RefusalWire>(body) {
        Ok(it) => Verdict::Refused { status, reason: it.reason, outcome: it.outcome },
        Err(_) => Verdict::Failed(format!("status {status} without a reason")),
    }
}

fn read_answer(
    answer: &AnswerWire,
    key: &str,
    shards_in: impl Fn(u32) -> Option<u32>,
) -> (Verdict, Checks) {
    let mut checks = Checks::default();
    let mut present = BTreeSet::new();
    for part in &answer.parts {
        let body = serde_json::from_str::<TargetBody>(&part.body);
        let Ok(body) = body.as_ref() else {
            checks.crossed = true;
            continue;
        };
        checks.crossed |= body.key != key || body.shard != part.shard;
        checks.mixed_snapshots |= body.snapshot != answer.snapshot;
        present.insert(part.shard);
    }
    let coverage = &answer.coverage;
    checks.coverage_lie = !is_coverage_true(answer, &present, shards_in);
    let verdict = Verdict::Answered { answered: coverage.answered, total: coverage.total };
    (verdict, checks)
}

/// Whether each shard of the map is either present or stated as missing.
fn is_coverage_true(
    answer: &AnswerWire,
    present: &BTreeSet<u32>,
    shards_in: impl Fn(u32) -> Option<u32>,
) -> bool {
    let Ok(snapshot) = answer.snapshot.parse::<Snapshot>() else { return false };
    let Some(shards) = shards_in(snapshot.map) else { return false };
    let coverage = &answer.coverage;
    let mut all: BTreeSet<u32> = coverage.missing.iter().map(|it| it.shard).collect();
    let is_disjoint = all.is_disjoint(present);
    all.extend(present);
    coverage.total == shards
        && coverage.answered as usize == present.len()
        && is_disjoint
        && all.into_iter().eq(0..shards)
}
