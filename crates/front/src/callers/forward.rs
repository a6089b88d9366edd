//! One request from a caller, from its head to its answer.

use std::{
    cell::Cell,
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use base::{Time, always};
use bytes::Bytes;
use forward::{
    Destination, QueryPlan, Repeat, Route, Verdict, gather::Schedule, placement::Admission,
    route::RouteEntry, suspects::Fingerprint,
};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri, header, request::Parts,
};
use hyper::body::Incoming;
use rustc_hash::FxHasher;

use super::{
    answer::{self, Answer},
    connection::{ConnectionState, Phase},
    log_line::{self, Line, request_id},
    read::{read_body, strip_hop_headers},
    refusal::Refusal,
};
use crate::{
    SharedCx,
    isolation::check_servable,
    scatter::{Collected, scatter},
    targets::Outgoing,
};

/// Wait told to callers while this host knows no configuration, or none of a
/// service's targets.
const UNSERVED_WAIT: Duration = Duration::from_millis(300);

/// The same on a host that has stepped back: the balancer needs two missed
/// checks to send callers elsewhere.
const STEP_BACK_WAIT: Duration = Duration::from_secs(2);

/// Requests in progress on this host; more are turned away, so that bodies and
/// answers fit into its memory.
const MAX_IN_PROGRESS: usize = 1_000;

/// Wait told to callers whose request crashed targets.
const BARRED_WAIT: Duration = Duration::from_secs(60);

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
    let _counted = cx.in_progress.enter();
    let id = request_id(cx, req.headers());
    let answered = if state.is_ambiguous.get() {
        let reason = "two lengths of the body are stated";
        Err(Refusal::closing(StatusCode::BAD_REQUEST, reason))
    } else {
        respond(cx, received, req).await
    };
    let mut answer = answered.unwrap_or_else(|refusal| {
        log_line::refused(cx, &id, &refusal);
        refusal.into()
    });
    if cx.sends_callers_away() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

async fn respond(cx: &SharedCx, received: Time, req: Request<Incoming>) -> Result<Answer, Refusal> {
    let (head, body) = req.into_parts();
    let names = &cx.cfg.names;
    if !head.headers.contains_key(&names.request_id) {
        return Err(Refusal::bad("the request has no id"));
    }
    let deadline = deadline(&head.headers, &names.deadline_ms)?;
    let entry = find_route(cx, &head, deadline)?;
    let left = deadline.map_or(entry.route.timeout, |it| it.min(entry.route.timeout));
    if cx.in_progress.count() > MAX_IN_PROGRESS {
        let reason = "too many requests are in progress";
        return Err(Refusal::not_run(reason, UNSERVED_WAIT, left));
    }
    let body = read_body(body, cx.limits.get().body_bytes, left).await?;
    let until = received + left;
    let request = Rc::new(outgoing(&entry.route, head, body, until));
    if cx.suspects.borrow().is_blocked(request.fingerprint) {
        let reason = "the request crashed several targets";
        return Err(Refusal::not_run(reason, BARRED_WAIT, left));
    }
    let schedule = Schedule { received, objective: entry.route.objective, deadline: until };
    run(cx, &entry, request, schedule).await
}

/// What goes to targets: the request less what concerns the caller's
/// connection.
fn outgoing(route: &Route, head: Parts, body: Bytes, until: Time) -> Outgoing {
    let mut headers = head.headers;
    strip_hop_headers(&mut headers);
    // The body is in hand, so nobody has to be asked for it.
    headers.remove(header::EXPECT);
    Outgoing {
        fingerprint: fingerprint(&head.method, &headers, &head.uri, &body),
        method: head.method,
        uri: head.uri,
        headers,
        body,
        until,
        is_idempotent: route.repeat == Repeat::Idempotent,
        is_answered: Cell::new(false),
    }
}

/// The same for each attempt of any caller with the same request.
fn fingerprint(method: &Method, headers: &HeaderMap, uri: &Uri, body: &[u8]) -> Fingerprint {
    let mut hasher = FxHasher::default();
    method.hash(&mut hasher);
    headers.get(header::HOST).hash(&mut hasher);
    uri.hash(&mut hasher);
    body.hash(&mut hasher);
    hasher.finish()
}

