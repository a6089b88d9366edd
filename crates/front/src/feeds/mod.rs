//! Feeds, their items, and where they come from, with the latest changes of each.

mod change_log;
mod received;

use std::{future::Future, time::Duration};

use base::{DomainName, TargetName};
use forward::{Configuration, Position, TargetReport, customers::StatedProof};

pub(crate) use self::{
    change_log::{ChangeLogs, Changes},
    received::{Means, Received},
};

/// A set of items that is read and followed as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feed {
    Targets,
    /// The configuration and evacuations.
    Operations,
}

impl Feed {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Feed::Targets => "targets",
            Feed::Operations => "operations",
        }
    }

    pub(crate) fn from_str(name: &str) -> Option<Feed> {
        [Feed::Targets, Feed::Operations].into_iter().find(|it| it.as_str() == name)
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

/// Items of a feed, all of them or those that changed, and the position that
/// includes them.
#[derive(Clone, Debug)]
pub struct Batch {
    pub items: Vec<Item>,
    pub position: Position,
    /// Largest age of the changes, if the source states it.
    pub age: Option<Duration>,
    /// Time by which changes may be missing that are known at their origin, zero for the
    /// origin itself; `None` if a reader doesn't say.
    pub behind: Option<Duration>,
    /// What a reader says of its proof of the configuration; a source says nothing, as its
    /// answer is the proof.
    pub proof: Option<StatedProof>,
}

#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SourceError {
    #[error("the source no longer holds the requested history")]
    HistoryGone,
    #[error("the source was restored from an older copy")]
    Restored,
    #[error("the source is unavailable: {0}")]
    Unavailable(String),
    #[error("cannot read the source's data: {0}")]
    Unreadable(String),
}

/// Publisher of the feeds. Implementations do not retry calls, and answer each by a state
/// that is no older than that of any answer before the call, unless they were restored.
pub trait Source {
    /// Returns all items of a feed.
    fn read(&self, feed: Feed) -> impl Future<Output = Result<Batch, SourceError>>;

    /// Returns the items that changed after a position as soon as there are
    /// any, or an empty batch after `wait`.
    fn changes(
        &self,
        feed: Feed,
        after: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, SourceError>>;
}
