//! Table of all open connections from callers, and which of them close for others.

use std::{cell::RefCell, net::IpAddr, rc::Rc, time::Duration};

use base::Time;
use forward::CallerLimits;

use super::connection::{Close, ConnectionState, Phase};
use crate::{
    SharedCx,
    memory::{CONNECTION_BYTES, Guard},
};

/// Smallest buffer for request heads that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Part of the limit on connections by which those that are closing may exceed it, as a
/// divisor.
const CLOSING_DIVISOR: usize = 4;

/// Idle time after which a connection is closed during a shutdown.
pub(super) const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

/// All open connections from callers to this host.
#[derive(Debug)]
pub(crate) struct Connections {
    states: RefCell<Vec<Rc<ConnectionState>>>,
    limit: usize,
    /// Memory of all of them.
    memory: Guard,
}

impl Connections {
    pub(crate) fn new(cx: &SharedCx) -> Connections {
        let limit = cx.cfg.max_caller_connections.min(cx.memory.connection_limit());
        Connections { states: RefCell::default(), limit, memory: cx.memory.of_connections() }
    }

    pub(super) fn limit(&self) -> usize {
        self.limit
    }

    pub(super) fn add(&self, state: Rc<ConnectionState>) {
        self.states.borrow_mut().push(state);
        self.memory.resize(self.len() * CONNECTION_BYTES);
    }

    pub(crate) fn len(&self) -> usize {
        self.states.borrow().len()
    }

    /// Closes connections that exceed the idle or the header timeout, and those that were
    /// opened under a lower limit on heads.
    pub(crate) fn close_expired(&self, now: Time, limits: &CallerLimits) {
        let head_bytes = head_buffer_bytes(limits);
        for state in &*self.states.borrow() {
            match state.phase.get() {
                Phase::Idle(_) | Phase::Serving if state.head_bytes < head_bytes => {
                    state.close(Close::Graceful);
                }
                Phase::Idle(since) if now.since(since) > limits.idle_timeout => {
                    state.close(Close::Graceful);
                }
                Phase::Head(since) if now.since(since) > limits.header_timeout => {
                    state.close(Close::Immediate);
                }
                Phase::Idle(_) | Phase::Head(_) | Phase::Serving => {}
            }
        }
    }

    /// Closes each connection after the answer in progress.
    pub(super) fn close_gracefully(&self) {
        for state in &*self.states.borrow() {
            state.close(Close::Graceful);
        }
    }

    /// Makes room for one more connection: if the limit is reached, closes the one that has
    /// been idle longest.
    ///
    /// Without an idle one, that one closes whose head has been arriving longest. Returns
    /// false if there is none either, or if too many have yet to close.
    pub(super) fn make_room(&self, address: IpAddr, address_part: f64) -> bool {
        let states = self.states.borrow();
        let of_address = || states.iter().filter(|it| it.address == address).count();
        let address_limit = (self.limit as f64 * address_part) as usize;
        if address_part < 1.0 && of_address() >= address_limit.max(1) {
            return false;
        }
        if states.len() < self.limit {
            return true;
        }
        if states.len() > self.limit + self.limit / CLOSING_DIVISOR {
            return false;
        }
        let idle = states.iter().filter_map(|state| match state.phase.get() {
            Phase::Idle(since) if state.close.get().is_none() => Some((since, state)),
            Phase::Idle(_) | Phase::Head(_) | Phase::Serving => None,
        });
        if let Some((_, state)) = idle.min_by_key(|(since, _)| *since) {
            state.close(Close::Graceful);
            return true;
        }
        let half_open = states.iter().filter_map(|state| match state.phase.get() {
            Phase::Head(since) if state.close.get().is_none() => Some((since, state)),
            Phase::Idle(_) | Phase::Head(_) | Phase::Serving => None,
        });
        let oldest = half_open.min_by_key(|(since, _)| *since);
        oldest.inspect(|(_, state)| state.close(Close::Immediate)).is_some()
    }

    /// Closes connections that are idle during a shutdown. A new connection
    /// still has time to send its first request.
    pub(super) fn close_idle(&self, now: Time) {
        for state in &*self.states.borrow() {
            let is_idle = |since| now.since(since) > SHUTDOWN_IDLE_TIMEOUT;
            if matches!(state.phase.get(), Phase::Idle(since) if is_idle(since)) {
                state.close(Close::Graceful);
            }
        }
    }

    pub(super) fn remove(&self, state: &Rc<ConnectionState>) {
        self.states.borrow_mut().retain(|it| !Rc::ptr_eq(it, state));
        self.memory.resize(self.len() * CONNECTION_BYTES);
    }
}

pub(super) fn head_buffer_bytes(limits: &CallerLimits) -> usize {
    limits.header_bytes.max(MIN_HEAD_BUFFER_BYTES)
}
