//! Customers: who sends requests with keys, how many, and how urgent they are.
//!
//! Keys are known by their digests only. A lookup compares digests, so the time that it
//! takes says nothing of the keys, and a configuration can be passed between hosts without
//! them.

mod freshness;
mod key;
mod table;

use std::time::Duration;

use base::CustomerName;

pub use self::{
    freshness::{FreshnessProof, FreshnessView, StatedProof},
    key::{CustomerKey, KeyDigest},
    table::CustomerTable,
};

/// A customer of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    pub name: CustomerName,
    pub keys: Vec<KeyDigest>,
    /// Limit over all hosts; `None` for no limit, as well as a rate of zero.
    pub limit: Option<RateLimit>,
    /// Goes before the route's priority.
    pub priority: Option<u32>,
}

impl Customer {
    /// Returns the limit; a rate of zero is none.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit.filter(|it| it.per_second > 0.0)
    }
}

/// Requests that a customer may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    pub per_second: f64,
    /// Requests beyond the rate after a time with fewer.
    pub burst: f64,
}

/// Bounds within which hosts have to keep what a configuration says of customers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerBounds {
    /// Whether a host that may have missed the removal of a key refuses requests with keys.
    pub is_revocation_strict: bool,
    /// Time from the removal of a key after which no request with it runs.
    pub revocation_due: Duration,
    /// Time over which a customer's requests are compared with its limit.
    pub limit_window: Duration,
    /// Share of the limit by which the requests in a window may exceed it, and a number of
    /// requests beyond that.
    pub limit_tolerance: f64,
    pub limit_slack: f64,
}

impl Default for CustomerBounds {
    fn default() -> Self {
        CustomerBounds {
            is_revocation_strict: false,
            revocation_due: Duration::from_secs(5),
            limit_window: Duration::from_secs(5),
            limit_tolerance: 0.0,
            limit_slack: 0.0,
        }
    }
}
