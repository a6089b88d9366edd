//! Open-loop load: the seed fixes all arrival times before the run. Latency is
//! measured from the intended start, so that it includes any wait before the
//! call is made.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{task::JoinSet, time};

use crate::{
    deployment::{Deployment, Host, Phase},
    scenario::{CallKind, Load, Scenario},
};

pub mod answer;
mod caller;

pub use self::{answer::CallOutcome, caller::CallResult};

/// Pause between two rounds of readiness probes.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A planned call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Intended start, relative to the start of the load.
    pub at: Duration,
    pub group: Arc<str>,
    pub service: String,
    pub kind: CallKind,
    pub key: String,
    pub body: String,
    pub resends: u32,
    pub timeout: Duration,
}

/// State shared by all calls.
pub struct LoadCx {
    pub client: reqwest::Client,
    pub started: Instant,
    pub balancer: Balancer,
    /// Number of shards by pool and number of the partition map.
    pub shard_counts: RwLock<BTreeMap<(String, u32), u32>>,
    /// Pool by service.
    pub pools: BTreeMap<String, String>,
}

/// Stand-in for the platform's balancer: distributes calls over the hosts that
/// were ready at the last probe.
pub struct Balancer {
    ready: RwLock<Vec<Arc<Host>>>,
    next: AtomicUsize,
}

/// Returns all calls of a scenario in order of time.
pub fn plan(scenario: &Scenario, deployment: &Deployment, seed: u64) -> Vec<Call> {
    let mut calls = Vec::new();
    for (number, load) in scenario.load.iter().enumerate() {
        let rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000) + number as u64);
        let services = match &load.pool {
            Some(pool) => deployment.services_of(pool),
            None => load.services.clone(),
        };
        calls.extend(plan_load(scenario, load, number, &services, rng));
    }
    calls.sort_by_key(|it| it.at);
    calls
}

/// Makes all calls at their times and returns when the last has ended.
pub async fn run_calls(cx: &Arc<LoadCx>, calls: Vec<Call>) -> Vec<CallResult> {
    let mut tasks = JoinSet::new();
    for call in calls {
        time::sleep_until((cx.started + call.at).into()).await;
        tasks.spawn(caller::run_call(Arc::clone(cx), call));
    }
    tasks.join_all().await
}

fn plan_load(
    scenario: &Scenario,
    load: &Load,
    number: usize,
    services: &[String],
    mut rng: SmallRng,
) -> Vec<Call> {
    let settle = Duration::from_millis(scenario.settle_ms);
    let from = if load.from_ms == 0 {
        Duration::ZERO
    } else {
        settle + Duration::from_millis(load.from_ms)
    };
    let until = settle + Duration::from_millis(load.until_ms.unwrap_or(scenario.duration_ms));
    let group: Arc<str> = load.group.as_str().into();
    let key_prefix = if load.crash { "CRASH" } else { "call" };
    let mut calls = Vec::new();
    let mut at = from;
    if services.is_empty() || load.rate <= 0.0 {
        return calls;
    }
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        let share = if at < settle { scenario.settle_share } else { 1.0 };
        at += Duration::from_secs_f64(-uniform.ln() / (load.rate * share));
        if at >= until || load.count == Some(calls.len()) {
            return calls;
        }
        let key = format!("{key_prefix}-{number}-{}", calls.len());
        let filler = load.body_bytes.saturating_sub(key.len() + 1);
        calls.push(Call {
            at,
            group: Arc::clone(&group),
            service: services[rng.random_range(0..services.len())].clone(),
            kind: load.kind,
            body: format!("{key} {}", "x".repeat(filler)),
            key,
            resends: load.resends,
            timeout: Duration::from_millis(load.patience_ms),
        });
    }
}

impl LoadCx {
    pub fn new(deployment: &Deployment) -> eyre::Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .tcp_nodelay(true)
            .build()?;
        let services = deployment.documents.iter().filter_map(|it| it.key.strip_prefix("service/"));
        let pool = |it: &str| Some((it.to_owned(), deployment.pool_of(it)?.name.to_string()));
        let shard_counts =
            deployment.pools.iter().map(|it| ((it.name.to_string(), it.map), it.shards));
        Ok(LoadCx {
            client,
            started: Instant::now(),
            balancer: Balancer::new(&deployment.hosts),
            shard_counts: RwLock::new(shard_counts.collect()),
            pools: services.filter_map(pool).collect(),
        })
    }

    /// Records the shard count of a partition map, so that answers from it can be
    /// checked.
    pub fn add_partition_map(&self, pool: &str, map: u32, shards: u32) {
        let mut all = self.shard_counts.write().unwrap_or_else(PoisonError::into_inner);
        all.insert((pool.to_owned(), map), shards);
    }

    /// Returns the number of shards of a service's pool in a partition map.
    pub fn shard_count(&self, service: &str, map: u32) -> Option<u32> {
        let pool = self.pools.get(service)?;
        let all = self.shard_counts.read().unwrap_or_else(PoisonError::into_inner);
        all.get(&(pool.clone(), map)).copied()
    }
}

impl Balancer {
    fn new(hosts: &[Arc<Host>]) -> Self {
        Balancer { ready: RwLock::new(hosts.to_vec()), next: AtomicUsize::new(0) }
    }

    /// Returns the next ready host, round-robin.
    pub fn pick(&self) -> Option<Arc<Host>> {
        let ready = self.ready.read().unwrap_or_else(PoisonError::into_inner);
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        ready.get(number.checked_rem(ready.len())?).cloned()
    }

    /// Probes the hosts and updates the list of ready ones, in an endless loop.
    pub async fn probe_hosts(&self, client: &reqwest::Client, hosts: &[Arc<Host>]) {
        loop {
            let probes =
                hosts.iter().map(|it| async move { (it, is_running_and_ready(it, client).await) });
            let probed = futures::future::join_all(probes).await;
            let ready = probed.into_iter().filter(|(_, is_ready)| *is_ready);
            let ready = ready.map(|(host, _)| Arc::clone(host)).collect();
            *self.ready.write().unwrap_or_else(PoisonError::into_inner) = ready;
            time::sleep(READINESS_POLL_INTERVAL).await;
        }
    }
}

async fn is_running_and_ready(host: &Host, client: &reqwest::Client) -> bool {
    host.phase() != Phase::Down && host.is_ready(client).await
}
