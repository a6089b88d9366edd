//! Events that a running query receives, and its result.

use std::{rc::Rc, time::Duration};

use base::TargetName;
use bytes::Bytes;
use forward::{
    Verdict,
    placement::Send,
    target::{LeavingTarget, SendResult},
};
use http::{HeaderMap, StatusCode};
use tokio::sync::mpsc;

use super::{KeyRejection, Note};
use crate::memory::Guard;

/// Event for a running query; `index` is the shard's position in its plan.
#[derive(Debug)]
pub(crate) enum Event {
    /// A send ended with `outcome`.
    Ended { index: usize, send: Send, outcome: Outcome },
    /// A connection may be free, so the part should try placement again.
    Place { index: usize },
}

/// Outcome of a send.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub result: SendResult,
    pub answer: Option<TargetAnswer>,
}

/// A target's answer, read completely.
#[derive(Clone, Debug)]
pub(crate) struct TargetAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Memory of the body; none if it is empty.
    pub memory: Option<Rc<Guard>>,
}

/// A part that waits for a connection, with the channel that wakes its query.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub tx: mpsc::UnboundedSender<Event>,
    pub index: usize,
}

/// Result of a query.
pub(crate) struct Collected {
    pub verdict: Verdict,
    pub parts: Vec<TargetAnswer>,
    pub missing: usize,
    /// Number of parts left out, as their shards are overloaded, and the time in which the
    /// first of them was expected.
    pub left_out: (usize, Duration),
    /// Last error answer of a target, which may be forwarded to the caller.
    pub failure: Option<TargetAnswer>,
    /// Whether any target may have run the request.
    pub may_have_run: bool,
    /// Why nothing more was sent, if the key may no longer be used.
    pub rejection: Option<KeyRejection>,
    /// Number of sends beyond the first of each part.
    pub extra_sends: u32,
    /// Last place that the first part was sent to.
    pub last_target: Option<TargetName>,
    /// Targets that the query was sent to and that said that they leave.
    pub leaving: Vec<LeavingTarget>,
    /// Failed sends and missing parts, for the log.
    pub notes: Vec<Note>,
}
