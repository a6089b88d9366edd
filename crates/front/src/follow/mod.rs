//! Follows what the platform publishes: targets, the configuration and
//! evacuations.
//!
//! A feed is read whole, then its changes are awaited. When the source fails,
//! what is known stays in force, and the feed is read anew as soon as the
//! source answers.
//!
//! Load pattern answered: a source that is away, slow, forgets its history or
//! turns some hosts away, and many hosts that return to it at once.

use std::{
    cell::Cell,
    future::Future,
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use base::{DomainName, HashSet, TargetName, Time};
use forward::{Configuration, TargetReport};
use rustc_hash::FxHasher;
use slog::{info, warn};
use tokio::time::{Instant, sleep, timeout};

use crate::SharedCx;

/// Longest wait of one call for changes.
const CHANGES_WAIT: Duration = Duration::from_secs(28);

/// A call for changes that is this much later than its wait has failed.
const CHANGES_SLACK: Duration = Duration::from_secs(2);

/// Longest time for reading a feed whole.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after a failed call: the first, and the longest.
const MIN_PAUSE: Duration = Duration::from_millis(200);
const MAX_PAUSE: Duration = Duration::from_millis(1_600);

/// Least and largest factor of a host's pauses.
const MIN_SPREAD: f64 = 0.7;
const MAX_SPREAD: f64 = 1.3;

/// Pause between two calls for changes, so that changes that come close
/// together cost one call. Targets that leave may be used for longer than this,
/// and one that crashed shows by its connections.
const TARGETS_PAUSE: Duration = Duration::from_millis(1_000);
const OPERATIONS_PAUSE: Duration = Duration::from_millis(250);

/// The same for targets where some turn cold and bear little then.
const COLD_TARGETS_PAUSE: Duration = Duration::from_millis(250);

/// A call that brings changes sooner than this was answered at once: they may
/// have been made before it, since the last one was answered.
const AT_ONCE: Duration = Duration::from_millis(400);

/// One of the two things that are followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feed {
    Targets,
    /// The configuration and evacuations.
    Operations,
}

impl Feed {
    fn is_followed(self, cx: &SharedCx) -> &Cell<bool> {
        match self {
            Feed::Targets => &cx.follows_targets,
            Feed::Operations => &cx.follows_operations,
        }
    }

    fn pause(self, cx: &SharedCx) -> Duration {
        match self {
            Feed::Targets if cx.targets.borrow().limits_cold_targets() => COLD_TARGETS_PAUSE,
            Feed::Targets => TARGETS_PAUSE,
            Feed::Operations => OPERATIONS_PAUSE,
        }
    }
}

/// One published item, decoded.
#[derive(Clone, Debug)]
pub enum Item {
    Target(TargetReport),
    TargetRemoved(TargetName),
    Configuration(Configuration),
    Evacuated(DomainName),
    EvacuationEnded(DomainName),
}

/// All items of a feed at some revision.
#[derive(Clone, Debug)]
pub struct Batch {
    pub items: Vec<Item>,
    pub revision: u64,
}

#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SourceError {
    #[error("the source no longer has the history")]
    HistoryGone,
    #[error("the source is not available: {0}")]
    Unavailable(String),
    #[error("the source's answer cannot be read: {0}")]
    Unreadable(String),
}

/// Where published items come from. Calls are not retried inside.
pub trait Source {
    fn read(&self, feed: Feed) -> impl Future<Output = Result<Batch, SourceError>>;

