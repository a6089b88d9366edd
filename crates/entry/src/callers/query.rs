//! An idempotent query.

use std::time::Duration;

use base::{RequestId, Time};
use policy::{
    message::Refusal,
    request::{Query, Verdict},
};
use rocket::Data;
use telemetry::metrics::label;

use super::{log_refusal, read_body};
use crate::{
    cx::EntryCx,
    filter::{self, Head},
    http::{self, Reply},
    scatter,
    seams::{Owners, State},
    wire::AnswerBody,
};

/// How long an answer is held back after a target died under the request, so
/// that other hosts hear of the suspect before its caller can send it again.
const SUSPECT_HEAD_START: Duration = Duration::from_millis(20);

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
            log_refusal(cx, id, &head, &refusal);
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
    let _in_flight = filter::enter(cx, &draft.service)?;
    let body = read_body(data, &draft.service).await?;
    let views = draft.views.clone();
    let (verdict, query) = scatter::run(cx, draft.into_query(body), &views).await;
    cx.remember(&query, &verdict);
    hold_back_suspect(cx, &query).await;
    match verdict {
        Verdict::Answer(answer) => Ok(Reply::json(200, &AnswerBody::new(id, &answer))),
        Verdict::Refused(refusal) => Err(refusal),
    }
}

async fn hold_back_suspect<S: State, O: Owners>(cx: &EntryCx<S, O>, query: &Query) {
    if query.is_implicated() {
        let left = query.request().deadline.until(cx.now());
        tokio::time::sleep(left.min(SUSPECT_HEAD_START)).await;
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
