//! A planned stop: not ready at once, serving while callers still come, then
//! closing what is idle.

use std::{rc::Rc, time::Duration};

use slog::info;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

use super::{connection::Connections, take};
use crate::SharedCx;

/// Callers still come until the balancer has noticed that this host is not
/// ready.
const ACCEPT_FOR: Duration = Duration::from_millis(3_200);

/// Kept before the limit for the last answers to go out.
const RESERVE: Duration = Duration::from_millis(500);

/// Time between two looks at what is still open.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(super) async fn drain(cx: &SharedCx, callers: TcpListener, connections: &Rc<Connections>) {
    cx.is_stopping.set(true);
    info!(cx.log, "front: stopping"; "open_connections" => connections.len());
    let started = Instant::now();
    while started.elapsed() < ACCEPT_FOR.min(cx.cfg.stop_within / 2) {
        tokio::select! {
            accepted = callers.accept() => take(cx, accepted, connections),
            () = sleep(POLL_INTERVAL) => {}
        }
    }
    // Who still comes is refused at once and goes to another host.
    drop(callers);
    let end = started + cx.cfg.stop_within.saturating_sub(RESERVE);
    while connections.len() > 0 && Instant::now() < end {
        connections.end_gracefully();
        sleep(POLL_INTERVAL).await;
    }
}
