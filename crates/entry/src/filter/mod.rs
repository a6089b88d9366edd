//! Filter chain that each caller's request passes before anything is sent.
//!
//! A filter reads the request's head and the state of the host, and either
//! completes the draft or refuses the request. Nothing has been sent at that
//! point, so the outcome of these refusals is "not run".

mod read;

use std::{sync::Arc, time::Duration};

use base::{Outcome, Reason, RequestId, ShardId, Time};
use documents::Service;
use policy::{
    message::{Redemption, Refusal},
    request::QueryRequest,
};

use crate::{
    cx::{EntryCx, PoolViews},
    fingerprint::request_fingerprint,
    http,
    in_flight::InFlightGuard,
    interfaces::{Owners, State},
};

/// Time after which a caller may retry if a limit was reached or the host is not
/// ready.
const LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Head of a caller's request, before any check.
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
    pub views: PoolViews,
    pub deadline: Time,
    pub min_coverage: f64,
    pub shard: Option<ShardId>,
}

/// Runs the filter chain on the head of a request.
pub(crate) fn run<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    id: RequestId,
    head: &Head,
) -> Result<Draft, Refusal> {
    let started = cx.now();
    let service = find_service(cx, head)?;
    check_length(&service, head.content_length)?;
    let deadline = started + read::deadline(&service, head)?;
    let min_coverage = read::min_coverage(&service, head)?;
    let views = find_pool(cx, &service)?;
    let shard = read::shard(&views.current, head)?;
    Ok(Draft { id, started, service, views, deadline, min_coverage, shard })
}

/// Runs the filter chain on a redemption, which another host may have sent.
pub(crate) fn run_redemption<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    redemption: &Redemption,
) -> Result<(QueryRequest, PoolViews, InFlightGuard), Refusal> {
    let head = Head { service: redemption.service.to_string(), ..Head::default() };
    let started = cx.now();
    let service = find_service(cx, &head)?;
    check_non_idempotent(&service)?;
    check_length(&service, Some(redemption.body.len() as u64))?;
    read::check_deadline(redemption.time_left)?;
    let views = find_pool(cx, &service)?;
    read::check_shard(&views.current, redemption.shard)?;
    let in_flight = enter(cx, &service)?;
    let req = QueryRequest {
        id: http::new_request_id(),
        fingerprint: request_fingerprint(&service.name, &redemption.body),
        min_coverage: service.min_coverage,
        service,
        view: Arc::clone(&views.current),
        shard: redemption.shard,
        body: redemption.body.clone(),
        is_idempotent: false,
        started,
        deadline: started + redemption.time_left,
    };
    Ok((req, views, in_flight))
}

/// Counts a request as in flight, or refuses it if its service has reached its
/// limit.
pub(crate) fn enter<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    service: &Service,
) -> Result<InFlightGuard, Refusal> {
    let limit = service.max_in_flight;
    cx.inner.in_flight.enter(&service.name, limit).ok_or_else(|| {
        let detail = format!("the service has {limit} requests in flight at this host already");
        let retry_after = Some(LIMIT_RETRY_AFTER);
        Refusal { retry_after, ..refuse(Reason::ServiceLimit, detail) }
    })
}

pub(crate) fn find_service<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    head: &Head,
) -> Result<Arc<Service>, Refusal> {
    let cfg = cx.state().configuration();
    if let Some(service) = cfg.services.get(head.service.as_str()) {
        return Ok(Arc::clone(service));
    }
    // Without configuration no service is known, so the service may exist.
    if let Some(reason) = cx.state().not_ready() {
        let retry_after = Some(LIMIT_RETRY_AFTER);
        return Err(Refusal { retry_after, ..refuse(Reason::NotReady, reason) });
    }
    let name: String = head.service.chars().take(base::name::MAX_NAME_BYTES).collect();
    Err(refuse(Reason::UnknownService, format!("no document names a service {name:?}")))
}

pub(crate) fn check_non_idempotent(service: &Service) -> Result<(), Refusal> {
    if service.allows_non_idempotent {
        return Ok(());
    }
    let detail = "the service's document does not allow requests that are not idempotent";
    Err(refuse(Reason::NotIdempotent, detail))
}

/// Returns a refusal with the outcome "not run".
pub(crate) fn refuse(reason: Reason, detail: impl Into<String>) -> Refusal {
    let detail = detail.into();
    Refusal { reason, outcome: Outcome::NotRun, detail, retry_after: None }
}

pub(crate) fn too_large(service: &Service) -> Refusal {
    let limit = service.max_body_bytes;
    refuse(Reason::TooLarge, format!("the body is longer than the service's {limit} bytes"))
}

impl Draft {
    pub(crate) fn into_query(self, body: Vec<u8>) -> QueryRequest {
        QueryRequest {
            id: self.id,
            fingerprint: request_fingerprint(&self.service.name, &body),
            service: self.service,
            view: self.views.current,
            shard: self.shard,
            body: body.into(),
            is_idempotent: true,
            min_coverage: self.min_coverage,
            started: self.started,
            deadline: self.deadline,
        }
    }
}

fn find_pool<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    service: &Service,
) -> Result<PoolViews, Refusal> {
    let views = cx.views(&cx.state().configuration(), &service.pool);
    views.ok_or_else(|| {
        let detail = format!("the service's pool {} has no document in force", service.pool);
        refuse(Reason::NotReady, detail)
    })
}

fn check_length(service: &Service, length: Option<u64>) -> Result<(), Refusal> {
    match length {
        Some(length) if length > service.max_body_bytes => Err(too_large(service)),
        _ => Ok(()),
    }
}
