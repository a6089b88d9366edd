//! Serves the feeds to hosts that follow this one.

use std::time::Duration;

use base::Time;
use bytes::Bytes;
use forward::Position;
use http::{Response, StatusCode};
use slog::warn;
use tokio::time::{Instant, sleep_until};

use super::wire;
use crate::{
    MessageKind, SharedCx,
    answer::{Answer, AnswerBody},
    feeds::{Batch, Changes, Feed, Item},
};

/// Limit on the time that a host may have a call for changes held.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Answers a call for a feed, or returns `None` if the path names none.
pub(crate) async fn answer(cx: &SharedCx, path: &str) -> Option<Answer> {
    let mut parts = path.strip_prefix('/')?.split('/');
    let call = parts.next()?;
    let feed = Feed::from_str(parts.next()?)?;
    let result = match call {
        "items" => items(cx, feed),
        "changes" => {
            let revision = parts.next()?.parse().ok()?;
            let wait = Duration::from_millis(parts.next()?.parse().ok()?).min(MAX_WAIT);
            let epoch = parts.next().map(str::parse).transpose().ok()?;
            changes(cx, feed, Position { epoch, revision }, wait).await
        }
        _ => return None,
    };
    Some(match result {
        Ok(batch) => encoded(cx, &batch),
        Err(status) => empty(status),
    })
}

/// Returns all items of a feed, if this host reads it at the source.
fn items(cx: &SharedCx, feed: Feed) -> Result<Batch, StatusCode> {
    let log = cx.change_logs.of(feed);
    let asked = cx.clock.now();
    if !log.is_live() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let targets = cx.targets.borrow();
    let items = match feed {
        Feed::Targets => targets.listed_reports(cx.clock.now()).map(Item::Target).collect(),
        Feed::Operations => {
            let cfg = cx.configuration.borrow();
            let cfg = cfg.as_ref().map(|it| Item::Configuration((**it).clone()));
            let evacuated = targets.evacuated().iter().cloned().map(Item::Evacuated);
            cfg.into_iter().chain(evacuated).collect()
        }
    };
    let batch = Batch { items, position: log.position(), age: None, behind: None, proof: None };
    Ok(with_progress(cx, feed, batch, asked))
}

/// Returns the changes after `position` as soon as there are any, or an empty batch
/// after `wait`.
async fn changes(
    cx: &SharedCx,
    feed: Feed,
    position: Position,
    wait: Duration,
) -> Result<Batch, StatusCode> {
    let log = cx.change_logs.of(feed);
    let asked = cx.clock.now();
    let until = Instant::now() + wait;
    loop {
        let changed = log.changed();
        if !log.is_live() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        match log.after(position, cx.clock.now()) {
            Changes::Some(batch) => return Ok(with_progress(cx, feed, batch, asked)),
            Changes::Gone => return Err(StatusCode::GONE),
            Changes::None => {}
        }
        tokio::select! {
            () = changed => {}
            () = sleep_until(until) => {
                let items = Vec::new();
                let batch = Batch { items, position, age: None, behind: None, proof: None };
                return Ok(with_progress(cx, feed, batch, asked));
            }
        }
    }
}

/// Adds how far this host knows the feed to the answer to a call that came at `asked`.
fn with_progress(cx: &SharedCx, feed: Feed, batch: Batch, asked: Time) -> Batch {
    let proof = match feed {
        Feed::Targets => None,
        Feed::Operations => cx.stated_proof_since(asked),
    };
    Batch { behind: Some(behind(cx, feed)), proof, ..batch }
}

/// Returns the time by which changes may be missing here.
fn behind(cx: &SharedCx, feed: Feed) -> Duration {
    let now = cx.clock.now();
    cx.change_logs.of(feed).progress().proven_until().map_or(MAX_WAIT, |it| now.since(it))
}

fn encoded(cx: &SharedCx, batch: &Batch) -> Answer {
    match wire::encode(batch) {
        Ok(mut bytes) => {
            cx.cfg.peer_keys.sign(MessageKind::Feed, &mut bytes);
            Response::new(AnswerBody::new(Bytes::from(bytes)))
        }
        Err(err) => {
            warn!(cx.log, "follow: cannot encode a batch"; "error" => %err);
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(AnswerBody::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}
