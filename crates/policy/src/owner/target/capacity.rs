//! Effects of results and reports on a target's limit and health.

use super::{Cx, InFlight, TargetCore};
use crate::owner::{
    action::{LimitCause, TargetEvent},
    health::HealthChange,
    limit::LimitChange,
    result_check::CapacitySignal,
};

impl TargetCore {
    pub(super) fn apply_signal(
        &mut self,
        cx: &mut Cx<'_>,
        entry: &InFlight,
        signal: CapacitySignal,
    ) {
        match signal {
            CapacitySignal::Answered => {
                self.alive_as_of = self.alive_as_of.max(Some(entry.sent_at));
                self.silent_since = None;
                let change = self.limit.observe_answer(cx.now, cx.now.since(entry.sent_at));
                self.emit_limit_change(cx, change);
            }
            CapacitySignal::TimedOut => {
                let change = self.limit.observe_timeout(cx.now, cx.now.since(entry.sent_at));
                self.emit_limit_change(cx, change);
            }
            CapacitySignal::Shed => self.reset_limit(cx, LimitCause::Shed),
            CapacitySignal::Lost => {
                self.health.mark_suspect();
                self.reset_limit(cx, LimitCause::ConnectionLost);
            }
            CapacitySignal::NotSent => self.health.mark_suspect(),
            CapacitySignal::None => {}
        }
    }

    pub(super) fn apply_health_change(&mut self, cx: &mut Cx<'_>, change: HealthChange) {
        let incarnation = self.health.incarnation();
        if change.is_now_up {
            self.emit(cx, TargetEvent::Up { incarnation });
        }
        if change.is_new_incarnation {
            self.abandoned.clear();
            self.reset_limit(cx, LimitCause::NewIncarnation);
        }
        if change.is_now_unhealthy {
            self.reset_limit(cx, LimitCause::Unhealthy);
        }
        if change.is_now_leaving {
            self.emit(cx, TargetEvent::Leaving { incarnation });
        }
    }

    pub(super) fn reset_limit(&mut self, cx: &mut Cx<'_>, cause: LimitCause) {
        if self.limit.reset(cx.now) {
            self.emit_limit_change(cx, Some(LimitChange::Lowered(cause)));
        }
    }

    pub(super) fn emit_limit_change(&self, cx: &mut Cx<'_>, change: Option<LimitChange>) {
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
