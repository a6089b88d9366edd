//! An idempotent query.

use std::time::Duration;

use base::RequestId;
use policy::{
    message::Refusal,
    request::{Answer, Query, Verdict},
};
use rocket::Data;

use super::{count_request, read_body, refuse};
use crate::{
    cx::EntryCx,
    filter::{self, Head},
    http::{self, Reply},
    interfaces::{Owners, State},
    scatter,
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
    match result {
        Ok(answer) => {
            let is_full = answer.coverage.missing.is_empty();
            count_request(cx, started, if is_full { "answered" } else { "partial" });
            Reply::json(200, &AnswerBody::new(id, &answer))
        }
        Err(refusal) => {
            count_request(cx, started, "refused");
            refuse(cx, id, &head, &refusal)
        }
    }
}

async fn run<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    id: RequestId,
    head: &Head,
    data: Data<'_>,
) -> Result<Answer, Refusal> {
    let draft = filter::run(cx, id, head)?;
    let _in_flight = filter::enter(cx, &draft.service)?;
    let body = read_body(data, &draft.service).await?;
    let views = draft.views.clone();
    let (verdict, query) = scatter::run(cx, draft.into_query(body), &views).await;
    cx.remember(&query, &verdict);
    hold_back_suspect(cx, &query).await;
    match verdict {
        Verdict::Answer(answer) => Ok(answer),
        Verdict::Refused(refusal) => Err(refusal),
    }
}

async fn hold_back_suspect<S: State, O: Owners>(cx: &EntryCx<S, O>, query: &Query) {
    if query.is_implicated() {
        let left = query.request().deadline.until(cx.now());
        tokio::time::sleep(left.min(SUSPECT_HEAD_START)).await;
    }
}
