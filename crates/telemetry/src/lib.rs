//! Logs with a fixed prefix for each part, and OpenTelemetry instruments.
//!
//! It decides nothing and never blocks its callers: a full log buffer drops
//! lines and counts them.

pub mod buffered;
mod exporter;
pub mod front_metrics;
pub mod log;
pub mod metrics;

pub use crate::{
    front_metrics::{FrontGauge, FrontMetrics},
    log::{LogGuard, Part, part_logger, report_broken_invariants, root_logger},
    metrics::Metrics,
};
