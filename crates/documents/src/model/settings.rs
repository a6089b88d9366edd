//! Settings of one daemon, read once at its start.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use base::{DomainName, HostName, RegionName};

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub host: HostName,
    pub domain: DomainName,
    pub region: RegionName,
    /// Name that all hosts of one fleet share; checked when links open.
    pub fleet: String,
    /// Where callers reach this host (HTTP).
    pub callers: SocketAddr,
    /// Where operators reach this host (HTTP).
    pub admin: SocketAddr,
    /// Where this host listens for other hosts (TCP and UDP on one port).
    pub peers: SocketAddr,
    /// Where other hosts reach this host; `peers` unless something forwards.
    pub advertise: SocketAddr,
    /// Hosts to ask first at the start.
    pub seeds: Vec<SeedHost>,
    pub platform: PlatformSettings,
    pub admin_token_file: Option<PathBuf>,
    /// File with the secret that hosts of one fleet share.
    pub fleet_secret_file: Option<PathBuf>,
    /// Longest graceful stop.
    pub grace: Duration,
    /// How long the daemon keeps serving after it stops being ready, so that
    /// the balancer notices.
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
    /// Every entry host talks to every target with its part of the slots.
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
    /// After a constant delay.
    Fixed(Duration),
    /// At a high quantile of what the pool does now.
    LiveQuantile,
}

/// Switches that turn a mechanism to its plain form, so that its worth can be
/// measured.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    pub owners: OwnerMode,
    pub fair_turns: FairTurns,
    pub warm_up: WarmUp,
    pub early_refusal: EarlyRefusal,
    pub hedging: Hedging,
    /// Hedges, retries and probes as a part of first sends, 0 to 1.
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
