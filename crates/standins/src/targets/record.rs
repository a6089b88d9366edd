//! What a target did, kept by the target itself.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What one target did since its record was reset.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TargetRecord {
    pub target: String,
    pub pool: String,
    pub domain: String,
    pub shard: u32,
    pub incarnation: u64,
    /// Query attempts that arrived.
    pub received: u64,
    /// Attempts that began to run.
    pub started: u64,
    pub finished: u64,
    pub cancelled: u64,
    pub refused: u64,
    /// Sum of time that attempts ran, in milliseconds.
    pub busy_ms: f64,
    /// Most attempts running or in line at once.
    pub max_in_flight: u32,
    /// Attempts that found every slot taken.
    pub over_slots: u64,
    pub max_connections: u32,
    pub connections_over_limit: u64,
    /// Falls of a target that had started cold.
    pub cold_overload_events: u64,
    /// Falls of a target that had turned cold without notice.
    pub turned_cold_overload_events: u64,
    pub crashes: u64,
    /// Latest arrival of work after the target told that it leaves, in
    /// milliseconds since then.
    pub work_after_leaving_ms_max: u64,
    /// The same since operators took the domain out.
    pub work_after_out_ms_max: u64,
    /// Answers by snapshot read.
    pub snapshots: BTreeMap<String, u64>,
}

/// How often a target ran one request, known by the first word of its body.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunCount {
    pub service: String,
    pub shard: u32,
    pub key: String,
    pub is_idempotent: bool,
    pub count: u32,
}
