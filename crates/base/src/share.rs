//! The part of a target's slots and connections that one host may use.

use crate::time::Time;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Requests at once.
    pub slots: u32,
    pub connections: u32,
    /// End of the lease; nothing may be sent later. None never ends.
    pub valid_until: Option<Time>,
    /// Whether the target must be treated as cold when the share begins.
    pub starts_cold: bool,
}
