//! TCP connections with options that detect a silent peer, and listeners.

use std::{io, net::SocketAddr, time::Duration};

use slog::{Logger, warn};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};

/// Idle time before the first keep-alive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);

/// Time between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which sent bytes may stay unacknowledged before the kernel closes
/// the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(4);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Limit on connections that wait to be accepted.
pub(crate) const LISTEN_BACKLOG: u32 = 1_024;

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Connects to a target. Closing the connection discards bytes that have not
/// been delivered, so that an abandoned request does not arrive after a network
/// partition heals.
pub(crate) async fn connect_target(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = connect(addr).await?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Connects to `addr` within one second, and sets the options that detect a
/// silent peer.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(addr);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Disables Nagle's algorithm, and makes the kernel close the connection when
/// the peer falls silent.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

pub(crate) fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Returns the next connection. On an error, such as a lack of file
/// descriptors, waits for a short time and retries.
pub(crate) async fn accept(log: &Logger, listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(err) => warn!(log, "front: cannot accept a connection"; "error" => %err),
        }
        sleep(ACCEPT_RETRY_PAUSE).await;
    }
}
