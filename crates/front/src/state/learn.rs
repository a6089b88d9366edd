//! Learns state from a peer while the source is not followed, and a configuration that
//! peers have while the own origin doesn't tell of it.

use std::{net::SocketAddr, time::Duration};

use base::{DomainName, HashSet, TargetName, Time};
use bytes::Bytes;
use forward::{Configuration, Provenance, Reach, TargetReport, VersionLag};
use http::{Request, StatusCode, Uri, header};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use slog::{debug, info, warn};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::{
    Part,
    customers::configuration,
    wire::{self, WireState},
};
use crate::{
    MessageKind, SharedCx,
    body::{BodyError, BodyLimits, read_body},
    feeds::{Feed, Means, Received},
    format::FormatError,
    socket,
};

/// Time between two checks whether a peer has later state.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time after the start in which no peer is asked, so that the source or a reader
/// can provide the first configuration.
const SOURCE_HEAD_START: Duration = Duration::from_millis(600);

/// Time from a peer's answer to the next request for targets, while this host
/// does not follow the targets feed.
const TARGETS_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on the time and the size of a peer's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

#[derive(Debug)]
#[derive(thiserror::Error)]
enum LearnError {
    #[error("cannot connect: {0}")]
    Connection(#[from] std::io::Error),
    #[error("HTTP exchange failed: {0}")]
    Protocol(#[from] hyper::Error),
    #[error("expected status 200, got {0}")]
    Status(StatusCode),
    #[error("cannot read the body: {0}")]
    Body(#[from] BodyError<hyper::Error>),
    #[error(transparent)]
    Message(#[from] FormatError),
    #[error("no key made the MAC of the body")]
    NotAuthentic,
    #[error("no answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

impl LearnError {
    /// Returns why the peer's message was rejected, as metrics name it, if one came.
    fn rejection(&self) -> Option<&'static str> {
        match self {
            LearnError::Message(err) => Some(err.reason()),
            LearnError::NotAuthentic => Some("not authentic"),
            _ => None,
        }
    }
}

pub(crate) async fn learn(cx: SharedCx) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_learned = Time::ZERO;
    let mut lag = VersionLag::new(cx.cfg.configuration_due);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = cx.shown_version.changed() => {}
        }
        let Some((peer, part)) = peer_to_ask(&cx, &mut lag, last_learned) else { continue };
        let asked = cx.clock.now();
        let fetched = timeout(ANSWER_TIMEOUT, fetch(&cx, peer, part)).await;
        let learned = fetched.map_err(LearnError::from).flatten();
        learned.iter().for_each(|it| count_skipped(&cx, peer, it));
        match learned {
            Ok(state) if part == Part::Configuration => {
                let cfg = configuration(state.configuration, state.customers);
                apply_configuration(&cx, peer, &cfg);
            }
            Ok(state) => {
                last_learned = cx.clock.now();
                apply(&cx, peer, state, asked);
            }
            Err(err) => {
                if let Some(reason) = err.rejection() {
                    cx.metrics.record_rejected_message("state", reason);
                }
                warn!(cx.log, "state: cannot learn from a peer"; "peer" => %peer, "error" => %err);
            }
        }
    }
}

/// Returns the peer to fetch state from now, if there is need of one.
fn peer_to_ask(
    cx: &SharedCx,
    lag: &mut VersionLag,
    last_learned: Time,
) -> Option<(SocketAddr, Part)> {
    let now = cx.clock.now();
    if cx.clock.uptime() < SOURCE_HEAD_START {
        return None;
    }
    let (peer, version) = cx.peers.borrow().peer_with_newest_version(now)?;
    lag.record(cx.version(), version, now);
    lag.record_shown(cx.shown_version.get());
    if cx.follows_operations.get() && cx.follows_targets.get() {
        let is_needed = version > cx.version() && lag.is_late(now);
        return is_needed.then_some((peer, Part::Configuration));
    }
    let needs_targets = !cx.follows_targets.get() && now.since(last_learned) >= TARGETS_INTERVAL;
    (version > cx.version() || needs_targets && version > 0).then_some((peer, Part::All))
}

async fn fetch(cx: &SharedCx, peer: SocketAddr, part: Part) -> Result<WireState, LearnError> {
    let stream = socket::connect(peer).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let exchange = async {
        let mut request = Request::new(Empty::<Bytes>::new());
        let host = header::HeaderValue::from_static("peer");
        request.headers_mut().insert(header::HOST, host);
        *request.uri_mut() = Uri::from_static(part.path());
        let answer = sender.send_request(request).await?;
        if answer.status() != StatusCode::OK {
            return Err(LearnError::Status(answer.status()));
        }
        let body = read_body(answer.into_body(), BodyLimits::bytes(MAX_ANSWER_BYTES)).await?;
        let state = cx.cfg.peer_keys.verify(MessageKind::State, &body);
        let state = state.ok_or(LearnError::NotAuthentic)?;
        Ok(wire::decode(state)?)
    };
    let mut exchange = std::pin::pin!(exchange);
    tokio::select! {
        biased;
        state = exchange.as_mut() => state,
        // The connection ended, but a complete answer may already be buffered.
        _ = connection => exchange.await,
    }
}

fn count_skipped(cx: &SharedCx, peer: SocketAddr, state: &WireState) {
    for field in state.unknown.keys() {
        cx.metrics.record_skipped_field("state");
        debug!(cx.log, "state: skipped a field"; "field" => field, "peer" => %peer);
    }
}

/// Puts the configuration of a peer in force, if it is later than the own one.
fn apply_configuration(cx: &SharedCx, peer: SocketAddr, cfg: &Configuration) {
    if cfg.version > cx.version() {
        let age = cx.configuration_age(cx.clock.now());
        let received = Received { from: Provenance::Peer(peer), by: Means::State, age };
        cx.apply_configuration_of(cfg, received);
    }
}

/// Applies the state of a peer that was asked for it at `asked`.
pub(super) fn apply(cx: &SharedCx, peer: SocketAddr, state: WireState, asked: Time) {
    let cfg = configuration(state.configuration, state.customers);
    info!(cx.log, "state: learned from a peer"; "peer" => %peer, "version" => cfg.version,
        "targets" => state.targets.len(), "from_source" => state.follows_source);
    apply_configuration(cx, peer, &cfg);
    let operations = cx.change_logs.of(Feed::Operations);
    let known_until = known_until(asked, state.operations_age_ms);
    if !cx.follows_operations.get() && operations.progress().is_news(reach(known_until)) {
        let evacuated: HashSet<DomainName> =
            state.evacuated.into_iter().map(DomainName::from).collect();
        cx.set_evacuated(evacuated);
        operations.record_replaced(peer, known_until);
    }
    let targets = cx.change_logs.of(Feed::Targets);
    let known_until = self::known_until(asked, state.targets_age_ms);
    if cx.follows_targets.get() || !targets.progress().is_news(reach(known_until)) {
        return;
    }
    let reports: Vec<TargetReport> = state.targets.into_iter().map(TargetReport::from).collect();
    let names: HashSet<TargetName> = reports.iter().map(|it| it.name.clone()).collect();
    reports.into_iter().for_each(|it| cx.update_target_late(it));
    if state.follows_source {
        for it in state.unlisted {
            let (name, unlisted_for) = it.into();
            cx.unlist_target(&name, asked.ago(unlisted_for));
        }
        cx.retain_listed(&names);
    } else if !names.is_empty() {
        cx.mark_targets_known();
    }
    // A host that does not follow the source may lack what it has not been told.
    targets.record_replaced(peer, known_until.filter(|_| state.follows_source));
}

/// Returns the time until which a peer that was asked at `asked` knows all changes;
/// `None` if it doesn't say.
fn known_until(asked: Time, age_ms: Option<u64>) -> Option<Time> {
    Some(asked.ago(Duration::from_millis(age_ms?)))
}

/// Returns how far a peer's state reaches, which names no revision.
fn reach(known_until: Option<Time>) -> Reach {
    Reach { known_until, ..Reach::default() }
}
