//! The filter chain that each caller's request passes before it is planned.
//!
//! A filter reads the request's head and the state of the host, and either
//! completes the draft or refuses the request. Nothing has been sent by then,
//! so what these refuse was not run.

use std::{sync::Arc, time::Duration};

use base::{Outcome, Reason, RequestId, ShardId, Time};
use documents::{Configuration, Service};
use policy::{message::Refusal, request::PoolView};

use crate::{
    cx::EntryCx,
    seams::{Owners, State},
};

/// Shortest deadline that a caller may set.
const MIN_DEADLINE: Duration = Duration::from_millis(5);
/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// What a caller's request says, before any check.
#[derive(Clone, Debug, Default)]
pub(crate) struct Head {
    pub service: String,
    pub deadline_ms: Option<String>,
    pub min_coverage: Option<String>,
    pub shard: Option<String>,
    pub content_length: Option<u64>,
}

/// A request that has passed the filters.
#[derive(Clone, Debug)]
pub(crate) struct Draft {
    pub id: RequestId,
    pub started: Time,
    pub service: Arc<Service>,
    pub view: Arc<PoolView>,
    pub deadline: Time,
    pub min_coverage: f64,
    pub shard: Option<ShardId>,
}

/// Passes a request's head through the chain.
pub(crate) fn run<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    id: RequestId,
    head: &Head,
) -> Result<Draft, Refusal> {
    let started = cx.now();
    let cfg = cx.state().configuration();
    let service = find_service(cx, &cfg, head)?;
    check_length(&service, head)?;
    let deadline = started + read_deadline(&service, head)?;
    let min_coverage = read_min_coverage(&service, head)?;
    let view = cx.view(&cfg, &service.pool).ok_or_else(|| unknown_pool(&service))?;
    let shard = read_shard(&view, head)?;
    Ok(Draft { id, started, service, view, deadline, min_coverage, shard })
}

pub(crate) fn refuse(reason: Reason, detail: impl Into<String>) -> Refusal {
    let detail = detail.into();
    Refusal { reason, outcome: Outcome::NotRun, detail, retry_after: None }
}

pub(crate) fn too_large(service: &Service) -> Refusal {
    let limit = service.max_body_bytes;
    refuse(Reason::TooLarge, format!("the body is longer than the service's {limit} bytes"))
}

fn find_service<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    cfg: &Configuration,
    head: &Head,
) -> Result<Arc<Service>, Refusal> {
    if let Some(service) = cfg.services.get(head.service.as_str()) {
        return Ok(Arc::clone(service));
    }
    // A host without configuration knows no service, which says nothing.
    if let Some(reason) = cx.state().not_ready() {
        let retry_after = Some(Duration::from_secs(1));
        return Err(Refusal { retry_after, ..refuse(Reason::NotReady, reason) });
    }
    let name: String = head.service.chars().take(base::name::MAX_NAME_BYTES).collect();
    Err(refuse(Reason::UnknownService, format!("no document names a service {name:?}")))
}

fn check_length(service: &Service, head: &Head) -> Result<(), Refusal> {
    match head.content_length {
        Some(length) if length > service.max_body_bytes => Err(too_large(service)),
        _ => Ok(()),
    }
}

fn read_deadline(service: &Service, head: &Head) -> Result<Duration, Refusal> {
    let Some(text) = &head.deadline_ms else { return Ok(service.deadline) };
    let millis: u64 = text.parse().map_err(|_| {
        refuse(Reason::BadRequest, "godwityard-deadline-ms is not a whole number of milliseconds")
    })?;
    let deadline = Duration::from_millis(millis);
    if deadline < MIN_DEADLINE {
        let detail = format!("the deadline is shorter than {} ms", MIN_DEADLINE.as_millis());
        return Err(refuse(Reason::DeadlineTooShort, detail));
    }
    if deadline > MAX_DEADLINE {
        let detail = format!("the deadline is longer than {} ms", MAX_DEADLINE.as_millis());
        return Err(refuse(Reason::BadRequest, detail));
    }
    Ok(deadline)
}

fn read_min_coverage(service: &Service, head: &Head) -> Result<f64, Refusal> {
    let Some(text) = &head.min_coverage else { return Ok(service.min_coverage) };
    let coverage: f64 = text.parse().unwrap_or(f64::NAN);
    if !(0.0..=1.0).contains(&coverage) {
        let detail = "godwityard-min-coverage is not a number from 0 to 1";
        return Err(refuse(Reason::BadRequest, detail));
    }
    Ok(coverage)
}

fn read_shard(view: &PoolView, head: &Head) -> Result<Option<ShardId>, Refusal> {
    let Some(text) = &head.shard else { return Ok(None) };
    let shard: Option<u32> = text.parse().ok();
    match shard.filter(|it| *it < view.pool.shards) {
        Some(shard) => Ok(Some(ShardId(shard))),
        None => {
            let detail =
                format!("godwityard-shard is not a shard of 0 to {}", view.pool.shards - 1);
            Err(refuse(Reason::BadRequest, detail))
        }
    }
}

fn unknown_pool(service: &Service) -> Refusal {
    refuse(Reason::Internal, format!("the service's pool {} has no document", service.pool))
}
