//! Voters of a group: the hosts that together grant its rights.
//!
//! They are the hosts of the group's domain that rank first for it, five at
//! most, running or not. Their number is odd, so that no split leaves two
//! equal halves: a small domain with an even number takes one witness from
//! elsewhere.

use std::sync::Arc;

use base::{DomainName, HashMap, HostName};

use super::{GroupId, weight};
use crate::{
    hash,
    membership::{Table, host_hash},
};

/// Most voters of a group.
const MAX_VOTERS: usize = 5;

#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Voters {
    pub(crate) hosts: Vec<HostName>,
    /// Equal where the voters are the same.
    pub(crate) hash: u64,
}

impl Voters {
    /// Grants that make a right.
    pub(crate) fn quorum(&self) -> usize {
        self.hosts.len() / 2 + 1
    }
}

/// Voters worked out so far, for one version of the electorate.
#[derive(Debug, Default)]
pub(crate) struct VoterSets {
    version: u64,
    sets: HashMap<(DomainName, GroupId), Arc<Voters>>,
}

impl VoterSets {
    pub(crate) fn get(
        &mut self,
        table: &Table,
        domain: &DomainName,
        group: GroupId,
    ) -> Arc<Voters> {
        if self.version != table.electorate_version() {
            self.version = table.electorate_version();
            self.sets.clear();
        }
        let set = self.sets.entry((domain.clone(), group));
        Arc::clone(set.or_insert_with(|| Arc::new(choose(table, domain, group))))
    }
}

fn choose(table: &Table, domain: &DomainName, group: GroupId) -> Voters {
    let rank = |host: &&HostName| weight(host_hash(host), group);
    let mut hosts: Vec<&HostName> = table.electorate(domain).collect();
    hosts.sort_by_cached_key(|it| std::cmp::Reverse(rank(it)));
    hosts.truncate(MAX_VOTERS);
    if hosts.len().is_multiple_of(2) {
        let others = table.domains().filter(|it| *it != domain);
        let witness = others.flat_map(|it| table.electorate(it)).max_by_key(rank);
        match witness {
            Some(witness) => hosts.push(witness),
            None => drop(hosts.pop()),
        }
    }
    let hash = hosts.iter().fold(0, |all, it| hash::combine(all, host_hash(it)));
    Voters { hosts: hosts.into_iter().cloned().collect(), hash }
}
