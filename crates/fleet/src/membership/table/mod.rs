//! Table of all hosts known to this node.

mod expiry;
mod gossip;
mod merge;
mod voters;

use std::net::SocketAddr;

use base::{DomainName, HashMap, HashSet, HostName, Incarnation, Revision, Time};
use rand::{rngs::SmallRng, seq::IteratorRandom};

use super::{Member, MemberState};
use crate::{hash, message::Record};

/// Number of times that an update is sent, for each doubling of the fleet's size.
const SENDS_PER_DOUBLING: u32 = 3;

#[derive(Debug)]
pub(crate) struct Table {
    own: HostName,
    entries: HashMap<HostName, Entry>,
    domains: HashMap<DomainName, DomainEntry>,
    /// Hosts whose records are still to be gossiped, with the remaining sends.
    updates: HashMap<HostName, u32>,
    /// Domains whose candidates for ownership changed since the last
    /// [`Table::take_changed`].
    changed_domains: HashSet<DomainName>,
    /// When the platform's list was last read.
    list_read_at: Option<Time>,
    /// Incremented with every change of the electorate of any domain.
    electorate_version: u64,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    name_hash: u64,
    hash: u64,
    /// When the current record was inserted or its suspicion was restarted.
    state_since: Time,
    revision: Revision,
    /// Whether the platform listed this incarnation as live.
    was_listed_live: bool,
    /// When this host last agreed to make the host a voter.
    admitted_at: Option<Time>,
    /// When the platform's list last contained the host.
    last_listed: Time,
}

#[derive(Debug, Default)]
struct DomainEntry {
    hosts: Vec<HostName>,
    digest: u64,
}

/// Returns a record for a host of which only name, domain and address are known.
pub(crate) fn placeholder(host: HostName, domain: DomainName, address: SocketAddr) -> Record {
    Record {
        is_voter: false,
        seniority: 0,
        host,
        domain,
        address,
        incarnation: Incarnation(0),
        epoch: 0,
        state: MemberState::Dead,
        is_leaving: false,
        is_serving: false,
    }
}

pub(crate) fn host_hash(host: &HostName) -> u64 {
    hash::bytes(host.as_bytes())
}

impl Table {
    pub(crate) fn new(own: Record, now: Time) -> Table {
        let mut table = Table {
            own: own.host.clone(),
            entries: HashMap::default(),
            domains: HashMap::default(),
            updates: HashMap::default(),
            changed_domains: HashSet::default(),
            list_read_at: None,
            electorate_version: 0,
        };
        table.insert(own, now);
        table
    }

    pub(crate) fn own(&self) -> &Record {
        &self.entries[&self.own].record
    }

    pub(crate) fn record(&self, host: &HostName) -> Option<&Record> {
        self.entries.get(host).map(|it| &it.record)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = Member> {
        self.entries.values().filter(|it| it.record.state < MemberState::Forgotten).map(|it| {
            let record = &it.record;
            Member {
                host: record.host.clone(),
                domain: record.domain.clone(),
                address: record.address,
                incarnation: record.incarnation,
                state: record.state,
                is_leaving: record.is_leaving,
                is_serving: record.is_serving,
                revision: it.revision,
            }
        })
    }

    pub(crate) fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.domains.keys()
    }

    /// Returns the records of a domain, forgotten hosts included.
    pub(crate) fn domain(&self, domain: &DomainName) -> impl Iterator<Item = &Record> {
        let hosts = self.domains.get(domain).map(|it| it.hosts.as_slice()).unwrap_or_default();
        hosts.iter().map(|host| &self.entries[host].record)
    }

    /// Returns the records of the hosts of a domain that count as running.
    pub(crate) fn up(&self, domain: &DomainName) -> impl Iterator<Item = &Record> {
        self.domain(domain).filter(|it| it.state.is_up())
    }

    /// Returns the domains whose candidates for ownership changed since the last
    /// call.
    pub(crate) fn take_changed(&mut self) -> HashSet<DomainName> {
        std::mem::take(&mut self.changed_domains)
    }

    /// Returns the `count` running hosts of a domain that rank first for
    /// `purpose`; leaving hosts are skipped.
    pub(crate) fn selected(
        &self,
        domain: &DomainName,
        purpose: &str,
        count: usize,
    ) -> Vec<&Record> {
        let salt = hash::bytes(purpose.as_bytes());
        let mut hosts: Vec<_> = self.up(domain).filter(|it| !it.is_leaving).collect();
        hosts.sort_by_key(|it| std::cmp::Reverse(hash::combine(host_hash(&it.host), salt)));
        hosts.truncate(count);
        hosts
    }

    pub(crate) fn is_selected(&self, purpose: &str, count: usize) -> bool {
        self.selected(&self.own().domain, purpose, count).iter().any(|it| it.host == self.own)
    }

