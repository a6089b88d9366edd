//! Forwarding file of one host: its listen addresses, routes and targets.

use std::{net::SocketAddr, time::Duration};

use base::DomainName;
use forward::{Configuration, TargetReport, route::Regions};

/// A checked forwarding file.
#[derive(Clone, Debug, PartialEq)]
pub struct Forwarding {
    pub listen: ForwardingListen,
    /// Failure domain of the host.
    pub domain: DomainName,
    pub regions: Regions,
    /// Limit on extra sends, as a ratio to requests.
    pub retry_ratio: f64,
    /// Time for which a leaving target still serves as a fallback.
    pub leaving_for: Duration,
    pub configuration: Configuration,
    pub targets: Vec<TargetReport>,
    /// Failure domains that receive no requests.
    pub out: Vec<DomainName>,
}

/// Listen addresses of the host, and the hosts to contact first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardingListen {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: Option<SocketAddr>,
    /// Address for digests and state from other hosts.
    pub peers: SocketAddr,
    pub seeds: Vec<SocketAddr>,
}
