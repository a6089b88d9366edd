//! Creates the meter for instruments and encodes them for Prometheus.

use std::sync::Arc;

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// OpenTelemetry instrumentation scope of all instruments.
const INSTRUMENTATION_SCOPE: &str = "godwityard";

#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum MetricsError {
    #[error("cannot start the metrics exporter: {0}")]
    Exporter(String),
    #[error("cannot encode the metrics: {0}")]
    Encoding(String),
}

#[derive(Clone)]
pub(crate) struct Exporter {
    registry: Registry,
    // Kept because instruments stop reporting when their provider is dropped.
    provider: Arc<SdkMeterProvider>,
}

impl Exporter {
    pub(crate) fn new() -> Result<Exporter, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|err| MetricsError::Exporter(err.to_string()))?;
        let provider = Arc::new(SdkMeterProvider::builder().with_reader(exporter).build());
        Ok(Exporter { registry, provider })
    }

    pub(crate) fn meter(&self) -> Meter {
        self.provider.meter(INSTRUMENTATION_SCOPE)
    }

    /// Returns all instruments in Prometheus text format.
    pub(crate) fn encode(&self) -> Result<String, MetricsError> {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .map_err(|err| MetricsError::Encoding(err.to_string()))?;
        String::from_utf8(buf).map_err(|err| MetricsError::Encoding(err.to_string()))
    }
}
