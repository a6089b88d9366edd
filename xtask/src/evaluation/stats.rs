//! Latency quantiles, outcomes and coverage of a set of calls.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{CallOutcome, CallResult};

/// Upper bound of the latency histogram; longer latencies are recorded as this
/// value.
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Statistics of a set of calls. Latency and coverage are those of the answered
/// calls.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct CallStats {
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

pub fn call_stats(results: &[&CallResult]) -> CallStats {
    let mut latencies = latency_histogram();
    let mut call_stats = CallStats { requests: results.len() as u64, ..CallStats::default() };
    let mut coverage = 0.0;
    let mut full = 0_u64;
    for result in results {
        match &result.outcome {
            CallOutcome::Answered { answered, total } => {
                call_stats.answered += 1;
                coverage += f64::from(*answered) / f64::from((*total).max(1));
                full += u64::from(answered == total);
                latencies.saturating_record(micros(result.latency));
            }
            CallOutcome::Refused { .. } => call_stats.refused += 1,
            CallOutcome::Failed(_) => call_stats.failed += 1,
        }
    }
    let quantile = |it: f64| latencies.value_at_quantile(it) as f64 / 1_000.0;
    let answered = (call_stats.answered as f64).max(1.0);
    call_stats.answered_ratio = call_stats.answered as f64 / (call_stats.requests as f64).max(1.0);
    call_stats.p50_ms = quantile(0.5);
    call_stats.p90_ms = quantile(0.9);
    call_stats.p99_ms = quantile(0.99);
    call_stats.p999_ms = quantile(0.999);
    call_stats.coverage_mean = coverage / answered;
    call_stats.coverage_full_ratio = full as f64 / answered;
    call_stats
}

pub fn call_stats_by(
    results: &[&CallResult],
    key: impl Fn(&CallResult) -> String,
) -> BTreeMap<String, CallStats> {
    let mut parts: BTreeMap<String, Vec<&CallResult>> = BTreeMap::new();
    for result in results {
        parts.entry(key(result)).or_default().push(result);
    }
    parts.into_iter().map(|(name, part)| (name, call_stats(&part))).collect()
}

pub fn latency_histogram() -> Histogram<u64> {
    // The bounds are fixed and valid: the library rejects only more than five
    // digits, a lower bound of 0 and an upper bound below twice the lower one.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|err| unreachable!("histogram bounds: {err}"))
}

pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(MAX_LATENCY_US)
}
