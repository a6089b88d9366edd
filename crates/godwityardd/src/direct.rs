//! Direct mode, without owners: every host connects to every target and uses an
//! equal share of the target's slots and connections. It is the baseline that
//! owners are measured against.

use base::{HashMap, HostName, Share, TargetName};
use documents::Configuration;
use entry::interfaces::{HostView, Route};

/// Returns this host's share of every target. A share below one slot or
/// connection is rounded up to one, so with many hosts a small target may receive
/// more than its limits allow.
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
