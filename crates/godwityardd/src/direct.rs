//! The plain form without owners: every host talks to every target with an
//! equal part of its slots and connections. The baseline that owners are
//! measured against.

use base::{HashMap, HostName, Share, TargetName};
use documents::Configuration;
use entry::interfaces::{HostView, Route};

/// This host's share of every target. A part below one slot is rounded up, so
/// small targets may see more than their slots when hosts are many.
pub fn shares(cfg: &Configuration, hosts: &[HostView]) -> Vec<(TargetName, Share)> {
    let alive = hosts.iter().filter(|it| it.is_alive && !it.is_leaving).count();
    let parts = u32::try_from(alive.max(1)).unwrap_or(u32::MAX);
    cfg.targets()
        .map(|target| {
            let share = Share {
                slots: (target.slots / parts).max(1),
                connections: (target.connections / parts).max(1),
                valid_until: None,
                starts_cold: false,
            };
            (target.name.clone(), share)
        })
        .collect()
}

/// Routes every target to this host.
pub fn routes(cfg: &Configuration, host: &HostName) -> HashMap<TargetName, Route> {
    let route = Route { primary: host.clone(), standby: None };
    cfg.targets().map(|it| (it.name.clone(), route.clone())).collect()
}
