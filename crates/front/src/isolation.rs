//! Watches whether this host is cut off from targets that callers need.

use base::Time;
use forward::{
    Destination,
    isolation::cut_off,
    placement::Ask,
    route::{Route, RouteEntry},
};
use slog::warn;

use crate::SharedCx;

/// Looks at what can be reached, and steps back or returns.
pub(crate) fn watch(cx: &SharedCx) {
    let now = cx.clock.now();
    let (others, unheard) = cx.peers.borrow().domains(now);
    let dark = cx.targets.borrow().dark_domains(now);
    *cx.cut_off.borrow_mut() = cut_off(&dark, &unheard, others);
    let is_isolated = !cx.cut_off.borrow().is_empty() && has_unservable_route(cx, now);
    if cx.is_isolated.replace(is_isolated) != is_isolated {
        warn!(cx.log, "front: reach changed"; "is_isolated" => is_isolated,
            "cut_off" => ?cx.cut_off.borrow(), "unheard" => ?unheard, "dark" => ?dark);
    }
}

fn has_unservable_route(cx: &SharedCx, now: Time) -> bool {
    let table = cx.table.borrow().clone();
    let Some(table) = table else { return false };
    table.routes().any(|it| it.is_in_use(now) && !is_servable(cx, it, now))
}

/// Whether enough targets can be reached for an answer.
pub(crate) fn is_servable(cx: &SharedCx, entry: &RouteEntry, now: Time) -> bool {
    let route: &Route = &entry.route;
    let mut targets = cx.targets.borrow_mut();
    let class = targets.class(&route.name);
    let cut_off = cx.cut_off.borrow();
    let mut ask = |name| {
        let service = targets.service(name);
        Ask { service, class, tried: &[], regions: &route.regions }
    };
    let asks: Vec<Ask<'_>> = route.destination.services().into_iter().map(&mut ask).collect();
    match &route.destination {
        Destination::Gather(spec) => {
            let is_hopeful = |it: &&Ask<'_>| targets.is_hopeful(it, &cut_off, now);
            asks.iter().filter(is_hopeful).count() >= spec.min_shards()
        }
        Destination::Service(_) | Destination::Weighted(_) => {
            asks.iter().any(|it| targets.is_reachable(it, &cut_off, now))
        }
    }
}
