//! Connections of one target: opening ahead of need, replacing, keeping warm,
//! probing, cancelling.

use std::time::Duration;

use base::always;
use rand::Rng;

use super::{Cx, TargetCore};
use crate::owner::{
    action::{Action, CloseCause, LimitCause, TargetEvent},
    connections::{Role, State, Wanted},
    input::ConnectionId,
};

/// Connections opened at once to a target that is up.
const MAX_OPENING: usize = 2;
/// Wait after a refused connection to a target that otherwise answers.
const REFUSED_BACKOFF: Duration = Duration::from_millis(500);
/// A target that told nothing for so long is asked for its load.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// An idle connection is used at least so often, below the usual keep-alive
/// time of servers.
const KEEP_WARM_INTERVAL: Duration = Duration::from_secs(3);

impl TargetCore {
    pub(super) fn keep_connections(&mut self, cx: &mut Cx<'_>) {
        let wanted = self.wanted_connections();
        while let Some(id) = self.connections.surplus(wanted) {
            self.drop_connection(cx, id);
        }
        self.open_lacking(cx, wanted);
        self.send_cancels(cx);
        self.send_probes(cx);
    }

    pub(super) fn close(&mut self, cx: &mut Cx<'_>, connection: ConnectionId, cause: CloseCause) {
        self.emit(cx, TargetEvent::ConnectionClosed { connection, cause });
        self.drop_connection(cx, connection);
    }

    /// Handles a connection that could not be opened. With none open, or
    /// with doubt about those that are, the target counts as down.
    pub(super) fn observe_refused(&mut self, cx: &mut Cx<'_>) {
        if self.connections.any_open() && !self.health.is_doubted() {
            let jitter = cx.rng.random_range(0.75..1.25);
            self.open_after = cx.now + REFUSED_BACKOFF.mul_f64(jitter);
            return;
        }
        if self.health.observe_unreachable(cx.now, cx.rng) {
            self.emit(cx, TargetEvent::Down);
        }
        self.lower_limit(cx, LimitCause::ConnectionRefused);
        while let Some(id) = self.connections.surplus(Wanted::default()) {
            self.drop_connection(cx, id);
        }
    }

    /// Closes all connections, because the target has another address now.
    pub(super) fn forget_connections(&mut self, cx: &mut Cx<'_>) {
        while let Some(id) = self.connections.surplus(Wanted::default()) {
            self.drop_connection(cx, id);
        }
        let opening = self.connections.iter().filter(|it| it.state == State::Opening);
        for id in opening.map(|it| it.id).collect::<Vec<_>>() {
            self.drop_connection(cx, id);
        }
    }

    fn wanted_connections(&self) -> Wanted {
        let Some(share) = self.share else { return Wanted::default() };
        if !self.is_domain_in {
            return Wanted::default();
        }
        if self.is_leaving() {
            // One stays to notice a new incarnation.
            return Wanted { data: 0, control: share.connections.min(1) };
        }
        Wanted::new(share.connections, share.slots)
    }

    fn open_lacking(&mut self, cx: &mut Cx<'_>, wanted: Wanted) {
        if cx.now < self.open_after || !self.health.may_probe(cx.now) {
            return;
        }
        // A target not known to be up is tried by a single connection.
        let is_sure = self.health.is_up() && !self.health.is_doubted();
        let max_opening = if is_sure { MAX_OPENING } else { 1 };
        let share = self.share.map_or(0, |it| it.connections);
        while self.connections.opening() < max_opening && self.connections.len() < share {
            let Some(role) = self.connections.lacking(wanted) else { return };
            let connection = self.connections.add(cx.now, role);
            let open = self.connections.len();
            always!(open <= share, "owner-connections-within-share", "{open} of {share}");
            let target = self.document.name.clone();
            let address = self.document.address;
            cx.actions.push(Action::Open { target, connection, address });
        }
    }

    fn send_cancels(&mut self, cx: &mut Cx<'_>) {
        while !self.cancels.is_empty() {
            let Some(connection) = self.connections.idle(Role::Control) else { return };
            let Some(attempt) = self.cancels.pop_front() else { return };
            self.connections.set(cx.now, connection, State::Cancelling(attempt));
            let target = self.document.name.clone();
            cx.actions.push(Action::CancelAttempt { target, connection, attempt });
        }
    }

    fn send_probes(&mut self, cx: &mut Cx<'_>) {
        let silence = self.health.silence(cx.now);
        let is_quiet = silence.is_none_or(|it| it >= REPORT_INTERVAL) || self.health.is_doubted();
        if self.connections.is_controlling() {
            return;
        }
        let control = self.connections.idle(Role::Control).filter(|_| is_quiet);
        let idle = || self.connections.idle_for(cx.now, KEEP_WARM_INTERVAL);
        let Some(connection) = control.or_else(idle) else { return };
        self.connections.set(cx.now, connection, State::Probing);
        let target = self.document.name.clone();
        cx.actions.push(Action::Probe { target, connection });
    }

    fn drop_connection(&mut self, cx: &mut Cx<'_>, connection: ConnectionId) {
        if self.connections.remove(connection).is_some() {
            let target = self.document.name.clone();
            cx.actions.push(Action::Close { target, connection });
        }
    }
}
