//! The one run of a ticket.

use base::{Outcome, Reason};
use policy::{
    message::{Redemption, RedemptionReply, Refusal, Ticket},
    request::{QueryRequest, Verdict},
};
use slog::info;

use super::InFlightGuard;
use crate::{
    cx::{EntryCx, PoolViews},
    filter,
    http::{self, Reply},
    interfaces::{Owners, State},
    scatter,
    wire::AnswerBody,
};

/// Checks the request, uses the ticket up and starts the run. A refusal here
/// leaves the ticket unused, so its "not run" is true.
pub(super) fn start<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    redemption: &Redemption,
    fingerprint: u64,
) -> Result<(), Refusal> {
    let (req, views, in_flight) = filter::run_redemption(cx, redemption)?;
    if !begin(cx, redemption, fingerprint) {
        // Another message for this ticket came first; the caller joins it.
        return Ok(());
    }
    let ticket = &redemption.ticket;
    let recorder = Recorder::new(cx.clone(), ticket.clone());
    tokio::spawn(run(cx.clone(), req, views, recorder, in_flight));
    Ok(())
}

fn begin<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    redemption: &Redemption,
    fingerprint: u64,
) -> bool {
    let Redemption { ticket, service, .. } = redemption;
    let mut tickets = cx.tickets();
    let is_first = tickets.begin(cx.now(), ticket, service, fingerprint);
    if is_first {
        // Under the table's lock, so that whoever sees the ticket running
        // finds the run to wait for.
        cx.inner.executions.start(ticket.secret);
    }
    is_first
}

async fn run<S: State, O: Owners>(
    cx: EntryCx<S, O>,
    req: QueryRequest,
    views: PoolViews,
    recorder: Recorder<S, O>,
    in_flight: InFlightGuard,
) {
    let id = req.id;
    info!(cx.log(), "ticket used"; "request" => %id, "service" => %req.service.name);
    let (verdict, query) = scatter::run(&cx, req, &views).await;
    cx.remember(&query, &verdict);
    let reply = match &verdict {
        Verdict::Answer(answer) => Reply::json(200, &AnswerBody::new(id, answer)),
        Verdict::Refused(refusal) => Reply::refusal(id, refusal),
    };
    recorder.record(RedemptionReply { status: reply.status, body: reply.body.into() });
    drop(in_flight);
}

/// Records the outcome of a run, also of one that ends by a panic.
struct Recorder<S: State, O: Owners> {
    cx: EntryCx<S, O>,
    ticket: Ticket,
    is_recorded: bool,
}

impl<S: State, O: Owners> Recorder<S, O> {
    fn new(cx: EntryCx<S, O>, ticket: Ticket) -> Self {
        Recorder { cx, ticket, is_recorded: false }
    }

    fn record(mut self, redeemed: RedemptionReply) {
        self.complete(redeemed);
    }

    fn complete(&mut self, redeemed: RedemptionReply) {
        self.is_recorded = true;
        self.cx.tickets().complete(self.cx.now(), &self.ticket, redeemed);
        self.cx.inner.executions.finish(self.ticket.secret);
    }
}

impl<S: State, O: Owners> Drop for Recorder<S, O> {
    fn drop(&mut self) {
        if self.is_recorded {
            return;
        }
        let refusal = Refusal {
            reason: Reason::Internal,
            outcome: Outcome::MayHaveRun,
            detail: "the run ended without an outcome".to_owned(),
            retry_after: None,
        };
        let reply = Reply::refusal(http::new_request_id(), &refusal);
        self.complete(RedemptionReply { status: reply.status, body: reply.body.into() });
    }
}
