//! Wire format of the state that hosts exchange, in JSON. A field that came later is absent
//! from hosts of older builds, and one that this build doesn't know is skipped.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{DomainName, HashMap, RegionName, ServiceName, TargetName};
use forward::{
    CallerLimits, Configuration, Destination, Lifecycle, Repeat, Route, Service, TargetReport,
    route::GatherSpec,
};
use serde::{Deserialize, Serialize, de::IgnoredAny};

use super::customers::WireCustomers;
use crate::format::{FORMAT, FormatError, check_format};

/// State of a host, as sent to a peer.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct WireState {
    /// [`FORMAT`] of the sender.
    #[serde(default)]
    pub format: u32,
    pub configuration: WireConfiguration,
    /// Customers of the configuration, if it has any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customers: Option<WireCustomers>,
    /// Whether the sender follows the targets feed at the source.
    pub follows_source: bool,
    pub targets: Vec<WireTarget>,
    /// Age of the list of targets.
    #[serde(default)]
    pub targets_age_ms: Option<u64>,
    /// Age of the evacuations.
    #[serde(default)]
    pub operations_age_ms: Option<u64>,
    /// Targets that the source lists no more.
    #[serde(default)]
    pub unlisted: Vec<WireUnlisted>,
    pub evacuated: Vec<String>,
    /// Fields that this build doesn't know.
    #[serde(flatten, skip_serializing)]
    pub unknown: HashMap<String, IgnoredAny>,
}

/// What is read before the rest, which may look different in a later format.
#[derive(Debug)]
#[derive(Deserialize)]
struct WireFormat {
    #[serde(default)]
    format: u32,
}

pub(super) fn decode(bytes: &[u8]) -> Result<WireState, FormatError> {
    let WireFormat { format } = serde_json::from_slice(bytes)?;
    check_format(format, FORMAT)?;
    Ok(serde_json::from_slice(bytes)?)
}

