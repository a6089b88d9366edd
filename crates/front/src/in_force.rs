//! The configuration behind a request: its version, when it was last known to be the newest
//! one, and by whom. Log lines of requests name them, so that a host with an old
//! configuration can be told from a caller with a wrong path.

use std::time::Duration;

use forward::Provenance;
use slog::{KV, Record, Serializer};

/// The configuration in force at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InForce {
    /// 0 before the first one.
    pub version: u64,
    /// Time since it was last known to be the newest one; `None` if it never was.
    pub age: Option<Duration>,
    /// Who said so.
    pub provenance: Provenance,
}

impl KV for InForce {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_u64("version", self.version)?;
        if let Some(age) = self.age {
            serializer.emit_u64("version_age_ms", age.as_millis() as u64)?;
        }
        serializer.emit_arguments("version_from", &format_args!("{}", self.provenance))
    }
}
