//! What a target says of itself, and how a send to it ended.

use std::{net::SocketAddr, time::Duration};

use base::{DomainName, ServiceName, TargetName, Time};

/// A target's own report, as the platform publishes it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetReport {
    pub name: TargetName,
    /// Start of this incarnation, if stated. Only compared with other reports
    /// of the same target, never with a clock of ours.
    pub born: Option<u64>,
    /// Counts the reports of one incarnation.
    pub sequence: u64,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub domain: DomainName,
    /// Requests that it works on at once.
    pub slots: u32,
    pub lifecycle: Lifecycle,
    /// How much longer it is cold.
    pub cold_for: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    Ready,
    /// Leaves soon and gets no new work.
    Draining,
}

/// How a send ended, for the target's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// A usable answer.
    Answered,
    /// The target said that it did not run the request.
    Shed,
    /// An answer that reports a failure, or one that cannot be used.
    Failed,
    /// The connection broke before the answer was whole.
    Broken,
    /// No connection could be made, or no answer came in time.
    Silent,
    /// Another target has the address now.
    Misdirected,
    /// Nothing was written.
    NotSent,
    /// Given up because the caller left or another answer was first.
    Cancelled,
}

impl SendResult {
    /// Names of all results, in the order of their declaration.
    pub const NAMES: [&str; 8] = [
        "answered",
        "shed",
        "failed",
        "connection broke",
        "silent",
        "another target has the address",
        "not sent",
        "cancelled",
    ];

    /// For the log.
    pub fn as_str(self) -> &'static str {
        SendResult::NAMES[self as usize]
    }
}

/// Load as the target itself told it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    pub running: u32,
    pub waiting: u32,
    pub at: Time,
}
