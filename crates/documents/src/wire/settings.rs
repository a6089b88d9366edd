//! The settings of a daemon as written.

use std::time::Duration;

use base::{Findings, HostName, Place};

use crate::{
    model::{
        EarlyRefusal, FairTurns, Hedging, LogFormat, LogLevel, LogSettings, OwnerMode,
        PlatformSettings, PolicySettings, SeedHost, Settings, WarmUp,
    },
    reader::{Checker, Field, Fields, WithPlace},
    tree::Node,
};

const DEFAULT_GRACE: Duration = Duration::from_secs(30);
const DEFAULT_BALANCER_LAG: Duration = Duration::from_secs(2);
const DEFAULT_WORKERS: usize = 2;
const DEFAULT_HEDGE_DELAY: Duration = Duration::from_millis(20);

const MAX_GRACE_MS: u64 = 600_000;
const MAX_WORKERS: u64 = 256;
const MAX_HEDGE_DELAY_MS: u64 = 60_000;

const FORMATS: &[(&str, LogFormat)] =
    &[("json", LogFormat::Json), ("terminal", LogFormat::Terminal)];
const LEVELS: &[(&str, LogLevel)] = &[
    ("debug", LogLevel::Debug),
    ("info", LogLevel::Info),
    ("warning", LogLevel::Warning),
    ("error", LogLevel::Error),
];
const OWNER_MODES: &[(&str, OwnerMode)] =
    &[("owners", OwnerMode::Owners), ("direct", OwnerMode::Direct)];
const FAIR_TURNS: &[(&str, FairTurns)] = &[
    ("deficit-round-robin", FairTurns::DeficitRoundRobin),
    ("first-come-first-served", FairTurns::FirstComeFirstServed),
];

#[derive(Clone, Copy)]
enum HedgingKind {
    Off,
    Fixed,
    LiveQuantile,
}

const HEDGING_KINDS: &[(&str, HedgingKind)] = &[
    ("off", HedgingKind::Off),
    ("fixed", HedgingKind::Fixed),
    ("live-quantile", HedgingKind::LiveQuantile),
];

pub(crate) struct SettingsWire {
    place: Place,
    host: Field<String>,
    domain: Field<String>,
    region: Field<String>,
    fleet: Field<String>,
    callers: Field<String>,
    admin: Field<String>,
    peers: Field<String>,
    advertise: Field<String>,
    seeds: Field<Vec<Node>>,
    platform: PlatformWire,
    admin_token_file: Field<String>,
    fleet_secret_file: Field<String>,
    grace_ms: Field<u64>,
    balancer_lag_ms: Field<u64>,
    workers: Field<u64>,
    log: LogWire,
    policy: PolicyWire,
    findings: Findings,
}

struct SeedWire {
    host: Field<String>,
    domain: Field<String>,
    address: Field<String>,
    findings: Findings,
}

struct PlatformWire {
    addresses: Field<Vec<Node>>,
    findings: Findings,
}

struct LogWire {
    format: Field<String>,
    level: Field<String>,
    findings: Findings,
}

struct PolicyWire {
    owners: Field<String>,
    fair_turns: Field<String>,
    warm_up: Field<bool>,
    early_refusal: Field<bool>,
    hedging: Field<String>,
    hedge_delay_ms: Field<u64>,
    extra_load_budget: Field<f64>,
    findings: Findings,
}

impl From<Node> for SettingsWire {
    fn from(node: Node) -> Self {
        let mut fields = Fields::new(node);
        SettingsWire {
            place: fields.place().clone(),
            host: fields.required("host"),
            domain: fields.required("domain"),
            region: fields.required("region"),
            fleet: fields.required("fleet"),
            callers: fields.required("callers"),
            admin: fields.required("admin"),
            peers: fields.required("peers"),
            advertise: fields.optional("advertise"),
            seeds: fields.optional("seeds"),
            platform: fields.section("platform").into(),
            admin_token_file: fields.optional("admin-token-file"),
            fleet_secret_file: fields.optional("fleet-secret-file"),
            grace_ms: fields.optional("grace-ms"),
            balancer_lag_ms: fields.optional("balancer-lag-ms"),
            workers: fields.optional("workers"),
            log: fields.section("log").into(),
            policy: fields.section("policy").into(),
            findings: fields.finish(),
        }
    }
}

impl From<Node> for SeedWire {
    fn from(node: Node) -> Self {
        let mut fields = Fields::new(node);
        SeedWire {
            host: fields.required("host"),
            domain: fields.required("domain"),
            address: fields.required("address"),
            findings: fields.finish(),
        }
    }
}

