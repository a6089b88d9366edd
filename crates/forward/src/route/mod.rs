//! Routes: the configuration in force, and the lookup of a request's route.
//!
//! Load pattern answered: none. A lookup hashes the host and walks over that
//! host's prefixes, longest first.

mod table;
mod unknown;

use std::{sync::Arc, time::Duration};

use base::{DomainName, HashMap, RegionName, ServiceName};

use crate::customers::Customer;

pub use self::{
    table::{RouteEntry, RouteTable},
    unknown::{ConfigurationView, UnknownRoute},
};

/// A configuration as published by operators. A later version replaces it
/// entirely.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: HashMap<ServiceName, Service>,
    pub limits: CallerLimits,
    /// Customers, who send requests with keys. Without any, no request needs a key.
    pub customers: Vec<Customer>,
}

/// Destination and limits of the requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: Arc<str>,
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    pub repeat: Repeat,
    /// Maximum time until the caller gets an answer or an error.
    pub timeout: Duration,
    /// Latency objective. An answer is of full value within it and of little value
    /// later.
    pub objective: Duration,
    /// Maximum number of targets (of each shard) that may run one request.
    pub attempts: u32,
    /// 0 is the most urgent.
    pub priority: u32,
    pub destination: Destination,
    /// Regions whose targets may be used; all if empty.
    pub regions: Vec<RegionName>,
    /// Whether requests need no key where the configuration has customers.
    pub is_open: bool,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    /// Sent again only if it certainly did not run.
    AtMostOnce,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    Service(ServiceName),
    /// One of several services, in proportion to their weights.
    Weighted(Vec<(ServiceName, f64)>),
    /// One target of each shard; the greatest records of all parts are merged.
    Gather(GatherSpec),
}

#[derive(Clone, Debug, PartialEq)]
pub struct GatherSpec {
    /// Each shard is a service of its own.
    pub shards: Vec<ServiceName>,
    /// Maximum number of records in an answer.
    pub top: usize,
    /// Minimum share of the shards in an answer, from 0 to 1.
    pub min_share: f64,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub health_path: Arc<str>,
    /// Maximum number of connections to one target from all hosts together.
    pub max_connections: u32,
    /// Time for which a target is cold after its start.
    pub warmup: Duration,
    /// Capacity of a cold target in requests per second; `None` for no limit.
    pub warmup_rate: Option<f64>,
}

/// Size limits and timeouts for callers.
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
    /// Returns the minimum number of shards in an answer.
    pub fn min_shards(&self) -> usize {
        let exact = self.min_share * self.shards.len() as f64;
        // 0.9 of 20 must be 18, not 19 by a rounding error.
        ((exact - 1e-9).ceil() as usize).max(1)
    }
}

/// The region of each failure domain.
pub type Regions = HashMap<DomainName, RegionName>;
