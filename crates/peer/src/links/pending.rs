//! Subqueries of one batch that have no part yet.

use std::cell::RefCell;

use base::{AttemptId, HashMap, Outcome};
use capnp::capability::Rc;
use policy::message::{Part, Subquery};
use tokio::sync::mpsc;

use super::unreachable_part;
use crate::{generated::peer_capnp::part_sink, wire};

pub(super) struct Pending {
    waiting: RefCell<HashMap<AttemptId, Subquery>>,
    parts: mpsc::Sender<Part>,
}

/// Capability to which the owner sends parts.
pub(super) struct PartSink(pub(super) std::rc::Rc<Pending>);

impl Pending {
    pub(super) fn new(subqueries: &[Subquery], parts: mpsc::Sender<Part>) -> Self {
        let waiting = subqueries.iter().map(|it| (it.attempt, it.clone())).collect();
        Pending { waiting: RefCell::new(waiting), parts }
    }

    /// Sends a failed part for each subquery that has no part yet.
    pub(super) async fn fail_rest(&self, outcome: Outcome) {
        let rest: Vec<_> = self.waiting.borrow_mut().drain().map(|(_, it)| it).collect();
        for subquery in rest {
            let _ = self.parts.send(unreachable_part(&subquery, outcome)).await;
        }
    }

    /// Waits until the receiver of the parts is closed.
    pub(super) async fn receiver_closed(&self) {
        self.parts.closed().await;
    }

    /// Returns whether the part is the first for its subquery and matches its
    /// shard and target. An accepted subquery is no longer waiting.
    fn accept(&self, part: &Part) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let is_expected = waiting
            .get(&part.attempt)
            .is_some_and(|it| it.shard == part.shard && it.target == part.target);
        if is_expected {
            waiting.remove(&part.attempt);
        }
        is_expected
    }
}

impl part_sink::Server for PartSink {
    async fn parts(
        self: Rc<Self>,
        params: part_sink::PartsParams,
        _: part_sink::PartsResults,
    ) -> Result<(), capnp::Error> {
        for part in params.get()?.get_parts()? {
            let part = wire::read_part(part)?;
            if self.0.accept(&part) {
                let _ = self.0.parts.send(part).await;
            }
        }
        Ok(())
    }
}
