//! HTTP pages for operators: readiness and metrics.

use std::convert::Infallible;

use bytes::Bytes;
use forward::memory::Kind;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use slog::warn;
use telemetry::{FrontGauge, metrics::MetricsError};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    SharedCx,
    answer::{Answer, AnswerBody},
    port_connections::{HEAD_BUFFER_BYTES, PortConnection, PortConnections},
    socket,
};

const METRICS_PATH: &str = "/metrics";

/// Limit of the services whose outbound shares are shown.
const MAX_OUTBOUND_SERVICES: usize = 32;

const MEMORY_GAUGES: [(FrontGauge, Kind); Kind::ALL.len()] = [
    (FrontGauge::MemoryOfHeads, Kind::Heads),
    (FrontGauge::MemoryOfBodies, Kind::Bodies),
    (FrontGauge::MemoryOfRequests, Kind::Requests),
    (FrontGauge::MemoryOfTargetAnswers, Kind::TargetAnswers),
    (FrontGauge::MemoryOfAnswers, Kind::Answers),
];

/// Serves the page that `page` returns for the requested path.
pub(crate) async fn serve(
    cx: SharedCx,
    listener: TcpListener,
    name: &'static str,
    page: fn(&SharedCx, &str) -> Answer,
) {
    let connections = PortConnections::of_page(&cx, name);
    loop {
        let (stream, _) = socket::accept(&cx.log, &listener).await;
        if let Some(connection) = connections.admit(&cx) {
            tokio::task::spawn_local(answer(cx.clone(), stream, connection, page));
        }
    }
}

async fn answer(
    cx: SharedCx,
    stream: TcpStream,
    connection: PortConnection,
    page: fn(&SharedCx, &str) -> Answer,
) {
    if socket::set_options(&stream).is_err() {
        return;
    }
    let service = service_fn(|req: Request<Incoming>| {
        let _request = connection.request(&cx);
        let answer = page(&cx, req.uri().path());
        async move { Ok::<_, Infallible>(answer) }
    });
    let served = http1::Builder::new()
        .max_buf_size(HEAD_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // An error means that the client closed the connection; it will retry.
        _ = served => {}
        () = connection.closed() => {}
    }
}

pub(crate) fn readiness(cx: &SharedCx, path: &str) -> Answer {
    let status = if path != cx.cfg.readiness_path {
        StatusCode::NOT_FOUND
    } else if cx.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    text(status, String::new())
}

pub(crate) fn metrics(cx: &SharedCx, path: &str) -> Answer {
    if path != METRICS_PATH {
        return text(StatusCode::NOT_FOUND, String::new());
    }
    match encode_metrics(cx) {
        Ok(body) => text(StatusCode::OK, body),
        Err(err) => {
            warn!(cx.log, "front: cannot encode metrics"; "error" => %err);
            text(StatusCode::INTERNAL_SERVER_ERROR, String::new())
        }
    }
}

/// Updates the gauges and returns all metrics as text.
fn encode_metrics(cx: &SharedCx) -> Result<String, MetricsError> {
    let targets = cx.targets.borrow();
    let follows = cx.follows_targets.get() && cx.follows_operations.get();
    let in_force = cx.in_force();
    cx.metrics.set_gauge(FrontGauge::ConfigurationVersion, in_force.version);
    let age = in_force.age.unwrap_or_else(|| cx.clock.uptime());
    cx.metrics.set_gauge(FrontGauge::ConfigurationAge, age.as_millis() as u64);
    let proof_age = cx.proof_age(cx.clock.now()).unwrap_or_else(|| cx.clock.uptime());
    cx.metrics.set_gauge(FrontGauge::ProofAge, proof_age.as_millis() as u64);
    cx.metrics.set_gauge(FrontGauge::Hosts, cx.peers.borrow().count(cx.clock.now()) as u64);
    cx.metrics.set_gauge(FrontGauge::Targets, targets.target_count() as u64);
    cx.metrics.set_gauge(FrontGauge::TargetsDown, targets.down_count() as u64);
    cx.metrics.set_gauge(FrontGauge::TargetsLimited, targets.limited_count() as u64);
    let paused = targets.paused_count(cx.clock.now());
    cx.metrics.set_gauge(FrontGauge::TargetsPaused, paused as u64);
    cx.metrics.set_gauge(FrontGauge::TargetsLeaving, targets.leaving_count() as u64);
    let has_lost_targets = u64::from(targets.has_lost_targets());
    cx.metrics.set_gauge(FrontGauge::HasLostTargets, has_lost_targets);
    cx.metrics.set_gauge(FrontGauge::RequestsInProgress, cx.in_progress.count() as u64);
    cx.metrics.set_gauge(FrontGauge::PartsWaiting, targets.waiting_count() as u64);
    cx.metrics.set_gauge(FrontGauge::IsReady, u64::from(cx.is_ready()));
    cx.metrics.set_gauge(FrontGauge::FollowsSource, u64::from(follows));
    let role = targets.sender_role();
    let reads_source = cx.change_logs.are_live();
    cx.metrics.set_gauge(FrontGauge::ReadsSource, u64::from(reads_source));
    cx.metrics.set_gauge(FrontGauge::Senders, role.senders as u64);
    cx.metrics.set_gauge(FrontGauge::IsSender, u64::from(role.is_sender));
    for (gauge, kind) in MEMORY_GAUGES {
        cx.metrics.set_gauge(gauge, cx.memory.held(kind) as u64);
    }
    cx.metrics.set_gauge(FrontGauge::InvariantsBroken, base::invariant::broken_count());
    cx.metrics.set_outbound_shares(outbound_shares(cx));
    cx.metrics.encode()
}

/// Returns the services of whose work the greatest shares leave the domain, and the reasons.
fn outbound_shares(cx: &SharedCx) -> Vec<(String, &'static str, f64)> {
    let targets = cx.targets.borrow();
    let outbound = targets.outbound(cx.clock.now());
    let mut shares: Vec<_> =
        outbound.map(|(name, share, reason)| (name.to_string(), reason.as_str(), share)).collect();
    shares.sort_by(|a, b| b.2.total_cmp(&a.2).then_with(|| a.0.cmp(&b.0)));
    shares.truncate(MAX_OUTBOUND_SERVICES);
    shares
}

fn text(status: StatusCode, body: String) -> Answer {
    let mut answer = Response::new(AnswerBody::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}
