//! Voters of a group: the hosts that together grant its rights.
//!
//! They are the hosts of the group's domain that rank first for it, five at
//! most, running or not. Their number is odd, so that no split leaves two
//! equal halves: a small domain with an even number takes one witness from
//! elsewhere, the most senior, so that new hosts elsewhere change nothing.
//!
//! A host of a new name becomes a voter only when a majority of the present
//! ones admitted it, and each of these counts it from then on. So no side of a
//! split gains a majority by new hosts: any majority of the former voters has
//! one that already counts the newcomer and grants nothing without it.

use std::sync::Arc;

use base::{DomainName, HashMap, HostName};

use super::{GroupId, weight};
use crate::{
    hash,
    membership::{Table, host_hash},
};

/// The group that newcomers claim to be made voters of their domain.
pub(crate) const ADMISSION_GROUP: GroupId = GroupId(0);

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
        let choose = || choose(table, domain, group, table.electorate(domain).collect());
        Arc::clone(set.or_insert_with(|| Arc::new(choose())))
    }
}

/// Those who decide whether `joining` becomes a voter of its domain.
pub(crate) fn admission_voters(table: &Table, domain: &DomainName, joining: &HostName) -> Voters {
    let voters = table.voters(domain).filter(|it| *it != joining);
    choose(table, domain, ADMISSION_GROUP, voters.collect())
}

fn choose<'a>(
    table: &'a Table,
    domain: &DomainName,
    group: GroupId,
    mut hosts: Vec<&'a HostName>,
) -> Voters {
    let rank = |host: &&HostName| weight(host_hash(host), group);
    hosts.sort_by_cached_key(|it| std::cmp::Reverse(rank(it)));
    hosts.truncate(MAX_VOTERS);
    if hosts.len().is_multiple_of(2) {
        let others = table.domains().filter(|it| *it != domain);
        let seniority = |it: &HostName| table.record(it).map_or(0, |it| it.seniority);
        let key = |it: &&HostName| (std::cmp::Reverse(seniority(it)), rank(it));
        let witness = others.flat_map(|it| table.voters(it)).max_by_key(key);
        hosts.extend(witness);
    }
    let hash = hosts.iter().fold(0, |all, it| hash::combine(all, host_hash(it)));
    Voters { hosts: hosts.into_iter().cloned().collect(), hash }
}
