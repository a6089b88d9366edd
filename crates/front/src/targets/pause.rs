//! Pauses that targets ask for with an answer that turns a request away.

use std::time::Duration;

use forward::{placement::Send, target::MAX_PAUSE};
use http::{HeaderMap, HeaderValue, StatusCode, header, response};
use slog::{debug, info};

use crate::SharedCx;

/// Records whether the target, which turned a request away, asks for a pause. Called
/// with the head of an answer to that request, whatever becomes of its body.
pub(super) fn record_pause(cx: &SharedCx, send: &Send, head: &response::Parts) {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let Some(pause) = stated_pause(cx, &head.headers) else { return };
    let is_new = cx.targets.borrow_mut().record_pause(send.target, pause, cx.clock.now());
    if is_new {
        let targets = cx.targets.borrow();
        let name = targets.target(send.target).map(|it| it.report.name.clone());
        info!(cx.log, "targets: asks for a pause"; "target" => name.as_deref(),
            "pause_ms" => pause.as_millis() as u64);
    }
    cx.wake_paused(send.service);
}

/// Returns the longest pause that the headers name, in seconds, if any does. A date is not
/// understood, as clocks differ.
fn stated_pause(cx: &SharedCx, headers: &HeaderMap) -> Option<Duration> {
    let pause = headers.get_all(header::RETRY_AFTER).iter().filter_map(parse_pause).max();
    if pause.is_none_or(|it| it.is_zero()) {
        for value in headers.get_all(header::RETRY_AFTER) {
            debug!(cx.log, "targets: a stated pause asks for none"; "value" => ?value);
        }
    }
    pause.filter(|it| !it.is_zero())
}

/// Returns the longest of the pauses in a value, which may be a list, up to the limit;
/// `None` if none of them is a number of seconds.
fn parse_pause(value: &HeaderValue) -> Option<Duration> {
    let seconds = value.to_str().ok()?.split(',').filter_map(|it| it.trim().parse::<f64>().ok());
    let pauses = seconds.filter(|it| *it >= 0.0);
    pauses.map(|it| Duration::try_from_secs_f64(it).map_or(MAX_PAUSE, |it| it.min(MAX_PAUSE))).max()
}
