//! Checks the result of an attempt against the job it should belong to.

use base::{Missing, Outcome, Snapshot};

use super::{
    action::Job,
    input::{AnswerHead, AttemptResult, NotSent, RefusalKind},
};
use crate::message::PartResult;

/// A checked result.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedResult {
    pub result: PartResult,
    /// Whether the connection may be used again.
    pub keeps_connection: bool,
    /// Metadata of the target, if it can be trusted.
    pub head: Option<AnswerHead>,
    pub signal: CapacitySignal,
}

/// What the result of an attempt implies for the target's limit and health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacitySignal {
    Answered,
    /// The target refused because the deadline passed, and may have run the
    /// attempt.
    TimedOut,
    Shed,
    Lost,
    /// Nothing was sent, since the connection had already ended.
    NotSent,
    None,
}

/// Checks `result` against `job`.
pub fn check_result(job: &Job, result: AttemptResult) -> CheckedResult {
    match result {
        AttemptResult::Answer { head, body } => check_answer(job, head, body),
        AttemptResult::Refusal { head, kind, outcome } => check_refusal(job, head, kind, outcome),
        AttemptResult::NotSent(cause) => not_sent_result(cause),
        AttemptResult::Truncated => untrusted_result(Missing::Truncated, None),
        AttemptResult::Lost => CheckedResult {
            signal: CapacitySignal::Lost,
            ..untrusted_result(Missing::ConnectionLost, None)
        },
    }
}

fn check_answer(job: &Job, head: AnswerHead, body: std::sync::Arc<[u8]>) -> CheckedResult {
    if head.attempt != Some(job.attempt) || head.shard != Some(job.shard) {
        return untrusted_result(Missing::WrongId, None);
    }
    let read = head.snapshot.filter(|&it| satisfies(it, job.batch.snapshot));
    let Some(snapshot) = read else {
        return untrusted_result(Missing::WrongSnapshot, Some(head));
    };
    CheckedResult {
        result: PartResult::Answer { snapshot, body },
        keeps_connection: true,
        head: Some(head),
        signal: CapacitySignal::Answered,
    }
}

fn check_refusal(
    job: &Job,
    mut head: AnswerHead,
    kind: RefusalKind,
    outcome: Option<Outcome>,
) -> CheckedResult {
    if head.attempt.is_some_and(|it| it != job.attempt) {
        return untrusted_result(Missing::WrongId, None);
    }
    // A refusal without an attempt id may belong to another attempt, so its
    // statement that the work did not run is ignored.
    let is_own = head.attempt == Some(job.attempt);
    let confirmed = outcome.filter(|&it| is_own && it == Outcome::NotRun);
    let signal = match kind {
        RefusalKind::Shed => CapacitySignal::Shed,
        RefusalKind::DeadlinePassed if confirmed.is_none() => CapacitySignal::TimedOut,
        _ => CapacitySignal::None,
    };
    head.is_leaving |= kind == RefusalKind::Leaving;
    CheckedResult {
        result: PartResult::Failed {
            missing: kind.missing(),
            outcome: confirmed.unwrap_or(Outcome::MayHaveRun),
        },
        keeps_connection: true,
        head: Some(head),
        signal,
    }
}

fn not_sent_result(cause: NotSent) -> CheckedResult {
    let missing = match cause {
        NotSent::ConnectionClosed => Missing::NoTarget,
        NotSent::StaleLease => Missing::OwnerUnreachable,
        NotSent::DeadlinePassed => Missing::Deadline,
    };
    let is_closed = cause == NotSent::ConnectionClosed;
    CheckedResult {
        result: PartResult::Failed { missing, outcome: Outcome::NotRun },
        keeps_connection: !is_closed,
        head: None,
        signal: if is_closed { CapacitySignal::NotSent } else { CapacitySignal::None },
    }
}

/// Returns a failure after which the connection must not be used again.
fn untrusted_result(missing: Missing, head: Option<AnswerHead>) -> CheckedResult {
    CheckedResult {
        result: PartResult::Failed { missing, outcome: Outcome::MayHaveRun },
        keeps_connection: false,
        head,
        signal: CapacitySignal::None,
    }
}

/// Returns whether the snapshot `read` is the one that was asked for. Index 0
/// asks for any snapshot of the map.
fn satisfies(read: Snapshot, asked: Snapshot) -> bool {
    read.map == asked.map && (asked.index == 0 || read.index == asked.index)
}
