//! What results and reports say of a target's strength.

use super::{Cx, InFlight, TargetCore};
use crate::owner::{
    action::{LimitCause, Note},
    limit::LimitChange,
    trust::TrustChange,
    verdict::Proof,
};

impl TargetCore {
    pub(super) fn observe_proof(&mut self, cx: &mut Cx<'_>, entry: &InFlight, proof: Proof) {
        match proof {
            Proof::Answered => {
                self.proven_at = self.proven_at.max(Some(entry.sent_at));
                self.silent_since = None;
                let change = self.limit.observe_answer(cx.now, cx.now.since(entry.sent_at));
                self.note_limit(cx, change);
            }
            Proof::TimedOut => {
                let change = self.limit.observe_timeout(cx.now, cx.now.since(entry.sent_at));
                self.note_limit(cx, change);
            }
            Proof::Shed => self.lower_limit(cx, LimitCause::Shed),
            Proof::Lost => {
                self.trust.observe_doubt();
                self.lower_limit(cx, LimitCause::ConnectionLost);
            }
            Proof::NotSent => self.trust.observe_doubt(),
            Proof::None => {}
        }
    }

    pub(super) fn apply(&mut self, cx: &mut Cx<'_>, change: TrustChange) {
        let incarnation = self.trust.incarnation();
        if change.is_now_up {
            self.note(cx, Note::Up { incarnation });
        }
        if change.is_new_incarnation {
            self.abandoned.clear();
            self.lower_limit(cx, LimitCause::NewIncarnation);
        }
        if change.is_now_unhealthy {
            self.lower_limit(cx, LimitCause::Unhealthy);
        }
        if change.is_now_leaving {
            self.note(cx, Note::Leaving { incarnation });
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
            Some(LimitChange::Raised) => self.note(cx, Note::LimitRaised { to }),
            Some(LimitChange::Lowered(cause)) => self.note(cx, Note::LimitLowered { to, cause }),
            None => {}
        }
    }
}
