//! Follows the platform's feeds: targets, the configuration and evacuations.
//!
//! A feed is first read completely, then changes are awaited by long polling.
//! When the source fails, the last known state stays in force, and the feed is
//! read again as soon as the source answers.
//!
//! In a large domain, most hosts follow a reader instead of the source, see
//! [`forward::readers`].
//!
//! Load pattern answered: a source that is unavailable or slow, drops its
//! history or rejects some hosts, and many hosts that return to it at once.

mod apply;
mod calls;
mod feed;
mod host;
mod origin;
mod proof;
mod serve;
#[cfg(test)]
mod tests;
mod wire;

use std::{
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use forward::{
    peers::DIGEST_INTERVAL,
    readers::{Origin, has_followers},
    source_calls::{MAX_JITTER, MIN_JITTER, follower_wait},
};
use rustc_hash::FxHasher;
use tokio::time::{Instant, sleep};

pub(crate) use self::serve::answer;
use self::{
    apply::take,
    calls::{Call, Calls},
    host::HostSource,
    origin::{FollowState, LostOrigins},
};
use crate::SharedCx;
pub use crate::feeds::{Batch, Feed, Item, Source, SourceError};

/// Time that a reader may hold one call for changes of targets, and time beyond it after
/// which any call has failed; short enough that the loss of a reader is noticed before
/// changes are late.
const HOST_CHANGES_WAIT: Duration = Duration::from_millis(2_000);
const HOST_CHANGES_SLACK: Duration = Duration::from_millis(500);

/// Time between two checks whether another origin is to be followed.
const CHOICE_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two checks whether another host is known after a start.
const PEERS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after the first digest for others to arrive.
const PEERS_SLACK: Duration = Duration::from_millis(50);

/// Follows `feed` for as long as the process lives.
pub async fn follow(cx: SharedCx, source: Rc<impl Source + 'static>, feed: Feed) {
    wait_for_peers(&cx).await;
    let limits = cx.cfg.source_calls;
    let mut state = FollowState::new(limits, jitter(&cx));
    let mut calls = Calls::new(source, feed, cx.clock, limits.give_up);
    loop {
        let origin = state.choose(&cx);
        let ended = match origin {
            Origin::Source => follow_origin(&cx, &mut calls, origin, &mut state).await,
            Origin::Host(address) => {
                let host = Rc::new(HostSource::new(cx.clone(), address));
                let mut calls = Calls::new(host, feed, cx.clock, limits.give_up);
                follow_origin(&cx, &mut calls, origin, &mut state).await
            }
            Origin::None => {
                state.record_idle(&cx, feed);
                sleep(CHOICE_INTERVAL).await;
                continue;
            }
        };
        record_progress(&cx, feed, &ended);
        match ended {
            Ended::Superseded => {
                calls.abandon();
                state.record_end();
            }
            Ended::Failed(err) => state.record_failure(&cx, feed, origin, &err).await,
        }
    }
}

/// Waits until this host likely knows whether its domain is large: until another
/// host answered its first digest, or for a round of gossip.
async fn wait_for_peers(cx: &SharedCx) {
    let until = Instant::now() + DIGEST_INTERVAL;
    while !cx.peers.borrow().knows_any() && Instant::now() < until {
        sleep(PEERS_POLL_INTERVAL).await;
    }
    sleep(PEERS_SLACK).await;
}

/// Why an origin is no longer followed.
enum Ended {
    /// Another origin is to be followed.
    Superseded,
    Failed(SourceError),
}

/// Records that an origin is no longer followed.
fn record_progress(cx: &SharedCx, feed: Feed, ended: &Ended) {
    let now = cx.clock.now();
    cx.change_logs.of(feed).update_progress(|it| match ended {
        Ended::Superseded => it.record_end(),
        Ended::Failed(_) => it.record_failure(now),
    });
}

/// Reads the feed if necessary, then applies changes until a call fails or another
/// origin is to be followed.
async fn follow_origin(
    cx: &SharedCx,
    calls: &mut Calls<impl Source + 'static>,
    origin: Origin,
    state: &mut FollowState,
) -> Ended {
    let feed = calls.feed;
    if state.must_read || cx.change_logs.of(feed).progress().position().is_none() {
        if let Err(err) = read(cx, calls, origin).await {
            return Ended::Failed(err);
        }
        state.must_read = false;
    }
    state.record_success(cx, feed, origin);
    feed.is_followed(cx).set(true);
    feed.set_read_directly(cx, origin == Origin::Source);
    tokio::select! {
        biased;
        err = follow_changes(cx, calls, origin) => Ended::Failed(err),
        ended = superseded(cx, origin, &state.lost) => ended,
    }
}

/// Completes when another origin is to be followed, or none for now. One that answers is
/// kept while no other is known.
async fn superseded(cx: &SharedCx, origin: Origin, lost: &LostOrigins) -> Ended {
    loop {
        sleep(CHOICE_INTERVAL).await;
        let next = lost.choose(cx, Duration::ZERO);
        if next != origin && next != Origin::None {
            return Ended::Superseded;
        }
        if let Origin::Host(reader) = origin
            && cx.peers.borrow().is_silent(reader, cx.clock.now())
        {
            return Ended::Failed(SourceError::Unavailable("the reader is silent".to_owned()));
        }
    }
}

/// Returns this host's backoff factor. It is fixed but differs between hosts,
/// so that they do not return to the source all at once.
fn jitter(cx: &SharedCx) -> f64 {
    let mut hasher = FxHasher::default();
    cx.cfg.peers.hash(&mut hasher);
    let fraction = (hasher.finish() >> 32) as f64 / f64::from(u32::MAX);
    MIN_JITTER + fraction * (MAX_JITTER - MIN_JITTER)
}

/// Reads the feed completely, or applies changes that an earlier call tells of.
async fn read(
    cx: &SharedCx,
    calls: &mut Calls<impl Source + 'static>,
    origin: Origin,
) -> Result<(), SourceError> {
    calls.make(Call::Read);
    let until = Instant::now() + cx.cfg.source_calls.read;
    loop {
        let answer = calls.next(until).await?;
        let is_late = answer.is_late;
        let offered = answer.batch.position;
        if take(cx, calls.feed, origin, answer)? {
            calls.abandon();
            return Ok(());
        }
        if is_late {
            continue;
        }
        // The reader's state is older. Its changes are followed from the own position on,
        // unless the reader doesn't know yet that the source was restored.
        let own = cx.change_logs.of(calls.feed).progress().position();
        let is_behind = || SourceError::Unavailable("the reader is behind".to_owned());
        return if own.is_some_and(|it| it.leads_to(offered)) { Ok(()) } else { Err(is_behind()) };
    }
}

/// Applies changes until a call fails; returns its error.
async fn follow_changes(
    cx: &SharedCx,
    calls: &mut Calls<impl Source + 'static>,
    origin: Origin,
) -> SourceError {
    let feed = calls.feed;
    loop {
        let (wait, limit) = limits_of_changes(cx, feed, origin);
        let delay = calls.delay();
        let wait = delay.hold(wait, limit);
        let log = cx.change_logs.of(feed);
        let Some(after) = log.progress().position() else { return SourceError::HistoryGone };
        log.update_progress(|it| it.record_call(cx.clock.now(), wait, delay.get()));
        calls.make(Call::Changes { after, wait });
        let until = Instant::now() + limit;
        loop {
            let answer = match calls.next(until).await {
                Ok(answer) => answer,
                Err(err) => return err,
            };
            let is_late = answer.is_late;
            match take(cx, feed, origin, answer) {
                Ok(true) => {
                    calls.abandon();
                    break;
                }
                Ok(false) if is_late => {}
                Ok(false) => break,
                Err(err) => return err,
            }
        }
        if origin == Origin::Source {
            sleep(feed.pause(cx)).await;
        }
    }
}

/// Returns the longest wait for changes, and the time after which the call has failed.
fn limits_of_changes(cx: &SharedCx, feed: Feed, origin: Origin) -> (Duration, Duration) {
    let (wait, limit) = usual_limits_of_changes(cx, feed, origin);
    let bounds = &cx.cfg.customers;
    match (feed, bounds.hold_limit(), bounds.failure_limit()) {
        // Answers prove that no key was removed, and the source or a reader that gives none
        // has to be left in time.
        (Feed::Operations, Some(hold), Some(failure)) => (wait.min(hold), limit.min(failure)),
        _ => (wait, limit),
    }
}

/// Same as `limits_of_changes`, where the revocation of keys is not strict.
fn usual_limits_of_changes(cx: &SharedCx, feed: Feed, origin: Origin) -> (Duration, Duration) {
    if let Origin::Host(_) = origin {
        let wait = match feed {
            Feed::Targets => HOST_CHANGES_WAIT,
            Feed::Operations => follower_wait(cx.cfg.configuration_due),
        };
        return (wait, wait + HOST_CHANGES_SLACK);
    }
    let calls = cx.cfg.source_calls;
    let calls =
        if has_followers(origin::local_hosts(cx).len()) { calls.for_reader() } else { calls };
    (calls.wait, calls.changes)
}
