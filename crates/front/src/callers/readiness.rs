//! The answer to whoever asks whether this host takes callers.

use std::convert::Infallible;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use slog::warn;
use tokio::net::{TcpListener, TcpStream};

use crate::{SharedCx, socket};

pub(super) async fn serve(cx: SharedCx, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(answer(cx.clone(), stream));
            }
            Err(err) => {
                warn!(cx.log, "front: a readiness check was not accepted"; "error" => %err);
            }
        }
    }
}

async fn answer(cx: SharedCx, stream: TcpStream) {
    if socket::watch_silence(&stream).is_err() {
        return;
    }
    let service = service_fn(|req: Request<Incoming>| {
        let status = status(&cx, req.uri().path());
        async move {
            let mut answer = Response::new(Full::new(Bytes::new()));
            *answer.status_mut() = status;
            Ok::<_, Infallible>(answer)
        }
    });
    // The asker went away; it asks again.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

fn status(cx: &SharedCx, path: &str) -> StatusCode {
    if path != cx.cfg.readiness_path {
        return StatusCode::NOT_FOUND;
    }
    if cx.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}
