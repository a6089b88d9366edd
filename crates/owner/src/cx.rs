//! What the owner is started with.

use base::{HostName, Time};
use documents::model::PolicySettings;

/// Settings and dependencies that the host passes to the owner.
#[derive(Clone)]
pub struct OwnerCx {
    pub host: HostName,
    pub policy: PolicySettings,
    pub log: slog::Logger,
    pub metrics: telemetry::Metrics,
    pub clock: fn() -> Time,
    pub seed: u64,
}
