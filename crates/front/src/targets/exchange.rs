//! Exchange of one request and its answer on a connection.

use std::{pin::Pin, rc::Rc, time::Duration};

use base::TargetName;
use bytes::Bytes;
use forward::{customers::Customer, memory::Kind, target::SendResult};
use http::{HeaderMap, HeaderValue, Request, header, response::Parts};
use http_body_util::Full;
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{Connection, SendRequest},
};
use hyper_util::rt::TokioIo;
use slog::warn;
use tokio::{
    net::TcpStream,
    time::{sleep, sleep_until},
};

use super::{
    judge::{Verdict, is_answer_to, judge},
    pause::record_pause,
    stated::{record_leaving, record_limit, record_state, record_version},
};
use crate::{
    SharedCx,
    body::{BodyError, BodyLimits, FIRST_BYTES, Reserved, read_reserved},
    leaving,
    log_line::request_id,
    memory::{Exhausted, Guard},
    messages::{Job, Outcome, TargetAnswer, relay},
};

type TargetConnection = Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Limits on a target's answer. One in very small chunks is ended before it takes long.
const ANSWER_LIMITS: BodyLimits = BodyLimits { bytes: 8 * 1024 * 1024, pieces: 128 * 1024 };

/// Time after the deadline in which an answer sent at the deadline can still
/// arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(60);

/// Delay between the caller leaving and the cancellation of its request, so
/// that a request that is nearly done ends and the connection can be kept.
const CANCEL_DELAY: Duration = Duration::from_millis(250);

/// Outcome of an exchange, and whether its connection can be reused.
pub(super) struct Ended {
    pub outcome: Outcome,
    pub is_reusable: bool,
}

enum SendError {
    NotSent,
    Broken,
    /// No memory is left for the answer.
    Exhausted,
}

pub(super) async fn exchange(
    cx: &SharedCx,
    name: &TargetName,
    sender: &mut SendRequest<Full<Bytes>>,
    mut connection: Pin<&mut TargetConnection>,
    job: &Job,
) -> Ended {
    // The connection may have taken long to open.
    if cx.targets.borrow().is_paused(job.send.target, cx.clock.now()) {
        return ended(SendResult::NotSent, true);
    }
    // The key may have been removed since the request was taken.
    let identity = job.request.customer.as_ref();
    let Ok(customer) = identity.map(|it| cx.check_key(it)).transpose() else {
        return ended(SendResult::NotSent, true);
    };
    let Some(request) = request(cx, name, job, customer.as_deref()) else {
        return ended(SendResult::Cancelled, true);
    };
    let mut call = std::pin::pin!(call(cx, job, sender, request));
    let mut give_up = std::pin::pin!(give_up(cx, job));
    let mut is_open = true;
    let result = loop {
        tokio::select! {
            biased;
            answer = call.as_mut() => break answer,
            _ = connection.as_mut(), if is_open => is_open = false,
            result = give_up.as_mut() => return ended(result, false),
        }
    };
    match result {
        Ok(answer) => check_answer(cx, name, job, answer, is_open),
        Err(SendError::NotSent) => ended(SendResult::NotSent, false),
        Err(SendError::Broken) => ended(SendResult::Broken, false),
        Err(SendError::Exhausted) => ended(SendResult::NoMemory, false),
    }
}

fn ended(result: SendResult, is_reusable: bool) -> Ended {
    Ended { outcome: Outcome { result, answer: None }, is_reusable }
}

/// Returns the request with this host's own headers, or `None` if its deadline
/// has passed, nobody waits for it, or the name of the target or of the customer
/// is no header value.
fn request(
    cx: &SharedCx,
    name: &TargetName,
    job: &Job,
    customer: Option<&Customer>,
) -> Option<Request<Full<Bytes>>> {
    let names = &cx.cfg.names;
    let left = job.request.deadline.until(cx.clock.now()).as_millis();
    if left == 0 || job.tx.is_closed() {
        return None;
    }
    let mut headers = job.request.headers.clone();
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left as u64));
    let customer = customer.map(|it| HeaderValue::from_str(&it.name).ok());
    match &job.request.relay {
        Some(relay) => {
            relay.write(&mut headers, cx.clock.now());
            if let Some(name) = customer {
                relay::write_customer(&mut headers, name?);
            }
        }
        None => {
            if let Some(name) = customer {
                headers.insert(names.customer.clone(), name?);
            }
            headers.insert(names.expected_target.clone(), HeaderValue::from_str(name).ok()?);
        }
    }
    let mut request = Request::new(Full::new(job.request.body.clone()));
    *request.method_mut() = job.request.method.clone();
    *request.uri_mut() = job.request.uri.clone();
    *request.headers_mut() = headers;
    Some(request)
}

