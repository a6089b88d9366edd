//! Decisions of the forwarding tier: which route a request matches, which target
//! gets a subquery, when a subquery is hedged, and when a query over many shards
//! is answered with the parts received so far.
//!
//! This crate does no I/O, reads no clock and draws no random numbers: time is an
//! argument. HTTP, header names and sockets are in `front`.

pub mod budget;
pub mod customers;
pub mod feed;
pub mod gather;
pub mod helpers;
pub mod isolation;
pub mod latency;
pub mod memory;
pub mod merge;
pub mod peers;
pub mod placement;
pub mod query;
pub mod quota;
pub mod readers;
pub mod retry_after;
pub mod route;
pub mod senders;
pub mod source_calls;
pub mod stopping;
pub mod suspects;
pub mod target;
pub mod version_lag;

pub use crate::{
    budget::RetryBudget,
    feed::{FeedProgress, Position, Provenance, Reach},
    gather::{Gather, Verdict},
    latency::LatencyQuantile,
    placement::{Placement, Targets},
    query::{Query, QueryPlan},
    route::{CallerLimits, Configuration, Destination, Repeat, Route, RouteTable, Service},
    target::{Lifecycle, TargetReport},
    version_lag::VersionLag,
};
