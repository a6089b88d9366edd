//! TCP connections with options that detect a silent peer.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keep-alive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);

/// Time between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which sent bytes may stay unacknowledged before the kernel closes
/// the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(4);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

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