impl WireState {
    /// Returns a state that says nothing of targets and evacuations.
    pub(super) fn of_configuration(
        configuration: WireConfiguration,
        customers: Option<WireCustomers>,
    ) -> WireState {
        WireState {
            format: FORMAT,
            configuration,
            customers,
            follows_source: false,
            targets: Vec::new(),
            targets_age_ms: None,
            operations_age_ms: None,
            unlisted: Vec::new(),
            evacuated: Vec::new(),
            unknown: HashMap::default(),
        }
    }
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct WireUnlisted {
    name: String,
    unlisted_for_ms: u64,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct WireConfiguration {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    header_bytes: usize,
    body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireRoute {
    name: String,
    host: String,
    prefix: String,
    is_idempotent: bool,
    timeout_ms: u64,
    objective_ms: u64,
    attempts: u32,
    priority: u32,
    destination: WireDestination,
    regions: Vec<String>,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum WireDestination {
    Service(String),
    Weighted(Vec<(String, f64)>),
    Gather { shards: Vec<String>, top: usize, min_share: f64 },
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireService {
    name: String,
    health_path: String,
    max_connections: u32,
    warmup_ms: u64,
    warmup_rate: Option<f64>,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct WireTarget {
    name: String,
    born: Option<u64>,
    sequence: u64,
    service: String,
    address: SocketAddr,
    domain: String,
    slots: u32,
    is_draining: bool,
    cold_ms: u64,
}

pub(super) fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl From<&Configuration> for WireConfiguration {
    fn from(cfg: &Configuration) -> Self {
        WireConfiguration {
            version: cfg.version,
            routes: cfg.routes.iter().map(WireRoute::from).collect(),
            services: cfg.services.iter().map(WireService::from).collect(),
            header_bytes: cfg.limits.header_bytes,
            body_bytes: cfg.limits.body_bytes,
            header_timeout_ms: ms(cfg.limits.header_timeout),
            idle_timeout_ms: ms(cfg.limits.idle_timeout),
        }
    }
}

impl From<WireConfiguration> for Configuration {
    fn from(wire: WireConfiguration) -> Self {
        let services: HashMap<ServiceName, Service> =
            wire.services.into_iter().map(<(ServiceName, Service)>::from).collect();
        Configuration {
            version: wire.version,
            routes: wire.routes.into_iter().map(Route::from).collect(),
            services,
            limits: CallerLimits {
                header_bytes: wire.header_bytes,
                body_bytes: wire.body_bytes,
                header_timeout: Duration::from_millis(wire.header_timeout_ms),
                idle_timeout: Duration::from_millis(wire.idle_timeout_ms),
            },
            customers: Vec::new(),
        }
    }
}

impl From<&Route> for WireRoute {
    fn from(route: &Route) -> Self {
        WireRoute {
            name: route.name.to_string(),
            host: route.host.to_string(),
            prefix: route.prefix.to_string(),
            is_idempotent: route.repeat == Repeat::Idempotent,
            timeout_ms: ms(route.timeout),
            objective_ms: ms(route.objective),
            attempts: route.attempts,
            priority: route.priority,
            destination: WireDestination::from(&route.destination),
            regions: route.regions.iter().map(ToString::to_string).collect(),
        }
    }
}

impl From<WireRoute> for Route {
    fn from(wire: WireRoute) -> Self {
        Route {
            name: Arc::from(wire.name),
            host: Arc::from(wire.host),
            prefix: Arc::from(wire.prefix),
            repeat: if wire.is_idempotent { Repeat::Idempotent } else { Repeat::AtMostOnce },
            timeout: Duration::from_millis(wire.timeout_ms),
            objective: Duration::from_millis(wire.objective_ms),
            attempts: wire.attempts.max(1),
            priority: wire.priority,
            destination: wire.destination.into(),
            regions: wire.regions.into_iter().map(RegionName::from).collect(),
            is_open: false,
        }
    }
}

impl From<&Destination> for WireDestination {
    fn from(destination: &Destination) -> Self {
        match destination {
            Destination::Service(name) => WireDestination::Service(name.to_string()),
            Destination::Weighted(parts) => {
                let parts = parts.iter().map(|(name, weight)| (name.to_string(), *weight));
                WireDestination::Weighted(parts.collect())
            }
            Destination::Gather(spec) => WireDestination::Gather {
                shards: spec.shards.iter().map(ToString::to_string).collect(),
                top: spec.top,
                min_share: spec.min_share,
            },
        }
    }
}

impl From<WireDestination> for Destination {
    fn from(wire: WireDestination) -> Self {
        match wire {
            WireDestination::Service(name) => Destination::Service(name.into()),
            WireDestination::Weighted(parts) => {
                let parts = parts.into_iter().map(|(name, weight)| (name.into(), weight));
                Destination::Weighted(parts.collect())
            }
            WireDestination::Gather { shards, top, min_share } => {
                let shards = shards.into_iter().map(ServiceName::from).collect();
                Destination::Gather(GatherSpec { shards, top, min_share })
            }
        }
    }
}

impl From<(&ServiceName, &Service)> for WireService {
    fn from((name, service): (&ServiceName, &Service)) -> Self {
        WireService {
            name: name.to_string(),
            health_path: service.health_path.to_string(),
            max_connections: service.max_connections,
            warmup_ms: ms(service.warmup),
            warmup_rate: service.warmup_rate,
        }
    }
}

impl From<WireService> for (ServiceName, Service) {
    fn from(wire: WireService) -> Self {
        let service = Service {
            health_path: Arc::from(wire.health_path),
            max_connections: wire.max_connections,
            warmup: Duration::from_millis(wire.warmup_ms),
            warmup_rate: wire.warmup_rate,
        };
        (wire.name.into(), service)
    }
}

impl From<(&TargetName, Duration)> for WireUnlisted {
    fn from((name, unlisted_for): (&TargetName, Duration)) -> Self {
        WireUnlisted { name: name.to_string(), unlisted_for_ms: ms(unlisted_for) }
    }
}

impl From<WireUnlisted> for (TargetName, Duration) {
    fn from(wire: WireUnlisted) -> Self {
        (TargetName::from(wire.name), Duration::from_millis(wire.unlisted_for_ms))
    }
}

impl From<&TargetReport> for WireTarget {
    fn from(report: &TargetReport) -> Self {
        WireTarget {
            name: report.name.to_string(),
            born: report.born,
            sequence: report.sequence,
            service: report.service.to_string(),
            address: report.address,
            domain: report.domain.to_string(),
            slots: report.slots,
            is_draining: report.lifecycle == Lifecycle::Draining,
            cold_ms: ms(report.cold_for),
        }
    }
}

impl From<WireTarget> for TargetReport {
    fn from(wire: WireTarget) -> Self {
        TargetReport {
            name: TargetName::from(wire.name),
            born: wire.born,
            sequence: wire.sequence,
            service: wire.service.into(),
            address: wire.address,
            domain: DomainName::from(wire.domain),
            slots: wire.slots,
            lifecycle: if wire.is_draining { Lifecycle::Draining } else { Lifecycle::Ready },
            cold_for: Duration::from_millis(wire.cold_ms),
        }
    }
}
