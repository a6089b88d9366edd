//! Detects whether a network partition separates this host from targets that
//! callers need.

use std::fmt;

use base::{ServiceName, Time};
use forward::{
    Destination, Targets,
    isolation::{partitioned_domains, separated_domains},
    placement::{PlacementRequest, ServiceKey},
    route::RouteEntry,
};
use slog::warn;

use crate::SharedCx;

/// Limit on the services listed when a route cannot be served.
const MAX_LISTED_SERVICES: usize = 5;

/// Limit on the leaving targets listed then.
const MAX_LISTED_TARGETS: usize = 5;

/// Evaluates which domains are reachable, and updates whether this host counts
/// as isolated.
pub(crate) fn update(cx: &SharedCx) {
    let now = cx.clock.now();
    update_reach(cx, now);
    let (others, silent_hosts) = cx.peers.borrow().other_domains(now);
    let silent_targets = cx.targets.borrow().silent_domains(now);
    *cx.cut_off.borrow_mut() = partitioned_domains(&silent_targets, &silent_hosts, others);
    *cx.separated.borrow_mut() = separated_domains(&silent_hosts, others);
    let is_isolated = has_unservable_route(cx, now);
    if cx.is_isolated.replace(is_isolated) != is_isolated {
        warn!(cx.log, "front: reach changed"; "is_isolated" => is_isolated,
            "cut_off" => ?cx.cut_off.borrow(), "unheard" => ?silent_hosts,
            "dark" => ?silent_targets);
    }
}

/// Evaluates whether any target answers this host, and tells other hosts.
fn update_reach(cx: &SharedCx, now: Time) {
    let has_lost_targets = {
        let mut targets = cx.targets.borrow_mut();
        targets.update_reach(now);
        targets.has_lost_targets()
    };
    if cx.has_lost_targets.replace(has_lost_targets) == has_lost_targets {
        return;
    }
    cx.peers.borrow_mut().set_has_lost_targets(has_lost_targets, now);
    cx.update_senders();
    let targets = cx.targets.borrow();
    warn!(cx.log, "front: reach of targets changed"; "no_target_answers" => has_lost_targets,
        "found_by_check" => targets.is_loss_found_by_check(), "down" => targets.down_count(),
        "targets" => targets.target_count());
}

fn has_unservable_route(cx: &SharedCx, now: Time) -> bool {
    let table = cx.table.borrow().clone();
    let Some(table) = table else { return false };
    let (has_separated, has_cut_off) =
        (!cx.separated.borrow().is_empty(), !cx.cut_off.borrow().is_empty());
    table.routes().any(|it| {
        let is_partitioned = if it.senders().is_some() { has_separated } else { has_cut_off };
        is_partitioned && it.is_in_use(now) && check_servable(cx, it, now).is_err()
    })
}

/// Shortage of reachable targets that keeps a route from being served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Unservable {
    /// Number of the route's services with a reachable target.
    reachable: usize,
    /// Number of services that an answer needs.
    needed: usize,
    /// The first few services without a reachable target.
    unreachable: Vec<ServiceName>,
    /// Targets of these services that leave.
    leaving: String,
}

impl fmt::Display for Unservable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.unreachable.iter().map(ServiceName::as_str).collect();
        let (reachable, needed) = (self.reachable, self.needed);
        write!(
            f,
            "{reachable} of {needed} needed services reachable; unreachable: {}",
            names.join(" ")
        )?;
        if self.leaving.is_empty() { Ok(()) } else { write!(f, "; {}", self.leaving) }
    }
}

/// Returns the first few targets of the services that leave, each with the time for which it
/// has done so.
pub(crate) fn leaving_targets<W>(
    targets: &Targets<W>,
    services: &[ServiceKey],
    now: Time,
) -> String {
    let leaving = targets.leaving(services, now).take(MAX_LISTED_TARGETS);
    let texts = leaving.map(|(name, age)| format!("{name} leaving for {} ms", age.as_millis()));
    texts.collect::<Vec<String>>().join("; ")
}

/// Checks that enough services of a route are reachable for an answer.
pub(crate) fn check_servable(
    cx: &SharedCx,
    entry: &RouteEntry,
    now: Time,
) -> Result<(), Unservable> {
    match entry.senders() {
        Some(senders) => check_senders(cx, entry, senders, now),
        None => check_targets(cx, entry, now),
    }
}

/// Checks that enough services of a route have a reachable target.
pub(crate) fn check_targets(
    cx: &SharedCx,
    entry: &RouteEntry,
    now: Time,
) -> Result<(), Unservable> {
    let targets = cx.targets.borrow();
    let cut_off = cx.cut_off.borrow();
    let is_gather = matches!(entry.route.destination, Destination::Gather(_));
    let is_reachable = |service: ServiceKey| {
        let regions = &entry.route.regions;
        let request = PlacementRequest { service, class: entry.class, tried: &[], regions };
        if is_gather {
            targets.has_responsive_target(&request, &cut_off, now)
        } else {
            targets.has_reachable_target(&request, &cut_off, now)
        }
    };
    let services = entry.services.iter().copied();
    let unreachable: Vec<ServiceKey> = services.filter(|it| !is_reachable(*it)).collect();
    let needed = entry.min_services();
    let reachable = entry.services.len() - unreachable.len();
    if reachable >= needed {
        return Ok(());
    }
    let leaving = leaving_targets(&targets, &unreachable, now);
    let names = unreachable
        .into_iter()
        .take(MAX_LISTED_SERVICES)
        .map(|it| targets.service_name(it).clone());
    let unreachable = names.collect();
    Err(Unservable { reachable, needed, unreachable, leaving })
}

/// Returns the helpers that a request should be passed on to, as this host cannot serve
/// it and one of them is expected to.
pub(crate) fn needed_helpers(cx: &SharedCx, entry: &RouteEntry, now: Time) -> Option<ServiceKey> {
    let has_lost_targets = cx.has_lost_targets.get();
    let is_needed = has_lost_targets
        || check_targets(cx, entry, now).is_err() && !entry.is_refused_by_helpers(now);
    let helpers = cx.targets.borrow().helpers().filter(|_| is_needed)?;
    has_responsive_host(cx, entry, helpers).then_some(helpers)
}

/// Returns whether any of the hosts is expected to answer.
pub(crate) fn has_responsive_host(cx: &SharedCx, entry: &RouteEntry, hosts: ServiceKey) -> bool {
    let regions = &entry.route.regions;
    let request =
        PlacementRequest { service: hosts, class: entry.relay_class, tried: &[], regions };
    let targets = cx.targets.borrow();
    targets.has_responsive_target(&request, &cx.separated.borrow(), cx.clock.now())
}

/// Checks that a sender is in reach.
fn check_senders(
    cx: &SharedCx,
    entry: &RouteEntry,
    senders: ServiceKey,
    now: Time,
) -> Result<(), Unservable> {
    let targets = cx.targets.borrow();
    let request =
        PlacementRequest { service: senders, class: entry.relay_class, tried: &[], regions: &[] };
    if targets.has_allowed_target(&request, &cx.separated.borrow(), now) {
        return Ok(());
    }
    let unreachable = vec![targets.service_name(senders).clone()];
    Err(Unservable { reachable: 0, needed: 1, unreachable, leaving: String::new() })
}
