//! Senders: the hosts that send to the targets of a service, where its targets
//! accept fewer connections than there are hosts, or where queries are too wide for
//! the weakest hosts. Other hosts pass their requests on to a sender.
//!
//! Load pattern answered: a large fleet with few requests a host. If each host
//! kept a connection of its own, targets would reject many of them, and those that
//! remain would be idle for so long that neither their targets' speed nor their
//! failure is known. Wide queries would also be slow on hosts with little
//! processing capacity.
//!
//! Hosts choose senders independently from what gossip tells them. Their views may
//! differ for some seconds, so a host that gets a request from another one serves
//! it in any case, and the limits of targets are divided with allowance for
//! senders of an older view.

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use base::{DomainName, HashMap};
use rustc_hash::FxHasher;

use crate::peers::Host;

/// A host last seen longer ago than this is not chosen. Gossip reports each live
/// host of a large fleet more often.
pub const MAX_SENDER_AGE: Duration = Duration::from_secs(5);

/// Likely senders of a domain.
const CANDIDATES: usize = 4;

/// Senders of a domain with as many hosts, so that the loss of one leaves another.
const MIN_SENDERS: usize = 2;

/// Connections to each target that a sender should have at least: fewer would make
/// the parts of concurrent queries wait for each other.
const CONNECTIONS_PER_SENDER: f64 = 4.0;

/// Processor time that a part of a query takes on a whole core: a request and an
/// answer of a few hundred bytes.
const PART_WORK: Duration = Duration::from_micros(50);

/// Part of a query's objective that a host's own work may take. The rest is for
/// targets and for requests that wait for each other.
const OWN_WORK_SHARE: f64 = 0.25;

/// Part of the targets' limits that senders share. The rest is for hosts that send
/// themselves as they reach no sender.
pub const SENDERS_PART: f64 = 0.8;

/// Factor by which senders may outnumber those of one view, while a new view
/// replaces an old one.
pub const OVERLAP: f64 = 4.0 / 3.0;

/// The senders of one view of the fleet, by domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Senders {
    by_domain: HashMap<DomainName, Vec<Host>>,
}

impl Senders {
    /// Chooses senders in each of `domains`. `connections` are those that all hosts
    /// together may open to one target.
    pub fn choose(hosts: &[Host], domains: &[DomainName], connections: f64) -> Senders {
        let usable = connections * SENDERS_PART / (CONNECTIONS_PER_SENDER * OVERLAP);
        let limit = (usable as usize / domains.len().max(1)).max(MIN_SENDERS);
        // If all have lost their targets, these are in trouble, and not the hosts.
        let is_any_left = hosts.iter().any(|it| !it.has_lost_targets);
        let is_usable = |it: &Host| !is_any_left || !it.has_lost_targets;
        let of_domain = |domain: &DomainName| {
            let is_local = |it: &&Host| it.domain == *domain && is_usable(it);
            let local = hosts.iter().filter(is_local).cloned().collect();
            (domain.clone(), choose_in_domain(local, limit))
        };
        Senders { by_domain: domains.iter().map(of_domain).collect() }
    }

    pub fn count(&self) -> usize {
        self.by_domain.values().map(Vec::len).sum()
    }

    /// Returns the senders of a domain, the preferred ones first.
    pub fn of_domain(&self, domain: &DomainName) -> &[Host] {
        self.by_domain.get(domain).map_or(&[], Vec::as_slice)
    }

    pub fn contains(&self, host: &Host) -> bool {
        self.of_domain(&host.domain).iter().any(|it| it.address == host.address)
    }
}

/// Returns the least capacity of a host, `None` if all hosts are equally strong.
pub fn least_capacity(hosts: &[Host]) -> Option<u32> {
    let greatest = hosts.iter().map(|it| it.capacity).max()?;
    let weak = hosts.iter().filter(|it| !is_strong(it, greatest));
    weak.map(|it| it.capacity).min()
}

/// Returns whether a query of `parts` parts takes a host of this capacity, in
/// thousandths of a core, too large a part of its objective.
pub fn is_too_wide(parts: usize, capacity: u32, objective: Duration) -> bool {
    let work = PART_WORK.as_secs_f64() * parts as f64 * 1_000.0 / f64::from(capacity.max(1));
    work > objective.as_secs_f64() * OWN_WORK_SHARE
}

fn is_strong(host: &Host, greatest: u32) -> bool {
    host.capacity.saturating_mul(2) > greatest
}

/// Chooses among the hosts with at least half of the greatest capacity, and among
/// all if these are too few.
fn choose_in_domain(mut hosts: Vec<Host>, limit: usize) -> Vec<Host> {
    let greatest = hosts.iter().map(|it| it.capacity).max().unwrap_or(0);
    let is_strong = |it: &Host| is_strong(it, greatest);
    hosts.sort_by_key(|it| (!is_strong(it), rank(it.address)));
    let strong = hosts.iter().filter(|it| is_strong(it)).count();
    hosts.truncate(strong.max(MIN_SENDERS).min(limit));
    hosts
}

/// Returns the addresses of the hosts that are likely to be senders: the first few
/// of each domain.
pub fn candidates<'a>(hosts: impl IntoIterator<Item = &'a Host>) -> Vec<SocketAddr> {
    let mut by_domain: HashMap<&DomainName, Vec<Host>> = HashMap::default();
    for host in hosts {
        by_domain.entry(&host.domain).or_default().push(host.clone());
    }
    let chosen = by_domain.into_values().flat_map(|it| choose_in_domain(it, CANDIDATES));
    let mut addresses: Vec<SocketAddr> = chosen.map(|it| it.address).collect();
    addresses.sort_unstable();
    addresses
}

/// Returns the turn of a host among all, from 0 to 1.
pub fn phase(address: SocketAddr) -> f64 {
    rank(address) as f64 / u64::MAX as f64
}

/// Returns the rank of a host among equal ones in the view of `own`, which differs between
/// views.
pub(crate) fn rank_for(own: SocketAddr, address: SocketAddr) -> u64 {
    let mut hasher = FxHasher::default();
    (own, address).hash(&mut hasher);
    hasher.finish()
}

/// Returns the rank of a host among equal ones, which is the same in every view.
pub(crate) fn rank(address: SocketAddr) -> u64 {
    let mut hasher = FxHasher::default();
    address.hash(&mut hasher);
    hasher.finish()
}
