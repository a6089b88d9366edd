//! Serves the address for other hosts: requests that they pass on, the feeds that they
//! follow, and this host's state.

mod relayed;

use std::convert::Infallible;

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    SharedCx,
    callers::MAX_HEADER_FIELDS,
    follow,
    messages::Relay,
    port_connections::{HEAD_BUFFER_BYTES, PortConnection, PortConnections},
    socket, state,
};

/// Room for the fields that a host adds to the head of a request that it passes on.
const RELAY_HEAD_BYTES: usize = 8 * 1024;

pub(crate) async fn serve(cx: SharedCx, listener: TcpListener) {
    let connections = PortConnections::of_hosts(&cx);
    loop {
        let (stream, _) = socket::accept(&cx.log, &listener).await;
        if let Some(connection) = connections.admit(&cx) {
            tokio::task::spawn_local(answer(cx.clone(), stream, connection));
        }
    }
}

async fn answer(cx: SharedCx, stream: TcpStream, connection: PortConnection) {
    if socket::set_options(&stream).is_err() {
        return;
    }
    let service = service_fn(|req| {
        let (cx, connection) = (cx.clone(), &connection);
        async move {
            let _request = connection.request(&cx);
            let relay = Relay::read(req.headers(), cx.clock.now());
            let answer = match relay {
                Some(relay) => relayed::answer(&cx, relay, req).await,
                None => match follow::answer(&cx, req.uri().path()).await {
                    Some(answer) => answer,
                    None => state::answer(&cx, req.uri().path()),
                },
            };
            Ok::<_, Infallible>(answer)
        }
    });
    let head_bytes = cx.limits.get().header_bytes + RELAY_HEAD_BYTES;
    let served = http1::Builder::new()
        .half_close(false)
        .max_buf_size(head_bytes.max(HEAD_BUFFER_BYTES))
        .max_headers(MAX_HEADER_FIELDS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // An error means that the peer closed the connection; it will retry.
        _ = served => {}
        () = connection.closed() => {}
    }
}
