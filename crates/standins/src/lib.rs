//! Simulated targets and a simulated platform for tests, the demo and the bench.
//!
//! They are not for production. They depend on none of the tier's internals:
//! they speak the protocols of docs/PROTOCOLS.md, inject faults on request of a
//! control API, and record what they did, so that a run can be checked without
//! relying on the tier's own reports.

pub mod document_files;
pub mod http;
pub mod platform;
pub mod server;
pub mod targets;
