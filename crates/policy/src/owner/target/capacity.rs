//! What results and reports say of a target's strength.

use super::{Cx, InFlight, TargetCore};
use crate::owner::{
    action::{LimitCause, TargetEvent},
    health::HealthChange,
    limit::LimitChange,
    result_check::CapacitySignal,
};

impl TargetCore {
    pub(super) fn observe_proof(
        &mut self,
        cx: &mut Cx<'_>,
        entry: &InFlight,
        signal: CapacitySignal,
    ) {
        match signal {
            CapacitySignal::Answered => {
                self.proven_at = self.proven_at.max(Some(entry.sent_at));
                self.silent_since = None;
                let change = self.limit.observe_answer(cx.now, cx.now.since(entry.sent_at));
                self.note_limit(cx, change);
            }
            CapacitySignal::TimedOut => {
                let change = self.limit.observe_timeout(cx.now, cx.now.since(entry.sent_at));
                self.note_limit(cx, change);
            }
            CapacitySignal::Shed => self.lower_limit(cx, LimitCause::Shed),
            CapacitySignal::Lost => {
                self.health.observe_doubt();
                self.lower_limit(cx, LimitCause::ConnectionLost);
            }
            CapacitySignal::NotSent => self.health.observe_doubt(),
            CapacitySignal::None => {}
        }
    }

    pub(super) fn apply(&mut self, cx: &mut Cx<'_>, change: HealthChange) {
        let incarnation = self.health.incarnation();
        if change.is_now_up {
            self.emit(cx, TargetEvent::Up { incarnation });
        }
        if change.is_new_incarnation {
            self.abandoned.clear();
            self.lower_limit(cx, LimitCause::NewIncarnation);
        }
        if change.is_now_unhealthy {
            self.lower_limit(cx, LimitCause::Unhealthy);
        }
        if change.is_now_leaving {
            self.emit(cx, TargetEvent::Leaving { incarnation });
        }
    }

    pub(super) fn lower_limit(&mut self, cx: &mut Cx<'_>, cause: LimitCause) {
        if self.limit.reset(cx.now) {
            self.note_limit(cx, Some(LimitChange::Lowered(cause)));
        }
    }

    pub(super) fn note_limit(&self, cx: &mut Cx<'_>, change: Option<LimitChange>) {
        let to = self.limit.get();
        match change {
            Some(LimitChange::Raised) => self.emit(cx, TargetEvent::LimitRaised { to }),
            Some(LimitChange::Lowered(cause)) => {
                self.emit(cx, TargetEvent::LimitLowered { to, cause })
            }
            None => {}
        }
    }
}
