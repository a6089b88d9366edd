//! Types shared by every crate: names, ids, time, outcomes, findings and the
//! invariant check.
//!
//! This crate does no I/O, reads no clock and draws no random numbers. It makes
//! no decisions: policies live in `policy` and `fleet`.

pub mod collections;
pub mod finding;
pub mod ids;
pub mod invariant;
pub mod name;
pub mod outcome;
pub mod share;
pub mod time;

pub use crate::{
    collections::{HashMap, HashSet},
    finding::{Finding, Findings, Place},
    ids::{AttemptId, Incarnation, RequestId, Revision, ShardId, Snapshot},
    name::{
        CustomerName, DomainName, HostName, PoolName, RegionName, ServiceName, TargetName, TeamName,
    },
    outcome::{Missing, Outcome, Reason},
    share::Share,
    time::Time,
};
