//! One connection to a target, from its opening to its end.

use std::{io, net::SocketAddr, pin::pin};

use base::TargetName;
use bytes::Bytes;
use forward::{placement::TargetKey, suspects::Fingerprint, target::SendResult};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use slog::{info, warn};
use tokio::{net::TcpStream, sync::mpsc};

use super::{
    Job, Outcome,
    exchange::exchange,
    finish,
    pool::{Assignment, Handle},
};
use crate::{SharedCx, socket};

/// What a connection is for.
struct Peer {
    target: TargetKey,
    address: SocketAddr,
    name: TargetName,
}

/// Opens a connection for `job` and keeps it while it is good.
pub(super) fn open(cx: &SharedCx, job: Job) {
    let Some(peer) = peer(cx, job.send.target) else {
        finish(cx, &job, Outcome { result: SendResult::NotSent, answer: None });
        return;
    };
    tokio::task::spawn_local(open_for(cx.clone(), peer, job));
}

/// Finds out whether a target can be reached, and keeps the connection.
pub(super) fn try_target(cx: &SharedCx, target: TargetKey) {
    let Some(peer) = peer(cx, target) else { return };
    let cx = cx.clone();
    tokio::task::spawn_local(async move {
        let Ok(stream) = socket::connect_target(peer.address).await else { return };
        let was_down = cx.targets.borrow().target(target).is_some_and(|it| it.is_down());
        let service = cx.targets.borrow_mut().probe_succeeded(target, cx.clock.now());
        if was_down {
            info!(cx.log, "targets: reached again"; "target" => %peer.name);
        }
        if let Some(service) = service {
            cx.wake_waiting(service);
        }
        run(&cx, &peer, stream, None).await;
    });
}

/// A connection broke with a request on it: if the target takes no other, it
/// crashed, and the request may be why.
pub(super) fn look_after_break(cx: &SharedCx, target: TargetKey, request: Fingerprint) {
    let Some(peer) = peer(cx, target) else { return };
    let cx = cx.clone();
    tokio::task::spawn_local(async move {
        match socket::connect_target(peer.address).await {
            Ok(stream) => run(&cx, &peer, stream, None).await,
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
                let is_counted = cx.suspects.borrow_mut().record_strike(request, cx.clock.now());
                if is_counted {
                    warn!(cx.log, "targets: crashed with a request in flight";
                        "target" => %peer.name, "fingerprint" => request);
                }
            }
            // Out of reach, which tells nothing of the request.
            Err(_) => {}
        }
    });
}

fn peer(cx: &SharedCx, target: TargetKey) -> Option<Peer> {
    let targets = cx.targets.borrow();
    let report = &targets.target(target)?.report;
    Some(Peer { target, address: report.address, name: report.name.clone() })
}

async fn open_for(cx: SharedCx, peer: Peer, job: Job) {
    match connect(&cx, peer.address, &job).await {
        Ok(stream) => run(&cx, &peer, stream, Some(job)).await,
        Err(result) => finish(&cx, &job, Outcome { result, answer: None }),
    }
}

/// Keeps a connection while it is good; `first` goes out on it at once.
async fn run(cx: &SharedCx, peer: &Peer, stream: TcpStream, first: Option<Job>) {
    let handshake = http1::Builder::new().handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
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
        None => cx.pools.borrow_mut().put(peer.target, handle),
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
        let ended = exchange(cx, &peer.name, &mut sender, connection.as_mut(), &job).await;
        if ended.is_reusable {
            put_back(cx, peer.target, handle);
        }
        finish(cx, &job, ended.outcome);
        if !ended.is_reusable {
            break;
        }
    }
    jobs.close();
    cx.pools.borrow_mut().forget_ended(peer.target);
    while let Ok(Assignment { job, .. }) = jobs.try_recv() {
        finish(cx, &job, Outcome { result: SendResult::NotSent, answer: None });
    }
}

/// Lets a connection whose send just ended idle, unless this host has more
/// than its share of them; it closes then.
fn put_back(cx: &SharedCx, target: TargetKey, handle: Handle) {
    let idle = cx.pools.borrow().idle_count(target);
    if !cx.targets.borrow().has_surplus(target, idle) {
        cx.pools.borrow_mut().put(target, handle);
    }
}

/// Connects unless the request's time ends first.
async fn connect(cx: &SharedCx, address: SocketAddr, job: &Job) -> Result<TcpStream, SendResult> {
    tokio::select! {
        made = socket::connect_target(address) => made.map_err(|_| SendResult::Silent),
        () = tokio::time::sleep_until(cx.clock.instant(job.request.until)) => Err(SendResult::Silent),
    }
}
