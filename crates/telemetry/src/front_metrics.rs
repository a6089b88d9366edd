//! Instruments of the forwarding tier.
//!
//! Sends are counted in plain atomics that are read on each scrape, because one
//! request makes dozens of sends.

use std::sync::{
    Arc, Mutex, PoisonError,
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

/// All instruments of the forwarding tier.
#[derive(Clone)]
pub struct FrontMetrics {
    exporter: Exporter,
    requests: Counter<u64>,
    request_latency: Histogram<f64>,
    missing_parts: Counter<u64>,
    left_out_parts: Counter<u64>,
    refusals: Counter<u64>,
    customer_requests: Counter<u64>,
    memory_limits: Counter<u64>,
    rejected_digests: Counter<u64>,
    rejected_messages: Counter<u64>,
    skipped_fields: Counter<u64>,
    feed_reads: Counter<u64>,
    customer_tokens: Counter<u64>,
    reach_checks: Counter<u64>,
    sends: Arc<[AtomicU64]>,
    gauges: Arc<[AtomicU64; GAUGES.len()]>,
    outbound: OutboundShares,
}

/// Services with the reason and the share of their work that leaves the domain.
type OutboundShares = Arc<Mutex<Vec<(String, &'static str, f64)>>>;

/// Gauge of the forwarding tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontGauge {
    ConfigurationVersion,
    ConfigurationAge,
    ProofAge,
    Hosts,
    Targets,
    TargetsDown,
    TargetsLimited,
    TargetsPaused,
    TargetsLeaving,
    HasLostTargets,
    RequestsInProgress,
    PartsWaiting,
    IsReady,
    FollowsSource,
    ReadsSource,
    Senders,
    IsSender,
    MemoryOfHeads,
    MemoryOfBodies,
    MemoryOfRequests,
    MemoryOfTargetAnswers,
    MemoryOfAnswers,
    InvariantsBroken,
}

/// Gauge, metric name without `front_`, and description.
const GAUGES: [(FrontGauge, &str, &str); 23] = [
    (FrontGauge::ConfigurationVersion, "configuration_version", "Version in force"),
    (
        FrontGauge::ConfigurationAge,
        "configuration_age_ms",
        "Time since the version in force was last known to be the newest one",
    ),
    (
        FrontGauge::ProofAge,
        "proof_age_ms",
        "Age of the proof that the version in force is the newest one, by the time of calls",
    ),
    (FrontGauge::Hosts, "hosts", "Hosts that share the targets' limits"),
    (FrontGauge::Targets, "targets", "Targets known"),
    (
        FrontGauge::TargetsDown,
        "targets_down",
        "Targets that get no requests until a trial succeeds",
    ),
    (FrontGauge::TargetsLimited, "targets_limited", "Targets that state a limit of requests"),
    (FrontGauge::TargetsPaused, "targets_paused", "Targets that asked for no requests for now"),
    (FrontGauge::TargetsLeaving, "targets_leaving", "Targets that leave"),
    (FrontGauge::HasLostTargets, "has_lost_targets", "1 if no target answers this host"),
    (FrontGauge::RequestsInProgress, "requests_in_progress", "Requests in progress"),
    (FrontGauge::PartsWaiting, "parts_waiting", "Sends that wait for a connection"),
    (FrontGauge::IsReady, "is_ready", "1 if this host takes callers"),
    (FrontGauge::FollowsSource, "follows_source", "1 if the source or a reader is followed"),
    (FrontGauge::ReadsSource, "reads_source", "1 if the source itself is read"),
    (FrontGauge::Senders, "senders", "Hosts that send for others, 0 if each sends itself"),
    (FrontGauge::IsSender, "is_sender", "1 if this host sends for others"),
    (FrontGauge::MemoryOfHeads, "memory_heads_bytes", "Memory of callers' connections"),
    (FrontGauge::MemoryOfBodies, "memory_bodies_bytes", "Memory of bodies that arrive"),
    (FrontGauge::MemoryOfRequests, "memory_requests_bytes", "Memory of requests in progress"),
    (
        FrontGauge::MemoryOfTargetAnswers,
        "memory_target_answers_bytes",
        "Memory of targets' answers",
    ),
    (FrontGauge::MemoryOfAnswers, "memory_answers_bytes", "Memory of answers that callers read"),
    (FrontGauge::InvariantsBroken, "invariants_broken", "Must be 0"),
];

impl FrontMetrics {
    /// Creates the instruments. `results` holds the label values of `front_sends`;
    /// [`FrontMetrics::record_send`] takes an index into it.
    pub fn new(results: &'static [&'static str]) -> Result<FrontMetrics, MetricsError> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        let sends: Arc<[AtomicU64]> = results.iter().map(|_| AtomicU64::new(0)).collect();
        let gauges = Arc::new(std::array::from_fn(|_| AtomicU64::new(0)));
        register_sends(&meter, results, &sends);
        register_gauges(&meter, &gauges);
        let outbound = OutboundShares::default();
        register_outbound(&meter, &outbound);
        let latency = meter.f64_histogram("front_request_latency_ms");
        let latency = latency.with_description("Time from arrival to answer");
        Ok(FrontMetrics {
            requests: meter.u64_counter("front_requests").build(),
            request_latency: latency.with_boundaries(LATENCY_BOUNDS_MS.to_vec()).build(),
            missing_parts: meter.u64_counter("front_missing_parts").build(),
            left_out_parts: meter.u64_counter("front_left_out_parts").build(),
            refusals: meter.u64_counter("front_refusals").build(),
            customer_requests: meter.u64_counter("front_customer_requests").build(),
            memory_limits: meter.u64_counter("front_memory_limits").build(),
            rejected_digests: meter.u64_counter("front_rejected_digests").build(),
            rejected_messages: meter.u64_counter("front_rejected_messages").build(),
            skipped_fields: meter.u64_counter("front_skipped_fields").build(),
            feed_reads: meter.u64_counter("front_feed_reads").build(),
            customer_tokens: meter.u64_counter("front_customer_tokens").build(),
            reach_checks: meter.u64_counter("front_reach_checks").build(),
            sends,
            gauges,
            outbound,
            exporter,
        })
    }

    /// Counts a send to a target; `result` is an index into the names given to
    /// [`FrontMetrics::new`], and one out of range is ignored.
    pub fn record_send(&self, result: usize) {
        if let Some(count) = self.sends.get(result) {
            count.fetch_add(1, Relaxed);
        }
    }

    /// Records a finished request. `kind` is `gather` or `single`; both `kind` and
    /// `outcome` become labels.
    pub fn record_request(&self, kind: &'static str, outcome: &'static str, took_ms: f64) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.request_latency.record(took_ms, &labels);
    }

    /// Counts a request that this tier refused.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request of a customer. `customer` becomes a label, so it must be one of a few
    /// names.
    pub fn record_customer_request(&self, customer: &str, result: &'static str) {
        let customer = KeyValue::new("customer", customer.to_owned());
        self.customer_requests.add(1, &[customer, KeyValue::new("result", result)]);
    }

    /// Counts an action of a limit on memory or connections; both become labels.
    pub fn record_memory_limit(&self, kind: &'static str, action: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("action", action)];
        self.memory_limits.add(1, &labels);
    }

    /// Counts a datagram from which nothing was taken.
    pub fn record_rejected_digest(&self, reason: &'static str) {
        self.rejected_digests.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a message of another host, beside datagrams, from which nothing was taken.
    pub fn record_rejected_message(&self, message: &'static str, reason: &'static str) {
        let labels = [KeyValue::new("message", message), KeyValue::new("reason", reason)];
        self.rejected_messages.add(1, &labels);
    }

    /// Counts a connection that was opened to learn whether a target is in reach.
    pub fn record_reach_check(&self, is_connected: bool) {
        let result = if is_connected { "connected" } else { "failed" };
        self.reach_checks.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a field of another host's message that this build doesn't know.
    pub fn record_skipped_field(&self, message: &'static str) {
        self.skipped_fields.add(1, &[KeyValue::new("message", message)]);
    }

    /// Counts a complete read of a feed by what became of it.
    pub fn record_feed_read(&self, feed: &'static str, result: &'static str) {
        let labels = [KeyValue::new("feed", feed), KeyValue::new("result", result)];
        self.feed_reads.add(1, &labels);
    }

    /// Counts tokens for customers' requests by what becomes of them.
    pub fn record_tokens(&self, event: &'static str, count: u64) {
        self.customer_tokens.add(count, &[KeyValue::new("event", event)]);
    }

    /// Counts parts that are missing from a successful answer.
    pub fn record_missing_parts(&self, count: usize) {
        self.missing_parts.add(count as u64, &[]);
    }

    /// Counts parts that were not sent, as their shards are overloaded.
    pub fn record_left_out(&self, count: usize) {
        self.left_out_parts.add(count as u64, &[]);
    }

    pub fn set_gauge(&self, gauge: FrontGauge, value: u64) {
        self.gauges[gauge as usize].store(value, Relaxed);
    }

    /// Sets the services of whose work a share leaves the domain, with the reason and the
    /// share. Services and reasons become labels.
    pub fn set_outbound_shares(&self, shares: Vec<(String, &'static str, f64)>) {
        *self.outbound.lock().unwrap_or_else(PoisonError::into_inner) = shares;
    }

    /// Returns the instruments in Prometheus text format.
    pub fn encode(&self) -> Result<String, MetricsError> {
        self.exporter.encode()
    }
}

fn register_sends(meter: &Meter, results: &'static [&'static str], sends: &Arc<[AtomicU64]>) {
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

fn register_outbound(meter: &Meter, outbound: &OutboundShares) {
    let outbound = outbound.clone();
    let gauge = meter.f64_observable_gauge("front_outbound_share");
    let gauge = gauge.with_description("Share of a service's work that leaves the domain");
    let _ = gauge
        .with_callback(move |observer| {
            let shares = outbound.lock().unwrap_or_else(PoisonError::into_inner);
            for (service, reason, share) in &*shares {
                let labels =
                    [KeyValue::new("service", service.clone()), KeyValue::new("reason", *reason)];
                observer.observe(*share, &labels);
            }
        })
        .build();
}

fn register_gauges(meter: &Meter, gauges: &Arc<[AtomicU64; GAUGES.len()]>) {
    for (gauge, name, description) in GAUGES {
        let gauges = gauges.clone();
        let builder =
            meter.u64_observable_gauge(format!("front_{name}")).with_description(description);
        let read = move || gauges[gauge as usize].load(Relaxed);
        let _ = builder.with_callback(move |observer| observer.observe(read(), &[])).build();
    }
}
