//! Feeds, their items, and where they come from.

use std::{cell::Cell, future::Future, time::Duration};

use base::{DomainName, TargetName};
use forward::{Configuration, TargetReport};

use crate::SharedCx;

/// Pause between two calls for changes, so that changes in quick succession
/// cost one call. A target that leaves stays usable for longer than this, and
/// a crash is detected by the target's connections.
const TARGETS_PAUSE: Duration = Duration::from_millis(1_000);
/// Limit on the pause, as a share of the time for which a leaving target is used. A change
/// that is made in the pause may count as younger by it.
const PAUSE_SHARE: f64 = 0.2;

const OPERATIONS_PAUSE: Duration = Duration::from_millis(250);

/// Same as `TARGETS_PAUSE` if any service has a rate limit for cold targets,
/// since a target that turns cold can take few requests.
const COLD_TARGETS_PAUSE: Duration = Duration::from_millis(250);

/// A set of items that is read and followed as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feed {
    Targets,
    /// The configuration and evacuations.
    Operations,
}

impl Feed {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Feed::Targets => "targets",
            Feed::Operations => "operations",
        }
    }

    pub(super) fn from_str(name: &str) -> Option<Feed> {
        [Feed::Targets, Feed::Operations].into_iter().find(|it| it.as_str() == name)
    }

    /// Sets whether this host reads the feed at the source itself. It offers itself
    /// to other hosts as a reader while it does so for all feeds.
    pub(super) fn set_read_directly(self, cx: &SharedCx, is_direct: bool) {
        cx.change_logs.of(self).set_live(is_direct);
        let reads_source = cx.change_logs.are_live();
        cx.peers.borrow_mut().set_reads_source(reads_source);
    }

    pub(super) fn is_followed(self, cx: &SharedCx) -> &Cell<bool> {
        match self {
            Feed::Targets => &cx.follows_targets,
            Feed::Operations => &cx.follows_operations,
        }
    }

    pub(super) fn pause(self, cx: &SharedCx) -> Duration {
        match self {
            Feed::Targets if cx.targets.borrow().limits_cold_targets() => COLD_TARGETS_PAUSE,
            Feed::Targets => {
                let leaving_for = cx.targets.borrow().leaving_for();
                TARGETS_PAUSE.min(leaving_for.mul_f64(PAUSE_SHARE))
            }
            Feed::Operations => OPERATIONS_PAUSE,
        }
    }
}

/// A decoded item of a feed.
#[derive(Clone, Debug)]
pub enum Item {
    Target(TargetReport),
    TargetRemoved(TargetName),
    Configuration(Configuration),
    Evacuated(DomainName),
    EvacuationEnded(DomainName),
}

/// Items of a feed, all of them or those that changed, and the revision that
/// includes them.
#[derive(Clone, Debug)]
pub struct Batch {
    pub items: Vec<Item>,
    pub revision: u64,
    /// Largest age of the changes, if the source states it.
    pub age: Option<Duration>,
    /// Time by which changes may be missing that are known at their origin: none for the
    /// origin itself.
    pub behind: Duration,
}

#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SourceError {
    #[error("the source no longer holds the requested history")]
    HistoryGone,
    #[error("the source is unavailable: {0}")]
    Unavailable(String),
    #[error("cannot read the source's data: {0}")]
    Unreadable(String),
}

/// Publisher of the feeds. Implementations do not retry calls.
pub trait Source {
    /// Returns all items of a feed.
    fn read(&self, feed: Feed) -> impl Future<Output = Result<Batch, SourceError>>;

    /// Returns the items that changed after `revision` as soon as there are
    /// any, or an empty batch after `wait`.
    fn changes(
        &self,
        feed: Feed,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, SourceError>>;
}
