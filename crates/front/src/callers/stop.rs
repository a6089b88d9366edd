//! Graceful shutdown: readiness is withdrawn at once, callers are served while
//! they still arrive, then idle connections are closed.

use std::{rc::Rc, time::Duration};

use forward::stopping::Stop;
use slog::info;
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};

use super::{
    connection,
    table::{Connections, SHUTDOWN_IDLE_TIMEOUT},
};
use crate::{
    SharedCx,
    socket::{LISTEN_BACKLOG, accept},
};

/// Time without new connections after which the balancer is taken to have
/// stopped sending callers. It may go on sending them while too few other hosts
/// are ready.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// Time between two checks of open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) async fn drain(cx: &SharedCx, callers: TcpListener, connections: &Rc<Connections>) {
    let begun = cx.clock.now();
    let stop = Stop::new(begun, cx.cfg.shutdown_timeout);
    cx.begin_stop(stop);
    info!(cx.log, "front: stopping"; "open_connections" => connections.len());
    let mut last_accepted = begun;
    while cx.clock.now() < stop.accepts_until() {
        tokio::select! {
            stream = accept(&cx.log, &callers) => {
                last_accepted = cx.clock.now();
                connection::spawn(cx, stream, connections);
            }
            () = sleep(POLL_INTERVAL) => {}
        }
        let now = cx.clock.now();
        if now < stop.serves_until() {
            continue;
        }
        connections.close_idle(now);
        let is_idle = connections.len() == 0 && cx.in_progress.count() == 0;
        if is_idle && now.since(last_accepted) > QUIET_TIME {
            break;
        }
    }
    // New connections are now refused at once, so that callers go to another host. Those
    // who have connected get an answer.
    accept_waiting(cx, &callers, connections).await;
    drop(callers);
    let closes_at = cx.clock.now() + SHUTDOWN_IDLE_TIMEOUT;
    let is_busy = || connections.len() > 0 || cx.in_progress.count() > 0;
    let mut is_over = false;
    while is_busy() && !is_over {
        // If the time passed while the process did not run, answers that are due are
        // sent in one more interval.
        let now = cx.clock.now();
        is_over = now >= stop.exits_at();
        if now < closes_at {
            connections.close_idle(now);
        } else {
            connections.close_gracefully();
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Accepts the connections that wait for it.
async fn accept_waiting(cx: &SharedCx, callers: &TcpListener, connections: &Rc<Connections>) {
    for _ in 0..LISTEN_BACKLOG {
        let Ok(stream) = timeout(Duration::ZERO, accept(&cx.log, callers)).await else { return };
        connection::spawn(cx, stream, connections);
    }
}
