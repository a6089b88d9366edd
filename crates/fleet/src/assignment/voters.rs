//! Voters of a group: the hosts whose majority grants the group's rights.
//!
//! The voters are up to five hosts of the group's domain that rank first for
//! the group, running or not. An odd number keeps a network partition from
//! leaving two equal halves. A small domain with an even number of hosts adds a
//! witness from another domain: the most senior voter there, so that hosts
//! joining other domains do not change the voter set.
//!
//! A host with a new name becomes a voter only after a majority of the present
//! voters admitted it; each of them counts it from then on. So no side of a
//! partition gains a majority by adding hosts: any majority of the former
//! voters includes one that already counts the joining host, and that one
//! grants nothing under a voter set without it.

use std::sync::Arc;

use base::{DomainName, HashMap, HostName};

use super::{GroupId, weight};
use crate::{
    hash,
    membership::{Table, host_hash},
};

/// Reserved group that a joining host claims to become a voter of its domain.
pub(crate) const ADMISSION_GROUP: GroupId = GroupId(0);

/// Maximum number of voters of a group from its own domain.
const MAX_VOTERS: usize = 5;

#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Voters {
    pub(crate) hosts: Vec<HostName>,
    /// Hash of the hosts and their order; equal for equal voter sets.
    pub(crate) hash: u64,
}

impl Voters {
    /// Number of grants that give a right: a majority.
    pub(crate) fn quorum(&self) -> usize {
        self.hosts.len() / 2 + 1
    }
}

/// Cache of voter sets for one version of the electorate.
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

/// Returns the voters that decide whether `joining` becomes a voter of `domain`.
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
