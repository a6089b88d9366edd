//! HTTP pages for operators: readiness and metrics.

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

const METRICS_PATH: &str = "/metrics";

/// Serves the page that `page` returns for the requested path.
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
    if socket::set_options(&stream).is_err() {
        return;
    }
    let service = service_fn(|req: Request<Incoming>| {
        let answer = page(&cx, req.uri().path());
        async move { Ok::<_, Infallible>(answer) }
    });
    // An error means that the client closed the connection; it will retry.
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
            warn!(cx.log, "front: cannot encode metrics"; "error" => %err);
            text(StatusCode::INTERNAL_SERVER_ERROR, String::new())
        }
    }
}

fn text(status: StatusCode, body: String) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}
