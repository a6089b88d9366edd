//! One link to a peer: opening, the hello, and the watch for silence.

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
    server::message_limits,
    wire,
};

/// Longest time until a link must stand, hello included.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);

/// How often a link in use is looked at.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A ping unanswered for this long makes the link suspect: another link to the
/// same peer is tried.
const MIN_SUSPECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The same for a far peer, in round trips of the last ping.
const SUSPECT_RTTS: u32 = 3;

/// Longest silence after a ping on a link in use.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// A link is watched for this long after its last use, so that the next call
/// finds a good one.
const LIVENESS_CHECK_AFTER_USE: Duration = Duration::from_secs(2);

/// A link unused for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

pub(super) struct Link {
    peer: SocketAddr,
    host: host::Client,
    calls_in_flight: Cell<u32>,
    last_use: Cell<Instant>,
    is_suspect: watch::Sender<bool>,
    closed: watch::Sender<bool>,
}

/// Why a link did not open.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(super) enum OpenError {
    #[error("not reached in time")]
    Timeout,
    #[error("{0}")]
    Connect(io::Error),
    #[error("turned away: {0}")]
    Hello(capnp::Error),
}

/// Marks a call as under way on a link while it lives.
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
                _ = system => "the peer closed it",
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

    /// Returns once the link is closed.
    pub(super) async fn closed(&self) {
        // The sender lives in self, so waiting cannot fail.
        let _ = self.closed.subscribe().wait_for(|&closed| closed).await;
    }

    /// Changes of whether the link may have fallen silent; ends with the link.
    pub(super) fn suspicion(&self) -> watch::Receiver<bool> {
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

/// Aborts the link's system when the link is given up.
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

/// Connects from the address by which peers know this host, which need not be
/// the one that the routes would choose.
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

/// Pings the link while calls are under way and a little longer; returns why it must close.
async fn monitor_liveness(link: Weak<Link>) -> &'static str {
    let mut suspect_timeout = MIN_SUSPECT_TIMEOUT;
    loop {
        sleep(LIVENESS_CHECK_INTERVAL).await;
        let Some(link) = link.upgrade() else { return "it was dropped" };
        let idle = if link.is_idle() { link.last_use().elapsed() } else { Duration::ZERO };
        if idle > IDLE_TIMEOUT {
            return "it was idle";
        }
        if idle > LIVENESS_CHECK_AFTER_USE {
            continue;
        }
        let sent = Instant::now();
        match timeout(PING_TIMEOUT, ping(&link, suspect_timeout)).await {
            Ok(Ok(())) => suspect_timeout = MIN_SUSPECT_TIMEOUT.max(sent.elapsed() * SUSPECT_RTTS),
            Ok(Err(_)) => return "a ping failed",
            Err(_) => return "it went silent",
        }
    }
}

/// Pings the peer; the link is suspect from `suspect_timeout` until the answer.
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
