//! Entry point of the forwarding tier on one host: starts its parts and keeps them up to
//! date.

use std::{future::Future, io, pin::pin, rc::Rc, time::Duration};

use slog::info;
use telemetry::buffered::{FLUSH_INTERVAL, LogBuffer};
use tokio::{
    signal::unix::{SignalKind, signal},
    task::spawn_local,
    time::{MissedTickBehavior, interval},
};

use crate::{
    SharedCx,
    callers::{self, Connections},
    customers,
    feeds::{Feed, Source},
    follow::follow,
    isolation, pages, peer_server, peers,
    socket::{self, listen},
    state, targets,
};

/// Time between two checks of callers' timeouts, waiting requests and targets.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Sweeps from one check of the pace of bodies and answers to the next.
const SWEEPS_PER_PACE_CHECK: u32 = 10;

/// Sweeps from one choice of senders to the next.
const SWEEPS_PER_CHOICE: u32 = 5;

/// Follows `source` and serves callers until SIGTERM or SIGINT, then shuts down
/// gracefully.
pub async fn run(cx: SharedCx, source: impl Source + 'static, log: LogBuffer) -> io::Result<()> {
    if cx.cfg.peer_keys.is_empty() {
        info!(cx.log, "front: digests and state of other hosts are not authenticated");
    }
    let source = Rc::new(source);
    spawn_local(flush(log.clone()));
    spawn_local(follow(cx.clone(), source.clone(), Feed::Operations));
    spawn_local(follow(cx.clone(), source, Feed::Targets));
    serve(cx).await
}

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
    let listener = listen(cx.cfg.callers)?;
    let connections = Rc::new(Connections::new(&cx));
    let readiness = listen(cx.cfg.readiness)?;
    spawn_local(pages::serve(cx.clone(), readiness, "readiness", pages::readiness));
    if let Some(addr) = cx.cfg.metrics {
        spawn_local(pages::serve(cx.clone(), listen(addr)?, "metrics", pages::metrics));
    }
    spawn_local(peers::run(cx.clone()));
    spawn_local(peer_server::serve(cx.clone(), listen(cx.cfg.peers)?));
    spawn_local(state::learn(cx.clone()));
    spawn_local(sweep(cx.clone(), connections.clone()));
    info!(cx.log, "front: serving"; "callers" => %cx.cfg.callers);
    let mut stopped = pin!(stopped);
    loop {
        tokio::select! {
            () = stopped.as_mut() => break,
            stream = socket::accept(&cx.log, &listener) => callers::spawn(&cx, stream, &connections),
        }
    }
    callers::drain(&cx, listener, &connections).await;
    info!(cx.log, "front: stopped"; "open_connections" => connections.len());
    Ok(())
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
        customers::log_change(&cx);
        connections.close_expired(cx.clock.now(), &cx.limits.get());
        if tick.is_multiple_of(SWEEPS_PER_PACE_CHECK) {
            cx.memory.evict_slow(cx.limits.get().idle_timeout);
        }
        cx.sweep();
        targets::connect_ahead(&cx);
        targets::check_health(&cx);
        isolation::update(&cx);
    }
}

async fn flush(log: LogBuffer) {
    let mut ticks = interval(FLUSH_INTERVAL);
    loop {
        ticks.tick().await;
        log.flush();
    }
}
