//! One link to a peer: connecting, the handshake, and liveness checks.

use std::{
    cell::Cell,
    io,
    net::{IpAddr, SocketAddr},
    rc::{Rc, Weak},
    time::Duration,
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::io::{BufReader, BufWriter};
use slog::{Logger, info, warn};
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::watch,
    task,
    time::{Instant, sleep, timeout},
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{
    generated::peer_capnp::{gate, host},
    identity::Identity,
    wire::{self, message_limits},
};

/// Time limit for opening a link, including the handshake.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between liveness checks of a link.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time without an answer to a ping after which a link is suspect.
/// While a link is suspect, another link to the same peer is tried.
const MIN_SUSPECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time without an answer to a ping after which a link to a distant peer is
/// suspect, in round-trip times of the last ping.
const SUSPECT_RTTS: u32 = 3;

/// Time without an answer to a ping after which a link is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after its last use during which a link is still pinged, so that the
/// next call finds a working link.
const LIVENESS_CHECK_AFTER_USE: Duration = Duration::from_secs(2);

/// Time after its last use at which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

pub(super) struct Link {
    peer: SocketAddr,
    host: host::Client,
    calls_in_flight: Cell<u32>,
    last_use: Cell<Instant>,
    is_suspect: watch::Sender<bool>,
    closed: watch::Sender<bool>,
}

/// Reason why a link could not be opened.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(super) enum OpenError {
    #[error("connecting and handshake timed out")]
    Timeout,
    #[error("{0}")]
    Connect(io::Error),
    #[error("handshake failed: {0}")]
    Hello(capnp::Error),
}

/// Counts a call as in flight on a link until dropped.
pub(super) struct CallGuard(Rc<Link>);

impl Link {
    pub(super) async fn open(
        to: SocketAddr,
        source: IpAddr,
        identity: &Identity,
        log: &Logger,
    ) -> Result<Rc<Link>, OpenError> {
        let opened = timeout(OPEN_TIMEOUT, connect(to, source, identity));
        let (system, host) = opened.await.map_err(|_| OpenError::Timeout)??;
        let (closed, is_suspect) = (watch::Sender::new(false), watch::Sender::new(false));
        let (calls_in_flight, last_use) = (Cell::new(0), Cell::new(Instant::now()));
        let link = Rc::new(Link { peer: to, host, calls_in_flight, last_use, is_suspect, closed });
        let (watched, log) = (Rc::downgrade(&link), log.clone());
        task::spawn_local(async move {
            let reason = tokio::select! {
                reason = monitor_liveness(watched.clone()) => reason,
                _ = system => "connection closed",
            };
            info!(log, "link closed"; "to" => %to, "reason" => reason);
            if let Some(link) = watched.upgrade() {
                link.closed.send_replace(true);
            }
        });
        Ok(link)
    }

    pub(super) fn begin_call(self: &Rc<Self>) -> (host::Client, CallGuard) {
        self.calls_in_flight.set(self.calls_in_flight.get() + 1);
        self.last_use.set(Instant::now());
        (self.host.clone(), CallGuard(Rc::clone(self)))
    }

    /// Waits until the link is closed.
    pub(super) async fn closed(&self) {
        // `self` owns the sender, so waiting cannot fail.
        let _ = self.closed.subscribe().wait_for(|&closed| closed).await;
    }

    /// Returns a receiver that tells whether the link is suspect; its channel
    /// closes when the link is dropped.
    pub(super) fn subscribe_suspect(&self) -> watch::Receiver<bool> {
        self.is_suspect.subscribe()
    }

    pub(super) fn is_suspect(&self) -> bool {
        *self.is_suspect.borrow()
    }

    pub(super) fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    pub(super) fn is_idle(&self) -> bool {
        self.calls_in_flight.get() == 0
    }

    pub(super) fn last_use(&self) -> Instant {
        self.last_use.get()
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.calls_in_flight.set(self.0.calls_in_flight.get() - 1);
        self.0.last_use.set(Instant::now());
    }
}

type RpcJoinHandle = task::JoinHandle<Result<(), capnp::Error>>;

/// Task that runs the RPC system of a link; aborted on drop.
struct RpcTask(RpcJoinHandle);

impl Drop for RpcTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Future for RpcTask {
    type Output = ();

    fn poll(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<()> {
        std::pin::Pin::new(&mut self.0).poll(cx).map(|_| ())
    }
}

async fn connect(
    to: SocketAddr,
    source: IpAddr,
    identity: &Identity,
) -> Result<(RpcTask, host::Client), OpenError> {
    let stream = connect_from(source, to).await.map_err(OpenError::Connect)?;
    let (reader, writer) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        BufReader::new(reader.compat()),
        BufWriter::new(writer.compat_write()),
        rpc_twoparty_capnp::Side::Client,
        message_limits(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let gate: gate::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let system = RpcTask(task::spawn_local(system));
    let host = handshake(&gate, identity).await.map_err(OpenError::Hello)?;
    Ok((system, host))
}

/// Connects from `source`, the address by which peers know this host; routing
/// alone could choose a different source address.
async fn connect_from(source: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if source.is_ipv4() == to.is_ipv4() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn handshake(gate: &gate::Client, identity: &Identity) -> Result<host::Client, capnp::Error> {
    let challenge = gate.challenge_request().send().promise.await?;
    let nonce = challenge.get()?.get_nonce()?.to_vec();
    let mut req = gate.hello_request();
    wire::write_hello(req.get().init_hello(), &identity.claim(&nonce));
    let reply = req.send().promise.await?;
    reply.get()?.get_host()
}

/// Pings the link while calls are in flight and for `LIVENESS_CHECK_AFTER_USE`
/// after the last one. Returns the reason to close the link.
async fn monitor_liveness(link: Weak<Link>) -> &'static str {
    let mut suspect_timeout = MIN_SUSPECT_TIMEOUT;
    loop {
        sleep(LIVENESS_CHECK_INTERVAL).await;
        let Some(link) = link.upgrade() else { return "dropped" };
        let idle = if link.is_idle() { link.last_use().elapsed() } else { Duration::ZERO };
        if idle > IDLE_TIMEOUT {
            return "idle";
        }
        if idle > LIVENESS_CHECK_AFTER_USE {
            continue;
        }
        let sent = Instant::now();
        match timeout(PING_TIMEOUT, ping(&link, suspect_timeout)).await {
            Ok(Ok(())) => suspect_timeout = MIN_SUSPECT_TIMEOUT.max(sent.elapsed() * SUSPECT_RTTS),
            Ok(Err(_)) => return "ping failed",
            Err(_) => return "ping timed out",
        }
    }
}

/// Pings the peer. The link is suspect from `suspect_timeout` after the ping
/// until the answer arrives.
async fn ping(link: &Link, suspect_timeout: Duration) -> Result<(), capnp::Error> {
    let mut answer = link.host.ping_request().send().promise;
    if let Ok(answer) = timeout(suspect_timeout, &mut answer).await {
        return answer.map(|_| ());
    }
    link.is_suspect.send_replace(true);
    answer.await?;
    link.is_suspect.send_replace(false);
    Ok(())
}

impl Drop for Link {
    fn drop(&mut self) {
        self.closed.send_replace(true);
    }
}

impl Link {
    pub(super) fn warn_call_lost(&self, log: &Logger, what: &str) {
        warn!(log, "call lost"; "to" => %self.peer, "call" => what);
    }
}
