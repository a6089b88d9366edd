//! Server side of links: accepts connections, checks that each peer belongs to
//! the fleet, and passes the peer's calls to the [`HostService`].

mod gate;
mod host;

use std::{cell::Cell, future::Future, io, net::SocketAddr, rc::Rc, thread};

use base::{AttemptId, PoolName, RequestId};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::io::{BufReader, BufWriter};
use policy::message::{Batch, Part, Redemption, RedemptionReply, TargetStatus};
use slog::{Logger, info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task,
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use self::gate::Gate;
use crate::{generated::peer_capnp, identity::Identity, wire::message_limits};

/// Maximum number of accepted links that are open at once.
const MAX_LINKS: usize = 4_096;

/// Handles the calls that peers make to this host.
pub trait HostService: Clone + Send + 'static {
    /// Runs a batch and sends exactly one part for each subquery to `parts`.
    fn run(&self, batch: Batch, parts: mpsc::Sender<Part>);
    fn cancel(&self, request: RequestId, attempts: Vec<AttemptId>);
    fn status(&self, pool: PoolName) -> impl Future<Output = Vec<TargetStatus>> + Send;
    fn redeem(&self, redemption: Redemption) -> impl Future<Output = RedemptionReply> + Send;
    /// Handles a frame sent over a link; `from` is the address on which the
    /// sender listens for other hosts.
    fn deliver(&self, from: SocketAddr, message: Vec<u8>);
}

/// Starts a thread that serves peers; all links stay on it because capnp-rpc
/// objects are not `Send`.
pub fn serve<S: HostService>(
    listener: std::net::TcpListener,
    identity: Identity,
    service: S,
    log: Logger,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("peer-server".to_owned()).spawn(move || {
        let local = task::LocalSet::new();
        local.block_on(&runtime, accept_links(listener, identity, service, log));
    })?;
    Ok(())
}

async fn accept_links<S: HostService>(
    listener: std::net::TcpListener,
    identity: Identity,
    service: S,
    log: Logger,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(it) => it,
        Err(err) => {
            slog::error!(log, "cannot listen for links"; "error" => %err);
            return;
        }
    };
    let open_links = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            // Accepting fails, for example, when file descriptors run out; a
            // short wait lets other links close.
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        if open_links.get() >= MAX_LINKS {
            warn!(log, "link refused, too many are open"; "from" => %address);
            continue;
        }
        open_links.set(open_links.get() + 1);
        let gate = Gate::new(identity.clone(), service.clone(), log.clone());
        let (open_links, log) = (Rc::clone(&open_links), log.clone());
        task::spawn_local(async move {
            if let Err(err) = serve_link(stream, gate).await {
                info!(log, "link failed"; "from" => %address, "error" => %err);
            }
            open_links.set(open_links.get() - 1);
        });
    }
}

async fn serve_link<S: HostService>(stream: TcpStream, gate: Gate<S>) -> Result<(), capnp::Error> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        BufReader::new(reader.compat()),
        BufWriter::new(writer.compat_write()),
        rpc_twoparty_capnp::Side::Server,
        message_limits(),
    );
    let client: peer_capnp::gate::Client = capnp_rpc::new_client(gate);
    RpcSystem::new(Box::new(network), Some(client.client)).await
}
