//! Loopback addresses of a run, which differ from those of a run beside it.

use std::{
    net::{IpAddr, SocketAddr},
    process,
};

/// Last number of the store's address, and of the targets'.
const STORE: u8 = 251;
const TARGETS: u8 = 252;

pub const CALLERS_PORT: u16 = 8_104;
pub const READY_PORT: u16 = 8_108;
pub const CONTROL_PORT: u16 = 8_106;
pub const PEERS_PORT: u16 = 7_380;
pub const METRICS_PORT: u16 = 9_464;

/// Returns the address of the host at `index`.
pub fn host(index: usize) -> IpAddr {
    own(u8::try_from(index + 1).unwrap_or(u8::MAX))
}

/// Returns the store's address for the host at `index`, by which it tells hosts apart.
pub fn store(index: usize) -> SocketAddr {
    SocketAddr::new(own(STORE), 8_200 + u16::try_from(index).unwrap_or(0))
}

pub fn targets() -> IpAddr {
    own(TARGETS)
}

fn own(last: u8) -> IpAddr {
    let [.., high, low] = process::id().to_be_bytes();
    IpAddr::from([127, 64 | high & 63, low, last])
}
