//! Latency quantiles, fate and coverage of a set of calls.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{CallResult, Verdict};

/// Longest latency that a histogram tells apart.
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Latency and fate of a set of calls.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
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
                latencies.saturating_record(micros(result.latency));
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

pub fn slices(
    results: &[&CallResult],
    key: impl Fn(&CallResult) -> String,
) -> BTreeMap<String, Slice> {
    let mut parts: BTreeMap<String, Vec<&CallResult>> = BTreeMap::new();
    for result in results {
        parts.entry(key(result)).or_default().push(result);
    }
    parts.into_iter().map(|(name, part)| (name, slice(&part))).collect()
}

pub fn latency_histogram() -> Histogram<u64> {
    // Fixed bounds: the library refuses only more digits or an empty range.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|err| unreachable!("histogram bounds: {err}"))
}

pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(MAX_LATENCY_US)
}
