//! Answers requests that other hosts pass on to this one.

use base::CustomerName;
use http::{Request, StatusCode};
use hyper::body::Incoming;

use crate::{
    SharedCx,
    answer::{Answer, Refusal, UNAVAILABLE_WAIT, implies_not_run},
    callers::{Origin, discard, respond},
    format::FormatError,
    leaving::write_leaving,
    log_line::{self, request_id},
    messages::{Relay, RelayOutcome, relay},
};

/// Serves a request for another host. One that this host should not run is refused
/// as not run, so that it goes to another sender.
pub(super) async fn answer(
    cx: &SharedCx,
    relay: Result<Relay, FormatError>,
    mut req: Request<Incoming>,
) -> Answer {
    let _guard = cx.in_progress.enter();
    let (started, version) = (cx.clock.now(), cx.version());
    relay::count_skipped(&cx.metrics, &cx.log, "request", req.headers());
    Relay::remove(req.headers_mut());
    let id = request_id(cx, req.headers());
    let has_key = matches!(&relay, Ok(Relay { key: Some(_), .. }));
    let customer = relay::customer(req.headers()).map(CustomerName::new);
    let id_header = req.headers().get(&cx.cfg.names.request_id).cloned();
    let answered = match check(cx, relay) {
        Ok(relay) => respond(cx, relay.received, req, Origin::Host(relay), None).await,
        Err(refusal) => {
            let (head, body) = req.into_parts();
            Err(discard(refusal, head, body, cx.limits.get().body_bytes).await)
        }
    };
    let (mut answer, outcome) = match answered {
        Ok(answer) => (answer, RelayOutcome::Done),
        Err(refusal) => {
            let customer = refusal.customer.clone().or(customer);
            let refusal = Refusal { customer, ..refusal };
            log_line::refused(cx, &id, &refusal);
            let outcome = outcome(refusal.status);
            (refusal.into(), outcome)
        }
    };
    outcome.write(answer.headers_mut());
    write_leaving(cx, &mut answer);
    if has_key {
        relay::write_reads_keys(answer.headers_mut());
    }
    relay::write_version(answer.headers_mut(), version);
    relay::write_took(answer.headers_mut(), cx.clock.now().since(started));
    if let Some(id) = id_header {
        answer.headers_mut().insert(cx.cfg.names.request_id.clone(), id);
    }
    answer
}

/// Returns what the other host says of its request, if it can be served.
fn check(cx: &SharedCx, relay: Result<Relay, FormatError>) -> Result<Relay, Refusal> {
    let relay = relay.map_err(|err| {
        cx.metrics.record_rejected_message("request", err.reason());
        let reason = "the headers of another host cannot be read";
        let refusal = Refusal::not_run(reason, UNAVAILABLE_WAIT, UNAVAILABLE_WAIT);
        refusal.with_inputs(err.to_string())
    })?;
    if cx.is_stopping() {
        return Err(Refusal::not_run("this host is stopping", UNAVAILABLE_WAIT, UNAVAILABLE_WAIT));
    }
    if cx.has_lost_targets.get() {
        let reason = "no target answers this host";
        return Err(Refusal::not_run(reason, UNAVAILABLE_WAIT, UNAVAILABLE_WAIT));
    }
    if cx.version() < relay.version {
        let reason = "an older configuration is in force at the sender";
        return Err(Refusal::not_run(reason, UNAVAILABLE_WAIT, UNAVAILABLE_WAIT));
    }
    Ok(relay)
}

/// Returns what a refusal by this tier says of the request's run.
fn outcome(status: StatusCode) -> RelayOutcome {
    match status {
        _ if implies_not_run(status) => RelayOutcome::NotRun,
        _ if status.is_client_error() => RelayOutcome::Done,
        _ => RelayOutcome::MayHaveRun,
    }
}
