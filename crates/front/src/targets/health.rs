//! Health requests, which learn from targets whether they turned cold while the
//! source is lost.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use forward::placement::{Send, TargetKey};
use http::{HeaderMap, HeaderValue, Method, Uri, header};
use tokio::sync::mpsc;

use crate::{
    SharedCx,
    messages::{Job, Outgoing},
};

const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Class and send ID of health requests, which belong to no caller's request.
const HEALTH_CLASS: &str = "health";
const HEALTH_SEND_ID: u64 = 0;

/// Sends health requests to the targets that are due, on idle connections. The
/// headers of their answers are recorded like those of any other answer.
pub(crate) fn check_health(cx: &SharedCx) {
    if cx.follows_targets.get() {
        return;
    }
    let due = cx.targets.borrow_mut().due_health_checks(cx.clock.now());
    for target in due {
        let Some(job) = job(cx, target) else { continue };
        if cx.pools.borrow_mut().assign(job).is_err() {
            slog::debug!(cx.log, "targets: no idle connection for a health request");
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
        memory: None,
        deadline: cx.clock.now() + HEALTH_TIMEOUT,
        is_idempotent: true,
        in_force: cx.in_force(),
        fingerprint: 0,
        customer: None,
        relay: None,
        // No caller waits for the answer.
        is_answered: Cell::new(true),
    };
    let (tx, rx) = mpsc::unbounded_channel();
    // Keeps the channel open, since a job whose channel is closed is not sent.
    tokio::task::spawn_local(async move {
        let mut rx = rx;
        rx.recv().await;
    });
    let send = Send { id: HEALTH_SEND_ID, target, service, class };
    Some(Job { request: Rc::new(request), send, index: 0, tx })
}
