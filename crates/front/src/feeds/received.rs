//! How a host got what it knows, for log lines.

use std::time::Duration;

use forward::Provenance;

/// How a change reached this host.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Means {
    Changes,
    CompleteRead,
    /// The state of a peer.
    State,
}

/// Where a change came from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Received {
    pub from: Provenance,
    pub by: Means,
    /// Largest age of the change, if it is known.
    pub age: Option<Duration>,
}

impl Means {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Means::Changes => "changes",
            Means::CompleteRead => "complete read",
            Means::State => "state",
        }
    }
}
