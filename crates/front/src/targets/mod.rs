//! Connections to targets: one task a connection, one request at a time.

mod connection;
mod exchange;
mod health;

pub(crate) use self::health::ask_health;

use std::{cell::Cell, rc::Rc, time::Duration};

use base::{HashMap, Time};
use bytes::Bytes;
use forward::{
    placement::{Send, TargetKey},
    suspects::Fingerprint,
    target::SendResult,
};
use http::{HeaderMap, Method, StatusCode, Uri};
use tokio::{sync::mpsc, time::Instant};

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

/// Idle connections, by target.
#[derive(Default)]
pub(crate) struct Pools {
    idle: HashMap<TargetKey, Vec<IdleConnection>>,
}

struct IdleConnection {
    jobs: mpsc::UnboundedSender<Job>,
    since: Instant,
}

impl Pools {
    fn put(&mut self, target: TargetKey, jobs: mpsc::UnboundedSender<Job>) {
        let connection = IdleConnection { jobs, since: Instant::now() };
        self.idle.entry(target).or_default().push(connection);
    }

    /// The connection that was used last.
    fn take(&mut self, target: TargetKey) -> Option<IdleConnection> {
        self.idle.get_mut(&target)?.pop()
    }

    fn forget(&mut self, target: TargetKey, jobs: &mpsc::UnboundedSender<Job>) {
        let Some(idle) = self.idle.get_mut(&target) else { return };
        idle.retain(|it| !it.jobs.same_channel(jobs));
        if idle.is_empty() {
            self.idle.remove(&target);
        }
    }
}

/// A request that must not be repeated uses no connection that was idle for
/// longer: a target may have forgotten it, and what is sent then may be lost.
const FRESH_FOR: Duration = Duration::from_millis(1_000);

/// Sends `job` on an idle connection of its target, or on a new one.
pub(crate) fn submit(cx: &SharedCx, mut job: Job) {
    let target = job.send.target;
    loop {
        let idle = cx.pools.borrow_mut().take(target);
        let Some(connection) = idle else { break };
        if !job.request.is_idempotent && connection.since.elapsed() > FRESH_FOR {
            // Dropped: it closes.
            continue;
        }
        match connection.jobs.send(job) {
            Ok(()) => return,
            Err(mpsc::error::SendError(returned)) => job = returned,
        }
    }
    connection::open(cx, job);
}

/// Opens connections apart from requests: trials of targets that are down, and
/// the first ones to targets that are new.
pub(crate) fn connect_ahead(cx: &SharedCx) {
    let now = cx.clock.now();
    let trials = cx.targets.borrow_mut().due_trials(now);
    let first = cx.targets.borrow_mut().due_first_connections(now);
    for target in trials.into_iter().chain(first) {
        connection::try_target(cx, target);
    }
}

/// Reports the end of a send to placement, then to the request.
pub(crate) fn finish(cx: &SharedCx, job: &Job, outcome: Outcome) {
    let now = cx.clock.now();
    cx.targets.borrow_mut().finished(&job.send, now, outcome.result);
    cx.metrics.count_send(outcome.result as usize);
    match outcome.result {
        SendResult::Answered => {
            cx.suspects.borrow_mut().answered(job.request.fingerprint, now);
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
