//! A host's share of a target.

use crate::time::Time;

/// The slots and connections of a target that one host may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Maximum number of requests in flight.
    pub slots: u32,
    pub connections: u32,
    /// End of the lease, after which nothing may be sent. `None` never expires.
    pub valid_until: Option<Time>,
    /// Whether the target must be treated as cold when the share begins.
    pub starts_cold: bool,
}
