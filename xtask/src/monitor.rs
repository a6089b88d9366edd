//! Reads the hosts' status, metrics, process usage and logs during a run.

use std::{
    collections::BTreeMap,
    fs,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use serde::Deserialize;
use tokio::time;

use crate::deployment::{Deployment, Host, Phase};

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Clock ticks per second, the unit of CPU time in /proc.
const TICKS_PER_S: u64 = 100;
/// Text of the panic on a broken invariant, which is counted in the hosts' logs.
/// The daemon's log line `invariant: broken` does not contain it.
const INVARIANT_LOG_TEXT: &str = "invariant broken";

/// Tracks the configuration revision in force on every host.
#[derive(Default)]
pub struct RevisionMonitor(Mutex<Revisions>);

#[derive(Default)]
struct Revisions {
    /// Publication times of the revisions that are not yet in force on every live
    /// host.
    pending: BTreeMap<u64, Instant>,
    /// Revision last seen, by host and incarnation.
    last: BTreeMap<(String, u64), u64>,
    max_rollout_time: Duration,
    reverts: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct StatusWire {
    #[serde(default)]
    incarnation: serde_json::Value,
    revision: u64,
}

/// Counters summed over the running hosts; `resident_kb_max` is the maximum.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    pub hedges: f64,
    pub retries: f64,
    pub control_bytes: f64,
    pub invariants_broken: f64,
    pub cpu_us: u64,
    pub resident_kb_max: u64,
}

impl RevisionMonitor {
    /// Records that a revision has just been published.
    pub fn record_publication(&self, revision: u64) {
        self.lock().pending.insert(revision, Instant::now());
    }

    /// Returns the longest time from the publication of a revision until it was in
    /// force on every live host. A revision not yet in force counts until now.
    pub fn max_rollout_time(&self) -> Duration {
        let revisions = self.lock();
        let pending = revisions.pending.values().map(Instant::elapsed).max();
        pending.unwrap_or_default().max(revisions.max_rollout_time)
    }

    pub fn reverts(&self) -> u64 {
        self.lock().reverts
    }

    /// Polls the status of every running host, in an endless loop.
    pub async fn run(&self, client: &reqwest::Client, hosts: &[Arc<Host>]) {
        loop {
            let live: Vec<_> = hosts.iter().filter(|it| it.phase() == Phase::Running).collect();
            let statuses = live.iter().map(|it| status(client, it));
            let statuses = futures::future::join_all(statuses).await;
            self.record_statuses(&live, &statuses);
            time::sleep(POLL_INTERVAL).await;
        }
    }

    fn record_statuses(&self, hosts: &[&Arc<Host>], statuses: &[Option<StatusWire>]) {
        let mut revisions = self.lock();
        for (host, status) in hosts.iter().zip(statuses) {
            let Some(status) = status else { continue };
            let incarnation = status.incarnation.as_u64().unwrap_or(0);
            let last = revisions.last.entry((host.name.clone(), incarnation)).or_default();
            let is_revert = status.revision < *last;
            *last = status.revision;
            revisions.reverts += u64::from(is_revert);
        }
        let min_revision = statuses.iter().map(|it| it.as_ref().map_or(0, |it| it.revision)).min();
        let min_revision = min_revision.unwrap_or(0);
        while let Some(entry) = revisions.pending.first_entry() {
            if *entry.key() > min_revision {
                return;
            }
            let took = entry.remove().elapsed();
            revisions.max_rollout_time = revisions.max_rollout_time.max(took);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Revisions> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Counters {
    /// Reads the counters of every running host.
    pub async fn read(deployment: &Deployment) -> Self {
        let mut counters = Counters::default();
        for host in &deployment.hosts {
            let usage = host.usage().unwrap_or_default();
            counters.cpu_us += usage.cpu_ticks * 1_000_000 / TICKS_PER_S;
            counters.resident_kb_max = counters.resident_kb_max.max(usage.resident_kb);
            let Some(text) = metrics(&deployment.client, host).await else { continue };
            counters.hedges += metric_sum(&text, "hedges");
            counters.retries += metric_sum(&text, "retries");
            counters.control_bytes += metric_sum(&text, "control_bytes");
            counters.invariants_broken += metric_sum(&text, "invariants_broken");
        }
        counters
    }
}

/// Returns how often [`INVARIANT_LOG_TEXT`] occurs in the logs of all hosts,
/// including those that have exited.
pub fn logged_invariant_violations(deployment: &Deployment) -> u64 {
    let files = deployment.hosts.iter().map(|it| it.log_file(&deployment.folder));
    let texts = files.map(|it| fs::read_to_string(it).unwrap_or_default());
    texts.map(|it| it.matches(INVARIANT_LOG_TEXT).count() as u64).sum()
}

async fn status(client: &reqwest::Client, host: &Host) -> Option<StatusWire> {
    let url = format!("http://{}/v1/status", host.admin);
    client.get(url).timeout(POLL_TIMEOUT).send().await.ok()?.json().await.ok()
}

async fn metrics(client: &reqwest::Client, host: &Host) -> Option<String> {
    if host.phase() != Phase::Running {
        return None;
    }
    let url = format!("http://{}/metrics", host.admin);
    client.get(url).timeout(POLL_TIMEOUT).send().await.ok()?.text().await.ok()
}

/// Returns the sum of a metric over its labels. The suffix `_total` of counters
/// is ignored.
fn metric_sum(text: &str, name: &str) -> f64 {
    let value = |line: &str| {
        let (series, value) = line.rsplit_once(' ')?;
        let series = series.split('{').next()?.trim_end_matches("_total");
        (series == name).then(|| value.parse::<f64>().ok())?
    };
    text.lines().filter(|it| !it.starts_with('#')).filter_map(value).sum()
}
