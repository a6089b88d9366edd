//! Handling of one request from a caller, from its head to its answer.

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
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header, request::Parts};
use hyper::body::Incoming;
use rustc_hash::FxHasher;

use super::{
    answer::{self, Answer},
    connection::{ConnectionState, Phase},
    head::{Accepted, accept},
    log_line::{self, LogLine, request_id},
    read::{discard, read_body, strip_hop_headers, use_origin_form},
    refusal::Refusal,
};
use crate::{
    SharedCx,
    in_force::InForce,
    isolation::{Unservable, check_servable, check_targets, needed_helpers},
    messages::{Collected, Outgoing, Relay},
    relay,
    scatter::scatter,
};

/// Time after which callers may retry while this host cannot serve them: it has
/// no configuration, has reached its limit, or no target takes the request.
pub(crate) const UNAVAILABLE_WAIT: Duration = Duration::from_millis(300);

/// Same as `UNAVAILABLE_WAIT` on an isolated host: the balancer sends callers
/// elsewhere only after two missed readiness checks.
const ISOLATED_WAIT: Duration = Duration::from_secs(2);

/// Time after which callers may retry a request that crashed targets.
const BLOCKED_WAIT: Duration = Duration::from_secs(60);

/// Answers a request. Errors of this tier are logged and become error answers.
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
    let _guard = cx.in_progress.enter();
    let id = request_id(cx, req.headers());
    let answered = if state.has_ambiguous_length.get() {
        let reason = "two lengths of the body are stated";
        Err(Refusal::closing(StatusCode::BAD_REQUEST, reason))
    } else {
        respond(cx, received, req, Origin::Caller).await
    };
    let mut answer = answered.unwrap_or_else(|refusal| {
        log_line::refused(cx, &id, &refusal);
        refusal.into()
    });
    if cx.should_close_connections() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    Caller,
    /// Another host; the request is not passed on again.
    Host(Relay),
}

impl Origin {
    /// Returns the latency objective at this host.
    fn objective(self, route: &Route) -> Duration {
        match self {
            Origin::Caller => route.objective,
            Origin::Host(relay) => route.objective.saturating_sub(relay.transit),
        }
    }
}

pub(crate) async fn respond(
    cx: &SharedCx,
    received: Time,
    req: Request<Incoming>,
    origin: Origin,
) -> Result<Answer, Refusal> {
    let (mut head, body) = req.into_parts();
    use_origin_form(&mut head);
    let accepted = match accept(cx, &head) {
        Ok(accepted) => accepted,
        Err(refusal) => {
            return Err(discard(refusal, &head.headers, body, cx.limits.get().body_bytes).await);
        }
    };
    let Accepted { entry, in_force, left } = accepted;
    // A deadline of another host is the time that was left when it passed the
    // request on.
    let until = match origin {
        Origin::Caller => received + left,
        Origin::Host(_) => cx.clock.now() + left,
    };
    let body = read_body(body, cx.limits.get().body_bytes, left).await?;
    let request = outgoing(&entry.route, in_force, head, body, until);
    if cx.suspects.borrow().is_blocked(request.fingerprint) {
        let reason = "the request crashed several targets";
        return Err(Refusal::not_run(reason, BLOCKED_WAIT, left));
    }
    let objective = origin.objective(&entry.route);
    let schedule = Schedule { received, objective, deadline: until };
    let now = cx.clock.now();
    entry.record_request(now);
    if origin == Origin::Caller
        && entry.senders().is_none()
        && let Some(helpers) = needed_helpers(cx, &entry, now)
    {
        return relay::pass_on_to_helpers(cx, &entry, helpers, request, schedule).await;
    }
    check_reachable(cx, &entry, schedule, now)?;
    if origin == Origin::Caller
        && let Some(senders) = entry.senders()
    {
        return relay::pass_on(cx, &entry, senders, request, schedule).await;
    }
    run_query(cx, &entry, request, schedule).await
}

/// Builds the request that goes to targets: the caller's without hop-by-hop
/// headers.
fn outgoing(route: &Route, in_force: InForce, head: Parts, body: Bytes, until: Time) -> Outgoing {
    let mut headers = head.headers;
    strip_hop_headers(&mut headers);
    // The body has been read, so no `100 Continue` is needed.
    headers.remove(header::EXPECT);
    Outgoing {
        fingerprint: fingerprint(&head.method, &headers, &head.uri, &body),
        method: head.method,
        uri: head.uri,
        headers,
        body,
        deadline: until,
        is_idempotent: route.repeat == Repeat::Idempotent,
        in_force,
        relay: None,
        is_answered: Cell::new(false),
    }
}