impl From<Fields> for PlatformWire {
    fn from(mut fields: Fields) -> Self {
        PlatformWire { addresses: fields.required("addresses"), findings: fields.finish() }
    }
}

impl From<Fields> for LogWire {
    fn from(mut fields: Fields) -> Self {
        LogWire {
            format: fields.optional("format"),
            level: fields.optional("level"),
            findings: fields.finish(),
        }
    }
}

impl From<Fields> for PolicyWire {
    fn from(mut fields: Fields) -> Self {
        PolicyWire {
            owners: fields.optional("owners"),
            fair_turns: fields.optional("fair-turns"),
            warm_up: fields.optional("warm-up"),
            early_refusal: fields.optional("early-refusal"),
            hedging: fields.optional("hedging"),
            hedge_delay_ms: fields.optional("hedge-delay-ms"),
            extra_load_budget: fields.optional("extra-load-budget"),
            findings: fields.finish(),
        }
    }
}

impl TryFrom<SettingsWire> for Settings {
    type Error = Findings;

    fn try_from(wire: SettingsWire) -> Result<Self, Findings> {
        let mut cx = Checker::new(wire.findings);
        let place = wire.place;
        let host = cx.name("host", wire.host);
        let domain = cx.name("domain", wire.domain);
        let region = cx.name("region", wire.region);
        let fleet = cx.name("fleet", wire.fleet);
        check_addresses_differ(&mut cx, [&wire.callers, &wire.admin, &wire.peers]);
        let callers = cx.address("callers", wire.callers);
        let admin = cx.address("admin", wire.admin);
        let peers = cx.address("peers", wire.peers);
        let advertise = cx.address("advertise", wire.advertise);
        let seeds = check_seeds(&mut cx, wire.seeds);
        let platform = wire.platform.check(&mut cx);
        let admin_token_file = check_path(&mut cx, "admin-token-file", wire.admin_token_file);
        let fleet_secret_file = check_path(&mut cx, "fleet-secret-file", wire.fleet_secret_file);
        let grace = cx.millis("grace-ms", wire.grace_ms, 100..=MAX_GRACE_MS);
        let balancer_lag = cx.millis("balancer-lag-ms", wire.balancer_lag_ms, 0..=MAX_GRACE_MS);
        let grace = grace.unwrap_or(DEFAULT_GRACE);
        let balancer_lag = balancer_lag.unwrap_or(DEFAULT_BALANCER_LAG);
        check_grace_exceeds_balancer_lag(&mut cx, &place, grace, balancer_lag);
        let workers = cx.number("workers", wire.workers, 1..=MAX_WORKERS);
        let log = wire.log.check(&mut cx);
        let policy = wire.policy.check(&mut cx);
        let (Some(host), Some(domain), Some(region), Some(fleet)) = (host, domain, region, fleet)
        else {
            return Err(cx.into_findings());
        };
        let (Some(callers), Some(admin), Some(peers)) = (callers, admin, peers) else {
            return Err(cx.into_findings());
        };
        cx.finish(Settings {
            host,
            domain,
            region,
            fleet,
            callers,
            admin,
            peers,
            advertise: advertise.unwrap_or(peers),
            seeds,
            platform,
            admin_token_file,
            fleet_secret_file,
            grace,
            balancer_lag,
            workers: workers.unwrap_or(DEFAULT_WORKERS),
            log,
            policy,
        })
    }
}

impl PlatformWire {
    fn check(self, cx: &mut Checker) -> PlatformSettings {
        cx.findings.extend(self.findings);
        let Some(WithPlace { value: nodes, place }) = self.addresses else {
            return PlatformSettings { addresses: Vec::new() };
        };
        if nodes.is_empty() {
            let message = "`addresses` is empty".to_owned();
            cx.push(&place, message, "name at least one replica of the configuration service");
        }
        let addresses = nodes.into_iter().filter_map(|it| check_address_node(cx, it)).collect();
        PlatformSettings { addresses }
    }
}

impl LogWire {
    fn check(self, cx: &mut Checker) -> LogSettings {
        cx.findings.extend(self.findings);
        let format = cx.choice("format", self.format, FORMATS);
        let level = cx.choice("level", self.level, LEVELS);
        LogSettings {
            format: format.unwrap_or(LogFormat::Json),
            level: level.unwrap_or(LogLevel::Info),
        }
    }
}

