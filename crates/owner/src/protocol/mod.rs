//! How the owner talks to a target, behind one small trait.

mod http;

use std::{future::Future, net::SocketAddr, time::Duration};

use base::AttemptId;
use policy::owner::{AttemptResult, Job, LoadReport};

pub use self::http::{HttpConnection, HttpProtocol};

/// A job about to be sent.
#[derive(Clone, Debug)]
pub struct Query {
    pub job: Job,
    /// Deadline as time left.
    pub time_left: Duration,
}

#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ProtocolError {
    #[error("the connection could not be set up: {0}")]
    Setup(String),
    #[error("the call to the target failed: {0}")]
    Call(String),
    #[error("the target answered with status {0}")]
    Status(u16),
    #[error("the target's load report is malformed: {0}")]
    Report(String),
}

/// Calls to one target over connections that the owner opens one by one.
///
/// A connection is a single one: once it has ended, every call on it fails,
/// and nothing is sent a second time.
pub trait TargetProtocol: Clone + Send + Sync + 'static {
    type Connection: Clone + Send + Sync + 'static;

    /// Prepares a connection; the first call opens it. Dropping the last
    /// clone closes it.
    fn connection(&self, address: SocketAddr) -> Result<Self::Connection, ProtocolError>;

    /// Reads the target's load report.
    fn report(
        &self,
        connection: &Self::Connection,
    ) -> impl Future<Output = Result<LoadReport, ProtocolError>> + Send;

    /// Sends a job once and waits for its result.
    fn query(
        &self,
        connection: &Self::Connection,
        query: Query,
    ) -> impl Future<Output = AttemptResult> + Send;

    /// Asks the target to give an attempt up.
    fn cancel(
        &self,
        connection: &Self::Connection,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<(), ProtocolError>> + Send;
}
