//! Watches whether this host is cut off from targets that callers need.

use std::fmt;

use base::{ServiceName, Time};
use forward::{
    Destination,
    isolation::partitioned_domains,
    placement::{PlacementRequest, ServiceKey},
    route::RouteEntry,
};
use slog::warn;

use crate::SharedCx;

/// Services named where a route cannot be served.
const MAX_NAMED: usize = 5;

/// Looks at what can be reached, and steps back or returns.
pub(crate) fn watch(cx: &SharedCx) {
    let now = cx.clock.now();
    let (others, unheard) = cx.peers.borrow().other_domains(now);
    let dark = cx.targets.borrow().silent_domains(now);
    *cx.cut_off.borrow_mut() = partitioned_domains(&dark, &unheard, others);
    let is_isolated = !cx.cut_off.borrow().is_empty() && has_unservable_route(cx, now);
    if cx.is_isolated.replace(is_isolated) != is_isolated {
        warn!(cx.log, "front: reach changed"; "is_isolated" => is_isolated,
            "cut_off" => ?cx.cut_off.borrow(), "unheard" => ?unheard, "dark" => ?dark);
    }
}

fn has_unservable_route(cx: &SharedCx, now: Time) -> bool {
    let table = cx.table.borrow().clone();
    let Some(table) = table else { return false };
    table.routes().any(|it| it.is_in_use(now) && check_servable(cx, it, now).is_err())
}

/// Why a route cannot be served now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Unservable {
    /// Services with a target that can be reached, and how many are needed.
    reachable: usize,
    needed: usize,
    /// Some of the services without.
    lacking: Vec<ServiceName>,
}

impl fmt::Display for Unservable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.lacking.iter().map(ServiceName::as_str).collect();
        let (reachable, needed) = (self.reachable, self.needed);
        write!(f, "{reachable} of {needed} services needed; without a target: {}", names.join(" "))
    }
}

/// Whether enough targets can be reached for an answer.
pub(crate) fn check_servable(
    cx: &SharedCx,
    entry: &RouteEntry,
    now: Time,
) -> Result<(), Unservable> {
    let targets = cx.targets.borrow();
    let cut_off = cx.cut_off.borrow();
    let is_gather = matches!(entry.route.destination, Destination::Gather(_));
    let is_reachable = |service: ServiceKey| {
        let regions = &entry.route.regions;
        let ask = PlacementRequest { service, class: entry.class, tried: &[], regions };
        if is_gather {
            targets.has_responsive_target(&ask, &cut_off, now)
        } else {
            targets.has_reachable_target(&ask, &cut_off, now)
        }
    };
    let services = entry.services.iter().copied();
    let lacking: Vec<ServiceKey> = services.filter(|it| !is_reachable(*it)).collect();
    let needed = entry.min_services();
    let reachable = entry.services.len() - lacking.len();
    if reachable >= needed {
        return Ok(());
    }
    let names = lacking.into_iter().take(MAX_NAMED).map(|it| targets.service_name(it).clone());
    let lacking = names.collect();
    Err(Unservable { reachable, needed, lacking })
}
