//! Handlers that mint tickets and execute non-idempotent requests.

use base::{Outcome, Reason, RequestId};
use policy::{
    message::{Redemption, RedemptionReply, Refusal, Ticket},
    request::parse_ticket,
};
use rocket::Data;
use slog::info;

use super::{count_request, read_body, refuse};
use crate::{
    cx::EntryCx,
    entropy, execute,
    filter::{self, Head},
    http::{self, Reply},
    interfaces::{Owners, State},
    wire::TicketBody,
};

pub(super) fn mint<S: State, O: Owners>(cx: &EntryCx<S, O>, head: &Head) -> Reply {
    let id = http::new_request_id();
    match try_mint(cx, head) {
        Ok(ticket) => Reply::json(200, &TicketBody::from(&ticket)),
        Err(refusal) => refuse(cx, id, head, &refusal),
    }
}

pub(super) async fn execute<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    head: Head,
    ticket: Option<&str>,
    data: Data<'_>,
) -> Reply {
    let id = http::new_request_id();
    let ticket = match read_ticket(ticket) {
        Ok(ticket) => ticket,
        Err(refusal) => return refuse(cx, id, &head, &refusal),
    };
    match read_redemption(cx, id, &head, &ticket, data).await {
        Ok(redemption) => redeem(cx, id, redemption).await,
        Err(refusal) => {
            // The request may have run under the ticket when it was sent earlier.
            let is_unused = cx.tickets().is_unused(&ticket);
            let outcome = if is_unused { refusal.outcome } else { Outcome::MayHaveRun };
            refuse(cx, id, &head, &Refusal { outcome, ..refusal })
        }
    }
}

fn try_mint<S: State, O: Owners>(cx: &EntryCx<S, O>, head: &Head) -> Result<Ticket, Refusal> {
    let service = filter::find_service(cx, head)?;
    filter::check_non_idempotent(&service)?;
    if let Some(reason) = cx.state().not_ready() {
        return Err(filter::refuse(Reason::NotReady, reason));
    }
    cx.tickets().mint(cx.now(), &service.name, entropy::random_u128())
}

fn read_ticket(text: Option<&str>) -> Result<Ticket, Refusal> {
    let Some(text) = text else {
        let detail = "a request that is not idempotent needs a ticket in godwityard-ticket";
        return Err(filter::refuse(Reason::TicketMissing, detail));
    };
    parse_ticket(text)
        .ok_or_else(|| filter::refuse(Reason::BadRequest, "godwityard-ticket is not a ticket"))
}

async fn read_redemption<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    id: RequestId,
    head: &Head,
    ticket: &Ticket,
    data: Data<'_>,
) -> Result<Redemption, Refusal> {
    let draft = filter::run(cx, id, head)?;
    filter::check_non_idempotent(&draft.service)?;
    let body = read_body(data, &draft.service).await?;
    Ok(Redemption {
        ticket: ticket.clone(),
        service: draft.service.name.clone(),
        time_left: draft.deadline.until(cx.now()),
        shard: draft.shard,
        body: body.into(),
    })
}

async fn redeem<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    id: RequestId,
    redemption: Redemption,
) -> Reply {
    info!(cx.log(), "ticket presented"; "request" => %id, "service" => %redemption.service,
        "minter" => %redemption.ticket.minter);
    let started = cx.now();
    let RedemptionReply { status, body } = execute::dispatch(cx, redemption).await;
    count_request(cx, started, if status == 200 { "answered" } else { "refused" });
    Reply { status, body: body.to_vec(), retry_after_s: None }
}
