//! Decides by its head whether a request is taken: its route, its deadline, and the state
//! of this host.

use std::{rc::Rc, time::Duration};

use forward::route::{ConfigurationView, Route, RouteEntry, UnknownRoute};
use http::{HeaderMap, HeaderName, StatusCode, header, request::Parts};

use super::{
    Origin,
    identity::{Unidentified, identify, remove_credentials},
};
use crate::{
    SharedCx,
    answer::{Refusal, UNAVAILABLE_WAIT},
    in_force::InForce,
    messages::Identity,
};

/// Same as `UNAVAILABLE_WAIT` on a host that is stopping: other hosts serve at once.
const STOPPING_WAIT: Duration = Duration::ZERO;

/// Limit on requests in progress on this host; more are refused, so that bodies
/// and answers fit into memory.
const MAX_REQUESTS_IN_PROGRESS: usize = 1_000;

/// Longer deadlines of callers are reduced to this.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// A request that this host takes.
pub(super) struct Accepted {
    pub entry: Rc<RouteEntry>,
    /// Configuration that has its route.
    pub in_force: InForce,
    /// Who sends it, if its route needs a key.
    pub customer: Option<Identity>,
    /// Limit on the time until its answer.
    pub left: Duration,
}

/// Takes a request, and removes its credentials from its head.
pub(super) fn accept(cx: &SharedCx, head: &mut Parts, origin: Origin) -> Result<Accepted, Refusal> {
    let names = &cx.cfg.names;
    if !head.headers.contains_key(&names.request_id) {
        return Err(Refusal::bad_request("the request has no id"));
    }
    let deadline = deadline(&head.headers, &names.deadline_ms)?;
    let in_force = cx.in_force();
    let entry = find_route(cx, in_force, head, deadline)?;
    let left = deadline.map_or(entry.route.timeout, |it| it.min(entry.route.timeout));
    let customer = find_customer(cx, &entry.route, &mut head.headers, origin)
        .map_err(|it| without_customer(cx, in_force, it, origin, left))?;
    if cx.in_progress.count() > MAX_REQUESTS_IN_PROGRESS {
        let reason = "too many requests are in progress";
        return Err(Refusal::not_run(reason, UNAVAILABLE_WAIT, left));
    }
    let left = limit_by_stop(cx, left)?;
    Ok(Accepted { entry, in_force, customer, left })
}

/// Returns the time that the caller waits for an answer, if its header states
/// one.
fn deadline(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|it| it.trim().parse::<u64>().ok());
    let ms = parsed.ok_or_else(|| {
        Refusal::bad_request("the deadline is not a whole number of milliseconds")
    })?;
    Ok(Some(Duration::from_millis(ms).min(MAX_DEADLINE)))
}

fn find_route(
    cx: &SharedCx,
    in_force: InForce,
    head: &Parts,
    deadline: Option<Duration>,
) -> Result<Rc<RouteEntry>, Refusal> {
    let table = cx.table.borrow().clone();
    let left = deadline.unwrap_or(UNAVAILABLE_WAIT * 3);
    let table = table
        .ok_or_else(|| Refusal::not_run("no configuration is known yet", UNAVAILABLE_WAIT, left))?;
    let path = head.uri.path();
    if head.uri.authority().is_some() || !path.starts_with('/') {
        return Err(Refusal::bad_request("the request target is not a path"));
    }
    let host = head.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let host = host.ok_or_else(|| Refusal::bad_request("no host is named"))?;
    let host = without_port(host).to_ascii_lowercase();
    let entry = table.find(&host, path).cloned();
    entry.ok_or_else(|| {
        let (all, of_host) = (table.routes().count(), table.routes_of(&host));
        let inputs = format!("{all} routes, {of_host} of this host name");
        without_route(cx, in_force, left).with_inputs(inputs)
    })
}

/// Refuses a request for which the configuration in force has no route.
fn without_route(cx: &SharedCx, in_force: InForce, left: Duration) -> Refusal {
    match certainty(cx, in_force) {
        UnknownRoute::Absent => Refusal::new(StatusCode::NOT_FOUND, "no route matches"),
        UnknownRoute::Uncertain => {
            Refusal::not_run("the route may not be known yet", UNAVAILABLE_WAIT, left)
        }
    }
}

/// Returns who sends a request, and removes its credentials.
fn find_customer(
    cx: &SharedCx,
    route: &Route,
    headers: &mut HeaderMap,
    origin: Origin,
) -> Result<Option<Identity>, Unidentified> {
    let customers = cx.customers.borrow();
    let identity = identify(&customers, route, headers, origin)?;
    remove_credentials(&customers, &cx.cfg.names, headers);
    Ok(identity)
}

/// Refuses a request for which the configuration in force has no customer.
fn without_customer(
    cx: &SharedCx,
    in_force: InForce,
    why: Unidentified,
    origin: Origin,
    left: Duration,
) -> Refusal {
    if why == Unidentified::Ambiguous {
        return Refusal::bad_request(why.reason());
    }
    // An earlier configuration may need no key for the route, so that the host with it has
    // passed none on.
    let is_by_earlier = matches!(origin, Origin::Host(it) if it.version < in_force.version);
    let is_dropped = is_by_earlier && why == Unidentified::NoKey;
    match certainty(cx, in_force) {
        UnknownRoute::Absent if !is_dropped => Refusal::new(StatusCode::UNAUTHORIZED, why.reason()),
        UnknownRoute::Absent | UnknownRoute::Uncertain => {
            Refusal::not_run("the key may not be known yet", UNAVAILABLE_WAIT, left)
        }
    }
}

/// Returns whether a later configuration may have what the one in force lacks.
fn certainty(cx: &SharedCx, in_force: InForce) -> UnknownRoute {
    let newest = cx.peers.borrow().peer_with_newest_version(cx.clock.now());
    let view = ConfigurationView {
        version: in_force.version,
        age: in_force.age,
        elsewhere: newest.map_or(0, |(_, version)| version),
    };
    UnknownRoute::new(view, cx.cfg.configuration_due)
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        Some(_) | None => host,
    }
}

/// Returns the time that a request has, which ends with a planned stop in progress.
/// Refuses one that may not end in time.
fn limit_by_stop(cx: &SharedCx, left: Duration) -> Result<Duration, Refusal> {
    let Some(stop) = cx.stop.get() else { return Ok(left) };
    let now = cx.clock.now();
    let until_end = stop.ends_at().until(now);
    if stop.takes(left, now) {
        return Ok(left.min(until_end));
    }
    let refusal = Refusal::not_run("this host is stopping", STOPPING_WAIT, left);
    let (left, until_end) = (left.as_millis(), until_end.as_millis());
    Err(refusal.with_inputs(format!("{left} ms left, {until_end} ms until the end")))
}
