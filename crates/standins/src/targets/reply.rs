//! Answers and refusals of a target, sound or not.

use base::Outcome;

use super::{query::Query, state::State, target::Target};
use crate::http::Response;

/// How the bytes of a response leave the target.
pub enum Reply {
    Whole(Response),
    /// Only the first half of the body, then the connection closes.
    Truncated(Response),
    /// The connection closes without an answer.
    Lost,
}

/// The answer to a query that ran, as sound as the knobs want it.
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
    let is_crossed = state.draw(|it| it.crossed_probability);
    let (attempt, body) = last.filter(|_| is_crossed).unwrap_or(own);
    let mut response = Response::new(200, body);
    response.headers = status_headers(&state);
    response.headers.push(("godwityard-attempt", attempt));
    response.headers.push(("godwityard-shard", query.shard.to_string()));
    response.headers.push(("godwityard-snapshot", snapshot.to_string()));
    if state.draw(|it| it.lost_probability) {
        return Reply::Lost;
    }
    if state.draw(|it| it.truncated_probability) {
        return Reply::Truncated(response);
    }
    Reply::Whole(response)
}

/// A refusal with its outcome.
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
    Reply::Whole(response)
}

fn status_headers(state: &State) -> Vec<(&'static str, String)> {
    vec![
        ("godwityard-incarnation", state.incarnation.to_string()),
        ("godwityard-state", state.state_text().to_owned()),
        ("godwityard-snapshots", state.snapshot_list().join(",")),
        ("godwityard-load", format!("{}/{}", state.in_flight(), state.knobs.slots)),
    ]
}
