//! Connections on the ports that are not for callers: of other hosts, of readiness checks
//! and of readers of the metrics.
//!
//! Each port has its own limit, so that clients of one cannot take the descriptors of the
//! others. Beyond it, the connection closes that has been without a request for longest.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use base::Time;
use tokio::sync::Notify;

use crate::SharedCx;

/// Buffer of a connection, which holds the head of a request. It is the smallest that
/// hyper accepts, and more than any check or reader sends.
pub(crate) const HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Part of the descriptors for the readiness or the metrics port, as a divisor, and
/// limits on it. A balancer checks with few connections.
const PAGE_DIVISOR: usize = 16;
const MIN_PAGE_CONNECTIONS: usize = 4;
const MAX_PAGE_CONNECTIONS: usize = 64;

/// Part of the descriptors for other hosts, as a divisor.
const HOST_DIVISOR: usize = 4;
const MIN_HOST_CONNECTIONS: usize = 16;

/// Open connections of one port.
pub(crate) struct PortConnections {
    name: &'static str,
    limit: usize,
    open: RefCell<Vec<Rc<State>>>,
}

struct State {
    last_active: Cell<Time>,
    requests: Cell<usize>,
    closed: Notify,
}

/// One connection of a port; it is counted until this is dropped.
pub(crate) struct PortConnection {
    port: Rc<PortConnections>,
    state: Rc<State>,
}

/// A request in progress, during which its connection stays open.
pub(crate) struct PortRequest<'a> {
    cx: &'a SharedCx,
    state: &'a State,
}

impl PortConnections {
    /// Returns the connections of a port with one page.
    pub(crate) fn of_page(cx: &SharedCx, name: &'static str) -> Rc<PortConnections> {
        let limit = cx.cfg.max_descriptors / PAGE_DIVISOR;
        PortConnections::new(name, limit.clamp(MIN_PAGE_CONNECTIONS, MAX_PAGE_CONNECTIONS))
    }

    /// Returns the connections of the port for other hosts.
    pub(crate) fn of_hosts(cx: &SharedCx) -> Rc<PortConnections> {
        let limit = cx.cfg.max_descriptors / HOST_DIVISOR;
        PortConnections::new("hosts", limit.max(MIN_HOST_CONNECTIONS))
    }

    fn new(name: &'static str, limit: usize) -> Rc<PortConnections> {
        Rc::new(PortConnections { name, limit, open: RefCell::default() })
    }

    /// Admits a new connection, for which an idle one may close. Returns `None` if all
    /// have a request in progress.
    pub(crate) fn admit(self: &Rc<Self>, cx: &SharedCx) -> Option<PortConnection> {
        let mut open = self.open.borrow_mut();
        if open.len() >= self.limit {
            let idle = open.iter().enumerate().filter(|(_, it)| it.requests.get() == 0);
            let oldest = idle.min_by_key(|(_, it)| it.last_active.get()).map(|(index, _)| index);
            let action = if oldest.is_some() { "evicted" } else { "refused" };
            cx.metrics.record_memory_limit(self.name, action);
            slog::debug!(cx.log, "front: too many connections"; "port" => self.name,
                "limit" => self.limit, "action" => action);
            open.swap_remove(oldest?).closed.notify_one();
        }
        let state = Rc::new(State {
            last_active: Cell::new(cx.clock.now()),
            requests: Cell::new(0),
            closed: Notify::new(),
        });
        open.push(state.clone());
        Some(PortConnection { port: self.clone(), state })
    }
}

impl PortConnection {
    /// Completes when the connection must close.
    pub(crate) async fn closed(&self) {
        self.state.closed.notified().await;
    }

    /// Records a request until the returned guard is dropped.
    pub(crate) fn request<'a>(&'a self, cx: &'a SharedCx) -> PortRequest<'a> {
        self.state.requests.set(self.state.requests.get() + 1);
        PortRequest { cx, state: &self.state }
    }
}

impl Drop for PortConnection {
    fn drop(&mut self) {
        self.port.open.borrow_mut().retain(|it| !Rc::ptr_eq(it, &self.state));
    }
}

impl Drop for PortRequest<'_> {
    fn drop(&mut self) {
        self.state.requests.set(self.state.requests.get() - 1);
        self.state.last_active.set(self.cx.clock.now());
    }
}
