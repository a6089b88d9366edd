//! Actor that passes inputs to the state machine and carries out its actions.

mod connections;

use std::{sync::Arc, time::Duration};

use base::{AttemptId, HashMap, PoolName, RequestId, Share, TargetName, Time};
use documents::Configuration;
use policy::{
    message::{Batch, Part, TargetStatus},
    owner::{Action, Input, OwnerCore, RequesterId},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::Instant,
};

use self::connections::ConnectionTable;
use crate::{cx::OwnerCx, protocol::TargetProtocol, recorder::Recorder};

/// Time between ticks while work is queued or in flight.
const BUSY_TICK: Duration = Duration::from_millis(5);
/// Time between ticks while there is no work.
const IDLE_TICK: Duration = Duration::from_millis(50);
/// Capacity of the channel for results of connection tasks.
const MAX_QUEUED_INPUTS: usize = 1_024;

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
    clock: fn() -> Time,
    recorder: Recorder,
    commands: mpsc::Receiver<Command>,
    configuration: watch::Receiver<Arc<Configuration>>,
    shares: watch::Receiver<Vec<(TargetName, Share)>>,
    inputs: mpsc::Receiver<Input>,
    connections: ConnectionTable<P>,
    requesters: HashMap<RequesterId, Requester>,
    next_requester: u64,
    drain_waiters: Vec<oneshot::Sender<()>>,
    next_tick: Instant,
    actions: Vec<Action>,
}

/// Receiver of the parts of one batch.
struct Requester {
    request: RequestId,
    parts: mpsc::Sender<Part>,
    waiting: Vec<AttemptId>,
    /// Whether its work is cancelled once the receiver is dropped.
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
        let (inputs_tx, inputs) = mpsc::channel(MAX_QUEUED_INPUTS);
        Actor {
            core: OwnerCore::new(cx.policy.clone(), cx.seed),
            clock: cx.clock,
            recorder: Recorder::new(&cx),
            commands,
            configuration,
            shares,
            inputs,
            connections: ConnectionTable::new(protocol, cx.clock, inputs_tx),
            requesters: HashMap::default(),
            next_requester: 0,
            drain_waiters: Vec::new(),
            next_tick: Instant::now(),
            actions: Vec::new(),
        }
    }

    /// Runs until every handle is dropped.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                // Configuration and shares come first, because they must apply
                // to commands that were sent after them.
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
                Some(input) = self.inputs.recv() => self.handle(input),
                command = self.commands.recv() => {
                    let Some(command) = command else { return };
                    self.handle_command(command);
                }
            }
            if !self.drain_waiters.is_empty() && self.core.is_idle() {
                self.notify_drained();
            }
        }
    }

    fn notify_drained(&mut self) {
        for reply in self.drain_waiters.drain(..) {
            let _ = reply.send(());
        }
    }

    fn handle_command(&mut self, command: Command) {
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
                self.drain_waiters.push(reply);
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
        for input in self.cancellations_for_closed_receivers() {
            self.handle(input);
        }
        self.handle(Input::Tick);
        let interval = if self.core.is_idle() { IDLE_TICK } else { BUSY_TICK };
        self.next_tick = Instant::now() + interval;
    }

    /// Returns cancellations of the work whose receivers were dropped.
    fn cancellations_for_closed_receivers(&self) -> Vec<Input> {
        let requesters = self.requesters.values();
        let gone = requesters.filter(|it| it.is_cancellable && it.parts.is_closed());
        let cancel =
            |it: &Requester| Input::Cancel { request: it.request, attempts: it.waiting.clone() };
        gone.map(cancel).collect()
    }

    fn handle(&mut self, input: Input) {
        self.connections.clear_finished_task(&input);
        let now = (self.clock)();
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now, input, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Open { target, connection, address } => {
                self.connections.open(target, connection, address);
            }
            Action::Send { target, connection, job, valid_until } => {
                self.connections.send(target, connection, job, valid_until);
            }
            Action::Probe { target, connection } => self.connections.probe(target, connection),
            Action::CancelAttempt { target, connection, attempt } => {
                self.connections.cancel_attempt(target, connection, attempt);
            }
            Action::Close { target, connection } => self.connections.close(target, connection),
            Action::Reply { requester, part } => self.reply(requester, part),
            Action::Emit { target, event } => self.recorder.record_event(&target, &event),
        }
    }

    fn reply(&mut self, requester: RequesterId, part: Part) {
        self.recorder.record_part(&part);
        let Some(entry) = self.requesters.get_mut(&requester) else { return };
        entry.waiting.retain(|it| *it != part.attempt);
        deliver(&entry.parts, part);
        if entry.waiting.is_empty() {
            self.requesters.remove(&requester);
        }
    }
}

/// Sends a part without blocking. If the channel is full, a task waits for
/// space.
pub(crate) fn deliver(parts: &mpsc::Sender<Part>, part: Part) {
    let Err(mpsc::error::TrySendError::Full(part)) = parts.try_send(part) else { return };
    let parts = parts.clone();
    tokio::spawn(async move {
        let _ = parts.send(part).await;
    });
}
