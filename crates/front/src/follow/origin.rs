//! Where a feed is followed, and what to do when that fails.

use std::{net::SocketAddr, time::Duration};

use base::HashMap;
use forward::{
    peers::Host,
    readers::{Origin, ReaderView},
    senders::MAX_SENDER_AGE,
    source_calls::CallLimits,
};
use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::{
    SharedCx,
    feeds::{Feed, SourceError},
};

/// Time for which a reader that failed is not asked again, and for which a source
/// that failed is left to the readers.
const LOST_FOR: Duration = Duration::from_secs(4);

/// State of following one feed.
#[derive(Debug)]
pub(super) struct FollowState {
    /// Whether the feed is to be read as a whole: its history is gone, or the source was
    /// lost, so that entries may have lapsed.
    pub must_read: bool,
    pub lost: LostOrigins,
    calls: CallLimits,
    jitter: f64,
    backoff: Duration,
    /// Since when nothing is followed.
    idle_since: Instant,
    last: Origin,
    lost_since: Option<Instant>,
}

/// Origins that failed lately, with the time of the failure.
#[derive(Debug)]
#[derive(Default)]
pub(super) struct LostOrigins {
    source: Option<Instant>,
    hosts: HashMap<SocketAddr, Instant>,
}

/// Returns the live hosts of the own domain, including this one.
pub(super) fn local_hosts(cx: &SharedCx) -> Vec<Host> {
    let peers = cx.peers.borrow();
    let mut local = peers.live_hosts(cx.clock.now(), MAX_SENDER_AGE);
    local.retain(|it| it.domain == peers.own().domain);
    local
}

impl LostOrigins {
    /// Chooses an origin; `waited` is the time since nothing is followed.
    pub(super) fn choose(&self, cx: &SharedCx, waited: Duration) -> Origin {
        let local = local_hosts(cx);
        let peers = cx.peers.borrow();
        let own = peers.own();
        let is_lost = |at: &Instant| at.elapsed() < LOST_FOR;
        let mut lost: Vec<SocketAddr> =
            self.hosts.iter().filter(|(_, at)| is_lost(at)).map(|(it, _)| *it).collect();
        let now = cx.clock.now();
        lost.extend(local.iter().map(|it| it.address).filter(|it| peers.is_silent(*it, now)));
        let is_source_lost = self.source.as_ref().is_some_and(is_lost);
        ReaderView { own, local: &local, lost: &lost, is_source_lost, waited }.choose()
    }
}

impl FollowState {
    /// `jitter` is the factor by which backoffs are multiplied.
    pub(super) fn new(calls: CallLimits, jitter: f64) -> FollowState {
        FollowState {
            must_read: false,
            lost: LostOrigins::default(),
            calls,
            jitter,
            backoff: calls.first_backoff,
            idle_since: Instant::now(),
            last: Origin::None,
            lost_since: None,
        }
    }

    pub(super) fn choose(&self, cx: &SharedCx) -> Origin {
        self.lost.choose(cx, self.idle_since.elapsed())
    }

    pub(super) fn record_success(&mut self, cx: &SharedCx, feed: Feed, origin: Origin) {
        self.backoff = self.calls.first_backoff;
        if origin != self.last {
            self.last = origin;
            let reader = match origin {
                Origin::Host(address) => Some(address.to_string()),
                Origin::Source | Origin::None => None,
            };
            info!(cx.log, "follow: origin changed"; "feed" => ?feed, "reader" => reader,
                "revision" => revision(cx, feed));
        }
        if let Some(since) = self.lost_since.take() {
            info!(cx.log, "follow: the source is back"; "feed" => ?feed,
                "away_ms" => since.elapsed().as_millis() as u64);
        }
    }

    /// Records that an origin is no longer followed.
    pub(super) fn record_end(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Records that there is neither a reader to follow nor the source to be read yet.
    pub(super) fn record_idle(&mut self, cx: &SharedCx, feed: Feed) {
        self.record_lost(cx, feed, "no reader is known");
    }

    fn record_lost(&mut self, cx: &SharedCx, feed: Feed, reason: &str) {
        feed.is_followed(cx).set(false);
        if self.lost_since.is_none() {
            self.lost_since = Some(Instant::now());
            warn!(cx.log, "follow: the source is lost, the last known state stays in force";
                "feed" => ?feed, "error" => reason);
        }
    }

    /// Records that an origin failed, and waits before the next one is chosen if
    /// that should not be at once.
    pub(super) async fn record_failure(
        &mut self,
        cx: &SharedCx,
        feed: Feed,
        origin: Origin,
        err: &SourceError,
    ) {
        if matches!(err, SourceError::HistoryGone | SourceError::Restored) {
            info!(cx.log, "follow: reading the feed again"; "feed" => ?feed, "error" => %err,
                "revision" => revision(cx, feed));
            self.must_read = true;
            sleep(self.calls.first_backoff.mul_f64(self.jitter)).await;
            return;
        }
        feed.set_read_directly(cx, false);
        self.record_end();
        if let Origin::Host(address) = origin {
            info!(cx.log, "follow: the reader is left"; "feed" => ?feed, "reader" => %address,
                "error" => %err);
            self.lost.hosts.insert(address, Instant::now());
            return;
        }
        self.record_lost(cx, feed, &err.to_string());
        self.must_read = true;
        self.lost.source = Some(Instant::now());
        sleep(self.backoff.mul_f64(self.jitter)).await;
        self.backoff = (self.backoff * 2).min(self.calls.max_backoff);
    }
}

/// Returns the revision of the feed that this host knows, for log lines.
fn revision(cx: &SharedCx, feed: Feed) -> Option<u64> {
    cx.change_logs.of(feed).progress().position().map(|it| it.revision)
}
