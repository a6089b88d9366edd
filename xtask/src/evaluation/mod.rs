//! Computes the summary of a run. Answers and runs are checked against the
//! records of the callers and of the stand-ins, not against the tier's own
//! reports.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::Serialize;
use standins::targets::{RunCount, TargetRecord};

use crate::{
    load::{CallOutcome, CallResult},
    monitor::Counters,
};

mod fairness;
mod stats;
#[cfg(test)]
mod tests;

pub use self::stats::{CallStats, call_stats};
use self::{
    fairness::jain_index,
    stats::{call_stats_by, latency_histogram, micros},
};

/// Reasons with which a stopping host refuses calls.
const SHUTDOWN_REASONS: [&str; 2] = ["stopping", "not_ready"];

#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Summary {
    pub scenario: String,
    pub seed: u64,
    pub baseline: String,
    #[serde(flatten)]
    pub overall: CallStats,
    pub groups: BTreeMap<String, CallStats>,
    pub domains: BTreeMap<String, CallStats>,
    /// Refusals and failures by reason.
    pub reasons: BTreeMap<String, u64>,
    pub coverage_lies: u64,
    pub mixed_snapshots: u64,
    pub crossed_answers: u64,
    pub false_not_run: u64,
    pub duplicate_runs: u64,
    /// Pairs of key and shard for which non-idempotent work ran.
    pub non_idempotent_runs: u64,
    pub extra_load_ratio: f64,
    /// Fraction of the time of all slots during which they were in use.
    pub slot_use_ratio: f64,
    /// Fraction of started attempts that did not finish, because they were
    /// cancelled or timed out, for example.
    pub wasted_run_ratio: f64,
    pub hedges: f64,
    pub retries: f64,
    pub cold_overload_events: u64,
    pub turned_cold_overload_events: u64,
    pub target_crashes: u64,
    pub work_after_leaving_ms_max: u64,
    pub work_after_domain_out_ms_max: u64,
    pub config_in_force_ms_max: u64,
    pub config_reverts: u64,
    pub fairness_jain: f64,
    pub connections_over_limit: u64,
    /// Attempts that found every slot of their target in use.
    pub attempts_over_slots: u64,
    pub planned_stop_failures: u64,
    pub platform_calls_per_s: f64,
    pub control_bytes_per_s_per_host: f64,
    pub cpu_us_per_query: f64,
    pub rss_mb_max: f64,
    pub invariant_violations: u64,
    /// Delay from the intended to the actual start of calls, caused by the load
    /// generator.
    pub load_lag_p99_ms: f64,
}

/// Raw data of a run, from which the summary is computed.
pub struct Measurements {
    /// All calls, including those made before the measured part.
    pub results: Vec<CallResult>,
    /// Start of the measured part, relative to the start of the load.
    pub settle: Duration,
    pub duration: Duration,
    /// Start of the calls that count for fairness, relative to the start of the
    /// load.
    pub fairness_from: Duration,
    pub records: Vec<TargetRecord>,
    pub runs: Vec<RunCount>,
    /// Counters at the start and the end of the measured part.
    pub counters: [Counters; 2],
    pub platform_calls: u64,
    pub hosts: usize,
    /// Total slots of all targets.
    pub slots: u32,
    pub failed_stops: u64,
    pub config_rollout_time: Duration,
    pub config_reverts: u64,
    pub logged_invariant_violations: u64,
}

