//! Notes on failed sends and missing parts, for the log line of a request.

use base::HashSet;
use forward::{
    gather::PartState,
    placement::{PlacementRequest, TargetKey},
};

use super::Scatter;
use crate::messages::Note;

/// Limit on the notes kept for one request.
const MAX_NOTES: usize = 12;

impl Scatter<'_> {
    pub(super) fn record_note(
        &mut self,
        index: usize,
        target: Option<TargetKey>,
        reason: &'static str,
    ) {
        if self.notes.len() >= MAX_NOTES {
            return;
        }
        let targets = self.cx.targets.borrow();
        let target = target.and_then(|it| targets.target(it)).map(|it| it.report.name.clone());
        let plan = self.query.plan();
        let service = targets.service_name(plan.shards[index]).clone();
        let after = self.cx.clock.now().since(plan.schedule.received);
        let sends = self.query.tried(index).len();
        self.notes.push(Note { service, target, reason, sends, after });
    }

    /// Returns whether pauses that targets asked for keep the part from being sent.
    fn is_paused(&self, index: usize) -> bool {
        let plan = self.query.plan();
        let (service, now) = (plan.shards[index], self.cx.clock.now());
        self.cx.targets.borrow().pause_wait(&[service], 1, &plan.regions, now).is_some()
    }

    /// Returns whether all targets that the part could be sent to have been leaving for too
    /// long.
    fn has_left(&self, index: usize) -> bool {
        let plan = self.query.plan();
        let (service, now) = (plan.shards[index], self.cx.clock.now());
        let request =
            PlacementRequest { service, class: plan.class, tried: &[], regions: &plan.regions };
        let targets = self.cx.targets.borrow();
        let is_leaving = targets.leaving(&[service], now).next().is_some();
        is_leaving && !targets.has_allowed_target(&request, &HashSet::default(), now)
    }

    /// Records the parts that are missing from the answer, each with a reason.
    pub(super) fn record_missing(&mut self) {
        for index in 0..self.query.plan().shards.len() {
            let reason = match self.query.part(index) {
                PartState::Done => continue,
                PartState::Waiting => "no connection was free",
                PartState::LeftOut => "left out, as its shard is overloaded",
                PartState::Silent => "all targets silent",
                PartState::Sent { .. } => "not answered yet",
                PartState::Unresponsive { .. } => "its targets answer nothing",
                PartState::Failed if self.is_paused(index) => "its targets ask for a pause",
                PartState::Failed if self.has_left(index) => "its targets have left",
                PartState::Failed => "failed",
            };
            let target = self.query.tried(index).last().copied();
            self.record_note(index, target, reason);
        }
    }
}
