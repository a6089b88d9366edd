//! Drives this host's fleet state machine: passes datagrams, link messages,
//! platform responses and the time to it, carries out its actions, and publishes
//! the resulting state to the entry and the owner.

mod platform_reader;
mod publish;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{HashMap, TargetName, Time};
use documents::model::OwnerMode;
use entry::{EntryCx, interfaces::Route};
use fleet::{Action, Input, Node};
use owner::OwnerHandle;
use peer::{DatagramSocket, Frame, Links};
use slog::{Logger, debug, info, warn};
use telemetry::{Metrics, metrics::label};
use tokio::sync::{mpsc, oneshot};

pub use self::platform_reader::PlatformReader;
use crate::{clock, owners::FleetOwners, view::SharedView};

/// Pause of the process above which it is reported to the node.
const MIN_REPORTED_PAUSE: Duration = Duration::from_millis(500);

/// Longest time between two wakeups of the driver.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Encoded frame received by datagram or over a link.
pub struct Delivery {
    pub from: SocketAddr,
    pub message: Vec<u8>,
}

/// Asks the driver to leave the fleet. It replies once all rights are released, so
/// that peers can take over.
pub struct Leave(pub oneshot::Sender<()>);

/// Dependencies of the driver.
pub struct DriverCx {
    pub datagrams: DatagramSocket,
    pub links: Links,
    pub owner: OwnerHandle,
    pub entry: EntryCx<SharedView, FleetOwners>,
    pub view: SharedView,
    pub owner_mode: OwnerMode,
    pub platform: PlatformReader,
    pub metrics: Metrics,
    pub log: Logger,
}

/// Receiving ends of the channels into the driver.
pub struct Inbox {
    pub deliveries: mpsc::Receiver<Delivery>,
    pub platform: mpsc::Receiver<Input>,
    pub leave: mpsc::Receiver<Leave>,
}

/// Passes received datagrams to the driver until its channel is closed.
pub async fn receive_datagrams(datagrams: DatagramSocket, tx: mpsc::Sender<Delivery>) {
    loop {
        let (from, message) = datagrams.receive().await;
        if tx.send(Delivery { from, message }).await.is_err() {
            return;
        }
    }
}

pub struct Driver {
    cx: DriverCx,
    node: Node,
    last_wakeup: Time,
    /// Whether routes or configuration changed since the last publication.
    is_changed: bool,
    routes: Arc<HashMap<TargetName, Route>>,
    published_at: Time,
    assigned_at: Time,
    leave_reply: Option<oneshot::Sender<()>>,
}

impl Driver {
    pub fn new(node: Node, cx: DriverCx) -> Self {
        Driver {
            cx,
            node,
            last_wakeup: clock::now(),
            is_changed: true,
            routes: Arc::default(),
            published_at: Time::ZERO,
            assigned_at: Time::ZERO,
            leave_reply: None,
        }
    }

    /// Runs the driver until the process ends.
    pub async fn run(mut self, mut inbox: Inbox) {
        loop {
            let wake = self.node.next_wakeup().min(clock::now() + MAX_TICK_INTERVAL);
            let input = tokio::select! {
                Some(it) = inbox.deliveries.recv() => self.decode(it.from, &it.message),
                Some(input) = inbox.platform.recv() => Some(input),
                Some(Leave(reply)) = inbox.leave.recv() => {
                    self.leave_reply = Some(reply);
                    Some(Input::Leave)
                }
                () = tokio::time::sleep_until(clock::to_instant(wake).into()) => None,
            };
            self.report_pause();
            self.step(input.unwrap_or(Input::Tick));
            self.publish_if_due();
        }
    }

    /// Reports a pause of the process to the node before pending input is
    /// handled, so that the node does not act on state from before the pause.
    fn report_pause(&mut self) {
        let now = clock::now();
        let pause = now.since(self.last_wakeup);
        self.last_wakeup = now;
        if pause > MIN_REPORTED_PAUSE {
            warn!(self.cx.log, "resumed after a pause of the process";
                "pause_ms" => pause.as_millis() as u64);
            self.step(Input::Resumed);
        }
    }

    fn step(&mut self, input: Input) {
        let actions = self.node.handle(clock::now(), input);
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.send(to, message),
            Action::ReadIndex { after, wait } => self.cx.platform.read_index(after, wait),
            Action::ReadDocument { key } => self.cx.platform.read_document(key),
            Action::ReadHosts => self.cx.platform.read_hosts(),
            Action::ConfigurationChanged => {
                let configuration = self.node.configuration();
                info!(self.cx.log, "configuration in force";
                    "revision" => configuration.revision.0);
                self.cx.metrics.revision_in_force.record(configuration.revision.0, &[]);
                self.cx.owner.configure(configuration);
                self.is_changed = true;
            }
            Action::SharesChanged => self.is_changed = true,
            Action::Left => {
                info!(self.cx.log, "left the fleet");
                if let Some(reply) = self.leave_reply.take() {
                    // The receiver is dropped when the grace period expires.
                    let _ = reply.send(());
                }
            }
        }
    }

    fn send(&self, to: SocketAddr, message: fleet::Message) {
        let is_bulk = message.is_bulk();
        let bytes = Frame::Fleet(message).encode();
        self.cx.metrics.control_bytes.add(bytes.len() as u64, &[label("direction", "out")]);
        if is_bulk || bytes.len() > peer::datagram::MAX_DATAGRAM_BYTES {
            self.cx.links.deliver(to, bytes);
        } else {
            self.cx.datagrams.send(to, &bytes);
        }
    }

    fn decode(&self, from: SocketAddr, bytes: &[u8]) -> Option<Input> {
        self.cx.metrics.control_bytes.add(bytes.len() as u64, &[label("direction", "in")]);
        match Frame::decode(bytes) {
            Ok(Frame::Fleet(message)) => Some(Input::Message { from, message }),
            Ok(Frame::Suspects(notes)) => {
                self.cx.entry.merge_suspect_notes(&notes);
                None
            }
            Err(err) => {
                debug!(self.cx.log, "message dropped"; "from" => %from, "error" => %err);
                None
            }
        }
    }
}
