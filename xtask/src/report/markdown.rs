//! Renders docs/BENCHMARKS.md, which `bench all` writes.

use std::fmt::Write;

use super::{BoundCheck, KEYS};
use crate::evaluation::Summary;

/// Summary keys compared between a run and its baselines.
const COMPARED_KEYS: [&str; 11] = [
    "answered_ratio",
    "p50_ms",
    "p99_ms",
    "coverage_mean",
    "coverage_full_ratio",
    "extra_load_ratio",
    "wasted_run_ratio",
    "cold_overload_events",
    "attempts_over_slots",
    "fairness_jain",
    "cpu_us_per_query",
];

/// Section of the page for one scenario.
pub struct Section {
    pub title: String,
    pub command: String,
    pub summary: Summary,
    /// Summaries of the same scenario with one mechanism off each.
    pub baseline_summaries: Vec<Summary>,
    pub checks: Vec<BoundCheck>,
}

/// Renders the page. A scenario that did not complete is given by its title and
/// the cause.
pub fn render_page(head: &str, sections: &[Result<Section, (String, String)>]) -> String {
    let mut out = format!("# Benchmarks\n\n{head}\n");
    for section in sections {
        match section {
            Ok(section) => write_section(&mut out, section),
            Err((title, detail)) => {
                let _ = write!(out, "\n## {title}\n\n**Did not run to its end:** {detail}\n");
            }
        }
    }
    out
}

fn write_section(out: &mut String, section: &Section) {
    let _ = write!(out, "\n## {}\n\n`{}`\n\n", section.title, section.command);
    if !section.checks.is_empty() {
        out.push_str("| bound | asked | measured | verdict |\n| --- | --- | --- | --- |\n");
    }
    for it in &section.checks {
        let value = it.value.map_or("no such key".to_owned(), |it| format!("{it:.3}"));
        let mark = if it.holds { "holds" } else { "**broken**" };
        let _ = writeln!(out, "| {} | {} | {value} | {mark} |", it.key, it.bound);
    }
    out.push_str("\n| part | requests | answered | p50 ms | p99 ms | coverage |\n");
    out.push_str("| --- | --- | --- | --- | --- | --- |\n");
    let summary = &section.summary;
    let all = "all".to_owned();
    for (name, it) in std::iter::once((&all, &summary.overall)).chain(&summary.groups) {
        let _ = writeln!(
            out,
            "| {name} | {} | {} | {:.1} | {:.1} | {:.4} |",
            it.requests, it.answered, it.p50_ms, it.p99_ms, it.coverage_mean
        );
    }
    if !section.baseline_summaries.is_empty() {
        write_comparison(out, summary, &section.baseline_summaries);
    }
    out.push_str("\n<details><summary>all keys</summary>\n\n");
    for key in KEYS {
        let _ = writeln!(out, "- {key}: {:.3}", summary.value(key).unwrap_or(f64::NAN));
    }
    for (reason, count) in &summary.reasons {
        let _ = writeln!(out, "- {count} x {reason}");
    }
    out.push_str("\n</details>\n");
}

fn write_comparison(out: &mut String, summary: &Summary, baseline_summaries: &[Summary]) {
    out.push_str("\n| key | as shipped |");
    baseline_summaries.iter().for_each(|it| {
        let _ = write!(out, " {} |", it.baseline);
    });
    let _ = writeln!(out, "\n| --- | --- |{}", " --- |".repeat(baseline_summaries.len()));
    for key in COMPARED_KEYS {
        let _ = write!(out, "| {key} |");
        for it in std::iter::once(summary).chain(baseline_summaries) {
            let _ = write!(out, " {:.3} |", it.value(key).unwrap_or(f64::NAN));
        }
        out.push('\n');
    }
}
