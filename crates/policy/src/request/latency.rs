//! Recent load of a pool: a decaying latency histogram, which sets the delay of
//! hedges, and the fraction of subqueries that were shed.

use std::time::Duration;

use base::Time;

const BUCKET_COUNT: usize = 96;
const FIRST_BUCKET_BOUND_US: f64 = 50.0;
const BUCKET_GROWTH: f64 = 1.12;
const DECAY_INTERVAL: Duration = Duration::from_secs(1);
/// Factor on the weight of old samples after each [`DECAY_INTERVAL`].
const DECAY_FACTOR: f64 = 0.7;
/// Least decayed number of samples for which a quantile is returned.
const MIN_SAMPLES: f64 = 32.0;
/// Fraction of shed subqueries above which a pool gets no hedges.
const SHEDDING_RATIO: f64 = 0.01;

/// Histogram of latencies in which old samples lose weight over time.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: [f64; BUCKET_COUNT],
    total: f64,
    decayed_at: Time,
}

/// Latency and shedding of one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolLoad {
    pub latency: LatencyHistogram,
    parts: f64,
    shed: f64,
    decayed_at: Time,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram { counts: [0.0; BUCKET_COUNT], total: 0.0, decayed_at: Time::ZERO }
    }
}

impl LatencyHistogram {
    pub fn record(&mut self, now: Time, latency: Duration) {
        let factor = decay_factor(now, &mut self.decayed_at);
        if factor < 1.0 {
            self.counts.iter_mut().for_each(|it| *it *= factor);
            self.total *= factor;
        }
        self.counts[bucket_index(latency)] += 1.0;
        self.total += 1.0;
    }

    /// Returns an upper bound of the given quantile (0 to 1) of recent
    /// latencies; `None` while there are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let mut remaining = self.total * quantile;
        for (i, count) in self.counts.iter().enumerate() {
            remaining -= count;
            if remaining <= 0.0 {
                return Some(bucket_upper_bound(i));
            }
        }
        Some(bucket_upper_bound(BUCKET_COUNT - 1))
    }
}

impl PoolLoad {
    pub fn record_part(&mut self, now: Time, is_shed: bool) {
        let factor = decay_factor(now, &mut self.decayed_at);
        self.parts = self.parts * factor + 1.0;
        self.shed = self.shed * factor + f64::from(u8::from(is_shed));
    }

    /// Returns whether the pool gets more work than it can handle.
    pub fn is_shedding(&self) -> bool {
        self.shed > 1.0 && self.shed > self.parts * SHEDDING_RATIO
    }
}

fn decay_factor(now: Time, decayed_at: &mut Time) -> f64 {
    let intervals = now.since(*decayed_at).as_micros() / DECAY_INTERVAL.as_micros();
    if intervals == 0 {
        return 1.0;
    }
    *decayed_at = now;
    DECAY_FACTOR.powi(intervals.min(1_000) as i32)
}

fn bucket_index(latency: Duration) -> usize {
    let ratio = latency.as_micros() as f64 / FIRST_BUCKET_BOUND_US;
    if ratio <= 1.0 {
        return 0;
    }
    let index = ratio.ln() / BUCKET_GROWTH.ln();
    (index.ceil() as usize).min(BUCKET_COUNT - 1)
}

fn bucket_upper_bound(index: usize) -> Duration {
    Duration::from_micros((FIRST_BUCKET_BOUND_US * BUCKET_GROWTH.powi(index as i32)) as u64)
}
