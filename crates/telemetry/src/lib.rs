//! Loggers that prefix messages with the part of the program, and OpenTelemetry
//! instruments.
//!
//! Logging through a full buffer drops lines and counts them instead of blocking
//! the caller.

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
