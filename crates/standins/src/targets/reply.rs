//! Answers and refusals of a target, including faulty answers.

use std::time::Duration;

use base::Outcome;

use super::{query::Query, state::State, target::Target};
use crate::http::Response;

/// How the response of a target is sent.
pub enum Reply {
    Complete(Response),
    /// Sends the head and the first half of the body, then closes the connection.
    Truncated(Response),
    /// Closes the connection without a response.
    NoResponse,
}

/// Returns the answer to a query that ran, with the faults that the knobs request.
pub fn answer(target: &Target, query: &Query) -> Reply {
    let mut state = target.lock();
    let Some(snapshot) = query.read_snapshot(&state) else {
        drop(state);
        return refusal(target, query, 409, Outcome::MayHaveRun);
    };
    *state.record.snapshots.entry(snapshot.to_string()).or_default() += 1;
    let body = serde_json::json!({
        "target": target.spec().name.as_str(),
        "shard": query.shard,
        "snapshot": snapshot.to_string(),
        "key": query.key,
    });
    let own = (query.attempt.to_string(), body.to_string().into_bytes());
    let last = state.last_answer.replace(own.clone());
    let is_crossed = state.sample_bool(|it| it.crossed_probability);
    let (attempt, body) = last.filter(|_| is_crossed).unwrap_or(own);
    let mut response = Response::new(200, body);
    response.headers = status_headers(&state);
    response.headers.push(("godwityard-attempt", attempt));
    response.headers.push(("godwityard-shard", query.shard.to_string()));
    response.headers.push(("godwityard-snapshot", snapshot.to_string()));
    if state.sample_bool(|it| it.lost_probability) {
        return Reply::NoResponse;
    }
    if state.sample_bool(|it| it.truncated_probability) {
        return Reply::Truncated(response);
    }
    Reply::Complete(response)
}

/// Returns a response that states the outcome of the attempt in a header and has an
/// empty body.
pub fn refusal(target: &Target, query: &Query, status: u16, outcome: Outcome) -> Reply {
    let mut state = target.lock();
    if outcome == Outcome::NotRun {
        state.record.refused += 1;
    }
    let mut response = Response::new(status, Vec::new());
    response.headers = status_headers(&state);
    response.headers.push(("godwityard-attempt", query.attempt.to_string()));
    response.headers.push(("godwityard-shard", query.shard.to_string()));
    response.headers.push(("godwityard-outcome", outcome.to_string()));
    let retry_after = Duration::from_millis(state.knobs.retry_after_ms);
    if status == 503 && !retry_after.is_zero() {
        response.headers.push(("retry-after", retry_after.as_secs_f64().to_string()));
    }
    Reply::Complete(response)
}

fn status_headers(state: &State) -> Vec<(&'static str, String)> {
    let mut headers = vec![
        ("godwityard-incarnation", state.incarnation.to_string()),
        ("godwityard-state", state.state_text().to_owned()),
        ("godwityard-snapshots", state.snapshot_list().join(",")),
        ("godwityard-load", format!("{}/{}", state.in_flight(), state.knobs.slots)),
    ];
    if state.knobs.leaving {
        headers.push(("godwityard-leaving", "1".to_owned()));
    }
    headers
}
