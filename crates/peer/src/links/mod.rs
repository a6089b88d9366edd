//! Client side of links. One link per peer is opened on demand, closed when
//! idle, and replaced when it no longer responds.

mod calls;
mod link;
mod pending;
mod table;

use std::{
    io,
    net::{IpAddr, SocketAddr},
    thread,
};

use base::{AttemptId, Missing, Outcome, PoolName, RequestId};
use policy::message::{
    Batch, Part, PartResult, Redemption, RedemptionReply, Subquery, TargetStatus,
};
use slog::Logger;
use tokio::{
    sync::{mpsc, oneshot},
    task,
};

use self::table::LinkTable;
use crate::identity::Identity;

/// Capacity of the command queue of the link thread.
const COMMAND_BUFFER: usize = 16_384;

/// Reason why a call to another host got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LinkError {
    #[error("no link could be opened; nothing was sent")]
    NotSent,
    #[error("the call was sent and no answer came")]
    NoAnswer,
}

/// Handle to the thread that runs this host's outgoing links.
#[derive(Clone)]
pub struct Links {
    tx: mpsc::Sender<Command>,
}

enum Command {
    Run { to: SocketAddr, batch: Batch, parts: mpsc::Sender<Part> },
    Cancel { to: SocketAddr, request: RequestId, attempts: Vec<AttemptId> },
    Status { to: SocketAddr, pool: PoolName, reply: oneshot::Sender<Vec<TargetStatus>> },
    Redeem { to: SocketAddr, redemption: Redemption, reply: Reply<RedemptionReply> },
    Deliver { to: SocketAddr, message: Vec<u8> },
}

type Reply<T> = oneshot::Sender<Result<T, LinkError>>;

impl Links {
    /// Starts the link thread; all outgoing links stay on it because capnp-rpc
    /// objects are not `Send`. Links connect from the address `source`.
    pub fn start(identity: Identity, source: IpAddr, log: Logger) -> io::Result<Links> {
        let (tx, rx) = mpsc::channel(COMMAND_BUFFER);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new().name("peer-links".to_owned()).spawn(move || {
            let local = task::LocalSet::new();
            let table = LinkTable::new(identity, source, log);
            local.block_on(&runtime, serve_commands(rx, table));
        })?;
        Ok(Links { tx })
    }

    /// Runs a batch on another host and sends exactly one part for each
    /// subquery to `parts`. Subqueries whose part is lost fail with
    /// `OwnerUnreachable`.
    pub fn run(&self, to: SocketAddr, batch: Batch, parts: mpsc::Sender<Part>) {
        let Err(err) = self.tx.try_send(Command::Run { to, batch, parts }) else { return };
        let Command::Run { batch, parts, .. } = err.into_inner() else { return };
        for subquery in &batch.subqueries {
            // A full channel means that the receiver has stopped reading.
            let _ = parts.try_send(unreachable_part(subquery, Outcome::NotRun));
        }
    }

    pub fn cancel(&self, to: SocketAddr, request: RequestId, attempts: Vec<AttemptId>) {
        // A lost cancellation wastes work but does not affect results.
        let _ = self.tx.try_send(Command::Cancel { to, request, attempts });
    }

    /// Returns the status of the host's targets in a pool; empty if the host is
    /// unreachable.
    pub async fn status(&self, to: SocketAddr, pool: PoolName) -> Vec<TargetStatus> {
        let (reply, rx) = oneshot::channel();
        if self.tx.try_send(Command::Status { to, pool, reply }).is_err() {
            return Vec::new();
        }
        rx.await.unwrap_or_default()
    }

    pub async fn redeem(
        &self,
        to: SocketAddr,
        redemption: Redemption,
    ) -> Result<RedemptionReply, LinkError> {
        let (reply, rx) = oneshot::channel();
        let command = Command::Redeem { to, redemption, reply };
        self.tx.try_send(command).map_err(|_| LinkError::NotSent)?;
        rx.await.unwrap_or(Err(LinkError::NoAnswer))
    }

    /// Sends a frame that is too large for a datagram. Best effort.
    pub fn deliver(&self, to: SocketAddr, message: Vec<u8>) {
        let _ = self.tx.try_send(Command::Deliver { to, message });
    }
}

fn unreachable_part(subquery: &Subquery, outcome: Outcome) -> Part {
    Part {
        attempt: subquery.attempt,
        shard: subquery.shard,
        target: subquery.target.clone(),
        result: PartResult::Failed { missing: Missing::OwnerUnreachable, outcome },
        queued: Default::default(),
        service_time: Default::default(),
        status: None,
    }
}

async fn serve_commands(mut rx: mpsc::Receiver<Command>, table: LinkTable) {
    while let Some(command) = rx.recv().await {
        let table = table.clone();
        task::spawn_local(serve_command(table, command));
    }
}

async fn serve_command(table: LinkTable, command: Command) {
    match command {
        Command::Run { to, batch, parts } => calls::run(&table, to, batch, parts).await,
        Command::Cancel { to, request, attempts } => {
            calls::cancel(&table, to, request, &attempts).await;
        }
        Command::Status { to, pool, reply } => {
            let _ = reply.send(calls::status(&table, to, &pool).await.unwrap_or_default());
        }
        Command::Redeem { to, redemption, reply } => {
            let _ = reply.send(calls::redeem(&table, to, &redemption).await);
        }
        Command::Deliver { to, message } => calls::deliver(&table, to, &message).await,
    }
}
