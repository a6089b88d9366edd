//! Small pages for operators: whether this host takes callers, and its
//! instruments.

use std::convert::Infallible;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use slog::warn;
use tokio::net::{TcpListener, TcpStream};

use super::{accept, answer::Answer};
use crate::{SharedCx, socket};

/// Path of the instruments.
const METRICS_PATH: &str = "/metrics";

/// Answers with the page that `page` makes of the path asked for.
pub(super) async fn serve(
    cx: SharedCx,
    listener: TcpListener,
    page: fn(&SharedCx, &str) -> Answer,
) {
    loop {
        let stream = accept(&cx, &listener).await;
        tokio::task::spawn_local(answer(cx.clone(), stream, page));
    }
}

async fn answer(cx: SharedCx, stream: TcpStream, page: fn(&SharedCx, &str) -> Answer) {
    if socket::watch_silence(&stream).is_err() {
        return;
    }
    let service = service_fn(|req: Request<Incoming>| {
        let answer = page(&cx, req.uri().path());
        async move { Ok::<_, Infallible>(answer) }
    });
    // The asker went away; it asks again.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

pub(super) fn readiness(cx: &SharedCx, path: &str) -> Answer {
    let status = if path != cx.cfg.readiness_path {
        StatusCode::NOT_FOUND
    } else if cx.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    text(status, String::new())
}

pub(super) fn metrics(cx: &SharedCx, path: &str) -> Answer {
    if path != METRICS_PATH {
        return text(StatusCode::NOT_FOUND, String::new());
    }
    match cx.encode_metrics() {
        Ok(body) => text(StatusCode::OK, body),
        Err(err) => {
            warn!(cx.log, "front: the instruments were not encoded"; "error" => %err);
            text(StatusCode::INTERNAL_SERVER_ERROR, String::new())
        }
    }
}

fn text(status: StatusCode, body: String) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}
