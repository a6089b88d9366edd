//! Sums a run up. The truth comes from the records of the callers and of the
//! stand-ins, not from the tier's own word.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use hdrhistogram::Histogram;
use serde::Serialize;
use standins::targets::{Record, Run};

use crate::{
    load::{CallResult, Verdict},
    scenario::CallKind,
    watch::Counters,
};

#[cfg(test)]
mod tests;

/// Longest latency that a histogram tells apart.
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Reasons with which a host that stops turns callers away.
const STOP_REASONS: [&str; 2] = ["stopping", "not_ready"];

/// Latency and fate of a set of calls.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Slice {
    pub requests: u64,
    pub answered: u64,
    pub refused: u64,
    pub failed: u64,
    pub answered_ratio: f64,
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub coverage_mean: f64,
    pub coverage_full_ratio: f64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    pub scenario: String,
    pub seed: u64,
    pub baseline: String,
    #[serde(flatten)]
    pub overall: Slice,
    pub groups: BTreeMap<String, Slice>,
    pub domains: BTreeMap<String, Slice>,
    /// Refusals and failures by reason.
    pub reasons: BTreeMap<String, u64>,
    pub coverage_lies: u64,
    pub mixed_snapshots: u64,
    pub crossed_answers: u64,
    pub false_not_run: u64,
    pub duplicate_runs: u64,
    pub extra_load_ratio: f64,
    /// Time that slots were in use, as a part of all slots' time.
    pub slot_use_ratio: f64,
    /// Attempts that ran and were then cancelled or timed out.
    pub wasted_run_ratio: f64,
    pub hedges: f64,
    pub retries: f64,
    pub cold_overload_events: u64,
    pub target_crashes: u64,
    pub work_after_leaving_ms_max: u64,
    pub work_after_domain_out_ms_max: u64,
    pub config_in_force_ms_max: u64,
    pub config_reverts: u64,
    pub fairness_jain: f64,
    pub connections_over_limit: u64,
    pub over_slots: u64,
    pub planned_stop_failures: u64,
    pub platform_calls_per_s: f64,
    pub control_bytes_per_s_per_host: f64,
    pub cpu_us_per_query: f64,
    pub rss_mb_max: f64,
    pub invariant_violations: u64,
}

/// Everything that a run left behind.
pub struct Evidence {
    /// Every call, those of the settling time included.
    pub results: Vec<CallResult>,
    /// Start of the measured part, from the start of the load.
    pub settle: Duration,
    pub duration: Duration,
    /// Start of the calls that count for fairness, from the start of the load.
    pub fairness_from: Duration,
    pub records: Vec<Record>,
    pub runs: Vec<Run>,
    /// Counters at the start and the end of the measured part.
    pub counters: [Counters; 2],
    pub platform_calls: u64,
    pub hosts: usize,
    /// Slots of all targets together.
    pub slots: u32,
    pub failed_stops: u64,
    pub config_in_force: Duration,
    pub config_reverts: u64,
    pub logged_invariants: u64,
}

impl Evidence {
    pub fn summary(&self) -> Summary {
        let measured: Vec<_> = self.results.iter().filter(|it| it.call.at >= self.settle).collect();
        let seconds = self.duration.as_secs_f64();
        let [before, after] = self.counters;
        let queries = (measured.len() as f64).max(1.0);
        let control_bytes = (after.control_bytes - before.control_bytes).max(0.0);
        let check = |f: fn(&CallResult) -> bool| self.results.iter().filter(|it| f(it)).count();
        Summary {
            overall: slice(&measured),
            groups: slices(&measured, |it| it.call.group.to_string()),
            domains: slices(&measured, |it| it.domain.clone()),
            reasons: reasons(&measured),
            coverage_lies: check(|it| it.checks.coverage_lie) as u64,
            mixed_snapshots: check(|it| it.checks.mixed_snapshots) as u64,
            crossed_answers: check(|it| it.checks.crossed) as u64,
            false_not_run: self.false_not_run(),
            duplicate_runs: self.duplicate_runs(),
            extra_load_ratio: self.extra_load_ratio(),
            slot_use_ratio: self.slot_use_ratio(),
            wasted_run_ratio: self.wasted_run_ratio(),
            hedges: after.hedges - before.hedges,
            retries: after.retries - before.retries,
            cold_overload_events: self.sum(|it| it.cold_overload_events),
            target_crashes: self.sum(|it| it.crashes),
            work_after_leaving_ms_max: self.max(|it| it.work_after_leaving_ms_max),
            work_after_domain_out_ms_max: self.max(|it| it.work_after_out_ms_max),
            config_in_force_ms_max: millis(self.config_in_force),
            config_reverts: self.config_reverts,
            fairness_jain: fairness(&measured, self.fairness_from),
            connections_over_limit: self.sum(|it| it.connections_over_limit),
            over_slots: self.sum(|it| it.over_slots),
            planned_stop_failures: self.planned_stop_failures(),
            platform_calls_per_s: self.platform_calls as f64 / seconds,
            control_bytes_per_s_per_host: control_bytes / seconds / self.hosts as f64,
            cpu_us_per_query: after.cpu_us.saturating_sub(before.cpu_us) as f64 / queries,
            rss_mb_max: after.resident_kb_max as f64 / 1_024.0,
            invariant_violations: (after.invariants_broken as u64).max(self.logged_invariants),
            ..Summary::default()
        }
    }

