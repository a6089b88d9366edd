//! What a query in progress is told, and what comes of it.

use forward::{Verdict, placement::Send};
use tokio::sync::mpsc;

use super::Note;
use crate::targets::{Outcome, TargetAnswer};

/// What a request in flight is told.
#[derive(Debug)]
pub(crate) enum Event {
    /// A send ended.
    Ended { index: usize, send: Send, outcome: Outcome },
    /// A connection may be free for the part.
    Place { index: usize },
}

/// A part that waits for a connection.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub tx: mpsc::UnboundedSender<Event>,
    pub index: usize,
}

/// What came of it.
pub(crate) struct Collected {
    pub verdict: Verdict,
    pub parts: Vec<TargetAnswer>,
    pub missing: usize,
    /// A failure that a target reported, to be passed on.
    pub failure: Option<TargetAnswer>,
    /// Whether any target may have run the request.
    pub may_have_run: bool,
    /// Sends beyond the first of each part.
    pub extra_sends: u32,
    /// What went otherwise than planned, for the log.
    pub notes: Vec<Note>,
}
