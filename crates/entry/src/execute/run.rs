//! The run of a ticket.

use base::{Outcome, Reason};
use policy::{
    message::{Redemption, RedemptionReply, Refusal, Ticket},
    request::{QueryRequest, Verdict},
};
use slog::info;

use crate::{
    cx::{EntryCx, PoolViews},
    filter,
    http::{self, Reply},
    in_flight::InFlightGuard,
    interfaces::{Owners, State},
    scatter,
    wire::AnswerBody,
};

/// Checks the request, uses the ticket and starts the run. A refusal leaves the
/// ticket unused, so its outcome "not run" is true.
pub(super) fn start<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    redemption: &Redemption,
    fingerprint: u64,
) -> Result<(), Refusal> {
    let (req, views, in_flight) = filter::run_redemption(cx, redemption)?;
    if !begin(cx, redemption, fingerprint) {
        // Another message used the ticket first; the caller waits for that run.
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
        // Done under the table's lock, so that a request that sees the ticket
        // running finds the run to wait for.
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
    cx.record_finished(&query, &verdict);
    let reply = match &verdict {
        Verdict::Answer(answer) => Reply::json(200, &AnswerBody::new(id, answer)),
        Verdict::Refused(refusal) => Reply::refusal(id, refusal),
    };
    recorder.record(RedemptionReply { status: reply.status, body: reply.body.into() });
    drop(in_flight);
}

/// Records the reply to a run, even if the run panics.
struct Recorder<S: State, O: Owners> {
    cx: EntryCx<S, O>,
    ticket: Ticket,
    is_recorded: bool,
}

impl<S: State, O: Owners> Recorder<S, O> {
    fn new(cx: EntryCx<S, O>, ticket: Ticket) -> Self {
        Recorder { cx, ticket, is_recorded: false }
    }

    fn record(mut self, reply: RedemptionReply) {
        self.complete(reply);
    }

    fn complete(&mut self, reply: RedemptionReply) {
        self.is_recorded = true;
        self.cx.tickets().complete(self.cx.now(), &self.ticket, reply);
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
