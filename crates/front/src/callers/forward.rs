//! One request from a caller, from its head to its answer.

use std::{cell::Cell, rc::Rc, time::Duration};

use base::Time;
use forward::{
    Destination, Repeat, Verdict, gather::Schedule, placement::ServiceKey, route::RouteEntry,
};
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode, header, request::Parts};
use hyper::body::Incoming;

use super::{
    answer::{self, Answer},
    connection::{ConnectionState, Phase},
    log_line::{self, Line},
    read::{BodyError, read_body, strip_hop_headers},
};
use crate::{
    SharedCx,
    isolation::is_servable,
    scatter::{Collected, Plan, scatter},
    targets::Outgoing,
};

/// Wait told to callers while this host knows no configuration, or none of a
/// service's targets.
const UNSERVED_WAIT: Duration = Duration::from_millis(300);

/// Requests in progress on this host; more are turned away, so that bodies and
/// answers fit into its memory.
const MAX_IN_PROGRESS: usize = 1_000;

/// Longest deadline that is taken from a caller.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

pub(super) async fn handle(
    cx: &SharedCx,
    state: &ConnectionState,
    req: Request<Incoming>,
) -> Answer {
    let received = match state.phase.get() {
        Phase::Head(since) => since,
        Phase::Idle(_) | Phase::Serving => cx.clock.now(),
    };
    state.phase.set(Phase::Serving);
    if state.is_ambiguous.get() {
        return answer::closing(StatusCode::BAD_REQUEST, "two lengths of the body are stated");
    }
    let _counted = cx.in_progress.enter();
    let mut answer = respond(cx, received, req).await.unwrap_or_else(|refusal| refusal);
    if cx.sends_callers_away() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

async fn respond(cx: &SharedCx, received: Time, req: Request<Incoming>) -> Result<Answer, Answer> {
    let (head, body) = req.into_parts();
    let names = &cx.cfg.names;
    if !head.headers.contains_key(&names.request_id) {
        return Err(answer::failure(StatusCode::BAD_REQUEST, "the request has no id"));
    }
    let deadline = deadline(&head.headers, &names.deadline_ms)?;
    let entry = find_route(cx, &head, deadline)?;
    if cx.in_progress.count() > MAX_IN_PROGRESS {
        let left = deadline.unwrap_or(entry.route.timeout);
        return Err(answer::not_run("too many requests are in progress", UNSERVED_WAIT, left));
    }
    let timeout = entry.route.timeout;
    let left = deadline.map_or(timeout, |it| it.min(timeout));
    let until = received + left;
    let max_bytes = cx.limits.get().body_bytes;
    let body = read_body(body, max_bytes, left).await.map_err(|err| match err {
        BodyError::TooLarge => {
            answer::closing(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
        BodyError::Incomplete => {
            answer::closing(StatusCode::REQUEST_TIMEOUT, "the body did not come in")
        }
    })?;
    let mut headers = head.headers;
    strip_hop_headers(&mut headers);
    // The body is in hand, so nobody has to be asked for it.
    headers.remove(header::EXPECT);
    let request = Rc::new(Outgoing {
        method: head.method,
        uri: head.uri,
        headers,
        body,
        until: cx.clock.instant(until),
        is_idempotent: entry.route.repeat == Repeat::Idempotent,
        is_answered: Cell::new(false),
    });
    let schedule = Schedule { received, objective: entry.route.objective, until };
    Ok(run(cx, &entry, request, schedule).await)
}

/// The time that the caller waits, if it says so.
fn deadline(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>, Answer> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|it| it.trim().parse::<u64>().ok());
    let Some(ms) = parsed else {
        let message = "the deadline is not a whole number of milliseconds";
        return Err(answer::failure(StatusCode::BAD_REQUEST, message));
    };
    Ok(Some(Duration::from_millis(ms).min(MAX_DEADLINE)))
}

fn find_route(
    cx: &SharedCx,
    head: &Parts,
    deadline: Option<Duration>,
) -> Result<Rc<RouteEntry>, Answer> {
    let table = cx.table.borrow().clone();
    let Some(table) = table else {
        let left = deadline.unwrap_or(UNSERVED_WAIT * 3);
        return Err(answer::not_run("no configuration is known yet", UNSERVED_WAIT, left));
    };
    let path = head.uri.path();
    if head.uri.authority().is_some() || !path.starts_with('/') {
        let message = "the request target is not a path";
        return Err(answer::failure(StatusCode::BAD_REQUEST, message));
    }
    let host = head.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let Some(host) = host else {
        return Err(answer::failure(StatusCode::BAD_REQUEST, "no host is named"));
    };
    let host = without_port(host).to_ascii_lowercase();
    let entry = table.find(&host, path).cloned();
    entry.ok_or_else(|| answer::failure(StatusCode::NOT_FOUND, "no route matches"))
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        Some(_) | None => host,
    }
}

async fn run(
    cx: &SharedCx,
    entry: &RouteEntry,
    request: Rc<Outgoing>,
    schedule: Schedule,
) -> Answer {
    let route = &entry.route;
    let (shards, min_shards) = shards(cx, entry);
    let class = cx.targets.borrow_mut().class(&route.name);
    let now = cx.clock.now();
    entry.note_request(now);
    if !is_servable(cx, entry, now) {
        let left = schedule.until.until(now);
        log_line::refused(cx, entry, &request, "too few targets can be reached");
        return answer::not_run("too few targets can be reached", UNSERVED_WAIT, left);
    }
    let plan = Plan {
        shards,
        min_shards,
        class,
        regions: &route.regions,
        attempts: if request.is_idempotent { route.attempts } else { 1 },
        priority: route.priority,
        schedule,
        request,
    };
    let request = plan.request.clone();
    let collected = scatter(cx, plan).await;
    let left = schedule.until.until(cx.clock.now());
    let line = Line::new(cx, entry, &request, schedule, &collected);
    let answer = finish(cx, entry, collected, left);
    line.write(cx, answer.status());
    answer
}

/// The services to send to, and how many of them must answer.
fn shards(cx: &SharedCx, entry: &RouteEntry) -> (Vec<ServiceKey>, usize) {
    let mut targets = cx.targets.borrow_mut();
    if let Destination::Gather(spec) = &entry.route.destination {
        let shards = spec.shards.iter().map(|it| targets.service(it)).collect();
        return (shards, spec.min_shards());
    }
    let service = entry.next_service();
    let shards: Vec<ServiceKey> = service.iter().map(|it| targets.service(it)).collect();
    (shards, 1)
}

fn finish(cx: &SharedCx, entry: &RouteEntry, mut collected: Collected, left: Duration) -> Answer {
    if collected.verdict == Verdict::Answer {
        if let Destination::Gather(spec) = &entry.route.destination {
            return answer::merged(&cx.cfg.names, &collected.parts, collected.missing, spec.top);
        }
        if let Some(part) = collected.parts.pop() {
            return answer::pass_on(part);
        }
    }
    let is_gather = matches!(entry.route.destination, Destination::Gather(_));
    if let Some(failure) = collected.failure
        && !is_gather
        && !promises_not_run(failure.status)
    {
        return answer::pass_on(failure);
    }
    if !collected.may_have_run {
        return answer::not_run("no target could take the request", UNSERVED_WAIT, left);
    }
    match collected.verdict {
        Verdict::TimedOut => answer::failure(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        Verdict::GiveUp | Verdict::Answer | Verdict::Wait(_) => {
            answer::failure(StatusCode::BAD_GATEWAY, "too few targets answered")
        }
    }
}

/// Whether callers take the status as a promise that nothing ran; a target
/// that sends one without saying so has given no such promise.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
