//! Maintenance of one target's connections: opens, replaces and closes them,
//! keeps them alive, and sends probes and cancellations.

use std::time::Duration;

use base::always;
use rand::Rng;

use super::{Cx, TargetCore};
use crate::owner::{
    action::{Action, CloseCause, LimitCause, TargetEvent},
    connections::{ConnectionState, DesiredConnections, Role},
    input::ConnectionId,
};

/// Maximum number of connections being opened to a target that is up.
const MAX_CONCURRENT_OPENS: usize = 2;
/// Time before the next connection is opened after one failed to open, if the
/// target otherwise responds.
const OPEN_BACKOFF: Duration = Duration::from_millis(500);
/// Time since the last report or answer after which the load report is read.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Time after which an idle connection is used for a probe. Below the usual
/// keep-alive timeout of servers.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(3);

impl TargetCore {
    pub(super) fn maintain_connections(&mut self, cx: &mut Cx<'_>) {
        let desired = self.desired_connections();
        while let Some(id) = self.connections.surplus_idle(desired) {
            self.close_connection(cx, id);
        }
        self.open_missing(cx, desired);
        self.send_cancels(cx);
        self.send_probes(cx);
    }

    pub(super) fn close_early(
        &mut self,
        cx: &mut Cx<'_>,
        connection: ConnectionId,
        cause: CloseCause,
    ) {
        self.emit(cx, TargetEvent::ConnectionClosed { connection, cause });
        self.close_connection(cx, connection);
    }

    /// Handles a connection that could not be opened. The target counts as down
    /// if no connection is open or the target is suspect.
    pub(super) fn handle_open_failure(&mut self, cx: &mut Cx<'_>) {
        if self.connections.has_open() && !self.health.is_suspect() {
            let jitter = cx.rng.random_range(0.75..1.25);
            self.open_after = cx.now + OPEN_BACKOFF.mul_f64(jitter);
            return;
        }
        if self.health.observe_unreachable(cx.now, cx.rng) {
            self.emit(cx, TargetEvent::Down);
        }
        self.reset_limit(cx, LimitCause::ConnectionRefused);
        while let Some(id) = self.connections.surplus_idle(DesiredConnections::default()) {
            self.close_connection(cx, id);
        }
    }

    /// Closes the connections that are idle or being opened, because the target
    /// has a new address.
    pub(super) fn close_unused_connections(&mut self, cx: &mut Cx<'_>) {
        while let Some(id) = self.connections.surplus_idle(DesiredConnections::default()) {
            self.close_connection(cx, id);
        }
        let opening = self.connections.iter().filter(|it| it.state == ConnectionState::Opening);
        for id in opening.map(|it| it.id).collect::<Vec<_>>() {
            self.close_connection(cx, id);
        }
    }

    fn desired_connections(&self) -> DesiredConnections {
        let Some(share) = self.share else { return DesiredConnections::default() };
        if !self.is_domain_in {
            return DesiredConnections::default();
        }
        if self.is_leaving() {
            // One stays open to detect a new incarnation.
            return DesiredConnections { data: 0, control: share.connections.min(1) };
        }
        DesiredConnections::new(share.connections, share.slots)
    }

    fn open_missing(&mut self, cx: &mut Cx<'_>, desired: DesiredConnections) {
        if cx.now < self.open_after || !self.health.can_probe(cx.now) {
            return;
        }
        // A target that is not known to be up gets one connection at a time.
        let is_confirmed_up = self.health.is_up() && !self.health.is_suspect();
        let max_opening = if is_confirmed_up { MAX_CONCURRENT_OPENS } else { 1 };
        let share = self.share.map_or(0, |it| it.connections);
        while self.connections.opening_count() < max_opening && self.connections.len() < share {
            let Some(role) = self.connections.missing_role(desired) else { return };
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
            self.connections.set(cx.now, connection, ConnectionState::Cancelling(attempt));
            let target = self.document.name.clone();
            cx.actions.push(Action::CancelAttempt { target, connection, attempt });
        }
    }

    fn send_probes(&mut self, cx: &mut Cx<'_>) {
        let time_since_report = self.health.time_since_report(cx.now);
        let needs_report =
            time_since_report.is_none_or(|it| it >= MAX_REPORT_AGE) || self.health.is_suspect();
        if self.connections.has_control_call() {
            return;
        }
        let control = self.connections.idle(Role::Control).filter(|_| needs_report);
        let idle = || self.connections.idle_at_least(cx.now, KEEP_ALIVE_INTERVAL);
        let Some(connection) = control.or_else(idle) else { return };
        self.connections.set(cx.now, connection, ConnectionState::Probing);
        let target = self.document.name.clone();
        cx.actions.push(Action::Probe { target, connection });
    }

    fn close_connection(&mut self, cx: &mut Cx<'_>, connection: ConnectionId) {
        if self.connections.remove(connection).is_some() {
            let target = self.document.name.clone();
            cx.actions.push(Action::Close { target, connection });
        }
    }
}