async fn call(
    cx: &SharedCx,
    job: &Job,
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<TargetAnswer, SendError> {
    if sender.ready().await.is_err() {
        return Err(SendError::NotSent);
    }
    let answer = sender.try_send_request(request).await.map_err(|mut err| {
        if err.take_message().is_some() { SendError::NotSent } else { SendError::Broken }
    })?;
    let (mut head, body) = answer.into_parts();
    if is_answer_to(&cx.cfg.names, &job.request.headers, &head.headers) {
        record_head(cx, job, &mut head);
    }
    let (body, memory) = read_answer(cx, body).await?;
    Ok(TargetAnswer { status: head.status, headers: head.headers, body, memory })
}

/// Reads an answer's body, once memory is free for it.
async fn read_answer(
    cx: &SharedCx,
    body: Incoming,
) -> Result<(Bytes, Option<Rc<Guard>>), SendError> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let stated = body.size_hint().exact();
    if stated.is_some_and(|it| it > ANSWER_LIMITS.bytes as u64) {
        return Err(SendError::Broken);
    }
    let kind = Kind::TargetAnswers;
    let body_bytes = stated.map_or(FIRST_BYTES, |it| it as usize);
    let memory = cx.memory.reserve_later(kind, body_bytes).await;
    let memory = memory.map_err(|Exhausted| SendError::Exhausted)?;
    let reserved = Reserved { memory, kind, owner: None, body_bytes, other_bytes: 0 };
    let body = read_reserved(body, ANSWER_LIMITS, &reserved).await.map_err(|err| match err {
        BodyError::Exhausted => SendError::Exhausted,
        BodyError::TooLarge | BodyError::TooManyPieces | BodyError::Broken(_) => SendError::Broken,
    })?;
    Ok((body, Some(Rc::new(reserved.memory))))
}

/// Records what holds whatever becomes of the answer: its body may break off, or be of no
/// use.
fn record_head(cx: &SharedCx, job: &Job, head: &mut Parts) {
    if job.request.relay.is_some() {
        leaving::record_leaving(cx, &mut head.headers);
    } else {
        record_leaving(cx, job.send.target, head);
        record_pause(cx, &job.send, head);
    }
}

/// Completes when the exchange should be abandoned; returns the result that it
/// counts as.
async fn give_up(cx: &SharedCx, job: &Job) -> SendResult {
    let until = cx.clock.instant(job.request.deadline + ANSWER_SLACK);
    tokio::select! {
        () = sleep_until(until) => SendResult::Silent,
        () = abandoned(job) => SendResult::Cancelled,
    }
}

/// Completes `CANCEL_DELAY` after the caller left without an answer. Never
/// completes for a request that was answered or is not idempotent.
async fn abandoned(job: &Job) {
    job.tx.closed().await;
    if job.request.is_answered.get() || !job.request.is_idempotent {
        std::future::pending::<()>().await;
    }
    // Another host delays the cancellation itself.
    if job.request.relay.is_none() {
        sleep(CANCEL_DELAY).await;
    }
}

/// Judges an answer, and records what the target states in it.
fn check_answer(
    cx: &SharedCx,
    name: &TargetName,
    job: &Job,
    mut answer: TargetAnswer,
    is_open: bool,
) -> Ended {
    let is_relayed = job.request.relay.is_some();
    let (result, is_kept) = match judge(&cx.cfg.names, &job.request.headers, is_relayed, &answer) {
        Verdict::Unusable { result, reason } => {
            log_unusable(cx, name, job, &answer, reason);
            return ended(result, false);
        }
        Verdict::NotRun(result) | Verdict::Report(result) => (result, false),
        Verdict::Forwardable(result) => (result, true),
    };
    if is_relayed {
        record_version(cx, job.send.target, &mut answer.headers);
    } else {
        record_state(cx, job, &answer.headers);
        record_limit(cx, job, &answer.headers, result);
        if result == SendResult::Answered {
            cx.targets.borrow_mut().record_answer_bytes(job.send.class, answer.body.len());
        }
    }
    let is_reusable = is_open && !closes_connection(&answer.headers);
    let answer = is_kept.then_some(answer);
    Ended { outcome: Outcome { result, answer }, is_reusable }
}

fn log_unusable(
    cx: &SharedCx,
    name: &TargetName,
    job: &Job,
    answer: &TargetAnswer,
    reason: &'static str,
) {
    warn!(cx.log, "targets: an answer cannot be used; closing the connection";
        "reason" => reason, "target" => %name, "id" => request_id(cx, &job.request.headers),
        "answer_id" => request_id(cx, &answer.headers), "status" => answer.status.as_u16());
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values.filter_map(|it| it.to_str().ok()).any(|it| it.to_ascii_lowercase().contains("close"))
}
