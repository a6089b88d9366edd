//! Settings of the forwarding tier.

use std::{net::SocketAddr, time::Duration};

use base::DomainName;
use forward::{
    customers::CustomerBounds,
    placement::{Limits, outbound::SpilloverPolicy},
    route::Regions,
    source_calls::CallLimits,
};

use crate::{HeaderNames, PeerKeys};

/// Leaves room for connections to targets within the usual limit of 1,024 file
/// descriptors.
const DEFAULT_MAX_CALLER_CONNECTIONS: usize = 600;

/// Usual limit of a process.
const DEFAULT_MAX_DESCRIPTORS: usize = 1_024;

/// One core, in thousandths.
const DEFAULT_CAPACITY: u32 = 1_000;

/// Memory of a host that states none.
const DEFAULT_MEMORY_BYTES: usize = 256 * 1024 * 1024;

const DEFAULT_CONFIGURATION_DUE: Duration = Duration::from_secs(3);

const DEFAULT_SOURCE_RECOVERY: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Address on which callers are served.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    pub readiness_path: String,
    /// Address at which metrics are served; `None` to serve none.
    pub metrics: Option<SocketAddr>,
    /// Address for other hosts: gossip over UDP, this host's state over TCP.
    pub peers: SocketAddr,
    /// Addresses of hosts through which others are discovered.
    pub seeds: Vec<SocketAddr>,
    /// Keys by which hosts know each other's digests and state.
    pub peer_keys: PeerKeys,
    pub domain: DomainName,
    /// Processing capacity in thousandths of a core.
    pub capacity: u32,
    pub regions: Regions,
    pub limits: Limits,
    pub names: HeaderNames,
    /// Limit on connections from callers. Beyond it, the connection that has
    /// been idle longest is closed.
    pub max_caller_connections: usize,
    /// Limit on the descriptors of this process.
    pub max_descriptors: usize,
    /// Memory of the machine that this host may take.
    pub memory_bytes: usize,
    /// Limit on the part of a share of the memory that one caller's address holds.
    pub address_part: f64,
    /// Limit on the time from the stop signal to the end of the process.
    pub shutdown_timeout: Duration,
    /// Limits of calls to the source.
    pub source_calls: CallLimits,
    /// Time within which a configuration that was published is due to be in force on all
    /// hosts.
    pub configuration_due: Duration,
    /// Bounds on what the configuration says of customers.
    pub customers: CustomerBounds,
    /// Whether queries over many shards spare overloaded ones.
    pub spares_overloaded: bool,
    /// By what it is decided whether work leaves the failure domain.
    pub spillover: SpilloverPolicy,
}

/// Builder of [`FrontSettings`]. Addresses and header names are required, since
/// they have no sensible default.
#[derive(Clone, Debug)]
pub struct FrontSettingsBuilder {
    cfg: FrontSettings,
}

impl FrontSettingsBuilder {
    pub fn new(callers: SocketAddr, readiness: SocketAddr, names: HeaderNames) -> Self {
        let retry = forward::budget::RetryLimits {
            ratio: 0.05,
            window: Duration::from_secs(10),
            slack: 10.0,
        };
        let limits = Limits {
            retry,
            cold_ratio: 1.0,
            cold_slack: 0.0,
            cross_domain: Duration::from_millis(2),
            leaving_for: Duration::from_secs(1),
        };
        let cfg = FrontSettings {
            callers,
            readiness,
            readiness_path: "/ready".to_owned(),
            metrics: None,
            peers: SocketAddr::new(callers.ip(), 0),
            seeds: Vec::new(),
            peer_keys: PeerKeys::default(),
            domain: DomainName::new("local"),
            capacity: DEFAULT_CAPACITY,
            regions: Regions::default(),
            limits,
            names,
            max_caller_connections: DEFAULT_MAX_CALLER_CONNECTIONS,
            max_descriptors: DEFAULT_MAX_DESCRIPTORS,
            memory_bytes: DEFAULT_MEMORY_BYTES,
            address_part: 1.0,
            shutdown_timeout: Duration::from_secs(6),
            source_calls: CallLimits::new(DEFAULT_SOURCE_RECOVERY),
            configuration_due: DEFAULT_CONFIGURATION_DUE,
            customers: CustomerBounds::default(),
            spares_overloaded: false,
            spillover: SpilloverPolicy::default(),
        };
        FrontSettingsBuilder { cfg }
    }

    pub fn readiness_path(mut self, path: &str) -> Self {
        self.cfg.readiness_path = path.to_owned();
        self
    }

    pub fn metrics(mut self, address: Option<SocketAddr>) -> Self {
        self.cfg.metrics = address;
        self
    }

    pub fn peers(mut self, address: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        self.cfg.peers = address;
        self.cfg.seeds = seeds;
        self
    }

    pub fn peer_keys(mut self, keys: PeerKeys) -> Self {
        self.cfg.peer_keys = keys;
        self
    }

    pub fn location(mut self, domain: DomainName, regions: Regions) -> Self {
        self.cfg.domain = domain;
        self.cfg.regions = regions;
        self
    }

    /// Sets the processing capacity in thousandths of a core. Hosts with more of it
    /// serve requests for others.
    pub fn capacity(mut self, capacity: u32) -> Self {
        self.cfg.capacity = capacity;
        self
    }

    pub fn limits(mut self, limits: Limits) -> Self {
        self.cfg.limits = limits;
        self
    }

    pub fn max_caller_connections(mut self, count: usize) -> Self {
        self.cfg.max_caller_connections = count;
        self
    }

    pub fn max_descriptors(mut self, count: usize) -> Self {
        self.cfg.max_descriptors = count;
        self
    }

    /// Sets the memory that this host may take, and the limit on the part of each share of
    /// it that one caller's address holds.
    pub fn memory(mut self, bytes: usize, address_part: f64) -> Self {
        self.cfg.memory_bytes = bytes;
        self.cfg.address_part = address_part;
        self
    }

    pub fn shutdown_timeout(mut self, limit: Duration) -> Self {
        self.cfg.shutdown_timeout = limit;
        self
    }

    /// Sets the time from the return of the source within which this host is to follow
    /// it again.
    pub fn source_recovery(mut self, limit: Duration) -> Self {
        self.cfg.source_calls = CallLimits::new(limit);
        self
    }

    /// Sets the time within which a configuration is due on all hosts.
    pub fn configuration_due(mut self, time: Duration) -> Self {
        self.cfg.configuration_due = time;
        self
    }

    pub fn customers(mut self, bounds: CustomerBounds) -> Self {
        self.cfg.customers = bounds;
        self
    }

    pub fn spillover(mut self, policy: SpilloverPolicy) -> Self {
        self.cfg.spillover = policy;
        self
    }

    pub fn build(self) -> FrontSettings {
        self.cfg
    }
}
