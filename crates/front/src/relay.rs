//! Requests that one host passes on to another, a sender, which sends them to
//! targets.
//!
//! A request travels as one HTTP message on the address for other hosts, with the
//! caller's own headers and body. Its answer is the caller's answer. A request is
//! passed on to another sender only if the first one certainly did not run it: it
//! could not be reached, or said so. The sender spends the attempts of the request
//! on targets.

use std::{rc::Rc, time::Duration};

use base::Time;
use forward::{QueryPlan, Verdict, gather::Schedule, placement::ServiceKey, route::RouteEntry};
use http::StatusCode;

use crate::{
    SharedCx,
    answer::{self, Answer, Refusal, UNAVAILABLE_WAIT, implies_not_run},
    customers::refuse_key,
    isolation::has_responsive_host,
    log_line::LogLine,
    messages::{Collected, Outgoing, Relay, RelayOutcome, TargetAnswer, relay},
    query::{KEY_REMOVED, run_here},
    scatter::scatter,
};

/// Passes a request on to one of `senders` and returns its answer. If none can be
/// reached, this host runs the request itself, or passes it on to helpers if it lost its
/// targets.
pub(crate) async fn pass_on(
    cx: &SharedCx,
    entry: &RouteEntry,
    senders: ServiceKey,
    request: Outgoing,
    schedule: Schedule,
) -> Result<Answer, Refusal> {
    if !has_responsive_host(cx, entry, senders) {
        return serve_without_senders(cx, entry, request, schedule).await;
    }
    let (answered, request) = ask(cx, entry, senders, request, schedule).await;
    match answered {
        Some(answered) => answered,
        None => serve_without_senders(cx, entry, request.without_relay(), schedule).await,
    }
}

async fn serve_without_senders(
    cx: &SharedCx,
    entry: &RouteEntry,
    request: Outgoing,
    schedule: Schedule,
) -> Result<Answer, Refusal> {
    let helpers = cx.targets.borrow().helpers().filter(|_| cx.has_lost_targets.get());
    match helpers.filter(|it| has_responsive_host(cx, entry, *it)) {
        Some(helpers) => pass_on_to_helpers(cx, entry, helpers, request, schedule).await,
        None => run_here(cx, entry, request, schedule).await,
    }
}

/// Passes a request that this host cannot serve itself on to one of `helpers`.
pub(crate) async fn pass_on_to_helpers(
    cx: &SharedCx,
    entry: &RouteEntry,
    helpers: ServiceKey,
    request: Outgoing,
    schedule: Schedule,
) -> Result<Answer, Refusal> {
    cx.targets.borrow_mut().expect_like(entry.relay_class, entry.class);
    let (answered, request) = ask(cx, entry, helpers, request, schedule).await;
    let is_refusal = match &answered {
        Some(Ok(answer)) => implies_not_run(answer.status()),
        Some(Err(refusal)) => implies_not_run(refusal.status),
        None => true,
    };
    if is_refusal {
        entry.record_refusal_by_helpers(cx.clock.now());
    }
    match answered {
        Some(answered) => answered,
        None => run_here(cx, entry, request.without_relay(), schedule).await,
    }
}

/// Passes a request on to one of `hosts`. Returns its answer, or `None` if none of them
/// could be reached, and the request.
async fn ask(
    cx: &SharedCx,
    entry: &RouteEntry,
    hosts: ServiceKey,
    request: Outgoing,
    schedule: Schedule,
) -> (Option<Result<Answer, Refusal>>, Rc<Outgoing>) {
    let transit = cx.relay_transit.borrow().get().unwrap_or_default();
    let key = request.customer.as_ref().map(|it| it.key);
    let relay = Relay { received: schedule.received, version: entry.version, transit, key };
    let passed_on = cx.clock.now();
    let request = Rc::new(Outgoing { relay: Some(relay), ..request });
    let plan = QueryPlan {
        shards: vec![hosts],
        min_shards: 1,
        class: entry.relay_class,
        // A body goes to no other region than its targets.
        regions: entry.route.regions.clone(),
        attempts: 1,
        priority: request.priority(&entry.route),
        customer: request.customer_key(),
        // Whether another host may run it depends on what the first one did.
        is_idempotent: false,
        spares_overloaded: false,
        schedule,
    };
    let mut collected = scatter(cx, plan, &request).await;
    record_transit(cx, &mut collected, passed_on);
    let line = LogLine::new(cx, entry, &request, schedule, &collected);
    // A host of a build that knows no keys refuses a request with one, so it stays here.
    let is_unreadable = |it: &TargetAnswer| key.is_some() && !relay::reads_keys(&it.headers);
    let is_refused = collected.failure.as_ref().is_some_and(|it| !is_unreadable(it));
    let left = schedule.deadline.until(cx.clock.now());
    if let Some(why) = collected.rejection.filter(|_| !collected.may_have_run) {
        let refusal = refuse_key(cx, why, KEY_REMOVED, left);
        line.write(cx, refusal.status);
        return (Some(Err(refusal)), request);
    }
    let is_unreached = !collected.may_have_run && !is_refused;
    if is_unreached && collected.verdict == Verdict::GiveUp {
        line.write(cx, StatusCode::SERVICE_UNAVAILABLE);
        return (None, request);
    }
    let answered = build_answer(collected, left);
    line.write(cx, answered.as_ref().map_or_else(|it| it.status, |it| it.status()));
    (Some(answered), request)
}

/// Records how long the request and the answer of the first sender were on the way.
fn record_transit(cx: &SharedCx, collected: &mut Collected, passed_on: Time) {
    let answers = collected.parts.iter_mut().chain(&mut collected.failure);
    let took = answers.filter_map(|it| relay::take_took(&mut it.headers)).last();
    if let Some(took) = took.filter(|_| collected.notes.is_empty()) {
        let all = cx.clock.now().since(passed_on);
        cx.relay_transit.borrow_mut().record(all.saturating_sub(took));
    }
}

/// Returns the sender's answer, or an error of this tier if there is none.
fn build_answer(mut collected: Collected, left: Duration) -> Result<Answer, Refusal> {
    if let Some(answer) = collected.parts.pop() {
        return Ok(forwarded(answer));
    }
    // A refusal by one sender is the answer only if no other one may have run the
    // request.
    let may_have_run = collected.may_have_run;
    let is_true = |it: &TargetAnswer| !may_have_run || !implies_not_run(it.status);
    if let Some(failure) = collected.failure.filter(is_true) {
        return Ok(forwarded(failure));
    }
    if !may_have_run {
        return Err(Refusal::not_run("no sender took the request", UNAVAILABLE_WAIT, left));
    }
    if collected.verdict == Verdict::TimedOut {
        return Err(Refusal::new(StatusCode::GATEWAY_TIMEOUT, "no answer from a sender in time"));
    }
    Err(Refusal::new(StatusCode::BAD_GATEWAY, "the connection to a sender broke"))
}

fn forwarded(answer: TargetAnswer) -> Answer {
    let mut answer = answer::forwarded(answer);
    RelayOutcome::remove(answer.headers_mut());
    answer
}
