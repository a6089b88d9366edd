//! A note on a failed send or a missing part.

use std::time::Duration;

use base::{ServiceName, TargetName};

/// A send that did not return a part, or a part that is missing.
#[derive(Clone, Debug)]
pub(crate) struct Note {
    pub service: ServiceName,
    pub target: Option<TargetName>,
    pub reason: &'static str,
    /// Number of targets that the part was sent to.
    pub sends: usize,
    /// Time since the request was received.
    pub after: Duration,
}
