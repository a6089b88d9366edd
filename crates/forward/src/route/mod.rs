//! Routes: the configuration in force, and the choice of a request's route.
//!
//! Load pattern answered: none; a lookup is a hash of the host and a walk over
//! that host's prefixes, longest first.

mod table;

use std::{sync::Arc, time::Duration};

use base::{DomainName, HashMap, RegionName, ServiceName};

pub use self::table::{RouteEntry, RouteTable};

/// A configuration as operators published it. Later versions replace it whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: HashMap<ServiceName, Service>,
    pub limits: CallerLimits,
}

/// Where requests of one host and path prefix go, and under what promises.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: Arc<str>,
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    pub repeat: Repeat,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// An answer within this is worth all, a later one little.
    pub objective: Duration,
    /// Targets (of each shard) that one request may run on.
    pub attempts: u32,
    /// 0 is the most urgent.
    pub priority: u32,
    pub destination: Destination,
    /// Regions whose targets may be used; empty: all.
    pub regions: Vec<RegionName>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    /// Sent to one target, once, unless it is certain that it did not run.
    AtMostOnce,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    Service(ServiceName),
    /// One of several services, in proportion to their weights.
    Weighted(Vec<(ServiceName, f64)>),
    /// One target of each shard; the greatest records are merged.
    Gather(GatherSpec),
}

#[derive(Clone, Debug, PartialEq)]
pub struct GatherSpec {
    /// Each shard is a service of its own.
    pub shards: Vec<ServiceName>,
    /// Records in an answer.
    pub top: usize,
    /// Least share of the shards that makes an answer, 0 to 1.
    pub min_share: f64,
}

/// What the operators state of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub health_path: Arc<str>,
    /// Connections that one target takes from all hosts together.
    pub max_connections: u32,
    /// How long a target is cold after its start.
    pub warmup: Duration,
    /// Requests a second that a cold target bears; `None`: no such limit.
    pub warmup_rate: Option<f64>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Destination {
    pub fn services(&self) -> Vec<&ServiceName> {
        match self {
            Destination::Service(name) => vec![name],
            Destination::Weighted(parts) => parts.iter().map(|(name, _)| name).collect(),
            Destination::Gather(spec) => spec.shards.iter().collect(),
        }
    }
}

impl GatherSpec {
    /// Fewest shards that make an answer.
    pub fn min_shards(&self) -> usize {
        let exact = self.min_share * self.shards.len() as f64;
        // A share such as 0.9 of 20 must not become 19 by rounding error.
        ((exact - 1e-9).ceil() as usize).max(1)
    }
}

/// The region of each failure domain.
pub type Regions = HashMap<DomainName, RegionName>;
