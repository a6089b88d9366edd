//! Instruments of the forwarding tier.
//!
//! Sends are counted in plain atomics and read when somebody scrapes: there
//! are dozens for each request.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering::Relaxed},
};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter},
};

use crate::{
    exporter::Exporter,
    metrics::{LATENCY_BOUNDS_MS, MetricsError},
};

/// Every instrument of the forwarding tier.
#[derive(Clone)]
pub struct FrontMetrics {
    exporter: Exporter,
    requests: Counter<u64>,
    request_latency: Histogram<f64>,
    missing_parts: Counter<u64>,
    refusals: Counter<u64>,
    sends: Arc<[AtomicU64]>,
    levels: Arc<[AtomicU64; LEVELS.len()]>,
}

/// A value that rises and falls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontGauge {
    ConfigurationVersion,
    Hosts,
    Targets,
    TargetsDown,
    RequestsInProgress,
    PartsWaiting,
    IsReady,
    FollowsSource,
    InvariantsBroken,
}

const LEVELS: [(FrontGauge, &str, &str); 9] = [
    (FrontGauge::ConfigurationVersion, "configuration_version", "Version in force"),
    (FrontGauge::Hosts, "hosts", "Hosts that share the targets' limits"),
    (FrontGauge::Targets, "targets", "Targets known"),
    (
        FrontGauge::TargetsDown,
        "targets_down",
        "Targets that get no requests until a trial succeeds",
    ),
    (FrontGauge::RequestsInProgress, "requests_in_progress", "Requests in progress"),
    (FrontGauge::PartsWaiting, "parts_waiting", "Sends that wait for a connection"),
    (FrontGauge::IsReady, "is_ready", "1 if this host takes callers"),
    (FrontGauge::FollowsSource, "follows_source", "1 if the source itself is followed"),
    (FrontGauge::InvariantsBroken, "invariants_broken", "Must be 0"),
];

impl FrontMetrics {
    /// `results` are the names of the results of a send, in the order in which
    /// [`FrontMetrics::record_send`] numbers them.
    pub fn new(results: &'static [&'static str]) -> Result<FrontMetrics, MetricsError> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        let sends: Arc<[AtomicU64]> = results.iter().map(|_| AtomicU64::new(0)).collect();
        let levels = Arc::new(std::array::from_fn(|_| AtomicU64::new(0)));
        observe_sends(&meter, results, &sends);
        observe_levels(&meter, &levels);
        let latency = meter.f64_histogram("front_request_latency_ms");
        let latency = latency.with_description("Time from arrival to answer");
        Ok(FrontMetrics {
            requests: meter.u64_counter("front_requests").build(),
            request_latency: latency.with_boundaries(LATENCY_BOUNDS_MS.to_vec()).build(),
            missing_parts: meter.u64_counter("front_missing_parts").build(),
            refusals: meter.u64_counter("front_refusals").build(),
            sends,
            levels,
            exporter,
        })
    }

    pub fn record_send(&self, result: usize) {
        if let Some(count) = self.sends.get(result) {
            count.fetch_add(1, Relaxed);
        }
    }

    /// `kind` is `gather` or `single`; `outcome` why the request ended so.
    pub fn record_request(&self, kind: &'static str, outcome: &'static str, took_ms: f64) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.request_latency.record(took_ms, &labels);
    }

    /// This tier ended a request by itself.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub fn record_missing_parts(&self, count: usize) {
        self.missing_parts.add(count as u64, &[]);
    }

    pub fn set_gauge(&self, level: FrontGauge, value: u64) {
        self.levels[level as usize].store(value, Relaxed);
    }

    /// The instruments in Prometheus text format.
    pub fn encode(&self) -> Result<String, MetricsError> {
        self.exporter.encode()
    }
}

fn observe_sends(meter: &Meter, results: &'static [&'static str], sends: &Arc<[AtomicU64]>) {
    let sends = sends.clone();
    let counter = meter.u64_observable_counter("front_sends");
    let counter = counter.with_description("Sends to targets by result");
    let _ = counter
        .with_callback(move |observer| {
            for (result, count) in results.iter().zip(&*sends) {
                observer.observe(count.load(Relaxed), &[KeyValue::new("result", *result)]);
            }
        })
        .build();
}

fn observe_levels(meter: &Meter, levels: &Arc<[AtomicU64; LEVELS.len()]>) {
    for (level, name, text) in LEVELS {
        let levels = levels.clone();
        let gauge = meter.u64_observable_gauge(format!("front_{name}")).with_description(text);
        let read = move || levels[level as usize].load(Relaxed);
        let _ = gauge.with_callback(move |observer| observer.observe(read(), &[])).build();
    }
}
