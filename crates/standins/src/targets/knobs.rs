//! How a target behaves, and changes to that while it runs.

use base::Snapshot;
use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Distribution {
    Constant,
    Exponential,
}

/// Behaviour of one target. Probabilities are per request, 0 to 1.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Knobs {
    /// Requests that run at once; more wait in line.
    pub slots: u32,
    /// Connections accepted; more are closed at once.
    pub connections: u32,
    /// Time before a new connection is served.
    pub connect_delay_ms: f64,
    /// Mean service time.
    pub service_ms: f64,
    pub distribution: Distribution,
    pub straggle_factor: f64,
    pub straggle_probability: f64,
    /// Requests at once that the target bears when it starts cold.
    pub cold_slots: u32,
    /// Requests after which a cold target is warm.
    pub warm_requests: u32,
    /// Slowdown of a wholly cold target.
    pub cold_factor: f64,
    /// How long the target is dead after it falls over or crashes.
    pub fall_ms: u64,
    /// Requests in line beyond which the target sheds.
    pub max_queue: u32,
    pub shed_probability: f64,
    /// Tells callers that it is leaving.
    pub leaving: bool,
    /// Refuses work while leaving.
    pub leaving_refuses: bool,
    /// Echoes the id and body of another request.
    pub crossed_probability: f64,
    /// Answers `late_ms` late, whatever the deadline.
    pub late_probability: f64,
    pub late_ms: u64,
    /// Closes in the middle of the body.
    pub truncated_probability: f64,
    /// Runs the request and closes without an answer.
    pub lost_probability: f64,
    /// Age of what the load report tells.
    pub load_lag_ms: u64,
    /// The load report claims an idle, healthy target.
    pub load_lies: bool,
    pub honours_cancel: bool,
    pub honours_deadline: bool,
    /// Accepts connections and never answers.
    pub frozen: bool,
}

/// Which targets a change is for; an absent field matches all.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct TargetSelector {
    pub domain: Option<String>,
    pub pool: Option<String>,
    pub shard: Option<u32>,
    pub targets: Option<Vec<String>>,
}

/// Something that happens to a target once.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetCommand {
    /// Connections open now go silent; new ones work.
    Silence,
    /// Stops, with all connections reset.
    Down,
    /// Starts again, cold, with a new incarnation.
    Up,
    /// Loses its warmth without notice.
    TurnCold,
    /// Counts work from now on as work in a domain that is out.
    ToldOut,
    ToldIn,
    /// Holds a further snapshot (`map.index`), as the given shard; by default
    /// as the shard it already holds in that map.
    Hold {
        snapshot: String,
        shard: Option<u32>,
    },
    /// Gives up a snapshot.
    Drop {
        snapshot: String,
    },
}

/// One call of the control API.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct TargetChange {
    pub select: TargetSelector,
    /// Knobs to change, by name.
    pub set: Option<Value>,
    #[serde(rename = "do")]
    pub commands: Vec<TargetCommand>,
}

impl Knobs {
    /// A healthy target as its document describes it.
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

/// A snapshot in a command.
pub fn parse_snapshot(text: &str) -> Result<Snapshot, String> {
    text.parse().map_err(|_| format!("`{text}` is not a snapshot; write `map.index`"))
}
