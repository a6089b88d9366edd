//! A planned stop: not ready at once, serving while callers still come, then
//! closing what is idle.

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

/// Callers still come at least until the balancer has noticed that this host
/// is not ready.
const SERVE_FOR: Duration = Duration::from_millis(3_000);

/// The balancer has noticed when nobody came for this long. It may send callers
/// on, when too few other hosts are ready.
const QUIET_FOR: Duration = Duration::from_millis(300);

/// Kept before the limit for the last answers to go out.
const RESERVE: Duration = Duration::from_millis(900);

/// Time between two looks at what is still open.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(super) async fn drain(cx: &SharedCx, callers: TcpListener, connections: &Rc<Connections>) {
    cx.is_stopping.set(true);
    info!(cx.log, "front: stopping"; "open_connections" => connections.len());
    let started = Instant::now();
    let serve_for = SERVE_FOR.min(cx.cfg.shutdown_timeout / 2);
    let last_call = started + cx.cfg.shutdown_timeout.saturating_sub(RESERVE * 2);
    let mut last_came = started;
    while Instant::now() < last_call {
        tokio::select! {
            stream = accept(cx, &callers) => {
                last_came = Instant::now();
                connection::spawn(cx, stream, connections);
            }
            () = sleep(POLL_INTERVAL) => {}
        }
        if started.elapsed() < serve_for {
            continue;
        }
        connections.end_idle(cx.clock.now());
        if connections.len() == 0 && last_came.elapsed() > QUIET_FOR {
            return;
        }
    }
    // Who still comes is refused at once and goes to another host.
    drop(callers);
    let end = started + cx.cfg.shutdown_timeout.saturating_sub(RESERVE);
    while connections.len() > 0 && Instant::now() < end {
        connections.end_gracefully();
        sleep(POLL_INTERVAL).await;
    }
}
