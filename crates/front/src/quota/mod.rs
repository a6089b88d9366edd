//! Tokens for customers' requests: asks the ledger of a customer by a datagram on the port
//! for other hosts, and answers as a ledger.
//!
//! A request waits for a reply for a small part of its objective. It needs one datagram each
//! way and no task of its own. Requests of a customer that wait at the same time share one.

#[cfg(test)]
mod tests;
mod wire;

use std::{net::SocketAddr, time::Duration};

use base::CustomerName;
use forward::{
    customers::Customer,
    quota::{ASK_TIMEOUT, Answer, Ask, Denied, QuotaMessage, Reply, Source, Take, Terms, Token},
};
use http::StatusCode;
use slog::debug;
use tokio::time::{Instant, timeout_at};

pub(crate) use self::wire::is_quota_message;
use crate::{MessageKind, SharedCx, answer::Refusal, tokens::Waiting};

/// Part of a request's objective for which it waits for a reply, as a divisor, and the
/// shortest wait. The rest of the objective is for targets.
const WAIT_PART: u32 = 5;
const MIN_WAIT: Duration = Duration::from_millis(5);

/// Takes a token for a request, or refuses the request. Customers without a limit need none.
pub(crate) async fn take(
    cx: &SharedCx,
    customer: &Customer,
    objective: Duration,
) -> Result<Option<Token>, Refusal> {
    let Some(terms) = terms(cx, customer) else { return Ok(None) };
    let name = &customer.name;
    let now = cx.clock.now();
    cx.quota.record_running(now);
    cx.quota.allowance.borrow_mut().enter(name, now);
    let _waiting = Waiting { quota: &cx.quota, customer: name };
    let wait = (objective / WAIT_PART).min(ASK_TIMEOUT).max(MIN_WAIT);
    match take_within(cx, name, &terms, Instant::now() + wait).await {
        Ok(token) => {
            if matches!(token.source, Source::Own { .. }) {
                cx.metrics.record_tokens("own", 1);
            }
            Ok(Some(token))
        }
        Err(denied) => {
            cx.metrics.record_tokens("denied", 1);
            Err(refusal(customer, &terms, denied))
        }
    }
}

async fn take_within(
    cx: &SharedCx,
    customer: &CustomerName,
    terms: &Terms,
    until: Instant,
) -> Result<Token, Denied> {
    let reply = cx.quota.reply_of(customer);
    loop {
        let replied = reply.notified();
        let (now, fleet) = (cx.clock.now(), cx.quota.fleet());
        let taken = cx.quota.allowance.borrow_mut().take(customer, terms, &fleet, now);
        match taken {
            Take::Token(token) => return Ok(token),
            Take::Denied(denied) => return Err(denied),
            Take::Ask { to, ask } if to == fleet.own() => {
                let reply = answer(cx, &ask);
                cx.quota.allowance.borrow_mut().receive(&reply, terms, now);
                continue;
            }
            Take::Ask { to, ask } => {
                cx.metrics.record_tokens("asked", u64::from(ask.wanted));
                send(cx, &QuotaMessage::Ask(ask), to);
            }
            Take::Wait => {}
        }
        if timeout_at(until, replied).await.is_err() {
            cx.metrics.record_tokens("unanswered", 1);
            let now = cx.clock.now();
            let mut allowance = cx.quota.allowance.borrow_mut();
            return allowance.take_own(customer, terms, &fleet, now);
        }
    }
}

/// Puts back the token of a request that was not sent.
pub(crate) fn put_back(cx: &SharedCx, customer: &Customer, token: Token) {
    let Some(terms) = terms(cx, customer) else { return };
    cx.metrics.record_tokens("put_back", 1);
    let now = cx.clock.now();
    let returned = cx.quota.allowance.borrow_mut().put_back(token, &terms, now);
    match returned {
        Some((to, returned)) if to == cx.cfg.peers => {
            cx.quota.ledger.borrow_mut().take_back(&returned, &terms, now);
        }
        Some((to, returned)) => send(cx, &QuotaMessage::Return(returned), to),
        None => {}
    }
}

