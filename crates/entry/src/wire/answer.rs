//! Body of an answered query.

use base::RequestId;
use policy::request::{Answer, Coverage};

#[derive(Debug)]
#[derive(serde::Serialize)]
pub(crate) struct AnswerBody {
    request: String,
    snapshot: String,
    coverage: CoverageBody,
    parts: Vec<PartBody>,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
pub(crate) struct CoverageBody {
    answered: u32,
    total: u32,
    missing: Vec<MissingBody>,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct MissingBody {
    shard: u32,
    reason: &'static str,
}

/// One shard's answer, in hexadecimal digits if it is not UTF-8 text.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct PartBody {
    shard: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    body_hex: Option<String>,
}

impl AnswerBody {
    pub(crate) fn new(request: RequestId, answer: &Answer) -> Self {
        let parts = answer.parts.iter().map(|(shard, body)| PartBody::new(shard.0, body));
        AnswerBody {
            request: request.to_string(),
            snapshot: answer.snapshot.to_string(),
            coverage: CoverageBody::from(&answer.coverage),
            parts: parts.collect(),
        }
    }
}

impl From<&Coverage> for CoverageBody {
    fn from(coverage: &Coverage) -> Self {
        let missing = coverage.missing.iter();
        let missing =
            missing.map(|(shard, reason)| MissingBody { shard: shard.0, reason: reason.as_str() });
        CoverageBody {
            answered: coverage.answered,
            total: coverage.total,
            missing: missing.collect(),
        }
    }
}

impl PartBody {
    fn new(shard: u32, body: &[u8]) -> Self {
        match str::from_utf8(body) {
            Ok(text) => PartBody { shard, body: Some(text.to_owned()), body_hex: None },
            Err(_) => PartBody { shard, body: None, body_hex: Some(hex(body)) },
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}
