//! TCP connections with the options that show a silent peer.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keep-alive probe, and between two.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A connection on which sent bytes are not acknowledged for this long ends.
const USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest time to wait for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connects to a target. When the connection is closed, what the target has
/// not received yet is dropped: a request that was given up must not arrive
/// after all when a cut heals.
pub(crate) async fn connect_target(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = connect(addr).await?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Connects to `addr` within a second.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(addr);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    watch_silence(&stream)?;
    Ok(stream)
}

/// Makes the kernel end the connection when the other side is gone silently.
pub(crate) fn watch_silence(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