/// Takes in a datagram of another host.
pub(crate) fn receive(cx: &SharedCx, bytes: &[u8], from: SocketAddr) {
    let Some(bytes) = cx.cfg.peer_keys.verify(MessageKind::Quota, bytes) else {
        cx.metrics.record_rejected_message("quota", "not authentic");
        debug!(cx.log, "quota: no key made the MAC of a message"; "peer" => %from);
        return;
    };
    let message = match wire::decode(bytes) {
        Ok(message) => message,
        Err(err) => {
            cx.metrics.record_rejected_message("quota", err.reason());
            debug!(cx.log, "quota: cannot decode a message"; "peer" => %from, "error" => %err);
            return;
        }
    };
    cx.quota.record_running(cx.clock.now());
    match message {
        QuotaMessage::Ask(ask) => {
            let reply = answer(cx, &ask);
            send(cx, &QuotaMessage::Reply(reply), from);
        }
        QuotaMessage::Reply(reply) => receive_reply(cx, &reply),
        QuotaMessage::Return(returned) => {
            if let Some(terms) = terms_of(cx, &returned.customer) {
                let now = cx.clock.now();
                cx.quota.ledger.borrow_mut().take_back(&returned, &terms, now);
            }
        }
    }
}

fn receive_reply(cx: &SharedCx, reply: &Reply) {
    let Some(terms) = terms_of(cx, &reply.customer) else { return };
    let now = cx.clock.now();
    if !cx.quota.allowance.borrow_mut().receive(reply, &terms, now) {
        return;
    }
    match reply.answer {
        Answer::Granted { tokens, .. } => cx.metrics.record_tokens("granted", u64::from(tokens)),
        Answer::Declined => cx.metrics.record_tokens("declined", 1),
    }
    if let Some(waiting) = cx.quota.replies.borrow().get(&reply.customer) {
        waiting.notify_waiters();
    }
}

/// Answers a request for tokens as a ledger.
fn answer(cx: &SharedCx, ask: &Ask) -> Reply {
    let (now, fleet) = (cx.clock.now(), cx.quota.fleet());
    let terms = terms_of(cx, &ask.customer);
    let mut ledger = cx.quota.ledger.borrow_mut();
    let Some(terms) = terms else { return ledger.decline_unknown(ask, now) };
    let reply =
        ledger.answer(ask, &terms, fleet.standing(&ask.customer, ask.is_declined, now), now);
    if let Answer::Granted { tokens, .. } = reply.answer {
        cx.metrics.record_tokens("given", u64::from(tokens));
    }
    reply
}

fn terms(cx: &SharedCx, customer: &Customer) -> Option<Terms> {
    Some(Terms::new(customer.limit()?, &cx.cfg.customers))
}

fn terms_of(cx: &SharedCx, name: &CustomerName) -> Option<Terms> {
    let limit = cx.customers.borrow().limit_of(name)?;
    Some(Terms::new(limit, &cx.cfg.customers))
}

fn refusal(customer: &Customer, terms: &Terms, denied: Denied) -> Refusal {
    let by = if denied.is_by_ledger { "the ledger has none" } else { "no ledger answered" };
    let (limit, wait) = (terms.limit, denied.wait.as_millis());
    let inputs = format!(
        "no token: {by}; limit {} per second, burst {}; next token in {wait} ms",
        limit.per_second, limit.burst
    );
    Refusal {
        retry_after: Some(denied.wait),
        customer: Some(customer.name.clone()),
        ..Refusal::new(StatusCode::TOO_MANY_REQUESTS, "the customer's limit is used up")
            .with_inputs(inputs)
    }
}

/// Sends a message at once. One that can't be sent counts as lost.
fn send(cx: &SharedCx, message: &QuotaMessage, to: SocketAddr) {
    let socket = cx.quota.socket.borrow().clone();
    let sent = match (socket, wire::encode(message)) {
        (Some(socket), Ok(mut bytes)) => {
            cx.cfg.peer_keys.sign(MessageKind::Quota, &mut bytes);
            socket.try_send_to(&bytes, to).map(|_| ()).map_err(|it| it.to_string())
        }
        (None, _) => Err("the socket is not open".to_owned()),
        (_, Err(err)) => Err(err.to_string()),
    };
    if let Err(err) = sent {
        debug!(cx.log, "quota: cannot send a message"; "peer" => %to, "error" => err);
    }
}
