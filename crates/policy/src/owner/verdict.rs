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
pub struct Verdict {
    pub result: PartResult,
    /// Whether the connection still is what it seems.
    pub keeps_connection: bool,
    /// What the target told of itself, if it may be believed.
    pub head: Option<AnswerHead>,
    pub proof: Proof,
}

/// What the result says of the target's strength.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
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
pub fn judge(job: &Job, result: AttemptResult) -> Verdict {
    match result {
        AttemptResult::Answer { head, body } => judge_answer(job, head, body),
        AttemptResult::Refusal { head, kind, outcome } => judge_refusal(job, head, kind, outcome),
        AttemptResult::NotSent(cause) => judge_not_sent(cause),
        AttemptResult::Truncated => suspect(Missing::Truncated, None),
        AttemptResult::Lost => {
            Verdict { proof: Proof::Lost, ..suspect(Missing::ConnectionLost, None) }
        }
    }
}

fn judge_answer(job: &Job, head: AnswerHead, body: std::sync::Arc<[u8]>) -> Verdict {
    if head.attempt != Some(job.attempt) || head.shard != Some(job.shard) {
        return suspect(Missing::WrongId, None);
    }
    let read = head.snapshot.filter(|&it| satisfies(it, job.batch.snapshot));
    let Some(snapshot) = read else {
        return suspect(Missing::WrongSnapshot, Some(head));
    };
    Verdict {
        result: PartResult::Answer { snapshot, body },
        keeps_connection: true,
        head: Some(head),
        proof: Proof::Answered,
    }
}

fn judge_refusal(
    job: &Job,
    mut head: AnswerHead,
    kind: RefusalKind,
    outcome: Option<Outcome>,
) -> Verdict {
    if head.attempt.is_some_and(|it| it != job.attempt) {
        return suspect(Missing::WrongId, None);
    }
    // A refusal that names no attempt may speak of another one, so its word
    // that the work did not run is not taken.
    let is_own = head.attempt == Some(job.attempt);
    let vouched = outcome.filter(|&it| is_own && it == Outcome::NotRun);
    let proof = match kind {
        RefusalKind::Shed => Proof::Shed,
        RefusalKind::DeadlinePassed if vouched.is_none() => Proof::TimedOut,
        _ => Proof::None,
    };
    head.is_leaving |= kind == RefusalKind::Leaving;
    Verdict {
        result: PartResult::Failed {
            missing: kind.missing(),
            outcome: vouched.unwrap_or(Outcome::MayHaveRun),
        },
        keeps_connection: true,
        head: Some(head),
        proof,
    }
}

fn judge_not_sent(cause: NotSent) -> Verdict {
    let missing = match cause {
        NotSent::ConnectionClosed => Missing::NoTarget,
        NotSent::StaleLease => Missing::OwnerUnreachable,
        NotSent::DeadlinePassed => Missing::Deadline,
    };
    let is_closed = cause == NotSent::ConnectionClosed;
    Verdict {
        result: PartResult::Failed { missing, outcome: Outcome::NotRun },
        keeps_connection: !is_closed,
        head: None,
        proof: if is_closed { Proof::NotSent } else { Proof::None },
    }
}

/// A result after which nothing on the connection can be believed.
fn suspect(missing: Missing, head: Option<AnswerHead>) -> Verdict {
    Verdict {
        result: PartResult::Failed { missing, outcome: Outcome::MayHaveRun },
        keeps_connection: false,
        head,
        proof: Proof::None,
    }
}

/// Whether `read` is what was asked for; index 0 asks for any of its map.
fn satisfies(read: Snapshot, asked: Snapshot) -> bool {
    read.map == asked.map && (asked.index == 0 || read.index == asked.index)
}
