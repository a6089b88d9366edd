//! Calls to one origin of a feed. One that is not answered in time has failed, and another
//! one is made, but its answer counts if it comes after all.
//!
//! Load pattern answered: an origin that answers each call later than calls may take, as
//! it or this host is short of processor time. If no late answer counted, none ever would.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use base::Time;
use forward::{Position, source_calls::AnswerDelay};
use tokio::{
    task::{AbortHandle, Id, JoinSet},
    time::{Instant, timeout, timeout_at},
};

use crate::{
    Clock,
    feeds::{Batch, Feed, Source, SourceError},
};

/// Limit on calls without an answer, the last one included.
const MAX_OPEN: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    Read,
    Changes { after: Position, wait: Duration },
}

/// Answer to the last call, or to an earlier one.
#[derive(Debug)]
pub(super) struct Answer {
    pub call: Call,
    pub called: Time,
    /// Whether another call was made meanwhile.
    pub is_late: bool,
    /// How late answers are.
    pub delay: Duration,
    pub batch: Batch,
}

#[derive(Debug)]
struct Ended {
    call: Call,
    called: Time,
    arrived: Time,
    result: Result<Batch, SourceError>,
}

#[derive(Debug)]
pub(super) struct Calls<S> {
    source: Rc<S>,
    pub feed: Feed,
    clock: Clock,
    /// Time after which a call is given up.
    give_up: Duration,
    open: JoinSet<Ended>,
    /// The open calls, and those that ended since the last one was made.
    handles: VecDeque<AbortHandle>,
    last: Option<Id>,
    delay: AnswerDelay,
}

impl Call {
    fn wait(self) -> Duration {
        match self {
            Call::Read => Duration::ZERO,
            Call::Changes { wait, .. } => wait,
        }
    }
}

impl<S: Source + 'static> Calls<S> {
    pub(super) fn new(source: Rc<S>, feed: Feed, clock: Clock, give_up: Duration) -> Calls<S> {
        Calls {
            source,
            feed,
            clock,
            give_up,
            open: JoinSet::new(),
            handles: VecDeque::new(),
            last: None,
            delay: AnswerDelay::default(),
        }
    }

    /// Returns how late answers are.
    pub(super) fn delay(&self) -> AnswerDelay {
        self.delay
    }

    /// Makes a call. If too many are open, the oldest one is given up.
    pub(super) fn make(&mut self, call: Call) {
        let (source, feed, limit) = (self.source.clone(), self.feed, self.give_up);
        let clock = self.clock;
        let called = clock.now();
        let handle = self.open.spawn_local(async move {
            let result = timeout(limit, exchange(&*source, feed, call)).await;
            let result = result.unwrap_or_else(|_| Err(no_answer()));
            Ended { call, called, arrived: clock.now(), result }
        });
        self.last = Some(handle.id());
        self.handles.retain(|it| !it.is_finished());
        self.handles.push_back(handle);
        if self.handles.len() > MAX_OPEN
            && let Some(oldest) = self.handles.pop_front()
        {
            oldest.abort();
        }
    }

    /// Returns the next answer to any call. Of failures, only that of the last call counts,
    /// which has also failed if nothing is answered before `until`.
    pub(super) async fn next(&mut self, until: Instant) -> Result<Answer, SourceError> {
        loop {
            let next = timeout_at(until, self.open.join_next_with_id()).await;
            let next = next.map_err(|_| no_answer())?.ok_or_else(no_answer)?;
            // An error means that the call was given up.
            let Ok((id, ended)) = next else { continue };
            let is_late = self.last != Some(id);
            let Ended { call, called, arrived, result } = ended;
            match result {
                Ok(batch) => {
                    let took = arrived.since(called);
                    self.delay.record(call.wait(), took, !batch.items.is_empty());
                    let delay = self.delay.get();
                    return Ok(Answer { call, called, is_late, delay, batch });
                }
                Err(err) if !is_late => return Err(err),
                Err(_) => {}
            }
        }
    }

    /// Gives up all calls, as what they may bring is known.
    pub(super) fn abandon(&mut self) {
        self.open = JoinSet::new();
        self.handles.clear();
        self.last = None;
    }
}

async fn exchange(source: &impl Source, feed: Feed, call: Call) -> Result<Batch, SourceError> {
    match call {
        Call::Read => source.read(feed).await,
        Call::Changes { after, wait } => source.changes(feed, after, wait).await,
    }
}

fn no_answer() -> SourceError {
    SourceError::Unavailable("no answer in time".to_owned())
}
