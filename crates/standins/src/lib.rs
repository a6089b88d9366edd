//! Small stand-ins for what surrounds the tier: targets and the platform.
//!
//! They are for tests, the demo and the bench, never for production. They know
//! nothing of the tier's insides: they speak the protocols of
//! docs/PROTOCOLS.md, misbehave as they are told over a control API, and keep
//! a record of what they did, so that a run can be judged from outside.

pub mod document_files;
pub mod http;
pub mod platform;
pub mod server;
pub mod targets;
