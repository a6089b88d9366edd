//! What the model plays, and what came of it.

use std::time::Duration;

/// What the model plays.
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
    /// Each target pauses this long in each period.
    pub pause: Duration,
    pub pause_period: Duration,
    /// Targets that are slower, by a factor, in a span of time.
    pub slow: Vec<Slow>,
    pub retry_ratio: f64,
    /// Targets of each shard.
    pub replicas: usize,
    /// Connections that a target takes, and the hosts that share them.
    pub max_connections: u32,
    pub hosts: usize,
    /// Requests of other hosts to each target.
    pub others_per_s: f64,
    /// Whether queries that would be late are refused.
    pub admits: bool,
    /// Queries come more often by a factor in a span of time.
    pub burst: Option<(Duration, Duration, f64)>,
}

/// A target of a shard works slower, or not at all.
#[derive(Clone, Debug)]
pub struct Slow {
    pub shard: usize,
    pub replica: usize,
    pub from: Duration,
    pub until: Duration,
    /// Infinite: it answers nothing.
    pub factor: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub queries: usize,
    pub in_time: usize,
    pub late: usize,
    pub unserved: usize,
    /// Of these, refused at their arrival.
    pub refused: usize,
    /// Of these, held until their timeout.
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
            admits: true,
            burst: None,
        }
    }
}

impl Report {
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.queries as f64
    }

    /// Sends beyond one a part.
    pub fn extra_share(&self) -> f64 {
        self.sends as f64 / self.parts as f64 - 1.0
    }
}
