//! What goes into a request's run over its shards, and what comes out.

use std::rc::Rc;

use base::RegionName;
use forward::{
    Verdict,
    gather::Schedule,
    placement::{ClassKey, Send, ServiceKey},
};
use tokio::sync::mpsc;

use super::Note;
use crate::targets::{Outcome, Outgoing, TargetAnswer};

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

/// What to run, where, and how often.
pub(crate) struct Plan<'a> {
    pub shards: Vec<ServiceKey>,
    pub min_shards: usize,
    pub class: ClassKey,
    pub regions: &'a [RegionName],
    pub attempts: u32,
    pub priority: u32,
    pub schedule: Schedule,
    pub request: Rc<Outgoing>,
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
