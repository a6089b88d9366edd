//! Versions of the configuration by which other hosts handled requests of this one.

use std::cell::Cell;

use forward::placement::TargetKey;
use http::HeaderMap;
use tokio::sync::{Notify, futures::Notified};

use crate::{SharedCx, messages::relay};

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

    fn record(&self, version: u64) {
        if version > self.version.get() {
            self.version.set(version);
            self.changed.notify_one();
        }
    }
}

/// Records the version that the answer of another host names, and removes it there.
pub(crate) fn record_version(cx: &SharedCx, host: TargetKey, headers: &mut HeaderMap) {
    let Some(version) = relay::take_version(headers) else { return };
    let address = cx.targets.borrow().target(host).map(|it| it.report.address);
    let Some(address) = address else { return };
    cx.peers.borrow_mut().record_version(address, version, cx.clock.now());
    if version > cx.version() {
        cx.shown_version.record(version);
    }
}
