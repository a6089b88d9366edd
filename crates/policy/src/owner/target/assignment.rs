//! Assignment of a target to this host: its share, its configuration, and the
//! limit proven by its former owner.

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

/// Time for which the state of a released target is kept.
const STATE_RETENTION: Duration = Duration::from_secs(30);
/// Age up to which a limit proven by another owner is used.
const HINT_MAX_AGE: Duration = Duration::from_secs(5);

/// Limit of a target last reported by another owner.
#[derive(Clone, Copy, Debug)]
pub(in crate::owner) struct LimitHint {
    incarnation: Incarnation,
    limit: u32,
    received_at: Time,
}

impl LimitHint {
    pub fn new(now: Time, status: &TargetStatus) -> Self {
        LimitHint { incarnation: status.incarnation, limit: status.limit, received_at: now }
    }

    pub fn is_fresh(&self, now: Time) -> bool {
        now.since(self.received_at) < HINT_MAX_AGE
    }
}

impl TargetCore {
    pub fn assign(&mut self, cx: &mut Cx<'_>, share: Share, hint: Option<LimitHint>) {
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
            self.reset_limit(cx, LimitCause::StartsCold);
        }
        self.advance(cx);
    }

    pub fn release(&mut self, cx: &mut Cx<'_>) {
        if self.share.take().is_some() {
            self.released_at = cx.now;
            self.emit(cx, TargetEvent::Released);
        }
        self.advance(cx);
    }

    pub fn configure(&mut self, cx: &mut Cx<'_>, document: Arc<Target>, is_domain_in: bool) {
        let has_moved = document.address != self.document.address;
        self.document = document;
        self.resize_limit();
        if has_moved {
            self.close_unused_connections(cx);
            self.reset_limit(cx, LimitCause::NewIncarnation);
        }
        if is_domain_in && !self.is_domain_in {
            self.reset_limit(cx, LimitCause::DomainReturned);
        }
        self.is_domain_in = is_domain_in;
        self.advance(cx);
    }

    /// Returns whether the target was released, has nothing in flight and no
    /// connections, and was released so long ago that its state is outdated.
    pub fn is_evictable(&self, now: Time) -> bool {
        let is_gone = self.share.is_none() && self.is_idle() && self.connections.len() == 0;
        is_gone && now.since(self.released_at) >= STATE_RETENTION
    }

    /// Adopts the former owner's limit if it is higher and was proven by the same
    /// incarnation.
    pub(super) fn apply_hint(&mut self, cx: &mut Cx<'_>) {
        let Some(hint) = self.hint.take() else { return };
        if hint.incarnation == self.health.incarnation() && hint.limit > self.limit.get() {
            self.limit.adopt(cx.now, hint.limit);
            self.emit_limit_change(cx, Some(LimitChange::Raised));
        }
    }

    fn resize_limit(&mut self) {
        let share = self.share.map_or(0, |it| it.slots);
        self.limit.set_capacity(self.document.slots, self.document.cold_slots);
        self.limit.set_share(share);
    }
}
