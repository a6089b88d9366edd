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
    /// Folder in examples/ with the documents to use.
    pub deployment: Option<String>,
    /// Pools to make in place of a deployment.
    #[serde(default)]
    pub pools: Vec<PoolPlan>,
    /// Daemons, spread evenly over the failure domains.
    #[serde(default = "default_hosts")]
    pub hosts: usize,
    /// Load before the measured part.
    #[serde(default = "default_settle_ms")]
    pub settle_ms: u64,
    /// Part of the rates that comes during the settling, 0 to 1.
    #[serde(default = "default_settle_share")]
    pub settle_share: f64,
    pub duration_ms: u64,
    /// Start of the part that `fairness_jain` looks at.
    #[serde(default)]
    pub fairness_from_ms: u64,
    /// Changes to the targets before any load.
    #[serde(default)]
    pub targets: Vec<TargetChange>,
    pub load: Vec<Load>,
    /// Events at times of the measured part.
    #[serde(default)]
    pub timeline: Vec<Event>,
    /// Mechanisms that `bench all` turns off for comparison.
    #[serde(default)]
    pub compare: Vec<String>,
    /// Bounds on keys of the summary.
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
    /// Targets of a shard, each in another domain.
    #[serde(default = "default_replicas")]
    pub replicas: u32,
    /// Services, named after the pool and a number.
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

/// A stream of calls with exponential gaps.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Load {
    /// Name in the summary.
    pub group: String,
    /// All services of this pool, evenly.
    pub pool: Option<String>,
    #[serde(default)]
    pub services: Vec<String>,
    /// Calls a second, all services together.
    pub rate: f64,
    /// Most calls in all.
    pub count: Option<usize>,
    #[serde(default)]
    pub kind: CallKind,
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// Marks the body so that it crashes each target that runs it.
    #[serde(default)]
    pub crash: bool,
    /// Sends the same body again, through another host, when no answer came.
    #[serde(default)]
    pub resends: u32,
    /// How long the caller waits before it hangs up.
    #[serde(default = "default_patience_ms")]
    pub patience_ms: u64,
    #[serde(default)]
    pub from_ms: u64,
    pub until_ms: Option<u64>,
}

/// What happens at one time; several fields may be set.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Event {
    pub at_ms: u64,
    pub domain: Option<DomainEvent>,
    pub targets: Option<TargetChange>,
    pub host: Option<HostEvent>,
    pub platform: Option<PlatformEvent>,
    /// Key of a document to write again, unchanged but for its revision.
    pub touch: Option<String>,
    pub repartition: Option<Repartition>,
    pub rolling_replacement: Option<RollingReplacement>,
    pub links: Option<LinksEvent>,
    /// Domain that is silently cut off from all others and the platform.
    pub isolate: Option<String>,
    /// Ends every cut, silence and delay.
    #[serde(default)]
    pub heal: bool,
}

/// What passes between two domains, or a domain and `platform`.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LinksEvent {
    /// Every pair of domains if absent.
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
    /// Every replica if absent.
    pub replica: Option<usize>,
    #[serde(default)]
    pub outage: Outage,
    /// Shows nothing newer than it does now.
    #[serde(default)]
    pub stale: bool,
    /// Forgets this many of the last revisions first.
    #[serde(default)]
    pub forget: u64,
}

/// The next map of a pool: the same targets hold fewer or more shards.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Repartition {
    pub pool: String,
    pub shards: u32,
}

/// Every host in turn: graceful stop, then start.
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

    /// Parses a scenario; an error names line and column.
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

    /// Whether hosts reach each other and the platform through the relay.
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
