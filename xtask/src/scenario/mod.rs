//! The scenario format, described in docs/BENCH.md.

use std::{collections::BTreeMap, fs, path::Path};

use eyre::{WrapErr, eyre};
use serde::{Deserialize, Serialize};
use standins::{platform::Outage, targets::TargetChange};

use crate::relay::LinkState;

mod baseline;
#[cfg(test)]
mod tests;

pub use self::baseline::Baseline;

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Scenario {
    pub title: String,
    /// Folder in examples/ that holds the documents.
    pub deployment: Option<String>,
    /// Pools to generate if no deployment is named.
    #[serde(default)]
    pub pools: Vec<PoolPlan>,
    /// Number of daemons, spread evenly over the failure domains.
    #[serde(default = "default_hosts")]
    pub hosts: usize,
    /// Time under load before the measured part, in milliseconds.
    #[serde(default = "default_settle_ms")]
    pub settle_ms: u64,
    /// Fraction of each load's rate that is sent during `settle_ms`, above 0 and at
    /// most 1.
    #[serde(default = "default_settle_share")]
    pub settle_share: f64,
    pub duration_ms: u64,
    /// Start of the calls that count for `fairness_jain`, in milliseconds from
    /// the start of the measured part.
    #[serde(default)]
    pub fairness_from_ms: u64,
    /// Changes applied to the targets before the daemons start.
    #[serde(default)]
    pub targets: Vec<TargetChange>,
    pub load: Vec<Load>,
    /// Events, timed from the start of the measured part.
    #[serde(default)]
    pub timeline: Vec<Event>,
    /// Names of the mechanisms that `bench all` turns off for comparison.
    #[serde(default)]
    pub compare: Vec<String>,
    /// Bounds on values of the summary, by key or ratio of keys.
    #[serde(default)]
    pub bounds: BTreeMap<String, Bound>,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PoolPlan {
    pub name: String,
    pub shards: u32,
    pub slots: u32,
    pub connections: u32,
    pub cold_slots: u32,
    /// Number of targets for each shard, placed in successive domains.
    #[serde(default = "default_replicas")]
    pub replicas: u32,
    /// Number of services, named after the pool and a number.
    pub services: u32,
    pub deadline_ms: u64,
    #[serde(default = "default_coverage")]
    pub min_coverage: f64,
    #[serde(default = "default_prefer")]
    pub prefer: String,
    #[serde(default)]
    pub non_idempotent: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    #[default]
    Query,
    /// A non-idempotent request under a ticket.
    Execute,
}

/// A stream of calls with exponentially distributed gaps.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Load {
    /// Name of the group in the summary.
    pub group: String,
    /// Pool whose services receive the calls, each equally likely; replaces
    /// `services`.
    pub pool: Option<String>,
    #[serde(default)]
    pub services: Vec<String>,
    /// Calls per second over all services.
    pub rate: f64,
    /// Maximum number of calls.
    pub count: Option<usize>,
    #[serde(default)]
    pub kind: CallKind,
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// Whether the body starts with the mark that crashes each target that runs
    /// it.
    #[serde(default)]
    pub crash: bool,
    /// Number of times that the caller may send the same body again, each time
    /// through the balancer, until a complete answer or a final refusal.
    #[serde(default)]
    pub resends: u32,
    /// Time after which the caller gives up on one send, in milliseconds.
    #[serde(default = "default_patience_ms")]
    pub patience_ms: u64,
    /// Start of the load, in milliseconds from the start of the measured part; 0
    /// starts it `settle_ms` earlier.
    #[serde(default)]
    pub from_ms: u64,
    /// End of the load, in milliseconds from the start of the measured part;
    /// `duration_ms` if absent.
    pub until_ms: Option<u64>,
}

/// Changes made at one time; several fields may be set.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Event {
    pub at_ms: u64,
    pub domain: Option<DomainEvent>,
    pub targets: Option<TargetChange>,
    pub host: Option<HostEvent>,
    pub platform: Option<PlatformEvent>,
    /// Key of a document to publish again with only a comment added, for a new
    /// revision.
    pub touch: Option<String>,
    pub repartition: Option<Repartition>,
    pub rolling_replacement: Option<RollingReplacement>,
    pub links: Option<LinksEvent>,
    /// Domain whose links to all others and to the platform become silent.
    pub isolate: Option<String>,
    /// Resets every link to pass without delay, except for connections silenced
    /// by `silent-existing`.
    #[serde(default)]
    pub heal: bool,
}

/// State of the link between two domains, or between a domain and `platform`.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LinksEvent {
    /// The two ends; every pair of domains if absent.
    pub between: Option<[String; 2]>,
    #[serde(default)]
    pub state: LinkState,
    #[serde(default)]
    pub delay_ms: u64,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DomainEvent {
    pub name: String,
    /// `in` or `out`, written to the domain's document.
    pub state: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Signal {
    Pause,
    Continue,
    Kill,
    Terminate,
    Start,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HostEvent {
    pub name: String,
    pub signal: Signal,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlatformEvent {
    /// Index of the replica; all replicas if absent.
    pub replica: Option<usize>,
    #[serde(default)]
    pub outage: Outage,
    /// Whether the replica stops showing newer revisions.
    #[serde(default)]
    pub stale: bool,
    /// Number of latest revisions that the platform loses first.
    #[serde(default)]
    pub forget: u64,
}

/// A new partition map of a pool, in which each target of shard `n` holds shard
/// `n % shards`.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Repartition {
    pub pool: String,
    pub shards: u32,
}

/// Restart of every host in turn: graceful shutdown, then start.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RollingReplacement {
    pub pause_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Bound {
    pub min: Option<f64>,
    pub max: Option<f64>,
}

impl Scenario {
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let text = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        Scenario::parse(&text).wrap_err_with(|| path.display().to_string())
    }

    /// Parses a scenario; errors state line and column.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let scenario: Scenario = serde_saphyr::from_str(text).map_err(|err| eyre!("{err}"))?;
        eyre::ensure!(
            scenario.deployment.is_some() == scenario.pools.is_empty(),
            "a scenario has either `deployment` or `pools`"
        );
        scenario.comparisons()?;
        Ok(scenario)
    }

    pub fn comparisons(&self) -> eyre::Result<Vec<Baseline>> {
        self.compare.iter().map(|it| it.parse().map_err(|err| eyre!("compare: {err}"))).collect()
    }

    /// Returns whether hosts reach each other and the platform through the relay.
    pub fn needs_relay(&self) -> bool {
        self.timeline.iter().any(|it| it.links.is_some() || it.isolate.is_some())
    }
}

impl Bound {
    pub fn holds(&self, value: f64) -> bool {
        self.min.is_none_or(|min| value >= min) && self.max.is_none_or(|max| value <= max)
    }
}

fn default_hosts() -> usize {
    8
}

fn default_settle_ms() -> u64 {
    2_000
}

fn default_settle_share() -> f64 {
    1.0
}

fn default_replicas() -> u32 {
    3
}

fn default_coverage() -> f64 {
    1.0
}

fn default_prefer() -> String {
    "latency".to_owned()
}

fn default_body_bytes() -> usize {
    200
}

fn default_patience_ms() -> u64 {
    5_000
}
