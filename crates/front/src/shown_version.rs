//! Versions of the configuration by which other hosts handled requests of this one.

use std::cell::Cell;

use tokio::sync::{Notify, futures::Notified};

/// The latest version that callers of this host were shown by an answer of another host.
#[derive(Debug)]
#[derive(Default)]
pub(crate) struct ShownVersion {
    version: Cell<u64>,
    changed: Notify,
}

impl ShownVersion {
    pub(crate) fn get(&self) -> u64 {
        self.version.get()
    }

    /// Completes when a later version is shown.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    pub(crate) fn record(&self, version: u64) {
        if version > self.version.get() {
            self.version.set(version);
            self.changed.notify_one();
        }
    }
}
