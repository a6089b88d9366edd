//! What the platform's balancer asks.

use crate::{
    cx::EntryCx,
    http::Reply,
    interfaces::{Owners, State},
};

#[derive(Debug)]
#[derive(serde::Serialize)]
struct HealthBody {
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

/// The process lives.
pub(super) fn healthz() -> Reply {
    Reply::json(200, &HealthBody { status: "ok", reason: None })
}

/// The host wants callers.
pub(super) fn readyz<S: State, O: Owners>(cx: &EntryCx<S, O>) -> Reply {
    match cx.not_ready() {
        None => Reply::json(200, &HealthBody { status: "ready", reason: None }),
        Some(reason) => Reply::json(503, &HealthBody { status: "not_ready", reason: Some(reason) }),
    }
}
