//! Parameters and results of a simulation.

use std::time::Duration;

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Load {
    pub seed: u64,
    pub shards: usize,
    pub queries_per_s: f64,
    pub run_for: Duration,
    pub work: Duration,
    pub slots: usize,
    pub objective: Duration,
    pub timeout: Duration,
    pub min_shards: usize,
    /// Time for which each target pauses in each `pause_period`.
    pub pause: Duration,
    pub pause_period: Duration,
    /// Targets that are slow for some time.
    pub slow: Vec<Slow>,
    pub retry_ratio: f64,
    /// Number of targets of each shard.
    pub replicas: usize,
    /// Maximum number of connections to a target, shared by `hosts`.
    pub max_connections: u32,
    pub hosts: usize,
    /// Rate of other hosts' requests to each target.
    pub others_per_s: f64,
    /// Whether queries that would be late are refused.
    pub has_admission: bool,
    /// Start, end and rate factor of a burst of queries.
    pub burst: Option<(Duration, Duration, f64)>,
}

/// A target that is slow, or answers nothing, for some time.
#[derive(Clone, Debug)]
pub struct Slow {
    pub shard: usize,
    pub replica: usize,
    pub from: Duration,
    pub until: Duration,
    /// Slowdown; if infinite, the target answers nothing.
    pub factor: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub queries: usize,
    pub in_time: usize,
    pub late: usize,
    pub unserved: usize,
    /// Number of unserved queries that were refused on arrival.
    pub refused: usize,
    /// Number of unserved queries that timed out.
    pub timed_out: usize,
    pub missing_parts: usize,
    pub parts: usize,
    pub sends: usize,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            seed: 1,
            shards: 20,
            queries_per_s: 15.0,
            run_for: Duration::from_secs(30),
            work: Duration::from_millis(15),
            slots: 2,
            objective: Duration::from_millis(120),
            timeout: Duration::from_millis(800),
            min_shards: 18,
            pause: Duration::ZERO,
            pause_period: Duration::from_secs(4),
            slow: Vec::new(),
            retry_ratio: 0.2,
            replicas: 2,
            max_connections: 5,
            hosts: 1,
            others_per_s: 0.0,
            has_admission: true,
            burst: None,
        }
    }
}

impl Report {
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.queries as f64
    }

    /// Returns the number of sends per part beyond the first.
    pub fn extra_share(&self) -> f64 {
        self.sends as f64 / self.parts as f64 - 1.0
    }
}
