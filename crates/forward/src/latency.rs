//! Quantiles of recent latencies, from a small histogram that decays.
//!
//! Load pattern answered: latencies that change within seconds, when targets
//! slow down or a burst begins; hedge delays follow them.

use std::time::Duration;

/// Upper bound of the first bucket.
const FIRST_BOUND_US: f64 = 500.0;
/// Ratio of the bounds of adjacent buckets.
const GROWTH: f64 = 1.15;
const BUCKETS: usize = 64;
/// Number of samples at which all counts are halved.
const HALVE_AFTER_SAMPLES: u32 = 400;
/// Number of samples after which the quantile is recomputed.
const REFRESH_AFTER_SAMPLES: u32 = 32;

/// Greatest ratio of the typical latency to the median. If few of many targets are ten
/// times slower, the mean is a multiple of what the others need, and changes with each
/// query; a mean within this ratio is that of ordinary work.
const MAX_TYPICAL: f64 = 1.5;

/// A quantile and a moving mean of recent latencies.
#[derive(Clone, Debug)]
pub struct LatencyQuantile {
    quantile: f64,
    counts: [u32; BUCKETS],
    total: u32,
    since_refresh: u32,
    cached: Option<Duration>,
    median: Option<Duration>,
    mean_us: f64,
}

impl LatencyQuantile {
    /// `quantile` lies between 0 and 1.
    pub fn new(quantile: f64) -> LatencyQuantile {
        LatencyQuantile {
            quantile,
            counts: [0; BUCKETS],
            total: 0,
            since_refresh: 0,
            cached: None,
            median: None,
            mean_us: 0.0,
        }
    }

    pub fn record(&mut self, latency: Duration) {
        let us = latency.as_micros() as f64;
        self.counts[bucket_index(us)] += 1;
        self.total += 1;
        self.mean_us = if self.total == 1 { us } else { self.mean_us + (us - self.mean_us) / 50.0 };
        if self.total >= HALVE_AFTER_SAMPLES {
            self.halve();
        }
        self.since_refresh += 1;
        if self.since_refresh >= REFRESH_AFTER_SAMPLES || self.cached.is_none() {
            self.since_refresh = 0;
            self.cached = Some(self.compute(self.quantile));
            self.median = Some(self.compute(0.5));
        }
    }

    /// Returns the quantile, or `None` before the first sample.
    pub fn get(&self) -> Option<Duration> {
        self.cached
    }

    /// Returns the moving mean, or `None` before the first sample.
    pub fn mean(&self) -> Option<Duration> {
        (self.total > 0).then(|| Duration::from_micros(self.mean_us as u64))
    }

    /// Returns the moving mean, but at most a multiple of the median; `None` before the
    /// first sample.
    pub fn typical(&self) -> Option<Duration> {
        let (mean, median) = (self.mean()?, self.median?);
        Some(mean.min(median.mul_f64(MAX_TYPICAL)))
    }

    fn compute(&self, quantile: f64) -> Duration {
        let wanted = quantile * f64::from(self.total);
        let mut seen = 0.0;
        let mut bound = FIRST_BOUND_US;
        for count in &self.counts {
            seen += f64::from(*count);
            if seen >= wanted {
                break;
            }
            bound *= GROWTH;
        }
        Duration::from_micros(bound as u64)
    }

    fn halve(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += *count;
        }
        self.total = self.total.max(1);
    }
}

fn bucket_index(us: f64) -> usize {
    if us <= FIRST_BOUND_US {
        return 0;
    }
    let index = ((us / FIRST_BOUND_US).ln() / GROWTH.ln()).ceil() as usize;
    index.min(BUCKETS - 1)
}
