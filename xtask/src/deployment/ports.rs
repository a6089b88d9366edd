//! Free loopback ports below the ephemeral range, from which the system takes
//! the ports of outgoing connections.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;
/// Distance between the first ports that processes with successive ids try.
const STRIDE: u32 = 997;

/// Allocator of free ports; holds the port tried last.
pub struct Ports(u16);

impl Ports {
    /// Starts at a port derived from the process id, so that parallel runs
    /// rarely try the same ports.
    pub fn new() -> Self {
        let range = u32::from(LAST_PORT - FIRST_PORT);
        let offset = std::process::id().wrapping_mul(STRIDE) % range;
        Ports(FIRST_PORT + offset as u16)
    }

    /// Returns the loopback address of the next port that is free for TCP and UDP.
    pub fn next(&mut self) -> SocketAddr {
        loop {
            self.0 = if self.0 >= LAST_PORT { FIRST_PORT } else { self.0 + 1 };
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.0));
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return address;
            }
        }
    }
}
