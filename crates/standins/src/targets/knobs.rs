//! Adjustable behaviour of a target, and changes to it at run time.

use base::Snapshot;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Distribution of service times around the mean `service_ms`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Distribution {
    Constant,
    Exponential,
}

/// Adjustable behaviour of one target. Probabilities are per request, from 0 to 1;
/// times with the suffix `_ms` are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Knobs {
    /// Maximum number of requests that run at once; further requests are queued.
    pub slots: u32,
    /// Maximum number of open connections; further ones are closed immediately.
    pub connections: u32,
    /// Time from accepting a connection to reading its first request.
    pub connect_delay_ms: f64,
    /// Mean service time.
    pub service_ms: f64,
    pub distribution: Distribution,
    /// Factor on the service time of a straggler.
    pub straggle_factor: f64,
    pub straggle_probability: f64,
    /// Requests in flight that a fully cold target handles. One more makes it crash.
    pub cold_slots: u32,
    /// Finished requests after which a cold target is warm.
    pub warm_requests: u32,
    /// Factor on the service time of a fully cold target; falls linearly to 1 as the
    /// target warms up.
    pub cold_factor: f64,
    /// Time for which the target is down after it crashed.
    pub fall_ms: u64,
    /// Queued requests at which the target rejects further ones with status 503.
    pub max_queue: u32,
    /// Rejects the request with status 503.
    pub shed_probability: f64,
    /// Time for which a response with status 503 asks for no requests; 0 asks for none.
    pub retry_after_ms: u64,
    /// Announces to callers that the target is leaving.
    pub leaving: bool,
    /// Rejects requests with status 410 while leaving.
    pub leaving_refuses: bool,
    /// Answers with the attempt id and the body of the previous answer.
    pub crossed_probability: f64,
    /// Delays the answer by `late_ms`, regardless of the deadline.
    pub late_probability: f64,
    pub late_ms: u64,
    /// Closes the connection in the middle of the body.
    pub truncated_probability: f64,
    /// Runs the request and closes the connection without an answer.
    pub lost_probability: f64,
    /// Minimum age of the load in a load report; 0 reports the current load.
    pub load_lag_ms: u64,
    /// Makes the load report state an idle, healthy target.
    pub load_lies: bool,
    /// Stops attempts that are cancelled.
    pub honours_cancel: bool,
    /// Stops and rejects attempts whose deadline has passed.
    pub honours_deadline: bool,
    /// Accepts connections and never answers.
    pub frozen: bool,
}

/// Selects the targets that a change applies to. An absent field matches all.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct TargetSelector {
    pub domain: Option<String>,
    pub pool: Option<String>,
    pub shard: Option<u32>,
    pub targets: Option<Vec<String>>,
}

/// One-off action on a target.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetCommand {
    /// Stops answering on the connections that are open now; later connections are
    /// served.
    Silence,
    /// Stops the target and closes all its connections.
    Down,
    /// Starts a target that is down: cold and with a new incarnation.
    Up,
    /// Makes the target cold without a restart, so that callers are not informed.
    TurnCold,
    /// Marks the target's domain as taken out by operators: from now on the record
    /// states how late requests still arrive.
    ToldOut,
    /// Clears the mark of `ToldOut`.
    ToldIn,
    /// Adds a snapshot (`map.index`) with the given shard. The default is the shard
    /// of the newest snapshot held of that map, else the target's own shard.
    Hold { snapshot: String, shard: Option<u32> },
    /// Removes a snapshot.
    Drop { snapshot: String },
}

/// Change to the selected targets: the body of `POST /change`.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct TargetChange {
    pub select: TargetSelector,
    /// New values of knobs, by name.
    pub set: Option<Value>,
    #[serde(rename = "do")]
    pub commands: Vec<TargetCommand>,
}

impl Knobs {
    /// Returns the knobs of a healthy target with the limits of its document.
    pub fn new(spec: &documents::Target) -> Self {
        Knobs {
            slots: spec.slots,
            connections: spec.connections,
            connect_delay_ms: 1.0,
            service_ms: 5.0,
            distribution: Distribution::Exponential,
            straggle_factor: 1.0,
            straggle_probability: 0.0,
            cold_slots: spec.cold_slots,
            warm_requests: 50,
            cold_factor: 2.0,
            fall_ms: 2_000,
            max_queue: 64,
            shed_probability: 0.0,
            retry_after_ms: 0,
            leaving: false,
            leaving_refuses: false,
            crossed_probability: 0.0,
            late_probability: 0.0,
            late_ms: 200,
            truncated_probability: 0.0,
            lost_probability: 0.0,
            load_lag_ms: 0,
            load_lies: false,
            honours_cancel: true,
            honours_deadline: true,
            frozen: false,
        }
    }
}

impl TargetSelector {
    pub fn matches(&self, spec: &documents::Target) -> bool {
        let domain = self.domain.as_ref().is_none_or(|it| *it == *spec.domain);
        let pool = self.pool.as_ref().is_none_or(|it| *it == *spec.pool);
        let shard = self.shard.is_none_or(|it| it == spec.shard.0);
        let name = self.targets.as_ref().is_none_or(|all| all.iter().any(|it| **it == *spec.name));
        domain && pool && shard && name
    }
}

/// Parses the snapshot of a command.
pub fn parse_snapshot(text: &str) -> Result<Snapshot, String> {
    text.parse().map_err(|_| format!("invalid snapshot `{text}`: expected `map.index`"))
}
