//! Entry point of the forwarding tier on one host.

use std::{io, rc::Rc};

use slog::info;
use telemetry::buffered::{FLUSH_INTERVAL, LogBuffer};
use tokio::task::spawn_local;

use crate::{
    SharedCx, callers,
    follow::{Feed, Source, follow},
};

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
    callers::serve(cx).await
}

async fn flush(log: LogBuffer) {
    let mut ticks = tokio::time::interval(FLUSH_INTERVAL);
    loop {
        ticks.tick().await;
        log.flush();
    }
}
