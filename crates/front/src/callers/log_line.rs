//! The log line of one request: what was decided, on what grounds, and what
//! went otherwise than planned.

use std::{fmt::Write, sync::Arc};

use base::Time;
use forward::{gather::Schedule, route::RouteEntry};
use http::{HeaderMap, StatusCode};
use slog::info;

use super::refusal::Refusal;
use crate::{
    SharedCx,
    scatter::{Collected, Note},
    targets::Outgoing,
};

/// Facts of a request, gathered before its answer is made of them.
pub(super) struct Line {
    id: String,
    route: Arc<str>,
    version: u64,
    verdict: &'static str,
    took_ms: u64,
    parts: usize,
    missing: usize,
    extra_sends: u32,
    notes: String,
}

impl Line {
    pub(super) fn new(
        cx: &SharedCx,
        entry: &RouteEntry,
        request: &Outgoing,
        schedule: Schedule,
        collected: &Collected,
    ) -> Line {
        Line {
            id: request_id(cx, &request.headers),
            route: entry.route.name.clone(),
            version: entry.version,
            verdict: collected.verdict.as_str(),
            took_ms: cx.clock.now().since(schedule.received).as_millis() as u64,
            parts: collected.parts.len(),
            missing: collected.missing,
            extra_sends: collected.extra_sends,
            notes: compact(&collected.notes),
        }
    }

    pub(super) fn write(&self, cx: &SharedCx, status: StatusCode) {
        info!(cx.log, "request: ended";
            "id" => &self.id, "route" => &*self.route, "version" => self.version,
            "status" => status.as_u16(), "verdict" => self.verdict, "took_ms" => self.took_ms,
            "parts" => self.parts, "missing" => self.missing, "extra_sends" => self.extra_sends,
            "notes" => &self.notes);
    }
}

/// Logs that the caller left before its answer.
pub(crate) fn caller_left(
    cx: &SharedCx,
    request: &Outgoing,
    received: Time,
    done: usize,
    notes: &[Note],
) {
    let after = cx.clock.now().since(received);
    info!(cx.log, "request: the caller left"; "id" => request_id(cx, &request.headers),
        "after_ms" => after.as_millis() as u64, "parts" => done, "notes" => compact(notes));
}

/// Logs that this tier ended a request by itself.
pub(super) fn refused(cx: &SharedCx, id: &str, refusal: &Refusal) {
    info!(cx.log, "request: refused"; "id" => id, "status" => refusal.status.as_u16(),
        "reason" => refusal.reason, "version" => cx.version(),
        "retry_after_ms" => refusal.retry_after.map(|it| it.as_millis() as u64));
}

pub(super) fn request_id(cx: &SharedCx, headers: &HeaderMap) -> String {
    let id = headers.get(&cx.cfg.names.request_id);
    id.and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
}

fn compact(notes: &[Note]) -> String {
    let mut text = String::new();
    for note in notes {
        let target = note.target.as_deref().unwrap_or("-");
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "{}/{target} {} at {} ms; ",
            note.service,
            note.what,
            note.after.as_millis()
        );
    }
    text
}