impl PolicyWire {
    fn check(self, cx: &mut Checker) -> PolicySettings {
        cx.findings.extend(self.findings);
        let defaults = PolicySettings::default();
        let owners = cx.choice("owners", self.owners, OWNER_MODES);
        let fair_turns = cx.choice("fair-turns", self.fair_turns, FAIR_TURNS);
        let hedging = check_hedging(cx, self.hedging, self.hedge_delay_ms);
        let extra_load_budget = cx.ratio("extra-load-budget", self.extra_load_budget);
        PolicySettings {
            owners: owners.unwrap_or(defaults.owners),
            fair_turns: fair_turns.unwrap_or(defaults.fair_turns),
            warm_up: match self.warm_up {
                Some(WithPlace { value: false, .. }) => WarmUp::Off,
                _ => WarmUp::On,
            },
            early_refusal: match self.early_refusal {
                Some(WithPlace { value: false, .. }) => EarlyRefusal::Off,
                _ => EarlyRefusal::On,
            },
            hedging: hedging.unwrap_or(defaults.hedging),
            extra_load_budget: extra_load_budget.unwrap_or(defaults.extra_load_budget),
        }
    }
}

fn check_hedging(cx: &mut Checker, kind: Field<String>, delay_ms: Field<u64>) -> Option<Hedging> {
    let delay_place = delay_ms.as_ref().map(|it| it.place.clone());
    let delay = cx.millis("hedge-delay-ms", delay_ms, 1..=MAX_HEDGE_DELAY_MS);
    let kind = cx.choice("hedging", kind, HEDGING_KINDS);
    if let (Some(place), false) = (delay_place, matches!(kind, Some(HedgingKind::Fixed))) {
        let message = "`hedge-delay-ms` has no effect here".to_owned();
        cx.push(&place, message, "use it only with `hedging: fixed`");
    }
    Some(match kind? {
        HedgingKind::Off => Hedging::Off,
        HedgingKind::Fixed => Hedging::Fixed(delay.unwrap_or(DEFAULT_HEDGE_DELAY)),
        HedgingKind::LiveQuantile => Hedging::LiveQuantile,
    })
}

/// Checks that a graceful stop has time left for admitted work. The stop waits
/// for the load balancer first.
fn check_grace_exceeds_balancer_lag(
    cx: &mut Checker,
    place: &Place,
    grace: Duration,
    balancer_lag: Duration,
) {
    if balancer_lag < grace {
        return;
    }
    let (lag, grace) = (balancer_lag.as_millis(), grace.as_millis());
    let message = format!("`balancer-lag-ms` ({lag}) is not below `grace-ms` ({grace})");
    cx.push(place, message, "leave time for admitted work after the balancer lag");
}

fn check_addresses_differ(cx: &mut Checker, fields: [&Field<String>; 3]) {
    let written: Vec<_> = fields.into_iter().flatten().collect();
    for (i, WithPlace { value, place }) in written.iter().enumerate() {
        if written[..i].iter().any(|it| it.value == *value) {
            let message = format!("the address {value:?} is used twice");
            cx.push(place, message, "`callers`, `admin` and `peers` each need a port of their own");
        }
    }
}

fn check_seeds(cx: &mut Checker, field: Field<Vec<Node>>) -> Vec<SeedHost> {
    let Some(WithPlace { value: nodes, .. }) = field else { return Vec::new() };
    let mut seeds: Vec<(SeedHost, Place)> = Vec::new();
    for node in nodes {
        let place = node.place.clone();
        let Some(seed) = check_seed(cx, node.into()) else { continue };
        if seeds.iter().any(|(it, _)| it.host == seed.host) {
            let message = format!("two seeds have the host {}", seed.host);
            cx.push(&place, message, "keep one of the two");
        }
        seeds.push((seed, place));
    }
    seeds.into_iter().map(|(seed, _)| seed).collect()
}

fn check_seed(cx: &mut Checker, wire: SeedWire) -> Option<SeedHost> {
    cx.findings.extend(wire.findings);
    let host: Option<HostName> = cx.name("host", wire.host);
    let domain = cx.name("domain", wire.domain);
    let address = cx.address("address", wire.address);
    Some(SeedHost { host: host?, domain: domain?, address: address? })
}

fn check_address_node(cx: &mut Checker, node: Node) -> Option<std::net::SocketAddr> {
    let field = cx.item("addresses", node);
    cx.address("addresses", field)
}

fn check_path(cx: &mut Checker, key: &str, field: Field<String>) -> Option<std::path::PathBuf> {
    let WithPlace { value, place } = field?;
    if value.is_empty() {
        cx.push(&place, format!("`{key}` is empty"), "name a file or remove the field");
        return None;
    }
    Some(value.into())
}
