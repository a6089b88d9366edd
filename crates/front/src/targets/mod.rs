//! Connections to targets: one task for each connection, which serves one
//! request at a time.

mod connection;
mod exchange;
mod health;
mod judge;
mod pause;
mod stated;

pub(crate) use self::health::check_health;

use forward::target::SendResult;

use crate::{
    SharedCx,
    messages::{Event, Job, Outcome},
};

/// Sends `job` on an idle connection of its target, or on a new one.
pub(crate) fn submit(cx: &SharedCx, job: Job) {
    let assigned = cx.pools.borrow_mut().assign(job);
    if let Err(job) = assigned {
        connection::open(cx, job);
    }
}

/// Opens connections independently of requests: probes of targets that are down,
/// first connections to new targets, and checks of reach.
pub(crate) fn connect_ahead(cx: &SharedCx) {
    let now = cx.clock.now();
    let probes = cx.targets.borrow_mut().due_probes(now);
    let first = cx.targets.borrow_mut().due_first_connections(now);
    for target in probes.into_iter().chain(first) {
        connection::probe(cx, target);
    }
    let checks = cx.targets.borrow_mut().due_reach_checks(now);
    for target in checks {
        connection::check_reach(cx, target);
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
