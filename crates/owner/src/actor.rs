//! The actor: feeds the state machine and carries out its actions.

use std::{sync::Arc, time::Duration};

use base::{AttemptId, HashMap, PoolName, RequestId, Share, TargetName, Time};
use documents::Configuration;
use policy::{
    message::{Batch, Part, TargetStatus},
    owner::{
        Action, AttemptResult, ConnectionId, ControlResult, Input, Job, NotSent, OwnerCore,
        RequesterId,
    },
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::AbortHandle,
    time::Instant,
};

use crate::{
    handle::{OwnerCx, deliver},
    journal::Journal,
    protocol::{Query, TargetProtocol},
};

/// Time between ticks while work is queued or in flight, and without.
const BUSY_TICK: Duration = Duration::from_millis(5);
const IDLE_TICK: Duration = Duration::from_millis(50);
/// Bound of a probe, a cancellation or the opening of a connection.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Results of connection tasks that may wait for the actor.
const MAX_EVENTS: usize = 1_024;

#[derive(Debug)]
pub(crate) enum Command {
    Run { batch: Batch, parts: mpsc::Sender<Part> },
    Cancel { request: RequestId, attempts: Vec<AttemptId> },
    Learn { statuses: Vec<TargetStatus> },
    Status { pool: Option<PoolName>, reply: oneshot::Sender<Vec<TargetStatus>> },
    Drain { reply: oneshot::Sender<()> },
}

pub(crate) struct Actor<P: TargetProtocol> {
    core: OwnerCore,
    protocol: P,
    clock: fn() -> Time,
    journal: Journal,
    commands: mpsc::Receiver<Command>,
    configuration: watch::Receiver<Arc<Configuration>>,
    shares: watch::Receiver<Vec<(TargetName, Share)>>,
    events_tx: mpsc::Sender<Input>,
    events: mpsc::Receiver<Input>,
    links: HashMap<(TargetName, ConnectionId), Link<P::Connection>>,
    requesters: HashMap<RequesterId, Requester>,
    next_requester: u64,
    drained: Vec<oneshot::Sender<()>>,
    next_tick: Instant,
    actions: Vec<Action>,
}

/// One connection with the task that uses it now.
struct Link<C> {
    connection: C,
    task: Option<AbortHandle>,
}

/// Who waits for the parts of one batch.
struct Requester {
    request: RequestId,
    parts: mpsc::Sender<Part>,
    waiting: Vec<AttemptId>,
    /// Whether its work ends with the interest in it.
    is_cancellable: bool,
}

