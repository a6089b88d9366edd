//! What an answer is: whose it is, and whether a caller may get it.
//!
//! All answers are judged here, those of targets and those of other hosts. A success
//! reaches a caller only as the target's whole and signed body. Anything else with the
//! status of a success is neither that nor a failure that the target reports, so no
//! caller gets it.

use std::ops::RangeInclusive;

use forward::target::SendResult;
use http::{HeaderMap, HeaderValue, StatusCode, header};

use crate::{
    HeaderNames,
    messages::{RelayOutcome, TargetAnswer},
};

/// Statuses of answers that end a request. Below are interim answers, and the switch to
/// another protocol, which no caller is let ask for; above is nothing that callers know.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Verdict on an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// A usable answer, or a failure that the target reports.
    Forwardable(SendResult),
    /// The request did not run.
    NotRun(SendResult),
    /// Only states the target's condition, as the answer to a health request does.
    Report(SendResult),
    Unusable {
        result: SendResult,
        reason: &'static str,
    },
}

/// Judges an answer to a request with these headers. `is_relayed` tells whether another
/// host answered.
pub(super) fn judge(
    names: &HeaderNames,
    request: &HeaderMap,
    is_relayed: bool,
    answer: &TargetAnswer,
) -> Verdict {
    if !is_answer_to(names, request, &answer.headers) {
        let reason = "it belongs to another request";
        return Verdict::Unusable { result: SendResult::Broken, reason };
    }
    if !FINAL_STATUSES.contains(&answer.status.as_u16()) {
        let reason = "its status ends no request";
        return Verdict::Unusable { result: SendResult::Broken, reason };
    }
    if is_relayed {
        return judge_relayed(answer);
    }
    let is_success = answer.status.is_success();
    if !request.contains_key(&names.request_id) {
        let result = if is_success { SendResult::Answered } else { SendResult::Failed };
        return Verdict::Report(result);
    }
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::NotRun(SendResult::Misdirected);
    }
    if answer.headers.contains_key(&names.not_run) {
        return Verdict::NotRun(SendResult::Shed);
    }
    let result = SendResult::Failed;
    if answer.headers.contains_key(header::CONTENT_ENCODING) {
        return Verdict::Unusable { result, reason: "its body is encoded" };
    }
    if !answer.headers.contains_key(&names.stamp) {
        return Verdict::Unusable { result, reason: "it is not signed" };
    }
    Verdict::Forwardable(if is_success { SendResult::Answered } else { result })
}

/// Judges the answer of another host, which judged the target's answer itself.
fn judge_relayed(answer: &TargetAnswer) -> Verdict {
    match RelayOutcome::read(&answer.headers) {
        Some(outcome) => Verdict::Forwardable(outcome.into()),
        None => Verdict::Unusable {
            result: SendResult::Broken,
            reason: "it states no outcome of a request passed on",
        },
    }
}

/// Returns whether an answer belongs to the request: it echoes the request's id, and
/// has none if the request has none, as health requests do. A late copy of another
/// answer may arrive first on the connection.
pub(super) fn is_answer_to(names: &HeaderNames, request: &HeaderMap, answer: &HeaderMap) -> bool {
    let name = &names.request_id;
    let mut echoed = answer.get_all(name).iter().peekable();
    match request.get(name) {
        Some(asked) => echoed.peek().is_some() && echoed.all(|it| it == asked),
        None => echoed.all(HeaderValue::is_empty),
    }
}
