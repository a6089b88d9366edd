//! One caller: sends a call through the balancer, with as many resends as the
//! scenario allows.

use std::{sync::Arc, time::Duration};

use serde::Deserialize;

use super::{
    Call, LoadCx,
    answer::{self, AnswerFaults, CallOutcome},
};
use crate::{deployment::Phase, scenario::CallKind};

/// Reasons of refusals after which the same ticket can never run.
const FINAL_REASONS: [&str; 2] = ["ticket_unknown", "ticket_expired"];
const RESEND_DELAY: Duration = Duration::from_millis(50);

/// Result of one call, including its resends.
#[derive(Clone, Debug)]
pub struct CallResult {
    pub call: Call,
    /// Failure domain of the host that received the last send; empty if no host
    /// was ready.
    pub domain: String,
    /// Time from the intended start to the last outcome.
    pub latency: Duration,
    /// Delay from the intended to the actual start of the call.
    pub lag: Duration,
    pub outcome: CallOutcome,
    pub faults: AnswerFaults,
    pub sends: u32,
    /// Whether an earlier send of a query may have run. Each send of a query is
    /// a request of its own; sends under one ticket are one request.
    pub may_have_run_before: bool,
    /// Whether the last host was shutting down when the call was sent to it.
    pub is_host_stopping: bool,
    /// Body of the last response; empty if there was none.
    pub body: Vec<u8>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct TicketWire {
    ticket: String,
}

/// Result of one request to one host.
struct Exchange {
    domain: String,
    is_host_stopping: bool,
    outcome: CallOutcome,
    faults: AnswerFaults,
    body: Vec<u8>,
}

/// Makes a call and its resends.
pub async fn run_call(cx: Arc<LoadCx>, call: Call) -> CallResult {
    let lag = cx.started.elapsed().saturating_sub(call.at);
    let mut ticket = None;
    let mut sends = 0;
    let mut may_have_run_before = false;
    loop {
        sends += 1;
        let exchange = match call.kind {
            CallKind::Query => send(&cx, &call, "query", None).await,
            CallKind::Execute => execute(&cx, &call, &mut ticket).await,
        };
        if sends > call.resends || is_final(&exchange.outcome) {
            return CallResult {
                latency: cx.started.elapsed().saturating_sub(call.at),
                lag,
                domain: exchange.domain,
                outcome: exchange.outcome,
                faults: exchange.faults,
                sends,
                may_have_run_before,
                is_host_stopping: exchange.is_host_stopping,
                body: exchange.body,
                call,
            };
        }
        let is_own_request = call.kind == CallKind::Query;
        may_have_run_before |= is_own_request && !exchange.outcome.claims_not_run();
        tokio::time::sleep(RESEND_DELAY).await;
    }
}

fn is_final(outcome: &CallOutcome) -> bool {
    match outcome {
        CallOutcome::Answered { answered, total } => answered == total,
        CallOutcome::Refused { reason, .. } => FINAL_REASONS.contains(&reason.as_str()),
        CallOutcome::Failed(_) => false,
    }
}

/// Requests a ticket if the call has none yet, then redeems it.
async fn execute(cx: &LoadCx, call: &Call, ticket: &mut Option<String>) -> Exchange {
    if ticket.is_none() {
        let exchange = send(cx, call, "tickets", None).await;
        match serde_json::from_slice::<TicketWire>(&exchange.body) {
            Ok(wire) => *ticket = Some(wire.ticket),
            Err(_) => return exchange,
        }
    }
    send(cx, call, "execute", ticket.as_deref()).await
}

async fn send(cx: &LoadCx, call: &Call, path: &str, ticket: Option<&str>) -> Exchange {
    let Some(host) = cx.balancer.pick() else {
        return Exchange::failed(String::new(), false, "no host is ready".to_owned());
    };
    let is_host_stopping = host.phase() == Phase::Stopping;
    let url = format!("http://{}/v1/services/{}/{path}", host.callers, call.service);
    let mut request = cx.client.post(url).timeout(call.timeout);
    if let Some(ticket) = ticket {
        request = request.header("godwityard-ticket", ticket);
    }
    if path != "tickets" {
        request = request.body(call.body.clone());
    }
    let domain = host.domain.clone();
    let response = match request.send().await {
        Ok(response) => response,
        Err(err) => return Exchange::failed(domain, is_host_stopping, root_cause(&err)),
    };
    let status = response.status().as_u16();
    let body = match response.bytes().await {
        Ok(body) => body.to_vec(),
        Err(err) => return Exchange::failed(domain, is_host_stopping, root_cause(&err)),
    };
    let shard_count = |map| cx.shard_count(&call.service, map);
    let (outcome, faults) = answer::read(status, &body, &call.key, shard_count);
    Exchange { domain, is_host_stopping, outcome, faults, body }
}

/// Returns the text of the innermost cause, which is more specific than that of
/// the `reqwest` error.
fn root_cause(err: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = err;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

impl Exchange {
    fn failed(domain: String, is_host_stopping: bool, detail: String) -> Self {
        Exchange {
            domain,
            is_host_stopping,
            outcome: CallOutcome::Failed(detail),
            faults: AnswerFaults::default(),
            body: Vec::new(),
        }
    }
}
