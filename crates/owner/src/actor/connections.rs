//! Connections to targets, each with the task that currently uses it.

use std::{net::SocketAddr, time::Duration};

use base::{AttemptId, HashMap, TargetName, Time};
use policy::owner::{AttemptResult, ConnectionId, ControlResult, Input, Job, NotSent};
use tokio::{sync::mpsc, task::AbortHandle};

use crate::protocol::{Query, TargetProtocol};

/// Timeout of a probe, a cancellation and the opening of a connection.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// All connections of the owner. Results of their tasks are sent to the actor
/// as inputs.
pub(super) struct ConnectionTable<P: TargetProtocol> {
    protocol: P,
    clock: fn() -> Time,
    inputs: mpsc::Sender<Input>,
    connections: HashMap<(TargetName, ConnectionId), Entry<P::Connection>>,
}

struct Entry<C> {
    connection: C,
    task: Option<AbortHandle>,
}

impl<P: TargetProtocol> ConnectionTable<P> {
    pub fn new(protocol: P, clock: fn() -> Time, inputs: mpsc::Sender<Input>) -> Self {
        ConnectionTable { protocol, clock, inputs, connections: HashMap::default() }
    }

    /// Clears the task of the connection whose result `input` is, if any.
    pub fn clear_finished_task(&mut self, input: &Input) {
        let Some(key) = finished_connection(input) else { return };
        if let Some(entry) = self.connections.get_mut(&key) {
            entry.task = None;
        }
    }

    pub fn open(&mut self, target: TargetName, connection: ConnectionId, address: SocketAddr) {
        let protocol = self.protocol.clone();
        let opened = protocol.connection(address);
        let conn = opened.as_ref().ok().cloned();
        let name = target.clone();
        let task = self.spawn(async move {
            let Ok(opened) = opened else { return Input::OpenFailed { target, connection } };
            let report = tokio::time::timeout(CONTROL_TIMEOUT, protocol.report(&opened)).await;
            match report {
                Ok(Ok(report)) => Input::Opened { target, connection, report },
                _ => Input::OpenFailed { target, connection },
            }
        });
        let Some(conn) = conn else { return };
        self.connections.insert((name, connection), Entry { connection: conn, task: Some(task) });
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
        self.run_on(name, connection, |conn| async move {
            let result = match conn {
                Some(conn) => run_query(&protocol, &conn, job, clock, valid_until).await,
                None => AttemptResult::NotSent(NotSent::ConnectionClosed),
            };
            Input::AttemptFinished { target, connection, attempt, result }
        });
    }

    pub fn probe(&mut self, target: TargetName, connection: ConnectionId) {
        let protocol = self.protocol.clone();
        self.run_on(target.clone(), connection, |conn| async move {
            let result = match conn {
                Some(conn) => {
                    with_control_timeout(protocol.report(&conn)).await.map(ControlResult::Report)
                }
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
        self.run_on(target.clone(), connection, |conn| async move {
            let result = match conn {
                Some(conn) => with_control_timeout(protocol.cancel(&conn, attempt)).await,
                None => None,
            };
            let result = result.map_or(ControlResult::Failed, |()| ControlResult::Cancelled);
            Input::ControlFinished { target, connection, result }
        });
    }

    pub fn close(&mut self, target: TargetName, connection: ConnectionId) {
        let Some(entry) = self.connections.remove(&(target, connection)) else { return };
        if let Some(task) = entry.task {
            task.abort();
        }
    }

    /// Spawns `work` with the connection, or with `None` if it no longer exists.
    fn run_on<F>(
        &mut self,
        target: TargetName,
        connection: ConnectionId,
        work: impl FnOnce(Option<P::Connection>) -> F,
    ) where
        F: Future<Output = Input> + Send + 'static,
    {
        let key = (target, connection);
        let conn = self.connections.get(&key).map(|it| it.connection.clone());
        let task = self.spawn(work(conn));
        if let Some(entry) = self.connections.get_mut(&key) {
            entry.task = Some(task);
        }
    }

    /// Spawns `work` and sends its result to the actor.
    fn spawn(&self, work: impl Future<Output = Input> + Send + 'static) -> AbortHandle {
        let inputs = self.inputs.clone();
        let task = tokio::spawn(async move {
            let input = work.await;
            let _ = inputs.send(input).await;
        });
        task.abort_handle()
    }
}

/// Returns the connection whose task produced `input`, if there is one.
fn finished_connection(input: &Input) -> Option<(TargetName, ConnectionId)> {
    match input {
        Input::AttemptFinished { target, connection, .. }
        | Input::Opened { target, connection, .. }
        | Input::OpenFailed { target, connection }
        | Input::ControlFinished { target, connection, .. } => Some((target.clone(), *connection)),
        _ => None,
    }
}

/// Sends a job, unless its lease or its deadline has expired.
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

/// Returns the result of a control call, or `None` if it failed or timed out.
async fn with_control_timeout<T, E>(call: impl Future<Output = Result<T, E>>) -> Option<T> {
    tokio::time::timeout(CONTROL_TIMEOUT, call).await.ok()?.ok()
}
