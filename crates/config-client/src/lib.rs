//! Client of the platform: its configuration service and its list of hosts.
//!
//! The client only reads, and it does not retry. `fleet` decides which revision
//! to ask for, when and how often.

mod client;
mod wire;

use std::{future::Future, sync::Arc, time::Duration};

use base::{DomainName, HostName, Revision};

pub use crate::client::HttpPlatform;

/// The documents that changed after a given revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Index {
    /// Highest revision known to the replica that answered.
    pub revision: Revision,
    pub entries: Vec<IndexEntry>,
}

/// One changed document of an index. Its text is read separately.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexEntry {
    pub key: Arc<str>,
    pub revision: Revision,
    pub deleted: bool,
}

/// A document as stored by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredDocument {
    pub revision: Revision,
    pub text: Arc<str>,
}

/// A host of the platform's host list, which may be out of date.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedHost {
    pub host: HostName,
    pub domain: DomainName,
    /// Address at which the host listens for other hosts.
    pub address: std::net::SocketAddr,
    pub is_leaving: bool,
}

/// Reason why a read from the platform failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PlatformError {
    #[error("request to the platform failed: {0}")]
    Unreachable(#[source] reqwest::Error),
    #[error("the platform returned HTTP status {0}")]
    Status(u16),
    #[error("the platform's response is malformed: {0}")]
    Malformed(String),
    #[error("the platform's response is longer than {0} bytes")]
    TooLong(usize),
}

/// Read access to the platform. Each call counts once against the platform's
/// limit on calls, even if it waits.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Returns the documents changed after revision `after`. Waits up to `wait`
    /// for such a change.
    fn read_index(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Index, PlatformError>> + Send;

    /// Returns one document, or `None` if it does not exist.
    fn read_document(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredDocument>, PlatformError>> + Send;

    fn read_hosts(&self) -> impl Future<Output = Result<Vec<ListedHost>, PlatformError>> + Send;
}
