//! A connection to a target, from its opening to its end.

use std::{io, net::SocketAddr, pin::pin, time::Duration};

use base::TargetName;
use bytes::Bytes;
use forward::{placement::TargetKey, suspects::Fingerprint, target::SendResult};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use slog::{debug, info, warn};
use tokio::{net::TcpStream, sync::mpsc};

use super::{exchange::exchange, finish};
use crate::{
    SharedCx,
    messages::{Job, Outcome},
    pool::{Assignment, Handle},
    socket,
};

/// Limit on the buffer of a connection, and so on the head of an answer. Without one, it
/// grows to 400 KB with long answers and stays so.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Limit on the time to connect to another host, which takes a round trip if it is
/// in reach. The request then still has time for the next one.
const HOST_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// Target of a connection.
struct Remote {
    target: TargetKey,
    address: SocketAddr,
    name: TargetName,
}

/// Opens a connection for `job` and keeps it while it can be reused.
pub(super) fn open(cx: &SharedCx, job: Job) {
    let Some(remote) = remote(cx, job.send.target) else {
        finish(cx, &job, Outcome { result: SendResult::NotSent, answer: None });
        return;
    };
    tokio::task::spawn_local(open_for(cx.clone(), remote, job));
}

/// Opens a connection without a request; on success, records that the target is
/// reachable and keeps the connection.
pub(super) fn probe(cx: &SharedCx, target: TargetKey) {
    let Some(remote) = remote(cx, target) else { return };
    let cx = cx.clone();
    tokio::task::spawn_local(async move {
        let Ok(stream) = socket::connect_target(remote.address).await else { return };
        record_reached(&cx, &remote);
        run(&cx, &remote, stream, None).await;
    });
}

/// Opens a connection to learn whether the target is in reach, and closes it.
pub(super) fn check_reach(cx: &SharedCx, target: TargetKey) {
    let Some(remote) = remote(cx, target) else { return };
    let cx = cx.clone();
    tokio::task::spawn_local(async move {
        let connected = socket::connect_target(remote.address).await;
        cx.metrics.record_reach_check(connected.is_ok());
        match connected {
            Ok(_) => record_reached(&cx, &remote),
            Err(err) => {
                debug!(cx.log, "targets: a check of reach failed"; "target" => %remote.name,
                    "error" => %err);
            }
        }
    });
}

/// Records that a connection to the target was made without a request.
fn record_reached(cx: &SharedCx, remote: &Remote) {
    let was_down = cx.targets.borrow().target(remote.target).is_some_and(|it| it.is_down());
    let service = cx.targets.borrow_mut().probe_succeeded(remote.target, cx.clock.now());
    if was_down {
        info!(cx.log, "targets: reachable again"; "target" => %remote.name);
    }
    if let Some(service) = service {
        cx.wake_waiting(service);
    }
}

/// Checks for a crash after a connection broke with a request in flight. If the
/// target refuses a new connection, it crashed, possibly because of the
/// request, which becomes a suspect.
pub(super) fn check_for_crash(cx: &SharedCx, target: TargetKey, request: Fingerprint) {
    let Some(remote) = remote(cx, target) else { return };
    let cx = cx.clone();
    tokio::task::spawn_local(async move {
        match socket::connect_target(remote.address).await {
            Ok(stream) => run(&cx, &remote, stream, None).await,
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
                let is_counted = cx.suspects.borrow_mut().record_strike(request, cx.clock.now());
                if is_counted {
                    warn!(cx.log, "targets: crashed with a request in flight";
                        "target" => %remote.name, "fingerprint" => request);
                }
            }
            // The target is unreachable, which is no evidence of a crash.
            Err(_) => {}
        }
    });
}

fn remote(cx: &SharedCx, target: TargetKey) -> Option<Remote> {
    let targets = cx.targets.borrow();
    let report = &targets.target(target)?.report;
    Some(Remote { target, address: report.address, name: report.name.clone() })
}

async fn open_for(cx: SharedCx, remote: Remote, job: Job) {
    match connect(&cx, remote.address, &job).await {
        Ok(stream) => run(&cx, &remote, stream, Some(job)).await,
        Err(result) => finish(&cx, &job, Outcome { result, answer: None }),
    }
}

/// Serves jobs on a connection until it ends or cannot be reused. `first` is sent
/// at once; without it, the connection starts out idle.
async fn run(cx: &SharedCx, remote: &Remote, stream: TcpStream, first: Option<Job>) {
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake::<_, Full<Bytes>>(TokioIo::new(stream))
        .await;
    let Ok((mut sender, connection)) = handshake else {
        if let Some(job) = first {
            finish(cx, &job, Outcome { result: SendResult::NotSent, answer: None });
        }
        return;
    };
    let mut connection = pin!(connection);
    let (handle, mut jobs) = mpsc::unbounded_channel();
    let mut next = None;
    match first {
        Some(job) => next = Some(Assignment { job, handle }),
        None => cx.pools.borrow_mut().put(remote.target, handle),
    }
    loop {
        let assignment = match next.take() {
            Some(assignment) => assignment,
            None => {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => break,
                    assignment = jobs.recv() => match assignment {
                        Some(assignment) => assignment,
                        None => break,
                    },
                }
            }
        };
        let Assignment { job, handle } = assignment;
        let ended = exchange(cx, &remote.name, &mut sender, connection.as_mut(), &job).await;
        if ended.is_reusable {
            put_back(cx, remote.target, handle);
        }
        finish(cx, &job, ended.outcome);
        if !ended.is_reusable {
            break;
        }
    }
    jobs.close();
    cx.pools.borrow_mut().remove_closed(remote.target);
    while let Ok(Assignment { job, .. }) = jobs.try_recv() {
        finish(cx, &job, Outcome { result: SendResult::NotSent, answer: None });
    }
}

/// Returns a connection to the pool after a send, unless this host has more
/// than its share of connections to the target; it is closed then.
fn put_back(cx: &SharedCx, target: TargetKey, handle: Handle) {
    let idle = cx.pools.borrow().idle_count(target);
    if !cx.targets.borrow().has_surplus(target, idle) {
        cx.pools.borrow_mut().put(target, handle);
    }
}

/// Connects to the job's target, at most until the request's deadline.
async fn connect(cx: &SharedCx, address: SocketAddr, job: &Job) -> Result<TcpStream, SendResult> {
    let mut until = job.request.deadline;
    if job.request.relay.is_some() {
        until = until.min(cx.clock.now() + HOST_CONNECT_TIMEOUT);
    }
    tokio::select! {
        made = socket::connect_target(address) => made.map_err(|_| SendResult::Unreachable),
        () = tokio::time::sleep_until(cx.clock.instant(until)) => Err(SendResult::Unreachable),
    }
}
