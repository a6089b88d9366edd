//! What targets state of themselves in the headers of their answers: load, warm-up, a
//! limit of requests, and that they leave; and what other hosts state: the version of their
//! configuration.

use std::time::Duration;

use forward::{
    placement::TargetKey,
    target::{ReportedLoad, SendResult},
};
use http::{HeaderMap, HeaderValue, StatusCode, response::Parts};
use slog::{debug, info};

use crate::{
    SharedCx,
    messages::{Job, relay},
};

/// Value by which a target says that it leaves.
const LEAVING: &[u8] = b"1";

/// Records the load and the warm-up that an answer states.
pub(super) fn record_state(cx: &SharedCx, job: &Job, headers: &HeaderMap) {
    let names = &cx.cfg.names;
    let now = cx.clock.now();
    let mut targets = cx.targets.borrow_mut();
    if let Some(load) = headers.get(&names.load).and_then(parse_load) {
        let (running, waiting) = load;
        targets.record_load(job.send.target, ReportedLoad { running, waiting, at: now });
    }
    let cold_ms = headers.get(&names.cold_ms).and_then(|it| it.to_str().ok()?.parse().ok());
    if let Some(cold_ms) = cold_ms {
        targets.record_cold(job.send.target, now, Duration::from_millis(cold_ms));
    }
}

/// Records whether the answer says that its target leaves. It counts as draining from
/// then on, whatever the source lists. Called with the head of an answer to a request to
/// the target. If the request is misdirected, another target answers.
pub(super) fn record_leaving(cx: &SharedCx, target: TargetKey, head: &Parts) {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let values = head.headers.get_all(&cx.cfg.names.leaving);
    let Some(first) = values.iter().next() else { return };
    if !values.iter().any(|it| it.as_bytes().trim_ascii() == LEAVING) {
        debug!(cx.log, "targets: stated leave is not understood"; "value" => ?first);
        return;
    }
    let now = cx.clock.now();
    let mut targets = cx.targets.borrow_mut();
    if targets.record_leaving(target, now) {
        let name = targets.target(target).map(|it| it.report.name.clone());
        info!(cx.log, "targets: leaving, by an answer"; "target" => name.as_deref());
    }
}

/// Records whether the answer names a limit of requests. Only an answer of the target
/// itself shows that it names none any more.
pub(super) fn record_limit(cx: &SharedCx, job: &Job, headers: &HeaderMap, result: SendResult) {
    let (now, target) = (cx.clock.now(), job.send.target);
    let mut targets = cx.targets.borrow_mut();
    let value = headers.get(&cx.cfg.names.request_limit);
    let limit = value.and_then(parse_limit);
    let is_changed = match (value, limit) {
        (_, Some(limit)) => targets.record_limit(target, limit, now),
        (Some(value), None) => {
            debug!(cx.log, "targets: stated limit is no number of requests"; "value" => ?value);
            false
        }
        (None, None) => {
            let is_own_answer = matches!(result, SendResult::Answered | SendResult::Shed);
            is_own_answer && targets.record_no_limit(&job.send, now)
        }
    };
    if is_changed {
        let name = targets.target(target).map(|it| it.report.name.clone());
        info!(cx.log, "targets: stated limit changed"; "target" => name.as_deref(),
            "requests_per_s" => limit);
    }
}

/// Records the version that the answer of another host names, and removes it there.
pub(super) fn record_version(cx: &SharedCx, host: TargetKey, headers: &mut HeaderMap) {
    relay::count_skipped(&cx.metrics, &cx.log, "answer", headers);
    let Some(version) = relay::take_version(headers) else { return };
    let address = cx.targets.borrow().target(host).map(|it| it.report.address);
    let Some(address) = address else { return };
    cx.peers.borrow_mut().record_version(address, version, cx.clock.now());
    if version > cx.version() {
        cx.shown_version.record(version);
    }
}

/// Returns the requests per second that a target takes.
fn parse_limit(value: &HeaderValue) -> Option<f64> {
    let limit: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (limit.is_finite() && limit >= 0.0).then_some(limit)
}

/// Returns the numbers of running and of waiting requests.
fn parse_load(value: &HeaderValue) -> Option<(u32, u32)> {
    let mut fields = value.to_str().ok()?.split(',');
    let running = fields.next()?.trim().parse().ok()?;
    let waiting = fields.next()?.trim().parse().ok()?;
    Some((running, waiting))
}
