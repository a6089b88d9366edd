//! Sums a run up. The truth comes from the records of the callers and of the
//! stand-ins, not from the tier's own word.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::Serialize;
use standins::targets::{RunCount, TargetRecord};

use crate::{
    load::{CallResult, Verdict},
    watch::Counters,
};

mod fairness;
mod slice;
#[cfg(test)]
mod tests;

pub use self::slice::{Slice, slice};
use self::{
    fairness::jain_index,
    slice::{latency_histogram, micros, slices},
};

/// Reasons with which a host that stops turns callers away.
const STOP_REASONS: [&str; 2] = ["stopping", "not_ready"];

#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
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
    /// Pairs of key and shard that non-idempotent work ran on.
    pub non_idempotent_runs: u64,
    pub extra_load_ratio: f64,
    /// Time that slots were in use, as a part of all slots' time.
    pub slot_use_ratio: f64,
    /// Attempts that ran and were then cancelled or timed out.
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
    /// Attempts that found every slot of their target taken.
    pub attempts_over_slots: u64,
    pub planned_stop_failures: u64,
    pub platform_calls_per_s: f64,
    pub control_bytes_per_s_per_host: f64,
    pub cpu_us_per_query: f64,
    pub rss_mb_max: f64,
    pub invariant_violations: u64,
    /// How late the load was in making its calls.
    pub load_lag_p99_ms: f64,
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
    pub records: Vec<TargetRecord>,
    pub runs: Vec<RunCount>,
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
            config_in_force_ms_max: millis(self.config_in_force),
            config_reverts: self.config_reverts,
            fairness_jain: jain_index(&measured, self.fairness_from),
            connections_over_limit: self.sum(|it| it.connections_over_limit),
            attempts_over_slots: self.sum(|it| it.over_slots),
            planned_stop_failures: self.planned_stop_failures(),
            platform_calls_per_s: self.platform_calls as f64 / seconds,
            control_bytes_per_s_per_host: control_bytes / seconds / self.hosts as f64,
            cpu_us_per_query: after.cpu_us.saturating_sub(before.cpu_us) as f64 / queries,
            rss_mb_max: after.resident_kb_max as f64 / 1_024.0,
            invariant_violations: (after.invariants_broken as u64).max(self.logged_invariants),
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

    /// Calls whose last answer was "not run" although a target ran them.
    fn false_not_run(&self) -> u64 {
        let ran: BTreeSet<_> = self.runs.iter().map(|it| it.key.as_str()).collect();
        let is_claim = |it: &&CallResult| it.verdict.claims_not_run() && !it.may_have_run_before;
        let claims = self.results.iter().filter(is_claim);
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

fn load_lag_p99(results: &[&CallResult]) -> f64 {
    let mut lags = latency_histogram();
    results.iter().for_each(|it| lags.saturating_record(micros(it.lag)));
    lags.value_at_quantile(0.99) as f64 / 1_000.0
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
