//! Client of the platform: its configuration service and its list of hosts.
//!
//! It only reads, and it reads what it is told to: which revision to ask for,
//! when and how often is up to `fleet`. Nothing is retried here.

mod client;
mod wire;

use std::{future::Future, sync::Arc, time::Duration};

use base::{DomainName, HostName, Revision};

pub use crate::client::HttpPlatform;

/// Documents that changed after some revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Index {
    /// Highest revision that the platform's replica has.
    pub revision: Revision,
    pub entries: Vec<IndexEntry>,
}

/// One document of an index; its text is read apart.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexEntry {
    pub key: Arc<str>,
    pub revision: Revision,
    pub deleted: bool,
}

/// A document as the platform holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredDocument {
    pub revision: Revision,
    pub text: Arc<str>,
}

/// A host of the platform's list, which lags.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedHost {
    pub host: HostName,
    pub domain: DomainName,
    /// Where the host listens for other hosts.
    pub address: std::net::SocketAddr,
    pub is_leaving: bool,
}

/// Why a read failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PlatformError {
    #[error("the platform was not reached: {0}")]
    Unreachable(#[source] reqwest::Error),
    #[error("the platform answered with status {0}")]
    Status(u16),
    #[error("the platform's answer is malformed: {0}")]
    Malformed(String),
    #[error("the platform's answer is longer than {0} bytes")]
    TooLong(usize),
}

/// What the platform lets us read. Each call counts against its limit, a
/// waiting one as one.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Waits up to `wait` for a revision above `after`.
    fn read_index(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Index, PlatformError>> + Send;

    /// One document; none if it does not exist.
    fn read_document(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredDocument>, PlatformError>> + Send;

    fn read_hosts(&self) -> impl Future<Output = Result<Vec<ListedHost>, PlatformError>> + Send;
}
