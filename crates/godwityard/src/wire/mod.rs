//! Response bodies of hosts. Unknown fields are ignored and missing fields get
//! their defaults, so that the tool works with hosts of other versions.

use serde::Deserialize;
use serde_json::Value;

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct Answer {
    pub(crate) request: String,
    pub(crate) snapshot: String,
    pub(crate) coverage: Coverage,
    pub(crate) parts: Vec<Part>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct Coverage {
    pub(crate) answered: u32,
    pub(crate) total: u32,
    pub(crate) missing: Vec<MissingShard>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct MissingShard {
    pub(crate) shard: u32,
    pub(crate) reason: String,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct Part {
    pub(crate) shard: u32,
    pub(crate) body: Value,
    /// Body in hexadecimal, set instead of `body` if the body is not UTF-8.
    pub(crate) body_hex: Option<String>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct MintedTicket {
    pub(crate) ticket: String,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct Refusal {
    pub(crate) request: String,
    pub(crate) reason: String,
    pub(crate) outcome: String,
    pub(crate) detail: String,
}

impl Coverage {
    /// Returns whether all shards answered; false if the answer has no coverage.
    pub(crate) fn is_full(&self) -> bool {
        self.total > 0 && self.answered == self.total
    }
}

impl Refusal {
    /// Returns whether the host states that the request did not run. A refusal
    /// without a known outcome counts as one that may have run.
    pub(crate) fn is_not_run(&self) -> bool {
        self.outcome == base::Outcome::NotRun.as_str()
    }
}
