//! Interface between a driver and a node: inputs, actions and their data.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{DomainName, HostName, Revision};

use crate::{configuration::IndexEntry, message::Message};

/// Event that the driver reports to the node.
#[derive(Clone, Debug)]
pub enum Input {
    /// [`Node::next_wakeup`](super::Node::next_wakeup) is due.
    Tick,
    /// A message received from another host, which listens at `from`.
    Message { from: SocketAddr, message: Message },
    /// The process resumed after a pause; the node's state may be outdated.
    Resumed,
    /// Answer to [`Action::ReadIndex`], with the entries above the requested
    /// revision.
    PlatformIndex { revision: Revision, entries: Vec<IndexEntry> },
    /// Answer to [`Action::ReadDocument`].
    PlatformDocument { key: Arc<str>, revision: Revision, text: Arc<str> },
    /// Answer to [`Action::ReadDocument`] for a document that does not exist.
    PlatformDocumentMissing { key: Arc<str> },
    /// A read of the index or of a document failed or timed out.
    PlatformFailed,
    /// Answer to [`Action::ReadHosts`].
    PlatformHosts(Vec<ListedHost>),
    /// Starts the graceful stop.
    Leave,
}

/// Action for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
#[expect(clippy::large_enum_variant, reason = "most actions are sends")]
pub enum Action {
    /// Sends a message as a datagram, or over a link if it is bulk.
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// Long-polls the index for entries above `after`; one call at a time.
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
    /// The host released all rights and announced to peers that it left; the
    /// process may exit.
    Left,
}

/// Entry of the platform's list of hosts, which may lag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    pub host: HostName,
    pub domain: DomainName,
    pub address: SocketAddr,
    pub is_leaving: bool,
}

/// Reason why a node is not ready for callers. The texts are sent to callers in
/// refusals.
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
