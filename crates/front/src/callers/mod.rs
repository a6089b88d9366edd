//! Connections from callers: accepting, timeouts and graceful shutdown.

pub(crate) mod answer;
mod connection;
mod head;
pub(crate) mod log_line;
mod pages;
pub(crate) mod read;
pub(crate) mod refusal;
pub(crate) mod request;
mod stop;

use std::{future::Future, io, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use slog::{info, warn};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    signal::unix::{SignalKind, signal},
    time::{MissedTickBehavior, interval, sleep},
};

use self::connection::Connections;
use crate::{SharedCx, isolation, peers, state, targets};

/// Limit on the fields in a request's head, beside the configured limit on its bytes.
pub(crate) const MAX_HEADER_FIELDS: usize = 1_000;

/// Limit on connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time between two checks of callers' timeouts, waiting requests and targets.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Sweeps from one choice of senders to the next.
const SWEEPS_PER_CHOICE: u32 = 5;

/// Serves callers until SIGTERM or SIGINT, then shuts down gracefully.
pub async fn serve(cx: SharedCx) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let stopped = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    serve_until(cx, stopped).await
}

/// Serves callers until `stopped` completes, then shuts down gracefully.
pub async fn serve_until(cx: SharedCx, stopped: impl Future<Output = ()>) -> io::Result<()> {
    let callers = listen(cx.cfg.callers)?;
    let connections = Rc::new(Connections::default());
    let readiness = listen(cx.cfg.readiness)?;
    tokio::task::spawn_local(pages::serve(cx.clone(), readiness, pages::readiness));
    if let Some(addr) = cx.cfg.metrics {
        tokio::task::spawn_local(pages::serve(cx.clone(), listen(addr)?, pages::metrics));
    }
    tokio::task::spawn_local(peers::run(cx.clone()));
    tokio::task::spawn_local(state::serve(cx.clone(), listen(cx.cfg.peers)?));
    tokio::task::spawn_local(state::learn(cx.clone()));
    tokio::task::spawn_local(sweep(cx.clone(), connections.clone()));
    info!(cx.log, "front: serving"; "callers" => %cx.cfg.callers);
    let mut stopped = pin!(stopped);
    loop {
        tokio::select! {
            () = stopped.as_mut() => break,
            stream = accept(&cx, &callers) => connection::spawn(&cx, stream, &connections),
        }
    }
    stop::drain(&cx, callers, &connections).await;
    info!(cx.log, "front: stopped"; "open_connections" => connections.len());
    Ok(())
}

/// Returns the next connection. On an error, such as a lack of file
/// descriptors, waits for a short time and retries.
pub(crate) async fn accept(cx: &SharedCx, listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(err) => warn!(cx.log, "front: cannot accept a connection"; "error" => %err),
        }
        sleep(ACCEPT_RETRY_PAUSE).await;
    }
}

async fn sweep(cx: SharedCx, connections: Rc<Connections>) {
    let mut ticks = interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for tick in 0_u32.. {
        ticks.tick().await;
        cx.change_logs.record_running(cx.clock.now());
        if tick.is_multiple_of(SWEEPS_PER_CHOICE) {
            cx.update_senders();
        }
        connections.close_expired(cx.clock.now(), &cx.limits.get());
        cx.sweep();
        targets::connect_ahead(&cx);
        targets::check_health(&cx);
        isolation::update(&cx);
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}
