//! What the result of an attempt is worth, once it is checked against what
//! was asked.

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
    /// Whether the connection still is what it seems.
    pub keeps_connection: bool,
    /// What the target told of itself, if it may be believed.
    pub head: Option<AnswerHead>,
    pub signal: CapacitySignal,
}

/// What the result says of the target's strength.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacitySignal {
    Answered,
    /// The target gave up at the deadline, after it had begun.
    TimedOut,
    Shed,
    Lost,
    /// Nothing was sent, since the connection had ended before.
    NotSent,
    None,
}

/// Checks `result` against the job it should belong to.
pub fn check_result(job: &Job, result: AttemptResult) -> CheckedResult {
    match result {
        AttemptResult::Answer { head, body } => check_answer(job, head, body),
        AttemptResult::Refusal { head, kind, outcome } => check_refusal(job, head, kind, outcome),
        AttemptResult::NotSent(cause) => not_sent_result(cause),
        AttemptResult::Truncated => suspect(Missing::Truncated, None),
        AttemptResult::Lost => {
            CheckedResult { signal: CapacitySignal::Lost, ..suspect(Missing::ConnectionLost, None) }
        }
    }
}

fn check_answer(job: &Job, head: AnswerHead, body: std::sync::Arc<[u8]>) -> CheckedResult {
    if head.attempt != Some(job.attempt) || head.shard != Some(job.shard) {
        return suspect(Missing::WrongId, None);
    }
    let read = head.snapshot.filter(|&it| satisfies(it, job.batch.snapshot));
    let Some(snapshot) = read else {
        return suspect(Missing::WrongSnapshot, Some(head));
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
        return suspect(Missing::WrongId, None);
    }
    // A refusal that names no attempt may speak of another one, so its word
    // that the work did not run is not taken.
    let is_own = head.attempt == Some(job.attempt);
    let vouched = outcome.filter(|&it| is_own && it == Outcome::NotRun);
    let signal = match kind {
        RefusalKind::Shed => CapacitySignal::Shed,
        RefusalKind::DeadlinePassed if vouched.is_none() => CapacitySignal::TimedOut,
        _ => CapacitySignal::None,
    };
    head.is_leaving |= kind == RefusalKind::Leaving;
    CheckedResult {
        result: PartResult::Failed {
            missing: kind.missing(),
            outcome: vouched.unwrap_or(Outcome::MayHaveRun),
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

/// A result after which nothing on the connection can be believed.
fn suspect(missing: Missing, head: Option<AnswerHead>) -> CheckedResult {
    CheckedResult {
        result: PartResult::Failed { missing, outcome: Outcome::MayHaveRun },
        keeps_connection: false,
        head,
        signal: CapacitySignal::None,
    }
}

/// Whether `read` is what was asked for; index 0 asks for any of its map.
fn satisfies(read: Snapshot, asked: Snapshot) -> bool {
    read.map == asked.map && (asked.index == 0 || read.index == asked.index)
}
