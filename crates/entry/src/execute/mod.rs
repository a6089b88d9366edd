//! Non-idempotent requests, each run at most once under its ticket.
//!
//! A run has its own task, so that neither a caller's disconnect nor a lost link
//! to another host interrupts it. Requests that present its ticket meanwhile wait
//! for its recorded reply.

mod run;

use std::time::Duration;

use base::{Outcome, Reason};
use policy::{
    message::{Redemption, RedemptionReply, Refusal},
    request::TicketStatus,
};
use tokio::time;

use crate::{
    cx::EntryCx,
    fingerprint::redemption_fingerprint,
    http::{self, Reply},
    interfaces::{LinkError, Owners, State},
};

/// Time allowed for a minter's reply to arrive after the deadline of the run.
const REDEEM_MARGIN: Duration = Duration::from_millis(20);

/// Runs the request of a ticket that this host minted, waits for its run in
/// flight, or returns its recorded reply. Called for callers of this host and,
/// through the daemon's links, for other hosts.
pub async fn redeem<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    redemption: Redemption,
) -> RedemptionReply {
    match redeem_here(cx, redemption).await {
        Ok(reply) => reply,
        Err(refusal) => refusal_reply(&refusal),
    }
}

/// Dispatches a redemption to the host that minted its ticket.
pub(crate) async fn dispatch<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    redemption: Redemption,
) -> RedemptionReply {
    if redemption.ticket.minter == *cx.state().host() {
        return redeem(cx, redemption).await;
    }
    let limit = redemption.time_left + REDEEM_MARGIN;
    let minter = redemption.ticket.minter.clone();
    let sent = cx.owners().redeem(&minter, redemption);
    let result = time::timeout(limit, sent).await.unwrap_or(Err(LinkError::NoAnswer));
    result.unwrap_or_else(|err| {
        // Even if nothing was sent now, an earlier send may have arrived.
        let detail = format!("the ticket's minter {minter} gave no answer: {err}");
        let retry_after = Some(Duration::from_secs(1));
        let reason = Reason::MinterUnreachable;
        refusal_reply(&Refusal { reason, outcome: Outcome::MayHaveRun, detail, retry_after })
    })
}

async fn redeem_here<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    redemption: Redemption,
) -> Result<RedemptionReply, Refusal> {
    let fingerprint = redemption_fingerprint(&redemption);
    let Redemption { ticket, service, .. } = &redemption;
    // The ticket is checked first: once the request has run, no later check may
    // refuse it as not run.
    let status = cx.tickets().status(cx.now(), ticket, service, fingerprint)?;
    if let TicketStatus::Recorded(reply) = status {
        return Ok(reply);
    }
    if status == TicketStatus::Unused {
        run::start(cx, &redemption, fingerprint)?;
    }
    join(cx, &redemption, fingerprint).await
}

/// Waits for the reply of the run in flight.
async fn join<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    redemption: &Redemption,
    fingerprint: u64,
) -> Result<RedemptionReply, Refusal> {
    let Redemption { ticket, service, time_left, .. } = redemption;
    let finished = cx.inner.executions.finished(ticket.secret);
    if time::timeout(*time_left + REDEEM_MARGIN, finished).await.is_err() {
        return Err(still_running());
    }
    match cx.tickets().status(cx.now(), ticket, service, fingerprint)? {
        TicketStatus::Recorded(reply) => Ok(reply),
        TicketStatus::Running | TicketStatus::Unused => Err(still_running()),
    }
}

fn still_running() -> Refusal {
    let detail = "the request is still running; send it again under the same ticket";
    Refusal {
        reason: Reason::DeadlinePassed,
        outcome: Outcome::MayHaveRun,
        detail: detail.to_owned(),
        retry_after: Some(Duration::from_secs(1)),
    }
}

fn refusal_reply(refusal: &Refusal) -> RedemptionReply {
    let reply = Reply::refusal(http::new_request_id(), refusal);
    RedemptionReply { status: reply.status, body: reply.body.into() }
}
