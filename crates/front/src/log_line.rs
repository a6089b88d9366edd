//! Log line of a request: the outcome, the values behind it, failed sends and
//! missing parts.

use std::{fmt::Write, sync::Arc};

use base::{CustomerName, TargetName, Time};
use forward::{Destination, gather::Schedule, route::RouteEntry};
use http::{HeaderMap, StatusCode};
use slog::{KV, Record, Serializer, info};

use crate::{
    SharedCx,
    answer::Refusal,
    in_force::InForce,
    messages::{Collected, Note, Outgoing},
};

/// Name of a request's customer; no field without one.
struct CustomerField(Option<CustomerName>);

impl KV for CustomerField {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        self.0.as_ref().map_or(Ok(()), |it| serializer.emit_str("customer", it))
    }
}

impl CustomerField {
    fn of(request: &Outgoing) -> CustomerField {
        CustomerField(request.customer.as_ref().map(|it| it.customer.name.clone()))
    }
}

/// Values of a request's log line, taken before the answer consumes them.
pub(crate) struct LogLine {
    id: String,
    route: Arc<str>,
    in_force: InForce,
    customer: CustomerField,
    verdict: &'static str,
    took_ms: f64,
    kind: &'static str,
    via: Option<TargetName>,
    parts: usize,
    missing: usize,
    extra_sends: u32,
    notes: String,
}

impl LogLine {
    pub(crate) fn new(
        cx: &SharedCx,
        entry: &RouteEntry,
        request: &Outgoing,
        schedule: Schedule,
        collected: &Collected,
    ) -> LogLine {
        LogLine {
            id: request_id(cx, &request.headers),
            route: entry.route.name.clone(),
            in_force: request.in_force,
            customer: CustomerField::of(request),
            verdict: collected.verdict.as_str(),
            took_ms: cx.clock.now().since(schedule.received).as_secs_f64() * 1_000.0,
            kind: kind(entry, request),
            via: collected.last_target.clone().filter(|_| request.relay.is_some()),
            parts: collected.parts.len(),
            missing: collected.missing,
            extra_sends: collected.extra_sends,
            notes: format_notes(&collected.notes),
        }
    }

    fn outcome(&self, status: StatusCode) -> &'static str {
        match status.as_u16() {
            200..=299 if self.missing > 0 => "answered in part",
            200..=299 => "answered",
            502 => "too few answered",
            503 => "not run",
            504 => "timed out",
            _ => "a target's failure",
        }
    }

    pub(crate) fn write(&self, cx: &SharedCx, status: StatusCode) {
        cx.metrics.record_request(self.kind, self.outcome(status), self.took_ms);
        if status.is_success() && self.missing > 0 {
            cx.metrics.record_missing_parts(self.missing);
        }
        info!(cx.log, "request: ended";
            self.in_force, &self.customer, "id" => &self.id, "route" => &*self.route,
            "status" => status.as_u16(), "verdict" => self.verdict, "took_ms" => self.took_ms as u64,
            "via" => self.via.as_deref(), "parts" => self.parts, "missing" => self.missing, "extra_sends" => self.extra_sends,
            "notes" => &self.notes);
    }
}

/// Returns how the request was served, for the metrics.
fn kind(entry: &RouteEntry, request: &Outgoing) -> &'static str {
    match &entry.route.destination {
        _ if request.relay.is_some() => "relayed",
        Destination::Gather(_) => "gather",
        Destination::Service(_) | Destination::Weighted(_) => "single",
    }
}

/// Logs that the caller closed its connection before its answer was ready.
pub(crate) fn caller_left(
    cx: &SharedCx,
    request: &Outgoing,
    received: Time,
    done: usize,
    notes: &[Note],
) {
    let after = cx.clock.now().since(received);
    info!(cx.log, "request: the caller left"; request.in_force, CustomerField::of(request), "id" => request_id(cx, &request.headers),
        "after_ms" => after.as_millis() as u64, "parts" => done, "notes" => format_notes(notes));
}

/// Logs a request that this tier refused.
pub(crate) fn refused(cx: &SharedCx, id: &str, refusal: &Refusal) {
    cx.metrics.record_refusal(refusal.reason);
    let customer = CustomerField(refusal.customer.clone());
    info!(cx.log, "request: refused"; cx.in_force(), customer, "id" => id, "status" => refusal.status.as_u16(),
        "reason" => refusal.reason, "inputs" => refusal.inputs.as_deref(),
        "retry_after_ms" => refusal.retry_after.map(|it| it.as_millis() as u64));
}

pub(crate) fn request_id(cx: &SharedCx, headers: &HeaderMap) -> String {
    let id = headers.get(&cx.cfg.names.request_id);
    id.and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
}

fn format_notes(notes: &[Note]) -> String {
    let mut text = String::new();
    for note in notes {
        let target = note.target.as_deref().unwrap_or("-");
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "{}/{target} {} at {} ms, sent {}; ",
            note.service,
            note.reason,
            note.after.as_millis(),
            note.sends
        );
    }
    text
}