impl<P: TargetProtocol> Actor<P> {
    pub fn new(
        cx: OwnerCx,
        protocol: P,
        commands: mpsc::Receiver<Command>,
        configuration: watch::Receiver<Arc<Configuration>>,
        shares: watch::Receiver<Vec<(TargetName, Share)>>,
    ) -> Self {
        let (events_tx, events) = mpsc::channel(MAX_EVENTS);
        Actor {
            core: OwnerCore::new(cx.policy.clone(), cx.seed),
            protocol,
            clock: cx.clock,
            journal: Journal::new(&cx),
            commands,
            configuration,
            shares,
            events_tx,
            events,
            links: HashMap::default(),
            requesters: HashMap::default(),
            next_requester: 0,
            drained: Vec::new(),
            next_tick: Instant::now(),
            actions: Vec::new(),
        }
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                // Shares and configuration first: a command that came after
                // them must meet them.
                biased;
                Ok(()) = self.configuration.changed() => {
                    let cfg = Arc::clone(&self.configuration.borrow_and_update());
                    self.handle(Input::Configure(cfg));
                }
                Ok(()) = self.shares.changed() => {
                    let shares = self.shares.borrow_and_update().clone();
                    self.handle(Input::Assign(shares));
                }
                () = tokio::time::sleep_until(self.next_tick) => self.tick(),
                Some(event) = self.events.recv() => self.handle(event),
                command = self.commands.recv() => {
                    let Some(command) = command else { return };
                    self.command(command);
                }
            }
            if !self.drained.is_empty() && self.core.is_idle() {
                self.announce_drained();
            }
        }
    }

    fn announce_drained(&mut self) {
        for reply in self.drained.drain(..) {
            let _ = reply.send(());
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Run { batch, parts } => self.submit(batch, parts),
            Command::Cancel { request, attempts } => {
                self.handle(Input::Cancel { request, attempts });
            }
            Command::Learn { statuses } => self.handle(Input::Learn(statuses)),
            Command::Status { pool, reply } => {
                let _ = reply.send(self.core.status((self.clock)(), pool.as_ref()));
            }
            Command::Drain { reply } => {
                self.drained.push(reply);
                self.handle(Input::Drain);
            }
        }
    }

    fn submit(&mut self, batch: Batch, parts: mpsc::Sender<Part>) {
        self.next_requester += 1;
        let requester = RequesterId(self.next_requester);
        let entry = Requester {
            request: batch.request,
            parts,
            waiting: batch.subqueries.iter().map(|it| it.attempt).collect(),
            is_cancellable: batch.is_idempotent,
        };
        self.requesters.insert(requester, entry);
        self.next_tick = self.next_tick.min(Instant::now() + BUSY_TICK);
        self.handle(Input::Submit { requester, batch });
    }

    fn tick(&mut self) {
        for input in self.abandoned() {
            self.handle(input);
        }
        self.handle(Input::Tick);
        let interval = if self.core.is_idle() { IDLE_TICK } else { BUSY_TICK };
        self.next_tick = Instant::now() + interval;
    }

    /// Cancellations of work in which nobody is interested any more.
    fn abandoned(&self) -> Vec<Input> {
        let requesters = self.requesters.values();
        let gone = requesters.filter(|it| it.is_cancellable && it.parts.is_closed());
        let cancel =
            |it: &Requester| Input::Cancel { request: it.request, attempts: it.waiting.clone() };
        gone.map(cancel).collect()
    }

    fn handle(&mut self, input: Input) {
        if let Some(key) = finished_link(&input)
            && let Some(link) = self.links.get_mut(&key)
        {
            link.task = None;
        }
        let now = (self.clock)();
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now, input, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Open { target, connection, address } => {
                self.open(target, connection, address);
            }
            Action::Send { target, connection, job, valid_until } => {
                self.send(target, connection, job, valid_until);
            }
            Action::Probe { target, connection } => self.probe(target, connection),
            Action::CancelAttempt { target, connection, attempt } => {
                self.cancel_attempt(target, connection, attempt);
            }
            Action::Close { target, connection } => self.close(target, connection),
            Action::Reply { requester, part } => self.reply(requester, part),
            Action::Note { target, note } => self.journal.record(&target, &note),
        }
    }

    fn open(
        &mut self,
        target: TargetName,
        connection: ConnectionId,
        address: std::net::SocketAddr,
    ) {
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
        self.links.insert((name, connection), Link { connection: link, task: Some(task) });
    }

    fn send(
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
            Input::Finished { target, connection, attempt, result }
        });
    }

    fn probe(&mut self, target: TargetName, connection: ConnectionId) {
        let protocol = self.protocol.clone();
        self.use_link(target.clone(), connection, |link| async move {
            let result = match link {
                Some(link) => control(protocol.report(&link)).await.map(ControlResult::Report),
                None => None,
            };
            let result = result.unwrap_or(ControlResult::Failed);
            Input::Controlled { target, connection, result }
        });
    }

    fn cancel_attempt(&mut self, target: TargetName, connection: ConnectionId, attempt: AttemptId) {
        let protocol = self.protocol.clone();
        self.use_link(target.clone(), connection, |link| async move {
            let result = match link {
                Some(link) => control(protocol.cancel(&link, attempt)).await,
                None => None,
            };
            let result = result.map_or(ControlResult::Failed, |()| ControlResult::Cancelled);
            Input::Controlled { target, connection, result }
        });
    }

    fn close(&mut self, target: TargetName, connection: ConnectionId) {
        let Some(link) = self.links.remove(&(target, connection)) else { return };
        if let Some(task) = link.task {
            task.abort();
        }
    }

    fn reply(&mut self, requester: RequesterId, part: Part) {
        self.journal.record_part(&part);
        let Some(entry) = self.requesters.get_mut(&requester) else { return };
        entry.waiting.retain(|it| *it != part.attempt);
        deliver(&entry.parts, part);
        if entry.waiting.is_empty() {
            self.requesters.remove(&requester);
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
        let link = self.links.get(&key).map(|it| it.connection.clone());
        let task = self.spawn(work(link));
        if let Some(link) = self.links.get_mut(&key) {
            link.task = Some(task);
        }
    }

    /// Runs `work` and hands its result to the actor.
    fn spawn(&self, work: impl Future<Output = Input> + Send + 'static) -> AbortHandle {
        let events = self.events_tx.clone();
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
        Input::Finished { target, connection, .. }
        | Input::Opened { target, connection, .. }
        | Input::OpenFailed { target, connection }
        | Input::Controlled { target, connection, .. } => Some((target.clone(), *connection)),
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
