//! Graceful shutdown: readiness is withdrawn at once, callers are served while
//! they still arrive, then idle connections are closed.

use std::{rc::Rc, time::Duration};

use slog::info;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

use super::{
    accept,
    connection::{self, Connections},
};
use crate::SharedCx;

/// Shortest time for which callers are served after the stop signal, but at most
/// half of the shutdown timeout. The balancer needs it to detect that this host
/// is not ready.
const MIN_SERVE_TIME: Duration = Duration::from_millis(3_000);

/// Time without new connections after which the balancer is taken to have
/// stopped sending callers. It may go on sending them while too few other hosts
/// are ready.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// Time reserved at the end of the shutdown for the last answers. New
/// connections are accepted at most until twice this time is left.
const RESERVED_TIME: Duration = Duration::from_millis(900);

/// Time between two checks of open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(super) async fn drain(cx: &SharedCx, callers: TcpListener, connections: &Rc<Connections>) {
    cx.is_stopping.set(true);
    info!(cx.log, "front: stopping"; "open_connections" => connections.len());
    let started = Instant::now();
    let min_serve_time = MIN_SERVE_TIME.min(cx.cfg.shutdown_timeout / 2);
    let accept_until = started + cx.cfg.shutdown_timeout.saturating_sub(RESERVED_TIME * 2);
    let mut last_accepted = started;
    while Instant::now() < accept_until {
        tokio::select! {
            stream = accept(cx, &callers) => {
                last_accepted = Instant::now();
                connection::spawn(cx, stream, connections);
            }
            () = sleep(POLL_INTERVAL) => {}
        }
        if started.elapsed() < min_serve_time {
            continue;
        }
        connections.close_idle(cx.clock.now());
        let is_idle = connections.len() == 0 && cx.in_progress.count() == 0;
        if is_idle && last_accepted.elapsed() > QUIET_TIME {
            return;
        }
    }
    // New connections are now refused at once, so that callers go to another
    // host.
    drop(callers);
    let close_until = started + cx.cfg.shutdown_timeout.saturating_sub(RESERVED_TIME);
    let is_busy = || connections.len() > 0 || cx.in_progress.count() > 0;
    while is_busy() && Instant::now() < close_until {
        connections.close_gracefully();
        sleep(POLL_INTERVAL).await;
    }
}
