//! Settings of one daemon, read once at startup.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use base::{DomainName, HostName, RegionName};

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub host: HostName,
    pub domain: DomainName,
    pub region: RegionName,
    /// Name shared by all hosts of one fleet; checked when a link opens.
    pub fleet: String,
    /// Address for callers (HTTP).
    pub callers: SocketAddr,
    /// Address for operators (HTTP).
    pub admin: SocketAddr,
    /// Address at which this host listens for other hosts (TCP and UDP on one
    /// port).
    pub peers: SocketAddr,
    /// Address at which other hosts reach this host. Defaults to `peers`; differs
    /// if traffic is forwarded to this host.
    pub advertise: SocketAddr,
    /// Hosts to contact first at startup.
    pub seeds: Vec<SeedHost>,
    pub platform: PlatformSettings,
    pub admin_token_file: Option<PathBuf>,
    /// File with the secret shared by all hosts of one fleet.
    pub fleet_secret_file: Option<PathBuf>,
    /// Maximum duration of a graceful stop.
    pub grace: Duration,
    /// Time for which the daemon keeps serving after it stops being ready, so
    /// that the load balancer notices.
    pub balancer_lag: Duration,
    pub workers: usize,
    pub log: LogSettings,
    pub policy: PolicySettings,
}

#[derive(Clone, Debug, PartialEq)]
pub struct SeedHost {
    pub host: HostName,
    pub domain: DomainName,
    pub address: SocketAddr,
}

#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Addresses of the configuration service's replicas.
    pub addresses: Vec<SocketAddr>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    Json,
    Terminal,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    Debug,
    Info,
    Warning,
    Error,
}

#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    pub format: LogFormat,
    pub level: LogLevel,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerMode {
    /// Each target's connections belong to one owner host and a standby.
    Owners,
    /// Every entry host connects to every target and uses a share of its slots.
    Direct,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FairTurns {
    DeficitRoundRobin,
    FirstComeFirstServed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUp {
    On,
    Off,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyRefusal {
    On,
    Off,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hedging {
    Off,
    /// Hedges after a constant delay.
    Fixed(Duration),
    /// Hedges after a high quantile of the pool's current latency.
    LiveQuantile,
}

/// Switches that replace a mechanism by its simplest form, so that the benefit
/// of the mechanism can be measured.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    pub owners: OwnerMode,
    pub fair_turns: FairTurns,
    pub warm_up: WarmUp,
    pub early_refusal: EarlyRefusal,
    pub hedging: Hedging,
    /// Limit on hedges, retries and probes, as a fraction of first sends, 0 to 1.
    pub extra_load_budget: f64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        PolicySettings {
            owners: OwnerMode::Owners,
            fair_turns: FairTurns::DeficitRoundRobin,
            warm_up: WarmUp::On,
            early_refusal: EarlyRefusal::On,
            hedging: Hedging::LiveQuantile,
            extra_load_budget: 0.05,
        }
    }
}