/// The time that the caller waits, if it says so.
fn deadline(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|it| it.trim().parse::<u64>().ok());
    let ms =
        parsed.ok_or_else(|| Refusal::bad("the deadline is not a whole number of milliseconds"))?;
    Ok(Some(Duration::from_millis(ms).min(MAX_DEADLINE)))
}

fn find_route(
    cx: &SharedCx,
    head: &Parts,
    deadline: Option<Duration>,
) -> Result<Rc<RouteEntry>, Refusal> {
    let table = cx.table.borrow().clone();
    let table = table.ok_or_else(|| {
        let left = deadline.unwrap_or(UNSERVED_WAIT * 3);
        Refusal::not_run("no configuration is known yet", UNSERVED_WAIT, left)
    })?;
    let path = head.uri.path();
    if head.uri.authority().is_some() || !path.starts_with('/') {
        return Err(Refusal::bad("the request target is not a path"));
    }
    let host = head.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let host = host.ok_or_else(|| Refusal::bad("no host is named"))?;
    let host = without_port(host).to_ascii_lowercase();
    let entry = table.find(&host, path).cloned();
    entry.ok_or_else(|| Refusal::new(StatusCode::NOT_FOUND, "no route matches"))
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
) -> Result<Answer, Refusal> {
    let route = &entry.route;
    let now = cx.clock.now();
    entry.record_request(now);
    if let Err(unservable) = check_servable(cx, entry, now) {
        let left = schedule.deadline.until(now);
        let expected = if cx.is_isolated.get() { STEP_BACK_WAIT } else { UNSERVED_WAIT };
        let refusal = Refusal::not_run("too few targets can be reached", expected, left);
        return Err(refusal.with_inputs(unservable.to_string()));
    }
    let plan = QueryPlan {
        shards: entry.next_services(),
        min_shards: entry.min_services(),
        class: entry.class,
        regions: route.regions.clone(),
        attempts: if request.is_idempotent { route.attempts } else { 1 },
        priority: route.priority,
        is_idempotent: request.is_idempotent,
        schedule,
    };
    admit(cx, &plan)?;
    let collected = scatter(cx, plan, &request).await;
    let line = Line::new(cx, entry, &request, schedule, &collected);
    let left = schedule.deadline.until(cx.clock.now());
    let answered = finish(cx, entry, collected, left);
    line.write(cx, answered.as_ref().map_or_else(|it| it.status, |it| it.status()));
    answered
}

/// Turns a request away that could not be answered in time.
fn admit(cx: &SharedCx, plan: &QueryPlan) -> Result<(), Refusal> {
    let now = cx.clock.now();
    match plan.admit(&cx.targets.borrow(), now) {
        Admission::Accept => Ok(()),
        Admission::Refuse { wait } => {
            let left = plan.schedule.deadline.until(now);
            let inputs =
                format!("sent in {} ms, {} ms are left", wait.as_millis(), left.as_millis());
            Err(Refusal::not_run("too much is waiting", wait, left).with_inputs(inputs))
        }
    }
}

fn finish(
    cx: &SharedCx,
    entry: &RouteEntry,
    mut collected: Collected,
    left: Duration,
) -> Result<Answer, Refusal> {
    let is_answered = collected.verdict == Verdict::Answer;
    if let Destination::Gather(spec) = &entry.route.destination {
        if is_answered {
            let (parts, missing) = (&collected.parts, collected.missing);
            let named = parts.len() + missing;
            let all = entry.services.len();
            always!(named == all, "parts-and-missing", "{named} of {all} shards");
            return Ok(answer::merged(&cx.cfg.names, parts, missing, spec.top));
        }
    } else if let Some(part) = collected.parts.pop() {
        return Ok(answer::pass_on(part));
    } else if let Some(failure) = collected.failure.filter(|it| !promises_not_run(it.status)) {
        return Ok(answer::pass_on(failure));
    }
    if !collected.may_have_run {
        return Err(Refusal::not_run("no target could take the request", UNSERVED_WAIT, left));
    }
    if collected.verdict == Verdict::TimedOut {
        return Err(Refusal::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time"));
    }
    Err(Refusal::new(StatusCode::BAD_GATEWAY, "too few targets answered"))
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
