//! A request as it goes to targets or to another host.

use std::{cell::Cell, rc::Rc};

use base::Time;
use bytes::Bytes;
use forward::{customers::CustomerKey, placement::Send, route::Route, suspects::Fingerprint};
use http::{HeaderMap, Method, Uri};
use tokio::sync::mpsc;

use super::{Event, Identity, Relay};
use crate::{in_force::InForce, memory::Guard};

/// A request to one target, with the channel for its outcome.
pub(crate) struct Job {
    pub request: Rc<Outgoing>,
    pub send: Send,
    /// Position of the shard in the query.
    pub index: usize,
    pub tx: mpsc::UnboundedSender<Event>,
}

/// The request as sent to each target.
pub(crate) struct Outgoing {
    pub method: Method,
    pub uri: Uri,
    /// End-to-end headers of the caller, without its credentials.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Memory of the head and the body; none if this host made the request itself.
    pub memory: Option<Rc<Guard>>,
    /// Deadline of the request.
    pub deadline: Time,
    pub is_idempotent: bool,
    /// Configuration by which the request is served.
    pub in_force: InForce,
    /// Who sends it, if its route needs a key.
    pub customer: Option<Identity>,
    pub fingerprint: Fingerprint,
    /// Set if the request is passed on to another host.
    pub relay: Option<Relay>,
    /// Whether the query has its verdict. Sends still in flight then run to
    /// their end instead of being cancelled.
    pub is_answered: Cell<bool>,
}

impl Outgoing {
    /// Returns how urgent the request is; 0 is the most urgent.
    pub(crate) fn priority(&self, route: &Route) -> u32 {
        let of_customer = self.customer.as_ref().and_then(|it| it.customer.priority);
        of_customer.unwrap_or(route.priority)
    }

    /// Returns whose turns the request takes.
    pub(crate) fn customer_key(&self) -> Option<CustomerKey> {
        self.customer.as_ref().map(|it| CustomerKey::from(&it.customer.name))
    }

    /// Returns the same request, to be sent to targets from here.
    pub(crate) fn without_relay(&self) -> Outgoing {
        Outgoing {
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            memory: self.memory.clone(),
            deadline: self.deadline,
            is_idempotent: self.is_idempotent,
            in_force: self.in_force,
            customer: self.customer.clone(),
            fingerprint: self.fingerprint,
            relay: None,
            is_answered: Cell::new(false),
        }
    }
}
