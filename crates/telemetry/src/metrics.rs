//! Instruments of the daemon, created once per process.
//!
//! Label values come from bounded sets, so request ids, callers and tickets are
//! never labels.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

use crate::exporter::Exporter;
pub use crate::exporter::MetricsError;

/// Bucket bounds of latency histograms, in milliseconds.
pub(crate) const LATENCY_BOUNDS_MS: [f64; 14] =
    [1.0, 2.0, 5.0, 10.0, 20.0, 35.0, 50.0, 75.0, 100.0, 150.0, 250.0, 500.0, 1_000.0, 5_000.0];

/// All instruments of the daemon.
#[derive(Clone)]
pub struct Metrics {
    exporter: Exporter,
    pub requests: Counter<u64>,
    pub request_latency: Histogram<f64>,
    pub subqueries: Counter<u64>,
    pub queue_wait: Histogram<f64>,
    pub target_latency: Histogram<f64>,
    pub refusals: Counter<u64>,
    pub hedges: Counter<u64>,
    pub retries: Counter<u64>,
    pub quarantined: Counter<u64>,
    pub connections_condemned: Counter<u64>,
    pub limit_changes: Counter<u64>,
    pub assignment_changes: Counter<u64>,
    pub platform_calls: Counter<u64>,
    pub control_bytes: Counter<u64>,
    pub revision_in_force: Gauge<u64>,
    pub members_alive: Gauge<u64>,
    pub shares_held: Gauge<u64>,
    pub lease_left: Gauge<u64>,
    pub invariants_broken: Gauge<u64>,
}

impl Metrics {
    pub fn new() -> Result<Self, MetricsError> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        let latency = |name: &'static str, text: &'static str| {
            let histogram = meter.f64_histogram(name).with_description(text);
            histogram.with_boundaries(LATENCY_BOUNDS_MS.to_vec()).build()
        };
        Ok(Metrics {
            requests: counter("requests", "Callers' requests by result"),
            request_latency: latency("request_latency_ms", "Time from arrival to answer"),
            subqueries: counter("subqueries", "Subqueries by result"),
            queue_wait: latency("queue_wait_ms", "Time a subquery waited at its owner"),
            target_latency: latency("target_latency_ms", "Time from send to a target's answer"),
            refusals: counter("refusals", "Refused requests by reason"),
            hedges: counter("hedges", "Hedged subqueries"),
            retries: counter("retries", "Retried subqueries"),
            quarantined: counter("quarantined", "Fingerprints put in quarantine"),
            connections_condemned: counter("connections_condemned", "Connections given up"),
            limit_changes: counter("limit_changes", "Target limits raised or lowered"),
            assignment_changes: counter("assignment_changes", "Changes of this host's shares"),
            platform_calls: counter("platform_calls", "Calls to the platform by kind"),
            control_bytes: counter("control_bytes", "Bytes of control traffic by direction"),
            revision_in_force: gauge("revision_in_force", "Highest revision in force"),
            members_alive: gauge("members_alive", "Hosts believed alive"),
            shares_held: gauge("shares_held", "Targets that this host may use"),
            lease_left: gauge("lease_left_ms", "Time until the first lease held ends"),
            invariants_broken: gauge("invariants_broken", "Invariants broken so far"),
            exporter,
        })
    }

    /// Updates `invariants_broken` and returns the instruments in Prometheus text
    /// format.
    pub fn encode(&self) -> Result<String, MetricsError> {
        self.invariants_broken.record(base::invariant::broken_count(), &[]);
        self.exporter.encode()
    }
}

/// Returns a label of an instrument.
pub fn label(key: &'static str, value: &'static str) -> KeyValue {
    KeyValue::new(key, value)
}
