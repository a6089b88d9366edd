//! Connections to targets: one task a connection, one request at a time.

mod connection;
mod exchange;
mod health;
mod pool;

pub(crate) use self::{health::ask_health, pool::Pools};

use std::{cell::Cell, rc::Rc};

use base::Time;
use bytes::Bytes;
use forward::{placement::Send, suspects::Fingerprint, target::SendResult};
use http::{HeaderMap, Method, StatusCode, Uri};
use tokio::sync::mpsc;

use crate::{SharedCx, scatter::Event};

/// A request on its way to one target.
pub(crate) struct Job {
    pub request: Rc<Outgoing>,
    pub send: Send,
    /// Shard within the query.
    pub index: usize,
    pub tx: mpsc::UnboundedSender<Event>,
}

/// What is sent, the same to each target.
pub(crate) struct Outgoing {
    pub method: Method,
    pub uri: Uri,
    /// End-to-end headers of the caller.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The caller waits until then.
    pub until: Time,
    pub is_idempotent: bool,
    pub fingerprint: Fingerprint,
    /// The caller has its answer; sends in flight may end by themselves.
    pub is_answered: Cell<bool>,
}

/// What came of a send.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub result: SendResult,
    pub answer: Option<TargetAnswer>,
}

/// A target's answer, whole.
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

/// Opens connections apart from requests: trials of targets that are down, and
/// the first ones to targets that are new.
pub(crate) fn connect_ahead(cx: &SharedCx) {
    let now = cx.clock.now();
    let trials = cx.targets.borrow_mut().due_probes(now);
    let first = cx.targets.borrow_mut().due_first_connections(now);
    for target in trials.into_iter().chain(first) {
        connection::try_target(cx, target);
    }
}

/// Reports the end of a send to placement, then to the request.
pub(crate) fn finish(cx: &SharedCx, job: &Job, outcome: Outcome) {
    let now = cx.clock.now();
    cx.targets.borrow_mut().finish_send(&job.send, now, outcome.result);
    cx.metrics.count_send(outcome.result as usize);
    match outcome.result {
        SendResult::Answered => {
            cx.suspects.borrow_mut().record_answer(job.request.fingerprint, now);
        }
        SendResult::Broken => {
            connection::look_after_break(cx, job.send.target, job.request.fingerprint);
        }
        _ => {}
    }
    // An error means that the request is over; the outcome has been counted.
    let _ = job.tx.send(Event::Ended { index: job.index, send: job.send, outcome });
    cx.wake_waiting(job.send.service);
}
