//! Passes requests on to senders.

use std::{rc::Rc, time::Duration};

use base::Time;
use forward::{
    QueryPlan, Verdict,
    gather::Schedule,
    placement::{PlacementRequest, ServiceKey},
    route::RouteEntry,
};
use http::StatusCode;

use super::{Relay, RelayOutcome, headers};
use crate::{
    SharedCx,
    callers::{
        answer::{self, Answer},
        log_line::LogLine,
        refusal::Refusal,
        request::{UNAVAILABLE_WAIT, implies_not_run, run_query},
    },
    scatter::{Collected, scatter},
    targets::{Outgoing, TargetAnswer},
};

/// Passes a request on to one of `senders` and returns its answer. If none can be
/// reached or none answers, this host runs the request itself.
pub(crate) async fn pass_on(
    cx: &SharedCx,
    entry: &RouteEntry,
    senders: ServiceKey,
    request: Outgoing,
    schedule: Schedule,
) -> Result<Answer, Refusal> {
    if !has_sender(cx, entry, senders) {
        return run_query(cx, entry, request, schedule).await;
    }
    let transit = cx.relay_transit.borrow().get().unwrap_or_default();
    let relay = Relay { received: schedule.received, version: entry.version, transit };
    let passed_on = cx.clock.now();
    let request = Rc::new(Outgoing { relay: Some(relay), ..request });
    let plan = QueryPlan {
        shards: vec![senders],
        min_shards: 1,
        class: entry.relay_class,
        regions: Vec::new(),
        attempts: 1,
        priority: entry.route.priority,
        // Whether another sender may run it depends on what the first one did.
        is_idempotent: false,
        schedule,
    };
    let mut collected = scatter(cx, plan, &request).await;
    record_transit(cx, &mut collected, passed_on);
    let line = LogLine::new(cx, entry, &request, schedule, &collected);
    let is_unreached = !collected.may_have_run && collected.failure.is_none();
    if is_unreached && collected.verdict == Verdict::GiveUp {
        line.write(cx, StatusCode::SERVICE_UNAVAILABLE);
        return run_query(cx, entry, request.without_relay(), schedule).await;
    }
    let left = schedule.deadline.until(cx.clock.now());
    let answered = build_answer(collected, left);
    line.write(cx, answered.as_ref().map_or_else(|it| it.status, |it| it.status()));
    answered
}

/// Returns whether any sender is expected to answer.
fn has_sender(cx: &SharedCx, entry: &RouteEntry, senders: ServiceKey) -> bool {
    let request =
        PlacementRequest { service: senders, class: entry.relay_class, tried: &[], regions: &[] };
    let targets = cx.targets.borrow();
    targets.has_responsive_target(&request, &cx.separated.borrow(), cx.clock.now())
}

/// Records how long the request and the answer of the first sender were on the way.
fn record_transit(cx: &SharedCx, collected: &mut Collected, passed_on: Time) {
    let answers = collected.parts.iter_mut().chain(&mut collected.failure);
    let took = answers.filter_map(|it| headers::take_took(&mut it.headers)).last();
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