    fn sum(&self, field: impl Fn(&Record) -> u64) -> u64 {
        self.records.iter().map(field).sum()
    }

    fn max(&self, field: impl Fn(&Record) -> u64) -> u64 {
        self.records.iter().map(field).max().unwrap_or(0)
    }

    /// Calls whose last answer was "not run" although a target ran them.
    fn false_not_run(&self) -> u64 {
        let ran: BTreeSet<_> = self.runs.iter().map(|it| it.key.as_str()).collect();
        let claims = self.results.iter().filter(|it| claims_not_run(&it.verdict));
        claims.filter(|it| ran.contains(it.call.key.as_str())).count() as u64
    }

    /// Runs of non-idempotent work beyond the first, by key and shard.
    fn duplicate_runs(&self) -> u64 {
        let counts = self.run_counts(false);
        counts.values().map(|it| it.saturating_sub(1)).sum()
    }

    /// Runs beyond one for each key and shard, as a part of the first ones.
    /// Calls that their callers sent again do not count.
    fn extra_load_ratio(&self) -> f64 {
        let resent: BTreeSet<_> =
            self.results.iter().filter(|it| it.sends > 1).map(|it| it.call.key.as_str()).collect();
        let counts = self.run_counts(true);
        let own: Vec<_> = counts.iter().filter(|((key, _), _)| !resent.contains(key)).collect();
        let all: u64 = own.iter().map(|(_, count)| **count).sum();
        let first = own.len() as u64;
        (all - first) as f64 / first.max(1) as f64
    }

    fn slot_use_ratio(&self) -> f64 {
        let busy_ms: f64 = self.records.iter().map(|it| it.busy_ms).sum();
        let time = self.settle + self.duration;
        busy_ms / (f64::from(self.slots.max(1)) * time.as_secs_f64() * 1_000.0)
    }

    fn wasted_run_ratio(&self) -> f64 {
        let started = self.sum(|it| it.started);
        let wasted = started.saturating_sub(self.sum(|it| it.finished));
        wasted as f64 / started.max(1) as f64
    }

    fn run_counts(&self, is_idempotent: bool) -> BTreeMap<(&str, u32), u64> {
        let mut counts = BTreeMap::new();
        for run in self.runs.iter().filter(|it| it.is_idempotent == is_idempotent) {
            *counts.entry((run.key.as_str(), run.shard)).or_default() += u64::from(run.count);
        }
        counts
    }

    fn planned_stop_failures(&self) -> u64 {
        let is_failure = |it: &&CallResult| match &it.verdict {
            Verdict::Answered { .. } => false,
            Verdict::Failed(_) => it.is_host_stopping,
            Verdict::Refused { reason, .. } => STOP_REASONS.contains(&reason.as_str()),
        };
        let calls = self.results.iter().filter(is_failure).count() as u64;
        calls + self.failed_stops
    }
}

