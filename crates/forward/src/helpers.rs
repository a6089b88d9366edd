//! Helpers: the hosts that a host passes requests on to while it cannot serve them
//! itself, as it lost its targets.
//!
//! Load pattern answered: some hosts, also most or all of a domain, are cut off from
//! all targets, while callers still reach them. Each passes its requests on to hosts
//! that have not lost theirs; these are chosen in turn from its own place in the order
//! of all hosts, so that a whole domain that is cut off spreads its load. Those of
//! other domains are of different ones, as another may be cut off too.

use base::{DomainName, HashMap};

use crate::{peers::Host, senders::rank};

/// Helpers of the own domain, and those of other domains.
const MAX_LOCAL: usize = 4;
const MAX_REMOTE: usize = 4;

/// Chooses the helpers of `own` among the hosts that still reach targets.
pub fn choose(own: &Host, hosts: &[Host]) -> Vec<Host> {
    let is_usable = |it: &&Host| it.address != own.address && !it.has_lost_targets;
    let mut usable: Vec<&Host> = hosts.iter().filter(is_usable).collect();
    let place = rank(own.address);
    usable.sort_by_key(|it| rank(it.address).wrapping_sub(place));
    let (local, remote): (Vec<&Host>, Vec<&Host>) =
        usable.into_iter().partition(|it| it.domain == own.domain);
    let remote = spread_over_domains(remote, |it| &it.domain);
    let chosen = local.into_iter().take(MAX_LOCAL).chain(remote.into_iter().take(MAX_REMOTE));
    chosen.cloned().collect()
}

/// Orders items so that the first of each domain come before the second ones, and so on.
pub(crate) fn spread_over_domains<T>(items: Vec<T>, domain: impl Fn(&T) -> &DomainName) -> Vec<T> {
    let mut counts: HashMap<DomainName, usize> = HashMap::default();
    let mut placed: Vec<(usize, T)> = Vec::with_capacity(items.len());
    for it in items {
        let place = counts.entry(domain(&it).clone()).or_default();
        placed.push((*place, it));
        *place += 1;
    }
    placed.sort_by_key(|(place, _)| *place);
    placed.into_iter().map(|(_, it)| it).collect()
}
