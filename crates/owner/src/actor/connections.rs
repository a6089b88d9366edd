//! Connections to targets, each with the task that uses it now.

use std::{net::SocketAddr, time::Duration};

use base::{AttemptId, HashMap, TargetName, Time};
use policy::owner::{AttemptResult, ConnectionId, ControlResult, Input, Job, NotSent};
use tokio::{sync::mpsc, task::AbortHandle};

use crate::protocol::{Query, TargetProtocol};

/// Bound of a probe, a cancellation or the opening of a connection.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Every connection of this host; results go to the actor as inputs.
pub(super) struct ConnectionTable<P: TargetProtocol> {
    protocol: P,
    clock: fn() -> Time,
    events: mpsc::Sender<Input>,
    connections: HashMap<(TargetName, ConnectionId), Entry<P::Connection>>,
}

struct Entry<C> {
    connection: C,
    task: Option<AbortHandle>,
}

impl<P: TargetProtocol> ConnectionTable<P> {
    pub fn new(protocol: P, clock: fn() -> Time, events: mpsc::Sender<Input>) -> Self {
        ConnectionTable { protocol, clock, events, connections: HashMap::default() }
    }

    /// Notes that the connection an input speaks of is free of its task.
    pub fn observe(&mut self, input: &Input) {
        let Some(key) = finished_link(input) else { return };
        if let Some(link) = self.connections.get_mut(&key) {
            link.task = None;
        }
    }

    pub fn open(&mut self, target: TargetName, connection: ConnectionId, address: SocketAddr) {
        let protocol = self.protocol.clone();
        let opened = protocol.connection(address);
        let link = opened.as_ref().ok().cloned();
        let name = target.clone();
        let task = self.spawn(async move {
            let Ok(opened) = opened else { return Input::OpenFailed { target, connection } };
            let report = tokio::time::timeout(CONTROL_TIMEOUT, protocol.report(&opened)).await;
            match report {
                Ok(Ok(report)) => Input::Opened { target, connection, report },
                _ => Input::OpenFailed { target, connection },
            }
        });
        let Some(link) = link else { return };
        self.connections.insert((name, connection), Entry { connection: link, task: Some(task) });
    }

    pub fn send(
        &mut self,
        target: TargetName,
        connection: ConnectionId,
        job: Job,
        valid_until: Option<Time>,
    ) {
        let protocol = self.protocol.clone();
        let clock = self.clock;
        let attempt = job.attempt;
        let name = target.clone();
        self.use_link(name, connection, |link| async move {
            let result = match link {
                Some(link) => run_query(&protocol, &link, job, clock, valid_until).await,
                None => AttemptResult::NotSent(NotSent::ConnectionClosed),
            };
            Input::AttemptFinished { target, connection, attempt, result }
        });
    }

    pub fn probe(&mut self, target: TargetName, connection: ConnectionId) {
        let protocol = self.protocol.clone();
        self.use_link(target.clone(), connection, |link| async move {
            let result = match link {
                Some(link) => control(protocol.report(&link)).await.map(ControlResult::Report),
                None => None,
            };
            let result = result.unwrap_or(ControlResult::Failed);
            Input::ControlFinished { target, connection, result }
        });
    }

    pub fn cancel_attempt(
        &mut self,
        target: TargetName,
        connection: ConnectionId,
        attempt: AttemptId,
    ) {
        let protocol = self.protocol.clone();
        self.use_link(target.clone(), connection, |link| async move {
            let result = match link {
                Some(link) => control(protocol.cancel(&link, attempt)).await,
                None => None,
            };
            let result = result.map_or(ControlResult::Failed, |()| ControlResult::Cancelled);
            Input::ControlFinished { target, connection, result }
        });
    }

    pub fn close(&mut self, target: TargetName, connection: ConnectionId) {
        let Some(link) = self.connections.remove(&(target, connection)) else { return };
        if let Some(task) = link.task {
            task.abort();
        }
    }

    /// Spawns what `work` does with a connection, if that still exists.
    fn use_link<F>(
        &mut self,
        target: TargetName,
        connection: ConnectionId,
        work: impl FnOnce(Option<P::Connection>) -> F,
    ) where
        F: Future<Output = Input> + Send + 'static,
    {
        let key = (target, connection);
        let link = self.connections.get(&key).map(|it| it.connection.clone());
        let task = self.spawn(work(link));
        if let Some(link) = self.connections.get_mut(&key) {
            link.task = Some(task);
        }
    }

    /// Runs `work` and hands its result to the actor.
    fn spawn(&self, work: impl Future<Output = Input> + Send + 'static) -> AbortHandle {
        let events = self.events.clone();
        let task = tokio::spawn(async move {
            let input = work.await;
            let _ = events.send(input).await;
        });
        task.abort_handle()
    }
}

/// The connection that an input shows to be free of its task.
fn finished_link(input: &Input) -> Option<(TargetName, ConnectionId)> {
    match input {
        Input::AttemptFinished { target, connection, .. }
        | Input::Opened { target, connection, .. }
        | Input::OpenFailed { target, connection }
        | Input::ControlFinished { target, connection, .. } => Some((target.clone(), *connection)),
        _ => None,
    }
}

/// Sends a job, unless its lease or its deadline has run out meanwhile.
async fn run_query<P: TargetProtocol>(
    protocol: &P,
    connection: &P::Connection,
    job: Job,
    clock: fn() -> Time,
    valid_until: Option<Time>,
) -> AttemptResult {
    let now = clock();
    if valid_until.is_some_and(|it| now > it) {
        return AttemptResult::NotSent(NotSent::StaleLease);
    }
    let time_left = job.batch.deadline.until(now);
    if time_left.is_zero() {
        return AttemptResult::NotSent(NotSent::DeadlinePassed);
    }
    protocol.query(connection, Query { job, time_left }).await
}

/// The result of a short call, or none when it failed or took too long.
async fn control<T, E>(call: impl Future<Output = Result<T, E>>) -> Option<T> {
    tokio::time::timeout(CONTROL_TIMEOUT, call).await.ok()?.ok()
}
