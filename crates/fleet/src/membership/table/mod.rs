//! What this node believes of every host.

mod expiry;
mod gossip;
mod merge;
mod voters;

use std::net::SocketAddr;

use base::{DomainName, HashMap, HashSet, HostName, Incarnation, Revision, Time};
use rand::{rngs::SmallRng, seq::IteratorRandom};

use super::{Member, MemberState};
use crate::{hash, message::Record};

/// Times a record is sent on, for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;

#[derive(Debug)]
pub(crate) struct Table {
    own: HostName,
    entries: HashMap<HostName, Entry>,
    domains: HashMap<DomainName, DomainEntry>,
    /// Records still to be passed on, with the times left.
    news: HashMap<HostName, u32>,
    /// Domains whose candidates changed since last asked.
    changed: HashSet<DomainName>,
    /// When the platform's list was last read.
    last_list: Option<Time>,
    /// Rises with every change of who counts among the voters.
    electorate_version: u64,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    name_hash: u64,
    hash: u64,
    /// When the state was taken in.
    since: Time,
    revision: Revision,
    /// The platform listed this incarnation as live.
    was_listed_live: bool,
    /// When this host agreed last to make it a voter.
    admitted: Option<Time>,
    /// When the platform's list last showed the host.
    last_listed: Time,
}

#[derive(Debug, Default)]
struct DomainEntry {
    hosts: Vec<HostName>,
    digest: u64,
}

/// A record of a host known by name only, until it is heard.
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
            news: HashMap::default(),
            changed: HashSet::default(),
            last_list: None,
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

    /// Records of a domain, forgotten hosts included.
    pub(crate) fn domain(&self, domain: &DomainName) -> impl Iterator<Item = &Record> {
        let hosts = self.domains.get(domain).map(|it| it.hosts.as_slice()).unwrap_or_default();
        hosts.iter().map(|host| &self.entries[host].record)
    }

    /// Hosts of a domain that count as running.
    pub(crate) fn up(&self, domain: &DomainName) -> impl Iterator<Item = &Record> {
        self.domain(domain).filter(|it| it.state.is_up())
    }

    /// Domains whose candidates for ownership changed since the last call.
    pub(crate) fn take_changed(&mut self) -> HashSet<DomainName> {
        std::mem::take(&mut self.changed)
    }

    /// The running hosts of a domain ranked first for `purpose`.
    pub(crate) fn chosen(&self, domain: &DomainName, purpose: &str, count: usize) -> Vec<&Record> {
        let salt = hash::bytes(purpose.as_bytes());
        let mut hosts: Vec<_> = self.up(domain).filter(|it| !it.is_leaving).collect();
        hosts.sort_by_key(|it| std::cmp::Reverse(hash::combine(host_hash(&it.host), salt)));
        hosts.truncate(count);
        hosts
    }

    pub(crate) fn is_chosen(&self, purpose: &str, count: usize) -> bool {
        self.chosen(&self.own().domain, purpose, count).iter().any(|it| it.host == self.own)
    }

    /// Changes this host's record under a new epoch.
    pub(crate) fn change_own(&mut self, now: Time, change: impl FnOnce(&mut Record)) {
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
        // A voter that starts anew stays one; it does not know it yet itself.
        if let Some(old) = old.filter(|it| !it.is_forgotten() && it.record.is_voter)
            && !record.is_voter
        {
            record.is_voter = true;
            record.seniority = old.record.seniority;
        }
        let hash = record_hash(&record);
        let same_life = old.filter(|it| it.record.incarnation == record.incarnation);
        let entry = Entry {
            name_hash: host_hash(&record.host),
            hash,
            since: now,
            revision: same_life.map_or(Revision(0), |it| it.revision),
            was_listed_live: same_life.is_some_and(|it| it.was_listed_live),
            admitted: same_life.and_then(|it| it.admitted),
            last_listed: old.map_or(now, |it| it.last_listed),
            record: record.clone(),
        };
        let is_candidate = |it: &Record| it.state.is_up() && it.is_serving && !it.is_leaving;
        let was_candidate = old.is_some_and(|it| is_candidate(&it.record));
        let former_say = old.map(Entry::say);
        let old_place = old.map(|it| (it.record.domain.clone(), it.hash));

        if was_candidate != is_candidate(&record) {
            self.changed.insert(record.domain.clone());
        }
        let has_moved = old_place.as_ref().is_some_and(|(domain, _)| *domain != record.domain);
        if former_say != Some(entry.say()) || has_moved {
            self.electorate_version += 1;
        }
        if let Some((domain, hash)) = old_place {
            self.remove_from_domain(&domain, &record.host, hash);
        }
        let domain = self.domains.entry(record.domain.clone()).or_default();
        domain.hosts.push(record.host.clone());
        domain.digest ^= hash;
        let sends = SENDS_PER_DOUBLING * (self.entries.len().max(1).ilog2() + 1);
        self.news.insert(record.host.clone(), sends);
        self.entries.insert(record.host, entry);
    }

    fn remove_from_domain(&mut self, domain: &DomainName, host: &HostName, hash: u64) {
        let Some(entry) = self.domains.get_mut(domain) else { return };
        entry.digest ^= hash;
        entry.hosts.retain(|it| it != host);
    }

    /// Random hosts believed dead, to find out whether they are back.
    pub(crate) fn random_dead(&self, rng: &mut SmallRng, count: usize) -> Vec<&Record> {
        let records = self.entries.values().map(|it| &it.record);
        records.filter(|it| it.state == MemberState::Dead).choose_multiple(rng, count)
    }
}

impl Entry {
    fn is_forgotten(&self) -> bool {
        self.record.state == MemberState::Forgotten
    }

    /// What voters are chosen by.
    fn say(&self) -> (bool, bool, u32) {
        (self.is_counted(), self.record.is_voter, self.record.seniority)
    }

    /// Whether this host agreed to make it a voter, which it is not yet.
    fn is_newcomer(&self) -> bool {
        self.admitted.is_some() && !self.record.is_voter && self.record.state.is_up()
    }

    /// Whether the host has a say in who holds its domain's targets.
    fn is_counted(&self) -> bool {
        !self.is_forgotten() && (self.record.is_voter || self.is_newcomer())
    }
}

/// Hash of what hosts must agree on; a suspicion is no disagreement yet.
fn record_hash(record: &Record) -> u64 {
    if record.state == MemberState::Forgotten {
        return 0;
    }
    let state = if record.state.is_up() { MemberState::Alive } else { record.state };
    let flags = [record.is_leaving, record.is_serving, record.is_voter];
    let flags = flags.iter().fold(0, |all, &it| all << 1 | u64::from(it));
    let life = hash::combine(record.incarnation.0, u64::from(record.epoch));
    let belief = hash::combine(state as u64, flags);
    hash::combine(host_hash(&record.host), hash::combine(life, belief))
}
