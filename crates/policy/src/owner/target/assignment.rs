//! What this host may use of a target, and what is known of it beforehand.

use std::{sync::Arc, time::Duration};

use base::{Incarnation, Share, Time};
use documents::Target;

use super::{Cx, TargetCore};
use crate::{
    message::TargetStatus,
    owner::{
        action::{LimitCause, TargetEvent},
        limit::LimitChange,
    },
};

/// What is known of a target that was let go is kept so long.
const MEMORY: Duration = Duration::from_secs(30);
/// Age up to which another owner's word counts.
const HINT_FRESH: Duration = Duration::from_secs(5);

/// What another owner last said that a target bears.
#[derive(Clone, Copy, Debug)]
pub(in crate::owner) struct Hint {
    incarnation: Incarnation,
    limit: u32,
    told_at: Time,
}

impl Hint {
    pub fn new(now: Time, status: &TargetStatus) -> Self {
        Hint { incarnation: status.incarnation, limit: status.limit, told_at: now }
    }

    pub fn is_fresh(&self, now: Time) -> bool {
        now.since(self.told_at) < HINT_FRESH
    }
}

impl TargetCore {
    pub fn assign(&mut self, cx: &mut Cx<'_>, share: Share, hint: Option<Hint>) {
        let was_cold = self.share.is_some_and(|it| it.starts_cold);
        let size = self.share.map(|it| (it.slots, it.connections));
        if size != Some((share.slots, share.connections)) {
            let event =
                TargetEvent::Assigned { slots: share.slots, connections: share.connections };
            self.emit(cx, event);
        }
        if self.share.is_none() {
            self.hint = hint.filter(|it| it.is_fresh(cx.now) && !share.starts_cold);
        }
        self.share = Some(share);
        self.resize_limit();
        if share.starts_cold && !was_cold {
            self.lower_limit(cx, LimitCause::StartsCold);
        }
        self.advance(cx);
    }

    pub fn let_go(&mut self, cx: &mut Cx<'_>) {
        if self.share.take().is_some() {
            self.let_go_at = cx.now;
            self.emit(cx, TargetEvent::Released);
        }
        self.advance(cx);
    }

    pub fn configure(&mut self, cx: &mut Cx<'_>, document: Arc<Target>, is_domain_in: bool) {
        let has_moved = document.address != self.document.address;
        self.document = document;
        self.resize_limit();
        if has_moved {
            self.forget_connections(cx);
            self.lower_limit(cx, LimitCause::NewIncarnation);
        }
        if is_domain_in && !self.is_domain_in {
            self.lower_limit(cx, LimitCause::DomainReturned);
        }
        self.is_domain_in = is_domain_in;
        self.advance(cx);
    }

    /// Whether a target that was let go is done with, and so long ago that
    /// nothing known of it is worth keeping.
    pub fn is_forgotten(&self, now: Time) -> bool {
        let is_gone = self.share.is_none() && self.is_idle() && self.connections.len() == 0;
        is_gone && now.since(self.let_go_at) >= MEMORY
    }

    /// Starts where the former owner was, if that was the same incarnation.
    pub(super) fn take_hint(&mut self, cx: &mut Cx<'_>) {
        let Some(hint) = self.hint.take() else { return };
        if hint.incarnation == self.health.incarnation() && hint.limit > self.limit.get() {
            self.limit.adopt(cx.now, hint.limit);
            self.note_limit(cx, Some(LimitChange::Raised));
        }
    }

    fn resize_limit(&mut self) {
        let share = self.share.map_or(0, |it| it.slots);
        self.limit.resize(self.document.slots, self.document.cold_slots);
        self.limit.set_share(share);
    }
}
