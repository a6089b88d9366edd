//! Trait for the calls from the owner to a target.

mod http;

use std::{future::Future, net::SocketAddr, time::Duration};

use base::AttemptId;
use policy::owner::{AttemptResult, Job, LoadReport};

pub use self::http::{HttpConnection, HttpProtocol};

/// A job to be sent.
#[derive(Clone, Debug)]
pub struct Query {
    pub job: Job,
    /// Time left until the deadline.
    pub time_left: Duration,
}

#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ProtocolError {
    #[error("cannot set up the connection: {0}")]
    Setup(String),
    #[error("call to the target failed: {0}")]
    Call(String),
    #[error("expected status 200 from the target, got {0}")]
    Status(u16),
    #[error("the target's answer is longer than {0} bytes")]
    TooLong(usize),
    #[error("malformed load report from the target: {0}")]
    Report(String),
}

/// Calls to targets over connections that the owner opens one by one.
///
/// A connection is never reopened: once it has ended, every call on it fails,
/// and nothing is sent a second time.
pub trait TargetProtocol: Clone + Send + Sync + 'static {
    type Connection: Clone + Send + Sync + 'static;

    /// Prepares a connection. The first call opens it; dropping the last clone
    /// closes it.
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

    /// Asks the target to cancel an attempt.
    fn cancel(
        &self,
        connection: &Self::Connection,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<(), ProtocolError>> + Send;
}
