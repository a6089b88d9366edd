//! The body of a recent decision.

use base::Time;
use policy::request::{Attempt, AttemptEnd, SendKind};

use super::answer::CoverageBody;
use crate::recent::Decision;

#[derive(Debug)]
#[derive(serde::Serialize)]
pub(crate) struct DecisionBody {
    request: String,
    service: String,
    started_ms_ago: f64,
    took_ms: f64,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
    /// Pinned one after the other; more than one after a restart.
    snapshots: Vec<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    coverage: Option<CoverageBody>,
    subqueries: usize,
    shards_resent: Vec<u32>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    attempts: Vec<AttemptBody>,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct AttemptBody {
    attempt: String,
    shard: u32,
    target: String,
    owner: String,
    kind: &'static str,
    snapshot: String,
    /// After the request's arrival.
    sent_ms: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    ended_ms: Option<f64>,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<&'static str>,
}

impl DecisionBody {
    /// Without the single attempts.
    pub(crate) fn summary(now: Time, decision: &Decision) -> Self {
        let refused = decision.refused.as_ref();
        DecisionBody {
            request: decision.request.to_string(),
            service: decision.service.to_string(),
            started_ms_ago: millis(decision.started, now),
            took_ms: millis(decision.started, decision.ended),
            result: if refused.is_some() { "refused" } else { "answered" },
            reason: refused.map(|it| it.0.as_str()),
            outcome: refused.map(|it| it.1.as_str()),
            detail: refused.map(|it| it.2.clone()),
            snapshots: decision.snapshots.iter().map(ToString::to_string).collect(),
            coverage: decision.coverage.as_ref().map(CoverageBody::from),
            subqueries: decision.attempts.len(),
            shards_resent: decision.shards_resent().into_iter().map(|it| it.0).collect(),
            attempts: Vec::new(),
        }
    }

    pub(crate) fn whole(now: Time, decision: &Decision) -> Self {
        let attempts = decision.attempts.iter();
        let attempts =
            attempts.map(|(id, it)| AttemptBody::new(id.to_string(), it, decision.started));
        DecisionBody { attempts: attempts.collect(), ..DecisionBody::summary(now, decision) }
    }
}

impl AttemptBody {
    fn new(attempt: String, it: &Attempt, started: Time) -> Self {
        let (result, outcome) = match it.ended {
            None => ("open", None),
            Some((_, AttemptEnd::Answered)) => ("answered", None),
            Some((_, AttemptEnd::Abandoned)) => ("abandoned", None),
            Some((_, AttemptEnd::Failed { missing, outcome })) => {
                (missing.as_str(), Some(outcome.as_str()))
            }
        };
        AttemptBody {
            attempt,
            shard: it.shard.0,
            target: it.target.to_string(),
            owner: it.owner.to_string(),
            kind: kind_text(it.kind),
            snapshot: it.snapshot.to_string(),
            sent_ms: millis(started, it.sent),
            ended_ms: it.ended.map(|(at, _)| millis(started, at)),
            result,
            outcome,
        }
    }
}

fn kind_text(kind: SendKind) -> &'static str {
    match kind {
        SendKind::First => "first",
        SendKind::Retry => "retry",
        SendKind::Hedge => "hedge",
        SendKind::Restart => "restart",
    }
}

fn millis(from: Time, to: Time) -> f64 {
    to.since(from).as_secs_f64() * 1_000.0
}
