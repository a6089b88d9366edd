//! Connections to targets: one task for each connection, which serves one
//! request at a time.

mod connection;
mod exchange;
mod health;
mod judge;
mod pool;
mod stated;

pub(crate) use self::{health::check_health, pool::Pools};

use std::{cell::Cell, rc::Rc};

use base::Time;
use bytes::Bytes;
use forward::{placement::Send, suspects::Fingerprint, target::SendResult};
use http::{HeaderMap, Method, StatusCode, Uri};
use tokio::sync::mpsc;

use crate::{SharedCx, in_force::InForce, relay::Relay, scatter::Event};

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
    /// End-to-end headers of the caller.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Deadline of the request.
    pub deadline: Time,
    pub is_idempotent: bool,
    /// Configuration by which the request is served.
    pub in_force: InForce,
    pub fingerprint: Fingerprint,
    /// Set if the request is passed on to another host.
    pub relay: Option<Relay>,
    /// Whether the query has its verdict. Sends still in flight then run to
    /// their end instead of being cancelled.
    pub is_answered: Cell<bool>,
}

impl Outgoing {
    /// Returns the same request, to be sent to targets from here.
    pub(crate) fn without_relay(&self) -> Outgoing {
        Outgoing {
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            deadline: self.deadline,
            is_idempotent: self.is_idempotent,
            in_force: self.in_force,
            fingerprint: self.fingerprint,
            relay: None,
            is_answered: Cell::new(false),
        }
    }
}

/// Outcome of a send.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub result: SendResult,
    pub answer: Option<TargetAnswer>,
}

/// A target's answer, read completely.
#[derive(Clone, Debug)]
pub(crate) struct TargetAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Sends `job` on an idle connection of its target, or on a new one.
pub(crate) fn submit(cx: &SharedCx, job: Job) {
    let assigned = cx.pools.borrow_mut().assign(job);
    if let Err(job) = assigned {
        connection::open(cx, job);
    }
}

/// Opens connections independently of requests: probes of targets that are down,
/// and first connections to new targets.
pub(crate) fn connect_ahead(cx: &SharedCx) {
    let now = cx.clock.now();
    let probes = cx.targets.borrow_mut().due_probes(now);
    let first = cx.targets.borrow_mut().due_first_connections(now);
    for target in probes.into_iter().chain(first) {
        connection::probe(cx, target);
    }
}

/// Reports the outcome of a send to placement, then to its query.
pub(crate) fn finish(cx: &SharedCx, job: &Job, outcome: Outcome) {
    let now = cx.clock.now();
    cx.targets.borrow_mut().finish_send(&job.send, now, outcome.result);
    cx.metrics.record_send(outcome.result as usize);
    match outcome.result {
        SendResult::Answered => {
            cx.suspects.borrow_mut().record_answer(job.request.fingerprint, now);
        }
        SendResult::Broken if job.request.relay.is_none() => {
            connection::check_for_crash(cx, job.send.target, job.request.fingerprint);
        }
        _ => {}
    }
    // An error means that the query has ended; the outcome has been counted.
    let _ = job.tx.send(Event::Ended { index: job.index, send: job.send, outcome });
    cx.wake_waiting(job.send.service);
}
