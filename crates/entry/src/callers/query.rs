//! An idempotent query.

use base::{RequestId, Time};
use policy::{
    message::Refusal,
    request::{QueryRequest, Verdict},
};
use rocket::Data;
use slog::info;
use telemetry::metrics::label;

use crate::{
    cx::EntryCx,
    filter::{self, Draft, Head},
    http::{self, Reply},
    scatter,
    seams::{Owners, State},
    wire::AnswerBody,
};

use super::read_body;

pub(super) async fn answer<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    head: Head,
    data: Data<'_>,
) -> Reply {
    let id = http::new_request_id();
    let started = cx.now();
    let result = run(cx, id, &head, data).await;
    count_request(cx, started, result.as_ref().err());
    match result {
        Ok(reply) => reply,
        Err(refusal) => {
            info!(cx.log(), "request refused"; "request" => %id, "service" => head.service,
                "reason" => %refusal.reason, "outcome" => %refusal.outcome);
            Reply::refusal(id, &refusal)
        }
    }
}

async fn run<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    id: RequestId,
    head: &Head,
    data: Data<'_>,
) -> Result<Reply, Refusal> {
    let draft = filter::run(cx, id, head)?;
    let body = read_body(data, &draft.service).await?;
    let (verdict, _query) = scatter::run(cx, request(draft, body)).await;
    match verdict {
        Verdict::Answer(answer) => Ok(Reply::json(200, &AnswerBody::new(id, &answer))),
        Verdict::Refused(refusal) => Err(refusal),
    }
}

fn count_request<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    started: Time,
    refusal: Option<&Refusal>,
) {
    let metrics = cx.metrics();
    let result = if refusal.is_some() { "refused" } else { "answered" };
    metrics.requests.add(1, &[label("result", result)]);
    let latency = cx.now().since(started);
    metrics.request_latency.record(latency.as_secs_f64() * 1_000.0, &[label("result", result)]);
    if let Some(refusal) = refusal {
        metrics.refusals.add(1, &[label("reason", refusal.reason.as_str())]);
    }
}

fn request(draft: Draft, body: Vec<u8>) -> QueryRequest {
    QueryRequest {
        id: draft.id,
        fingerprint: 0,
        service: draft.service,
        view: draft.view,
        shard: draft.shard,
        body: body.into(),
        is_idempotent: true,
        min_coverage: draft.min_coverage,
        started: draft.started,
        deadline: draft.deadline,
    }
}