impl Summary {
    /// What must always hold: the names of the counts that are not zero.
    pub fn broken_promises(&self) -> Vec<&'static str> {
        let counts = [
            ("coverage_lies", self.coverage_lies),
            ("mixed_snapshots", self.mixed_snapshots),
            ("crossed_answers", self.crossed_answers),
            ("false_not_run", self.false_not_run),
            ("duplicate_runs", self.duplicate_runs),
            ("cold_overload_events", self.cold_overload_events),
            ("connections_over_limit", self.connections_over_limit),
            ("config_reverts", self.config_reverts),
            ("planned_stop_failures", self.planned_stop_failures),
            ("invariant_violations", self.invariant_violations),
        ];
        counts.into_iter().filter(|(_, count)| *count > 0).map(|(name, _)| name).collect()
    }

    /// A number of the summary by its key, such as `groups.orders.p99_ms`, or
    /// the ratio of two, written `KEY / KEY`.
    pub fn value(&self, key: &str) -> Option<f64> {
        if let Some((above, below)) = key.split_once(" / ") {
            return Some(self.value(above)? / self.value(below)?);
        }
        let json = serde_json::to_value(self).ok()?;
        key.split('.').try_fold(&json, |it, part| it.get(part))?.as_f64()
    }
}

pub fn slice(results: &[&CallResult]) -> Slice {
    let mut latencies = latency_histogram();
    let mut slice = Slice { requests: results.len() as u64, ..Slice::default() };
    let mut coverage = 0.0;
    let mut full = 0_u64;
    for result in results {
        match &result.verdict {
            Verdict::Answered { answered, total } => {
                slice.answered += 1;
                coverage += f64::from(*answered) / f64::from((*total).max(1));
                full += u64::from(answered == total);
                let micros = u64::try_from(result.latency.as_micros()).unwrap_or(MAX_LATENCY_US);
                latencies.saturating_record(micros);
            }
            Verdict::Refused { .. } => slice.refused += 1,
            Verdict::Failed(_) => slice.failed += 1,
        }
    }
    let quantile = |it: f64| latencies.value_at_quantile(it) as f64 / 1_000.0;
    let answered = (slice.answered as f64).max(1.0);
    slice.answered_ratio = slice.answered as f64 / (slice.requests as f64).max(1.0);
    slice.p50_ms = quantile(0.5);
    slice.p90_ms = quantile(0.9);
    slice.p99_ms = quantile(0.99);
    slice.p999_ms = quantile(0.999);
    slice.coverage_mean = coverage / answered;
    slice.coverage_full_ratio = full as f64 / answered;
    slice
}

fn slices(results: &[&CallResult], key: impl Fn(&CallResult) -> String) -> BTreeMap<String, Slice> {
    let mut parts: BTreeMap<String, Vec<&CallResult>> = BTreeMap::new();
    for result in results {
        parts.entry(key(result)).or_default().push(result);
    }
    parts.into_iter().map(|(name, part)| (name, slice(&part))).collect()
}

fn reasons(results: &[&CallResult]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for result in results {
        let reason = match &result.verdict {
            Verdict::Answered { .. } => continue,
            Verdict::Refused { reason, outcome, .. } => format!("{reason} ({outcome})"),
            Verdict::Failed(detail) => format!("failed: {detail}"),
        };
        *counts.entry(reason).or_default() += 1;
    }
    counts
}

fn claims_not_run(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Refused { outcome, .. } if outcome == "not_run")
}

/// Jain's index over the services with demand: what each got answered, as a
/// part of its max-min fair share of all that was answered.
fn fairness(results: &[&CallResult], from: Duration) -> f64 {
    let mut services: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    let counts = |it: &&&CallResult| it.call.at >= from && it.call.kind == CallKind::Query;
    for result in results.iter().filter(counts) {
        let (demand, got) = services.entry(&result.call.service).or_default();
        *demand += 1.0;
        if matches!(result.verdict, Verdict::Answered { .. }) {
            *got += 1.0;
        }
    }
    let demands: Vec<f64> = services.values().map(|(demand, _)| *demand).collect();
    let all: f64 = services.values().map(|(_, got)| *got).sum();
    let shares = fair_shares(&demands, all);
    let parts: Vec<f64> =
        services.values().zip(shares).map(|((_, got), share)| got / share.max(1.0)).collect();
    let sum: f64 = parts.iter().sum();
    let squares: f64 = parts.iter().map(|it| it * it).sum();
    if squares == 0.0 { 1.0 } else { sum * sum / (parts.len() as f64 * squares) }
}

/// Max-min fair shares of `capacity` under the demands.
fn fair_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut shares = vec![0.0; demands.len()];
    let mut left = capacity;
    for (done, index) in order.iter().enumerate() {
        let equal = left / (demands.len() - done) as f64;
        shares[*index] = demands[*index].min(equal);
        left -= shares[*index];
    }
    shares
}

fn latency_histogram() -> Histogram<u64> {
    // Fixed bounds: the library refuses only more digits or an empty range.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|err| unreachable!("histogram bounds: {err}"))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
