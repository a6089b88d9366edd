//! Configuration.
