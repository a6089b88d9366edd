//! Detects that this host is on the smaller side of a network partition, where
//! callers are better served by other hosts.
//!
//! Load pattern answered: a domain is partitioned from the others while callers
//! still reach it. Its hosts cannot get parts of shards whose targets are all on
//! the other side; a balancer that sees them as not ready sends callers to the
//! other side. Crashed targets look the same from here, so a domain counts as
//! partitioned only if its hosts are silent too. Only the smaller side becomes
//! not ready: if both sides did, no host would serve callers.

use base::{DomainName, HashSet};

/// Returns the domains whose hosts are on the other side of a partition if this
/// host is on the smaller side, else none.
///
/// `silent_hosts` are the domains whose hosts do not answer; `other_domains` is
/// the number of domains besides this host's own.
pub fn separated_domains(
    silent_hosts: &HashSet<DomainName>,
    other_domains: usize,
) -> HashSet<DomainName> {
    let domains = other_domains + 1;
    let is_smaller_side = silent_hosts.len() * 2 > domains;
    if is_smaller_side { silent_hosts.clone() } else { HashSet::default() }
}

/// Returns the domains that are separated from this host and whose targets, in
/// `silent_targets`, do not answer either.
pub fn partitioned_domains(
    silent_targets: &HashSet<DomainName>,
    silent_hosts: &HashSet<DomainName>,
    other_domains: usize,
) -> HashSet<DomainName> {
    let separated = separated_domains(silent_hosts, other_domains);
    silent_targets.intersection(&separated).cloned().collect()
}