    /// Items that changed after `revision`, as soon as there are any.
    fn changes(
        &self,
        feed: Feed,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, SourceError>>;
}

/// Follows `feed` for as long as the process lives.
pub(crate) async fn follow(cx: SharedCx, source: Rc<impl Source>, feed: Feed) {
    let spread = spread(&cx);
    let mut pause = MIN_PAUSE;
    let mut lost_since: Option<Instant> = None;
    loop {
        let err = match read(&*source, feed).await {
            Ok(batch) => {
                if let Some(since) = lost_since.take() {
                    info!(cx.log, "follow: the source is back"; "feed" => ?feed,
                        "away_ms" => since.elapsed().as_millis() as u64);
                }
                pause = MIN_PAUSE;
                let revision = batch.revision;
                apply_whole(&cx, feed, batch);
                feed.is_followed(&cx).set(true);
                follow_changes(&cx, &*source, feed, revision).await
            }
            Err(err) => err,
        };
        if matches!(err, SourceError::HistoryGone) {
            info!(cx.log, "follow: reading the feed anew"; "feed" => ?feed, "error" => %err);
            sleep(MIN_PAUSE.mul_f64(spread)).await;
            continue;
        }
        feed.is_followed(&cx).set(false);
        if lost_since.is_none() {
            lost_since = Some(Instant::now());
            warn!(cx.log, "follow: the source is lost, what is known stays in force";
                "feed" => ?feed, "error" => %err);
        }
        sleep(pause.mul_f64(spread)).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// A factor for pauses that differs between hosts, so that they do not return
/// to the source all at once.
fn spread(cx: &SharedCx) -> f64 {
    let mut hasher = FxHasher::default();
    cx.cfg.peers.hash(&mut hasher);
    let part = (hasher.finish() >> 32) as f64 / f64::from(u32::MAX);
    MIN_SPREAD + part * (MAX_SPREAD - MIN_SPREAD)
}

async fn read(source: &impl Source, feed: Feed) -> Result<Batch, SourceError> {
    let late = |_| SourceError::Unavailable("no answer in time".to_owned());
    timeout(READ_TIMEOUT, source.read(feed)).await.map_err(late)?
}

/// Applies changes until a call fails.
async fn follow_changes(
    cx: &SharedCx,
    source: &impl Source,
    feed: Feed,
    mut revision: u64,
) -> SourceError {
    let mut last_answer = cx.clock.now();
    loop {
        let asked = cx.clock.now();
        let call = source.changes(feed, revision, CHANGES_WAIT);
        match timeout(CHANGES_WAIT + CHANGES_SLACK, call).await {
            Ok(Ok(changes)) => {
                revision = revision.max(changes.revision);
                let now = cx.clock.now();
                let age = age_of_changes(last_answer, asked, now);
                last_answer = now;
                changes.items.into_iter().for_each(|it| apply(cx, it, age));
                sleep(feed.pause(cx)).await;
            }
            Ok(Err(err)) => return err,
            Err(_) => return SourceError::Unavailable("no answer in time".to_owned()),
        }
    }
}

/// How long ago changes may have been made that a call brought.
fn age_of_changes(last_answer: Time, asked: Time, now: Time) -> Duration {
    if now.since(asked) < AT_ONCE { now.since(last_answer) } else { Duration::ZERO }
}

fn apply_whole(cx: &SharedCx, feed: Feed, batch: Batch) {
    match feed {
        Feed::Targets => {
            let names = batch.items.iter().filter_map(|it| match it {
                Item::Target(report) => Some(report.name.clone()),
                _ => None,
            });
            let listed: HashSet<TargetName> = names.collect();
            for item in batch.items {
                match item {
                    Item::Target(report) => cx.update_target_late(report),
                    other => apply(cx, other, Duration::ZERO),
                }
            }
            cx.retain_listed(&listed);
        }
        Feed::Operations => {
            let domains = batch.items.iter().filter_map(|it| match it {
                Item::Evacuated(domain) => Some(domain.clone()),
                _ => None,
            });
            cx.set_evacuated(domains.collect());
            let is_configuration = |it: &Item| matches!(it, Item::Configuration(_));
            let changes = batch.items.into_iter().filter(is_configuration);
            changes.for_each(|it| apply(cx, it, Duration::ZERO));
        }
    }
}

fn apply(cx: &SharedCx, item: Item, age: Duration) {
    match item {
        Item::Target(report) => cx.update_target(report, age),
        Item::TargetRemoved(name) => cx.unlist_target(&name, age),
        Item::Configuration(cfg) => cx.apply_configuration(&cfg),
        Item::Evacuated(domain) => cx.set_evacuation(domain, true),
        Item::EvacuationEnded(domain) => cx.set_evacuation(domain, false),
    }
}
