//! Decides when a request is over, and its verdict.

use std::{sync::Arc, time::Duration};

use base::{Missing, Reason, ShardId, Snapshot};

use super::{Action, Outbox, Query, Trial};
use crate::{
    message::Refusal,
    request::{gather::Coverage, shared::QueryCx},
};

/// Tolerance for rounding when coverage is compared with the minimum.
const COVERAGE_EPSILON: f64 = 1e-9;
/// Time after which a caller may retry if the pool had too much work.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Answer(Answer),
    Refused(Refusal),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub snapshot: Snapshot,
    pub coverage: Coverage,
    pub parts: Vec<(ShardId, Arc<[u8]>)>,
}

impl Query {
    /// Returns the actions of a step, including the verdict if the request is
    /// over.
    pub(super) fn conclude<R>(
        &mut self,
        cx: &mut QueryCx<'_, R>,
        mut outbox: Outbox,
    ) -> Vec<Action> {
        if !self.is_over(cx) {
            return self.flush(cx.now, outbox);
        }
        self.mark_silent_owners(cx);
        self.end_trial(cx);
        if self.gather.is_complete() {
            cx.shared.quarantine.record_answered(cx.now, self.req.fingerprint);
        }
        // Non-idempotent work is not cancelled: it runs on, and its result is
        // ignored.
        let abandoned = self.gather.abandon_in_flight(cx.now);
        if self.req.is_idempotent {
            outbox.cancel(abandoned);
        }
        let verdict = self.verdict(cx.now >= self.req.deadline);
        self.is_finished = true;
        let mut actions = self.flush(cx.now, outbox);
        actions.push(Action::Finish(verdict));
        actions
    }

    pub(super) fn refuse(&mut self, refusal: Refusal) -> Vec<Action> {
        self.is_finished = true;
        vec![Action::Finish(Verdict::Refused(refusal))]
    }

    pub(super) fn is_min_coverage_met(&self) -> bool {
        let (answered, total) = self.gather.progress();
        is_coverage_met(answered, total, self.req.min_coverage)
    }

    fn is_over<R>(&self, cx: &QueryCx<'_, R>) -> bool {
        if cx.now >= self.req.deadline || self.gather.is_complete() {
            return true;
        }
        let is_waiting = self.trial != Trial::None
            || self.plans.iter().any(|it| it.retry_at.is_some())
            || self.gather.is_any_in_flight();
        !is_waiting || (cx.now >= self.straggler_deadline && self.is_min_coverage_met())
    }

    /// Marks owners as silent that have not answered for too long.
    fn mark_silent_owners<R>(&self, cx: &mut QueryCx<'_, R>) {
        for (_, attempt) in self.gather.attempts().filter(|(_, it)| it.ended.is_none()) {
            cx.shared.table.mark_silent_if_overdue(cx.now, &attempt.owner, attempt.sent);
        }
    }

    fn verdict(&self, is_late: bool) -> Verdict {
        let coverage = self.gather.coverage();
        let snapshot = self.gather.snapshot();
        if !self.is_min_coverage_met() {
            return Verdict::Refused(self.refusal(&coverage, is_late));
        }
        let parts: Vec<_> =
            self.gather.answers().map(|(shard, body)| (shard, body.clone())).collect();
        base::always!(
            parts.len() == coverage.answered as usize
                && coverage.answered + coverage.missing.len() as u32 == coverage.total,
            "coverage-is-true",
            "request {}",
            self.req.id
        );
        Verdict::Answer(Answer { snapshot, coverage, parts })
    }

    fn refusal(&self, coverage: &Coverage, is_late: bool) -> Refusal {
        // Before the deadline, only an owner that lacks capacity reports
        // `Missing::Deadline`.
        let is_overload_reason = |missing| match missing {
            Missing::Shed | Missing::Refused => true,
            Missing::Deadline => !is_late,
            _ => false,
        };
        let is_overload = coverage.missing.iter().any(|it| is_overload_reason(it.1));
        let reason = match (is_late, is_overload) {
            (_, true) => Reason::Overloaded,
            (true, false) => Reason::DeadlinePassed,
            (false, false) => Reason::CoverageTooLow,
        };
        let detail = describe(coverage, self.req.min_coverage);
        let retry_after = is_overload.then_some(OVERLOAD_RETRY_AFTER);
        Refusal { reason, outcome: self.gather.outcome(), detail, retry_after }
    }
}

fn is_coverage_met(answered: u32, total: u32, min_coverage: f64) -> bool {
    let ratio = f64::from(answered) / f64::from(total.max(1));
    answered > 0 && ratio + COVERAGE_EPSILON >= min_coverage
}

fn describe(coverage: &Coverage, min_coverage: f64) -> String {
    const MAX_LISTED_SHARDS: usize = 8;
    let listed = coverage.missing.iter().take(MAX_LISTED_SHARDS);
    let listed: Vec<_> = listed.map(|(shard, missing)| format!("{shard}: {missing}")).collect();
    let Coverage { answered, total, .. } = coverage;
    let shards = listed.join(", ");
    format!("{answered} of {total} shards answered, {min_coverage} is asked for; missing {shards}")
}
