//! Listener and connections of a target.

use std::{io, sync::Arc};

use tokio::{
    io::{AsyncBufReadExt, BufReader},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{self, Duration},
};

use super::{
    RETRY_INTERVAL, query,
    reply::Reply,
    target::{ConnectionGuard, Target},
};
use crate::http::{Request, Response, read_request, write_all};

/// Accepts connections whenever the target is up. Never returns.
pub async fn run(target: Arc<Target>) {
    loop {
        if !target.restart_if_due() {
            time::sleep(RETRY_INTERVAL).await;
            continue;
        }
        let mut incarnation_rx = target.subscribe_incarnation();
        let Ok(listener) = TcpListener::bind(target.spec().address).await else {
            time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        tokio::select! {
            () = accept(&target, &listener) => {}
            _ = incarnation_rx.changed() => {}
        }
    }
}

async fn accept(target: &Arc<Target>, listener: &TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let Some(guard) = target.open_connection() else { continue };
        tokio::spawn(serve_connection(Arc::clone(target), stream, guard));
    }
}

async fn serve_connection(target: Arc<Target>, stream: TcpStream, guard: ConnectionGuard) {
    let mut incarnation_rx = target.subscribe_incarnation();
    let _ = stream.set_nodelay(true);
    tokio::select! {
        _ = serve_requests(&target, stream, guard) => {}
        _ = incarnation_rx.changed() => {}
    }
}

async fn serve_requests(
    target: &Target,
    stream: TcpStream,
    guard: ConnectionGuard,
) -> io::Result<()> {
    let delay_ms = target.lock().knobs.connect_delay_ms;
    time::sleep(Duration::from_secs_f64(delay_ms.max(0.0) / 1_000.0)).await;
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    let mut guard = Some(guard);
    while let Some(req) = read_request(&mut reader).await? {
        if guard.as_ref().is_some_and(ConnectionGuard::is_silent) {
            return discard_input(&mut reader).await;
        }
        let reply = respond(target, &req, &mut reader, &mut guard).await;
        if guard.as_ref().is_some_and(ConnectionGuard::is_silent) {
            return discard_input(&mut reader).await;
        }
        let keep_open = send(&mut writer, reply).await?;
        if !keep_open || guard.is_none() {
            break;
        }
    }
    Ok(())
}

/// Runs the request. If the client closes the connection meanwhile, the connection
/// no longer counts, but the request runs on, as in most back ends.
async fn respond(
    target: &Target,
    req: &Request,
    reader: &mut BufReader<OwnedReadHalf>,
    guard: &mut Option<ConnectionGuard>,
) -> Reply {
    let reply = dispatch(target, req);
    tokio::pin!(reply);
    tokio::select! {
        reply = &mut reply => return reply,
        closed = reader.fill_buf() => {
            if closed.is_ok_and(|it| !it.is_empty()) {
                return reply.await;
            }
        }
    }
    *guard = None;
    reply.await
}

async fn dispatch(target: &Target, req: &Request) -> Reply {
    let attempt = req.path.strip_prefix("/v1/attempts/").and_then(|it| it.parse().ok());
    match (req.method.as_str(), req.path.as_str(), attempt) {
        ("POST", "/v1/query", _) => query::run(target, req).await,
        ("GET", "/v1/load", _) => Reply::Complete(load(target)),
        ("DELETE", _, Some(attempt)) => {
            target.cancel(attempt);
            Reply::Complete(Response::new(204, Vec::new()))
        }
        _ => Reply::Complete(Response::new(404, Vec::new())),
    }
}

fn load(target: &Target) -> Response {
    let report = target.load_report();
    let mut response = Response::new(200, serde_json::to_vec(&report).unwrap_or_default());
    response.headers.push(("content-type", "application/json".to_owned()));
    response
}

/// Sends a reply. Returns whether the connection stays open.
async fn send(writer: &mut OwnedWriteHalf, reply: Reply) -> io::Result<bool> {
    match reply {
        Reply::Complete(response) => {
            write_all(writer, &response.encode()).await?;
            Ok(true)
        }
        Reply::Truncated(response) => {
            let buf = response.encode();
            let cut = buf.len() - response.body.len() / 2;
            write_all(writer, &buf[..cut]).await?;
            Ok(false)
        }
        Reply::NoResponse => Ok(false),
    }
}

/// Reads and discards input until the client closes the connection.
async fn discard_input(reader: &mut BufReader<OwnedReadHalf>) -> io::Result<()> {
    loop {
        let len = reader.fill_buf().await?.len();
        if len == 0 {
            return Ok(());
        }
        reader.consume(len);
    }
}
