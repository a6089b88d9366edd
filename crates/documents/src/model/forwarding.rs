//! A host that forwards by a file: where it listens, its routes and targets.

use std::{net::SocketAddr, time::Duration};

use base::DomainName;
use forward::{Configuration, TargetReport, route::Regions};

/// All of one host's forwarding.
#[derive(Clone, Debug, PartialEq)]
pub struct Forwarding {
    pub listen: ForwardingListen,
    /// Failure domain that the host stands in.
    pub domain: DomainName,
    pub regions: Regions,
    /// Extra sends for each request.
    pub retry_ratio: f64,
    /// A leaving target is a last resort for this long.
    pub leaving_for: Duration,
    pub configuration: Configuration,
    pub targets: Vec<TargetReport>,
    /// Domains that get nothing.
    pub out: Vec<DomainName>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardingListen {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: Option<SocketAddr>,
    /// Digests and state of other hosts.
    pub peers: SocketAddr,
    pub seeds: Vec<SocketAddr>,
}