impl Measurements {
    pub fn summary(&self) -> Summary {
        let measured: Vec<_> = self.results.iter().filter(|it| it.call.at >= self.settle).collect();
        let seconds = self.duration.as_secs_f64();
        let [before, after] = self.counters;
        let queries = (measured.len() as f64).max(1.0);
        let control_bytes = (after.control_bytes - before.control_bytes).max(0.0);
        let count = |f: fn(&CallResult) -> bool| self.results.iter().filter(|it| f(it)).count();
        Summary {
            overall: call_stats(&measured),
            groups: call_stats_by(&measured, |it| it.call.group.to_string()),
            domains: call_stats_by(&measured, |it| it.domain.clone()),
            reasons: reasons(&measured),
            coverage_lies: count(|it| it.faults.false_coverage) as u64,
            mixed_snapshots: count(|it| it.faults.mixed_snapshots) as u64,
            crossed_answers: count(|it| it.faults.crossed) as u64,
            false_not_run: self.false_not_run(),
            duplicate_runs: self.duplicate_runs(),
            non_idempotent_runs: self.run_counts(false).len() as u64,
            extra_load_ratio: self.extra_load_ratio(),
            slot_use_ratio: self.slot_use_ratio(),
            wasted_run_ratio: self.wasted_run_ratio(),
            hedges: after.hedges - before.hedges,
            retries: after.retries - before.retries,
            cold_overload_events: self.sum(|it| it.cold_overload_events),
            turned_cold_overload_events: self.sum(|it| it.turned_cold_overload_events),
            target_crashes: self.sum(|it| it.crashes),
            work_after_leaving_ms_max: self.max(|it| it.work_after_leaving_ms_max),
            work_after_domain_out_ms_max: self.max(|it| it.work_after_out_ms_max),
            config_in_force_ms_max: millis(self.config_rollout_time),
            config_reverts: self.config_reverts,
            fairness_jain: jain_index(&measured, self.fairness_from),
            connections_over_limit: self.sum(|it| it.connections_over_limit),
            attempts_over_slots: self.sum(|it| it.over_slots),
            planned_stop_failures: self.planned_stop_failures(),
            platform_calls_per_s: self.platform_calls as f64 / seconds,
            control_bytes_per_s_per_host: control_bytes / seconds / self.hosts as f64,
            cpu_us_per_query: after.cpu_us.saturating_sub(before.cpu_us) as f64 / queries,
            rss_mb_max: after.resident_kb_max as f64 / 1_024.0,
            invariant_violations: (after.invariants_broken as u64)
                .max(self.logged_invariant_violations),
            load_lag_p99_ms: load_lag_p99(&measured),
            ..Summary::default()
        }
    }

    fn sum(&self, field: impl Fn(&TargetRecord) -> u64) -> u64 {
        self.records.iter().map(field).sum()
    }

    fn max(&self, field: impl Fn(&TargetRecord) -> u64) -> u64 {
        self.records.iter().map(field).max().unwrap_or(0)
    }

    /// Returns the number of calls whose last answer stated `not_run` although a
    /// target ran them.
    fn false_not_run(&self) -> u64 {
        let ran: BTreeSet<_> = self.runs.iter().map(|it| it.key.as_str()).collect();
        let is_claim = |it: &&CallResult| it.outcome.claims_not_run() && !it.may_have_run_before;
        let claims = self.results.iter().filter(is_claim);
        claims.filter(|it| ran.contains(it.call.key.as_str())).count() as u64
    }

    /// Returns the number of runs of non-idempotent work beyond the first for
    /// each key and shard.
    fn duplicate_runs(&self) -> u64 {
        let counts = self.run_counts(false);
        counts.values().map(|it| it.saturating_sub(1)).sum()
    }

    /// Returns the idempotent runs beyond the first for each key and shard, as a
    /// ratio to the first runs. Calls that their callers sent again are left out.
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
        let is_failure = |it: &&CallResult| match &it.outcome {
            CallOutcome::Answered { .. } => false,
            CallOutcome::Failed(_) => it.is_host_stopping,
            CallOutcome::Refused { reason, .. } => SHUTDOWN_REASONS.contains(&reason.as_str()),
        };
        let calls = self.results.iter().filter(is_failure).count() as u64;
        calls + self.failed_stops
    }
}

impl Summary {
    /// Returns the keys of the counts that must be 0 in every run and are not.
    pub fn broken_guarantees(&self) -> Vec<&'static str> {
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

    /// Returns a value of the summary by its key, such as `groups.orders.p99_ms`,
    /// or the ratio of two values, written `KEY / KEY`.
    pub fn value(&self, key: &str) -> Option<f64> {
        if let Some((above, below)) = key.split_once(" / ") {
            return Some(self.value(above)? / self.value(below)?);
        }
        let json = serde_json::to_value(self).ok()?;
        key.split('.').try_fold(&json, |it, part| it.get(part))?.as_f64()
    }
}

fn reasons(results: &[&CallResult]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for result in results {
        let reason = match &result.outcome {
            CallOutcome::Answered { .. } => continue,
            CallOutcome::Refused { reason, outcome, .. } => format!("{reason} ({outcome})"),
            CallOutcome::Failed(detail) => format!("failed: {detail}"),
        };
        *counts.entry(reason).or_default() += 1;
    }
    counts
}

fn load_lag_p99(results: &[&CallResult]) -> f64 {
    let mut lags = latency_histogram();
    results.iter().for_each(|it| lags.saturating_record(micros(it.lag)));
    lags.value_at_quantile(0.99) as f64 / 1_000.0
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
