//! Leases.