    /// Updates this host's own record and increments its epoch.
    pub(crate) fn update_own(&mut self, now: Time, change: impl FnOnce(&mut Record)) {
        let mut record = self.own().clone();
        change(&mut record);
        record.epoch += 1;
        self.insert(record, now);
    }

    pub(crate) fn set_state(&mut self, host: &HostName, state: MemberState, now: Time) {
        let Some(entry) = self.entries.get(host) else { return };
        if entry.record.state >= state {
            return;
        }
        let record = Record { state, ..entry.record.clone() };
        self.insert(record, now);
    }

    fn insert(&mut self, mut record: Record, now: Time) {
        let old = self.entries.get(&record.host);
        // A restarted voter remains one, although it does not know this itself
        // yet.
        if let Some(old) = old.filter(|it| !it.is_forgotten() && it.record.is_voter)
            && !record.is_voter
        {
            record.is_voter = true;
            record.seniority = old.record.seniority;
        }
        let hash = record_hash(&record);
        let same_incarnation = old.filter(|it| it.record.incarnation == record.incarnation);
        let entry = Entry {
            name_hash: host_hash(&record.host),
            hash,
            state_since: now,
            revision: same_incarnation.map_or(Revision(0), |it| it.revision),
            was_listed_live: same_incarnation.is_some_and(|it| it.was_listed_live),
            admitted_at: same_incarnation.and_then(|it| it.admitted_at),
            last_listed: old.map_or(now, |it| it.last_listed),
            record: record.clone(),
        };
        let is_candidate = |it: &Record| it.state.is_up() && it.is_serving && !it.is_leaving;
        let was_candidate = old.is_some_and(|it| is_candidate(&it.record));
        let old_voting_state = old.map(Entry::voting_state);
        let old_place = old.map(|it| (it.record.domain.clone(), it.hash));

        if was_candidate != is_candidate(&record) {
            self.changed_domains.insert(record.domain.clone());
        }
        let has_moved = old_place.as_ref().is_some_and(|(domain, _)| *domain != record.domain);
        if old_voting_state != Some(entry.voting_state()) || has_moved {
            self.electorate_version += 1;
        }
        if let Some((domain, hash)) = old_place {
            self.remove_from_domain(&domain, &record.host, hash);
        }
        let domain = self.domains.entry(record.domain.clone()).or_default();
        domain.hosts.push(record.host.clone());
        domain.digest ^= hash;
        let sends = SENDS_PER_DOUBLING * (self.entries.len().max(1).ilog2() + 1);
        self.updates.insert(record.host.clone(), sends);
        self.entries.insert(record.host, entry);
    }

    fn remove_from_domain(&mut self, domain: &DomainName, host: &HostName, hash: u64) {
        let Some(entry) = self.domains.get_mut(domain) else { return };
        entry.digest ^= hash;
        entry.hosts.retain(|it| it != host);
    }

    /// Returns up to `count` random dead hosts, to probe whether they are back.
    pub(crate) fn random_dead(&self, rng: &mut SmallRng, count: usize) -> Vec<&Record> {
        let records = self.entries.values().map(|it| &it.record);
        records.filter(|it| it.state == MemberState::Dead).choose_multiple(rng, count)
    }
}

impl Entry {
    fn is_forgotten(&self) -> bool {
        self.record.state == MemberState::Forgotten
    }

    /// Returns the properties by which voters are chosen.
    fn voting_state(&self) -> (bool, bool, u32) {
        (self.is_elector(), self.record.is_voter, self.record.seniority)
    }

    /// Whether this host agreed to make the entry's host a voter and it has not
    /// become one yet.
    fn is_admission_pending(&self) -> bool {
        self.admitted_at.is_some() && !self.record.is_voter && self.record.state.is_up()
    }

    /// Whether the host counts in the electorate of its domain.
    fn is_elector(&self) -> bool {
        !self.is_forgotten() && (self.record.is_voter || self.is_admission_pending())
    }
}

/// Returns the hash of the fields on which hosts must agree. Suspect hashes like
/// alive, so that a suspicion alone does not make digests differ.
fn record_hash(record: &Record) -> u64 {
    if record.state == MemberState::Forgotten {
        return 0;
    }
    let state = if record.state.is_up() { MemberState::Alive } else { record.state };
    let flags = [record.is_leaving, record.is_serving, record.is_voter];
    let flags = flags.iter().fold(0, |all, &it| all << 1 | u64::from(it));
    let version = hash::combine(record.incarnation.0, u64::from(record.epoch));
    let status = hash::combine(state as u64, flags);
    hash::combine(host_hash(&record.host), hash::combine(version, status))
}
