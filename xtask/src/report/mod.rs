//! Human-readable output of summaries: tables, comparisons and bound checks.

use crate::{
    evaluation::{CallStats, Summary},
    scenario::Scenario,
};

mod markdown;
mod plot;

pub use self::{
    markdown::{Section, render_page},
    plot::draw_plot,
};

/// Summary keys printed for each run, in order.
pub const KEYS: [&str; 34] = [
    "requests",
    "answered",
    "refused",
    "failed",
    "p50_ms",
    "p90_ms",
    "p99_ms",
    "p999_ms",
    "coverage_mean",
    "coverage_full_ratio",
    "coverage_lies",
    "mixed_snapshots",
    "crossed_answers",
    "false_not_run",
    "duplicate_runs",
    "non_idempotent_runs",
    "extra_load_ratio",
    "slot_use_ratio",
    "wasted_run_ratio",
    "hedges",
    "retries",
    "cold_overload_events",
    "turned_cold_overload_events",
    "target_crashes",
    "connections_over_limit",
    "attempts_over_slots",
    "work_after_domain_out_ms_max",
    "config_in_force_ms_max",
    "fairness_jain",
    "planned_stop_failures",
    "cpu_us_per_query",
    "rss_mb_max",
    "invariant_violations",
    "load_lag_p99_ms",
];

/// Result of checking a bound against the measured value.
pub struct BoundCheck {
    pub key: String,
    pub bound: String,
    /// `None` if the summary has no such key.
    pub value: Option<f64>,
    pub holds: bool,
}

/// Checks every bound of the scenario. Broken guarantees without a bound of their
/// own are added as failed checks.
pub fn check_bounds(scenario: &Scenario, summary: &Summary) -> Vec<BoundCheck> {
    let mut checks = Vec::new();
    for (key, bound) in &scenario.bounds {
        let value = summary.value(key);
        let min = bound.min.map(|it| format!("≥ {it}"));
        let max = bound.max.map(|it| format!("≤ {it}"));
        let text: Vec<_> = [min, max].into_iter().flatten().collect();
        let holds = value.is_some_and(|it| bound.holds(it));
        checks.push(BoundCheck { key: key.clone(), bound: text.join(" and "), value, holds });
    }
    for key in summary.broken_guarantees() {
        if !scenario.bounds.contains_key(key) {
            let value = summary.value(key);
            checks.push(BoundCheck {
                key: key.to_owned(),
                bound: "≤ 0".to_owned(),
                value,
                holds: false,
            });
        }
    }
    checks
}

pub fn print_all_stats(summary: &Summary) {
    println!(
        "{:<16} {:>8} {:>8} {:>7} {:>6} {:>8} {:>8} {:>8} {:>8} {:>9}",
        "",
        "requests",
        "answered",
        "refused",
        "failed",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "p99.9",
        "coverage"
    );
    print_stats("all", &summary.overall);
    summary.groups.iter().for_each(|(name, it)| print_stats(name, it));
    summary.domains.iter().for_each(|(name, it)| print_stats(name, it));
    for (reason, count) in &summary.reasons {
        println!("  {count} x {reason}");
    }
}

/// Prints the values of a run, or of two runs side by side with the ratio of the
/// second to the first.
pub fn print_table(summary: &Summary, other: Option<&Summary>) {
    for key in KEYS {
        let value = summary.value(key).unwrap_or(f64::NAN);
        let Some(other) = other else {
            println!("{key:<30} {value:>12.3}");
            continue;
        };
        let second = other.value(key).unwrap_or(f64::NAN);
        println!("{key:<30} {value:>12.3} {second:>12.3} {:>8.2}", second / value);
    }
}

pub fn print_bound_checks(checks: &[BoundCheck]) {
    for it in checks {
        let mark = if it.holds { "holds" } else { "BROKEN" };
        let value = it.value.map_or("no such key".to_owned(), |it| format!("{it:.3}"));
        println!("{mark:<7} {:<36} {:<10} measured {value}", it.key, it.bound);
    }
}

fn print_stats(name: &str, it: &CallStats) {
    println!(
        "{name:<16} {:>8} {:>8} {:>7} {:>6} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>9.4}",
        it.requests,
        it.answered,
        it.refused,
        it.failed,
        it.p50_ms,
        it.p90_ms,
        it.p99_ms,
        it.p999_ms,
        it.coverage_mean
    );
}
