//! Runs a request at targets, and builds the caller's answer from what they return.

use std::{rc::Rc, time::Duration};

use base::{Time, always};
use forward::{
    Destination, QueryPlan, Targets, Verdict,
    gather::Schedule,
    placement::{Admission, ServiceKey},
    route::RouteEntry,
};
use http::StatusCode;

use crate::{
    SharedCx,
    answer::{self, Answer, Refusal, UNAVAILABLE_WAIT, implies_not_run},
    customers::refuse_key,
    isolation::{Unservable, check_targets, leaving_targets},
    leaving::attach_leaving,
    log_line::LogLine,
    messages::{Collected, Outgoing},
    scatter::scatter,
};

/// Same as `UNAVAILABLE_WAIT` on an isolated host: the balancer sends callers
/// elsewhere only after two missed readiness checks.
const ISOLATED_WAIT: Duration = Duration::from_secs(2);

/// Why a request that was taken is refused before it is sent.
pub(crate) const KEY_REMOVED: &str = "the key is no longer known";

/// Limit on the targets listed in a refusal.
const MAX_LISTED_TARGETS: usize = 5;

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
        priority: request.priority(route),
        customer: request.customer_key(),
        is_idempotent: request.is_idempotent,
        spares_overloaded: cx.cfg.spares_overloaded,
        schedule,
    };
    admit(cx, entry, &plan)?;
    let mut collected = scatter(cx, plan, &request).await;
    let line = LogLine::new(cx, entry, &request, schedule, &collected);
    let left = schedule.deadline.until(cx.clock.now());
    let leaving = std::mem::take(&mut collected.leaving);
    let rejection = collected.rejection.filter(|_| !collected.may_have_run);
    let mut answered = match rejection {
        Some(why) => Err(refuse_key(cx, why, KEY_REMOVED, left)),
        None => build_answer(cx, entry, collected, left),
    };
    if let Ok(answer) = &mut answered {
        attach_leaving(answer, leaving);
    }
    line.write(cx, answered.as_ref().map_or_else(|it| it.status, |it| it.status()));
    answered
}

/// Refuses a request that would not be answered in time.
fn admit(cx: &SharedCx, entry: &RouteEntry, plan: &QueryPlan) -> Result<(), Refusal> {
    let now = cx.clock.now();
    match plan.admit(&cx.targets.borrow(), now) {
        Admission::Accept => Ok(()),
        Admission::Refuse { wait } => {
            let left = plan.schedule.deadline.until(now);
            let inputs =
                format!("expected wait {} ms, {} ms left", wait.as_millis(), left.as_millis());
            Err(Refusal::not_run("too much is waiting", wait, left).with_inputs(inputs))
        }
        Admission::TooSlow(slow) => {
            let left = plan.schedule.deadline.until(now);
            let inputs = format!(
                "{} of {} parts expected too late, {} needed, the last {} ms late, {} ms left",
                slow.late_services,
                plan.shards.len(),
                plan.min_shards,
                slow.wait.as_millis(),
                left.as_millis()
            );
            Err(Refusal::not_run("targets are too slow", slow.wait, left).with_inputs(inputs))
        }
        Admission::Paused { .. } => Err(not_taken(cx, entry, plan.schedule.deadline.until(now))),
    }
}

/// Returns a refusal of a request that no target takes. If they ask for pauses, the caller
/// is told when enough of these are over.
fn not_taken(cx: &SharedCx, entry: &RouteEntry, left: Duration) -> Refusal {
    let (services, regions) = (&entry.services, &entry.route.regions);
    let (targets, now) = (cx.targets.borrow(), cx.clock.now());
    match targets.pause_wait(services, entry.min_services(), regions, now) {
        Some(wait) => Refusal::paused(wait).with_inputs(paused_targets(&targets, services, now)),
        None => {
            let refusal =
                Refusal::not_run("no target could take the request", UNAVAILABLE_WAIT, left);
            refusal.with_inputs(leaving_targets(&targets, services, now))
        }
    }
}

/// Returns the first few targets that ask for a pause, for the log.
fn paused_targets<W>(targets: &Targets<W>, services: &[ServiceKey], now: Time) -> String {
    let paused = targets.paused(services, now).take(MAX_LISTED_TARGETS);
    let texts: Vec<String> = paused
        .map(|(name, since, until)| {
            let (age, left) = (now.since(since).as_millis(), until.until(now).as_millis());
            format!("{name} asked {age} ms ago, over in {left} ms")
        })
        .collect();
    texts.join("; ")
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
        return Err(not_taken(cx, entry, left));
    }
    if collected.verdict == Verdict::TimedOut {
        return Err(Refusal::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time"));
    }
    Err(Refusal::new(StatusCode::BAD_GATEWAY, "too few targets answered"))
}

/// Refuses a request for which too few targets can be reached.
pub(crate) fn unreachable(cx: &SharedCx, unservable: &Unservable, left: Duration) -> Refusal {
    let expected = if cx.is_isolated.get() { ISOLATED_WAIT } else { UNAVAILABLE_WAIT };
    let refusal = Refusal::not_run("too few targets can be reached", expected, left);
    refusal.with_inputs(unservable.to_string())
}
