//! A target's listener and its connections.

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

/// Listens whenever the target is up, for ever.
pub async fn run(target: Arc<Target>) {
    loop {
        if !target.poll_up() {
            time::sleep(RETRY_INTERVAL).await;
            continue;
        }
        let mut life = target.watch_life();
        let Ok(listener) = TcpListener::bind(target.spec().address).await else {
            time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        tokio::select! {
            () = accept(&target, &listener) => {}
            _ = life.changed() => {}
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
        tokio::spawn(serve(Arc::clone(target), stream, guard));
    }
}

async fn serve(target: Arc<Target>, stream: TcpStream, guard: ConnectionGuard) {
    let mut life = target.watch_life();
    let _ = stream.set_nodelay(true);
    tokio::select! {
        _ = exchange(&target, stream, guard) => {}
        _ = life.changed() => {}
    }
}

async fn exchange(target: &Target, stream: TcpStream, guard: ConnectionGuard) -> io::Result<()> {
    let delay_ms = target.lock().knobs.connect_delay_ms;
    time::sleep(Duration::from_secs_f64(delay_ms.max(0.0) / 1_000.0)).await;
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::new(read);
    let mut guard = Some(guard);
    while let Some(req) = read_request(&mut read).await? {
        if guard.as_ref().is_some_and(ConnectionGuard::is_silent) {
            return swallow(&mut read).await;
        }
        let reply = respond(target, &req, &mut read, &mut guard).await;
        if guard.as_ref().is_some_and(ConnectionGuard::is_silent) {
            return swallow(&mut read).await;
        }
        let keep_open = send(&mut write, reply).await?;
        if !keep_open || guard.is_none() {
            break;
        }
    }
    Ok(())
}

/// Runs the request. If the client closes meanwhile the connection no longer
/// counts, but the work goes on, as it does in most back ends.
async fn respond(
    target: &Target,
    req: &Request,
    read: &mut BufReader<OwnedReadHalf>,
    guard: &mut Option<ConnectionGuard>,
) -> Reply {
    let reply = dispatch(target, req);
    tokio::pin!(reply);
    tokio::select! {
        reply = &mut reply => return reply,
        closed = read.fill_buf() => {
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
        ("GET", "/v1/load", _) => Reply::Whole(load(target)),
        ("DELETE", _, Some(attempt)) => {
            target.cancel(attempt);
            Reply::Whole(Response::new(204, Vec::new()))
        }
        _ => Reply::Whole(Response::new(404, Vec::new())),
    }
}

fn load(target: &Target) -> Response {
    let report = target.load_report();
    let mut response = Response::new(200, serde_json::to_vec(&report).unwrap_or_default());
    response.headers.push(("content-type", "application/json".to_owned()));
    response
}

/// Writes a reply; tells whether the connection stays open.
async fn send(write: &mut OwnedWriteHalf, reply: Reply) -> io::Result<bool> {
    match reply {
        Reply::Whole(response) => {
            write_all(write, &response.encode()).await?;
            Ok(true)
        }
        Reply::Truncated(response) => {
            let buf = response.encode();
            let cut = buf.len() - response.body.len() / 2;
            write_all(write, &buf[..cut]).await?;
            Ok(false)
        }
        Reply::Lost => Ok(false),
    }
}

/// Reads and forgets until the client gives up.
async fn swallow(read: &mut BufReader<OwnedReadHalf>) -> io::Result<()> {
    loop {
        let len = read.fill_buf().await?.len();
        if len == 0 {
            return Ok(());
        }
        read.consume(len);
    }
}
