//! Asks targets whether they turned cold, while the source does not tell.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use forward::placement::{Send, TargetKey};
use http::{HeaderMap, HeaderValue, Method, Uri, header};
use tokio::sync::mpsc;

use super::{Job, Outgoing};
use crate::SharedCx;

/// Longest wait for an answer.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// A class and a send that stand for no request.
const HEALTH_CLASS: &str = "health";
const NO_SEND: u64 = 0;

/// Asks the targets that are due, on connections that idle; the answer's
/// headers are noted like any other's.
pub(crate) fn ask_health(cx: &SharedCx) {
    if cx.follows_targets.get() {
        return;
    }
    let due = cx.targets.borrow_mut().due_health_checks(cx.clock.now());
    for target in due {
        let Some(job) = job(cx, target) else { continue };
        if cx.pools.borrow_mut().assign(job).is_err() {
            slog::debug!(cx.log, "targets: no idle connection to ask health on");
        }
    }
}

fn job(cx: &SharedCx, target: TargetKey) -> Option<Job> {
    let mut targets = cx.targets.borrow_mut();
    let path = targets.health_path(target)?;
    let service = targets.service_of(target)?;
    let class = targets.class(&HEALTH_CLASS.into());
    let address = targets.target(target)?.report.address.to_string();
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, HeaderValue::from_str(&address).ok()?);
    let request = Outgoing {
        method: Method::GET,
        uri: path.parse::<Uri>().ok()?,
        headers,
        body: Bytes::new(),
        until: cx.clock.now() + HEALTH_TIMEOUT,
        is_idempotent: true,
        fingerprint: 0,
        // Nobody waits for it.
        is_answered: Cell::new(true),
    };
    let (tx, rx) = mpsc::unbounded_channel();
    // Kept open until the exchange has begun.
    tokio::task::spawn_local(async move {
        let mut rx = rx;
        rx.recv().await;
    });
    let send = Send { id: NO_SEND, target, service, class };
    Some(Job { request: Rc::new(request), send, index: 0, tx })
}
