//! Small fleet messages as UDP datagrams on the host's peer address.

use std::{io, net::SocketAddr, sync::Arc};

use slog::{Logger, debug};
use tokio::net::UdpSocket;

use crate::identity::Identity;

/// Largest message to send as a datagram, in bytes; callers send larger ones
/// over a link.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Largest datagram accepted, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// UDP socket on the host's peer address that signs and verifies datagrams.
#[derive(Clone)]
pub struct DatagramSocket {
    socket: Arc<UdpSocket>,
    identity: Identity,
    log: Logger,
}

impl DatagramSocket {
    /// Wraps a bound socket. Must be called within a tokio runtime.
    pub fn new(socket: std::net::UdpSocket, identity: Identity, log: Logger) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        let socket = Arc::new(UdpSocket::from_std(socket)?);
        Ok(DatagramSocket { socket, identity, log })
    }

    /// Sends a message and returns the bytes sent, or 0 if it was dropped. A
    /// full socket buffer drops the message, as the network may.
    pub fn send(&self, to: SocketAddr, message: &[u8]) -> usize {
        let mut buf = message.to_vec();
        self.identity.sign_datagram(&mut buf);
        match self.socket.try_send_to(&buf, to) {
            Ok(sent) => sent,
            Err(err) => {
                debug!(self.log, "datagram not sent"; "to" => %to, "error" => %err);
                0
            }
        }
    }

    /// Waits for the next valid datagram and returns its source address and
    /// message; invalid datagrams are dropped.
    pub async fn receive(&self) -> (SocketAddr, Vec<u8>) {
        let mut buf = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            // An error here reports the failure of an earlier send; no
            // received datagram is lost.
            let Ok((len, from)) = self.socket.recv_from(&mut buf).await else { continue };
            match self.identity.verify_datagram(&buf[..len]) {
                Ok(body) => return (from, body.to_vec()),
                Err(err) => {
                    debug!(self.log, "datagram dropped"; "from" => %from, "error" => %err);
                }
            }
        }
    }
}
