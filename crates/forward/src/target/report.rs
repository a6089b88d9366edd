//! Reports of targets, and results of sends.

use std::{net::SocketAddr, time::Duration};

use base::{DomainName, ServiceName, TargetName, Time};

/// A target's own report, as the platform publishes it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetReport {
    pub name: TargetName,
    /// Start time of this incarnation, if stated. Compared only with other reports of
    /// the same target, never with this host's clock.
    pub born: Option<u64>,
    /// Number of this report within the incarnation.
    pub sequence: u64,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub domain: DomainName,
    /// Number of requests that the target runs at a time.
    pub slots: u32,
    pub lifecycle: Lifecycle,
    /// Time for which the target is still cold.
    pub cold_for: Duration,
}

impl TargetReport {
    /// Returns whether a later report than `known`, of a target with the same name, is of
    /// the same incarnation.
    pub fn is_same_incarnation(&self, known: &TargetReport) -> bool {
        match (known.born, self.born) {
            (Some(known), Some(born)) => known == born,
            // Sequence numbers start again at a restart.
            (None, None) => self.sequence >= known.sequence,
            _ => true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    Ready,
    /// Will leave soon and should get no new work.
    Draining,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// A usable answer.
    Answered,
    /// The target reported that it did not run the request.
    Shed,
    /// An answer that reports a failure, or one that cannot be used.
    Failed,
    /// The connection broke before the answer was complete.
    Broken,
    /// This host had no memory left for the answer, which says nothing of the target.
    NoMemory,
    /// No answer came in time.
    Silent,
    /// No connection could be made.
    Unreachable,
    /// Another target has the address.
    Misdirected,
    /// Nothing was written to the connection.
    NotSent,
    /// Cancelled because the caller left without an answer, or not sent because the
    /// request could not be built.
    Cancelled,
}

impl SendResult {
    /// Names of all results, in the order of their declaration.
    pub const NAMES: [&str; 10] = [
        "answered",
        "shed",
        "failed",
        "connection broke",
        "no memory for the answer",
        "silent",
        "unreachable",
        "another target has the address",
        "not sent",
        "cancelled",
    ];

    /// Returns the text for log lines and metrics.
    pub fn as_str(self) -> &'static str {
        SendResult::NAMES[self as usize]
    }
}

/// Load as reported by the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    pub running: u32,
    pub waiting: u32,
    /// Time at which this host received the report.
    pub at: Time,
}