/// Returns a hash that is the same for every attempt at the same request, from
/// any caller.
fn fingerprint(method: &Method, headers: &HeaderMap, uri: &Uri, body: &[u8]) -> Fingerprint {
    let mut hasher = FxHasher::default();
    method.hash(&mut hasher);
    headers.get(header::HOST).hash(&mut hasher);
    uri.hash(&mut hasher);
    body.hash(&mut hasher);
    hasher.finish()
}

/// Refuses a request that cannot be served from here.
fn check_reachable(
    cx: &SharedCx,
    entry: &RouteEntry,
    schedule: Schedule,
    now: Time,
) -> Result<(), Refusal> {
    let refusal = |it| unreachable(cx, &it, schedule.deadline.until(now));
    check_servable(cx, entry, now).map_err(refusal)
}

fn unreachable(cx: &SharedCx, unservable: &Unservable, left: Duration) -> Refusal {
    let expected = if cx.is_isolated.get() { ISOLATED_WAIT } else { UNAVAILABLE_WAIT };
    let refusal = Refusal::not_run("too few targets can be reached", expected, left);
    refusal.with_inputs(unservable.to_string())
}

/// Runs a request at targets that no other host took, if these can be reached.
pub(crate) async fn run_here(
    cx: &SharedCx,
    entry: &RouteEntry,
    request: Outgoing,
    schedule: Schedule,
) -> Result<Answer, Refusal> {
    let now = cx.clock.now();
    let refusal = |it| unreachable(cx, &it, schedule.deadline.until(now));
    check_targets(cx, entry, now).map_err(refusal)?;
    run_query(cx, entry, request, schedule).await
}

/// Runs a request at targets and returns the answer.
pub(crate) async fn run_query(
    cx: &SharedCx,
    entry: &RouteEntry,
    request: Outgoing,
    schedule: Schedule,
) -> Result<Answer, Refusal> {
    let route = &entry.route;
    let request = Rc::new(request);
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
    let line = LogLine::new(cx, entry, &request, schedule, &collected);
    let left = schedule.deadline.until(cx.clock.now());
    let answered = build_answer(cx, entry, collected, left);
    line.write(cx, answered.as_ref().map_or_else(|it| it.status, |it| it.status()));
    answered
}

/// Refuses a request that would not be answered in time.
fn admit(cx: &SharedCx, plan: &QueryPlan) -> Result<(), Refusal> {
    let now = cx.clock.now();
    match plan.admit(&cx.targets.borrow(), now) {
        Admission::Accept => Ok(()),
        Admission::Refuse { wait } => {
            let left = plan.schedule.deadline.until(now);
            let inputs =
                format!("expected wait {} ms, {} ms left", wait.as_millis(), left.as_millis());
            Err(Refusal::not_run("too much is waiting", wait, left).with_inputs(inputs))
        }
    }
}

/// Builds the answer from the collected parts, a target's failure or, without
/// either, a refusal.
fn build_answer(
    cx: &SharedCx,
    entry: &RouteEntry,
    mut collected: Collected,
    left: Duration,
) -> Result<Answer, Refusal> {
    let is_answered = collected.verdict == Verdict::Answer;
    if let Destination::Gather(spec) = &entry.route.destination {
        if is_answered {
            let (parts, missing) = (&collected.parts, collected.missing);
            let accounted = parts.len() + missing;
            let all = entry.services.len();
            always!(accounted == all, "parts-and-missing", "{accounted} of {all} shards");
            return Ok(answer::merged(&cx.cfg.names, parts, missing, spec.top));
        }
    } else if let Some(part) = collected.parts.pop() {
        return Ok(answer::forwarded(part));
    } else if let Some(failure) = collected.failure.filter(|it| !implies_not_run(it.status)) {
        return Ok(answer::forwarded(failure));
    }
    if !collected.may_have_run {
        return Err(Refusal::not_run("no target could take the request", UNAVAILABLE_WAIT, left));
    }
    if collected.verdict == Verdict::TimedOut {
        return Err(Refusal::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time"));
    }
    Err(Refusal::new(StatusCode::BAD_GATEWAY, "too few targets answered"))
}

/// Returns whether callers take the status to mean that the request did not
/// run. A target's answer with such a status but without the `not_run` header
/// is no proof of that, so it is not forwarded.
pub(crate) fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
