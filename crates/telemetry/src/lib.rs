//! Loggers that prefix messages with the part of the program, and OpenTelemetry
//! instruments.
//!
//! This crate only records: it takes no decisions and does not block its callers.
//! When a log buffer is full, lines are dropped and counted.

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
