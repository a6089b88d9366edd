//! Counters that each target keeps of what it did.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counters of one target since its record was reset.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TargetRecord {
    pub target: String,
    pub pool: String,
    pub domain: String,
    pub shard: u32,
    pub incarnation: u64,
    /// Query attempts that arrived at the target.
    pub received: u64,
    /// Attempts that began to run.
    pub started: u64,
    pub finished: u64,
    /// Attempts that were cancelled while they ran.
    pub cancelled: u64,
    /// Attempts answered with the outcome `not_run`.
    pub refused: u64,
    /// Total run time of attempts, in milliseconds.
    pub busy_ms: f64,
    /// Largest number of attempts that ran or were queued at once.
    pub max_in_flight: u32,
    /// Attempts that were queued because all slots were in use.
    pub over_slots: u64,
    pub max_connections: u32,
    pub connections_over_limit: u64,
    /// Crashes from overload of a target that was cold after a restart.
    pub cold_overload_events: u64,
    /// Crashes from overload of a target that had become cold without a restart.
    pub turned_cold_overload_events: u64,
    /// Crashes caused by a query whose body starts with `CRASH`.
    pub crashes: u64,
    /// Latest arrival of a query after the target announced that it is leaving, in
    /// milliseconds since the announcement.
    pub work_after_leaving_ms_max: u64,
    /// Latest arrival of a query after operators took the domain out, in
    /// milliseconds since then.
    pub work_after_out_ms_max: u64,
    /// Number of answers by the snapshot that was read.
    pub snapshots: BTreeMap<String, u64>,
}

/// Number of times that a target began to run one request. `key` identifies the
/// request: it is the first word of the body, cut to 80 characters.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunCount {
    pub service: String,
    pub shard: u32,
    pub key: String,
    pub is_idempotent: bool,
    pub count: u32,
}
