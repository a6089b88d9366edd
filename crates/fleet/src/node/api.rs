//! What a driver tells a node and is told by it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{DomainName, HostName, Revision};

use crate::message::Message;

/// What happened; the driver reports it with the time.
#[derive(Clone, Debug)]
pub enum Input {
    /// [`Node::next_wakeup`](super::Node::next_wakeup) is due.
    Tick,
    /// `from` is where the sender listens for hosts.
    Message {
        from: SocketAddr,
        message: Message,
    },
    /// The process was paused; what it believes may be old.
    Resumed,
    /// Answer to [`Action::ReadIndex`]: entries above the revision asked for.
    PlatformIndex {
        revision: Revision,
        entries: Vec<IndexEntry>,
    },
    /// Answer to [`Action::ReadDocument`].
    PlatformDocument {
        key: Arc<str>,
        revision: Revision,
        text: Arc<str>,
    },
    PlatformDocumentMissing {
        key: Arc<str>,
    },
    /// A read of the index or of a document failed or timed out.
    PlatformFailed,
    /// Answer to [`Action::ReadHosts`].
    PlatformHosts(Vec<ListedHost>),
    /// Begin the graceful stop.
    Leave,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
#[expect(clippy::large_enum_variant, reason = "most actions are sends")]
pub enum Action {
    /// By datagram, or by link if the message is bulk.
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// Long-poll the index for entries above `after`; one at a time.
    ReadIndex {
        after: Revision,
        wait: Duration,
    },
    ReadDocument {
        key: Arc<str>,
    },
    ReadHosts,
    ConfigurationChanged,
    /// [`Node::shares`](super::Node::shares) or
    /// [`Node::owners`](super::Node::owners) changed.
    SharesChanged,
    /// All rights are given up and peers told; the process may exit.
    Left,
}

/// An entry of the platform's index of documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    pub key: Arc<str>,
    pub revision: Revision,
    pub is_deleted: bool,
}

/// A host in the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    pub host: HostName,
    pub domain: DomainName,
    pub address: SocketAddr,
    pub is_leaving: bool,
}

/// Why a node is not ready for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum NotReady {
    #[error("no peer and no platform has confirmed the configuration yet")]
    Unconfirmed,
    #[error("the process was paused and has not heard from any peer since")]
    Paused,
    #[error("the host is leaving")]
    Leaving,
}
