//! Handling of one request from a caller, from its head to its answer.

use std::{
    cell::Cell,
    hash::{Hash, Hasher},
    net::IpAddr,
    rc::Rc,
    time::Duration,
};

use base::Time;
use bytes::Bytes;
use forward::{
    Repeat, Route, customers::Customer, gather::Schedule, quota::Token, route::RouteEntry,
    suspects::Fingerprint,
};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header, request::Parts};
use hyper::body::Incoming;
use rustc_hash::FxHasher;

use super::{
    connection::{ConnectionState, Phase},
    head::{Accepted, accept},
    read::{discard, read_body, reserve, use_origin_form},
};
use crate::{
    SharedCx,
    answer::{Answer, Refusal, implies_not_run, strip_hop_headers},
    in_force::InForce,
    isolation::{check_servable, needed_helpers},
    log_line::{self, request_id},
    memory::Guard,
    messages::{Identity, Outgoing, Relay},
    query::{run_query, unreachable},
    quota, relay,
};

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
        respond(cx, received, req, Origin::Caller, Some(state.address)).await
    };
    let mut answer = answered.unwrap_or_else(|refusal| {
        log_line::refused(cx, &id, &refusal);
        refusal.into()
    });
    if cx.should_close_connections() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    state.begin_answer(answer.body());
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
    owner: Option<IpAddr>,
) -> Result<Answer, Refusal> {
    let (mut head, body) = req.into_parts();
    use_origin_form(&mut head);
    let accepted = match accept(cx, &mut head, origin) {
        Ok(accepted) => accepted,
        Err(refusal) => {
            return Err(discard(refusal, head, body, cx.limits.get().body_bytes).await);
        }
    };
    let Some(customer) = accepted.customer.as_ref().map(|it| it.customer.clone()) else {
        return serve(cx, received, (head, body), origin, owner, accepted).await;
    };
    if origin == Origin::Caller {
        cx.record_customer_request(&customer.name, "taken");
    }
    let token = match take_token(cx, &customer, &accepted, origin).await {
        Ok(token) => token,
        Err(refusal) => {
            return Err(discard(refusal, head, body, cx.limits.get().body_bytes).await);
        }
    };
    let answered = serve(cx, received, (head, body), origin, owner, accepted).await;
    if let Some(token) = token.filter(|_| is_not_run(&answered)) {
        quota::put_back(cx, &customer, token);
    }
    answered.map_err(|it| Refusal { customer: Some(customer.name.clone()), ..it })
}

/// Takes a token of the customer's limit. The host that a caller is connected to does so.
async fn take_token(
    cx: &SharedCx,
    customer: &Customer,
    accepted: &Accepted,
    origin: Origin,
) -> Result<Option<Token>, Refusal> {
    match origin {
        Origin::Caller => quota::take(cx, customer, accepted.entry.route.objective).await,
        Origin::Host(_) => Ok(None),
    }
}

/// Returns whether a request certainly did not run.
fn is_not_run(answered: &Result<Answer, Refusal>) -> bool {
    match answered {
        Ok(answer) => implies_not_run(answer.status()),
        Err(refusal) => implies_not_run(refusal.status) || refusal.status.is_client_error(),
    }
}

/// Reads the body of a request that was taken, and answers it.
async fn serve(
    cx: &SharedCx,
    received: Time,
    (head, body): (Parts, Incoming),
    origin: Origin,
    owner: Option<IpAddr>,
    accepted: Accepted,
) -> Result<Answer, Refusal> {
    let Accepted { entry, in_force, customer, left } = accepted;
    // A deadline of another host is the time that was left when it passed the
    // request on.
    let until = match origin {
        Origin::Caller => received + left,
        Origin::Host(_) => cx.clock.now() + left,
    };
    let max_bytes = cx.limits.get().body_bytes;
    let reserved = match reserve(cx, owner, &head.headers, &body, left).await {
        Ok(reserved) => reserved,
        Err(refusal) => return Err(discard(refusal, head, body, max_bytes).await),
    };
    let body = read_body(body, reserved, max_bytes, left).await?;
    let request = outgoing(&entry.route, in_force, customer, head, body, until);
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
fn outgoing(
    route: &Route,
    in_force: InForce,
    customer: Option<Identity>,
    head: Parts,
    (body, memory): (Bytes, Guard),
    until: Time,
) -> Outgoing {
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
        memory: Some(Rc::new(memory)),
        deadline: until,
        is_idempotent: route.repeat == Repeat::Idempotent,
        in_force,
        customer,
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
