//! What this node believes of every host.

use std::{net::SocketAddr, time::Duration};

use base::{DomainName, HashMap, HashSet, HostName, Incarnation, Revision, Time, always};
use rand::{rngs::SmallRng, seq::IteratorRandom};

use super::{Member, MemberState};
use crate::{
    hash,
    message::{DomainDigest, HostRevision, Record},
};

/// Suspicion of a host in a domain of one host lasts this long.
const SUSPICION_BASE: Duration = Duration::from_secs(2);

/// Suspicion lasts longer by this for each doubling of the domain, since a
/// refutation takes that much longer to spread.
const SUSPICION_PER_DOUBLING: Duration = Duration::from_millis(500);

/// A host that ended is counted among the voters for this long.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A forgotten host's record is kept for this long, lest old news revive it.
const TOMBSTONE_LIFE: Duration = Duration::from_secs(600);

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
}

#[derive(Debug, Default)]
struct DomainEntry {
    hosts: Vec<HostName>,
    digest: u64,
}

/// A record of a host known by name only.
pub(crate) fn placeholder(host: HostName, domain: DomainName, address: SocketAddr) -> Record {
    Record {
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

    /// Hosts of a domain that may have a say in who holds its targets: all
    /// but those that ended long ago.
    pub(crate) fn electorate(&self, domain: &DomainName) -> impl Iterator<Item = &HostName> {
        let counted = |it: &&Record| it.state < MemberState::Forgotten;
        self.domain(domain).filter(counted).map(|it| &it.host)
    }

    pub(crate) fn electorate_version(&self) -> u64 {
        self.electorate_version
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

    /// Takes in a record from elsewhere; tells whether it was a false belief
    /// about this host, which others must hear refuted.
    pub(crate) fn merge(&mut self, record: Record, now: Time) -> bool {
        if record.host == self.own {
            return self.refute(&record, now);
        }
        let key = |it: &Record| (it.incarnation, it.epoch, it.state);
        if let Some(entry) = self.entries.get(&record.host)
            && key(&record) <= key(&entry.record)
        {
            return false;
        }
        self.insert(record, now);
        false
    }

    /// Answers a false belief about this host with a newer record.
    fn refute(&mut self, claim: &Record, now: Time) -> bool {
        let own = self.own();
        let is_current = claim.incarnation == own.incarnation && claim.epoch >= own.epoch;
        if !is_current || claim.state == own.state || own.state == MemberState::Left {
            return false;
        }
        let epoch = claim.epoch;
        self.change_own(now, |it| it.epoch = it.epoch.max(epoch));
        true
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

    /// Notes that the platform lists a host. Only a change from live to
    /// leaving within one incarnation is believed, since the list lags.
    pub(crate) fn note_listed(&mut self, host: &HostName, is_leaving: bool, now: Time) {
        let Some(entry) = self.entries.get_mut(host) else { return };
        if !is_leaving {
            entry.was_listed_live |= entry.record.state.is_up();
            return;
        }
        if !entry.was_listed_live || entry.record.is_leaving || !entry.record.state.is_up() {
            return;
        }
        if *host == self.own {
            self.change_own(now, |it| it.is_leaving = true);
        } else {
            let record = Record { is_leaving: true, ..entry.record.clone() };
            self.insert(record, now);
        }
    }

    pub(crate) fn note_revision(&mut self, host: &HostName, at: Incarnation, revision: Revision) {
        let Some(entry) = self.entries.get_mut(host) else { return };
        if entry.record.incarnation == at && entry.revision < revision {
            entry.revision = revision;
        }
    }

    fn insert(&mut self, record: Record, now: Time) {
        let old = self.entries.get(&record.host);
        let hash = record_hash(&record);
        let same_life = old.filter(|it| it.record.incarnation == record.incarnation);
        let entry = Entry {
            name_hash: host_hash(&record.host),
            hash,
            since: now,
            revision: same_life.map_or(Revision(0), |it| it.revision),
            was_listed_live: same_life.is_some_and(|it| it.was_listed_live),
            record: record.clone(),
        };
        let is_candidate = |it: &Record| it.state.is_up() && it.is_serving && !it.is_leaving;
        let was_candidate = old.is_some_and(|it| is_candidate(&it.record));
        let was_counted = old.is_some_and(|it| it.record.state < MemberState::Forgotten);
        let old_place = old.map(|it| (it.record.domain.clone(), it.hash));

        if was_candidate != is_candidate(&record) {
            self.changed.insert(record.domain.clone());
        }
        let has_moved = old_place.as_ref().is_some_and(|(domain, _)| *domain != record.domain);
        if was_counted != (record.state < MemberState::Forgotten) || has_moved {
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

    /// Lets time pass: suspects die, ended hosts are forgotten.
    pub(crate) fn expire(&mut self, now: Time) {
        let domain = self.own().domain.clone();
        let doublings = self.up(&domain).count().max(1).ilog2();
        let suspicion = SUSPICION_BASE + SUSPICION_PER_DOUBLING * doublings;
        let is_majority = self.up(&domain).count() * 2 > self.electorate(&domain).count();
        let mut changes = Vec::new();
        let mut purged = Vec::new();
        for (host, entry) in &self.entries {
            let age = now.since(entry.since);
            let is_ours = entry.record.domain == domain;
            match entry.record.state {
                MemberState::Suspect if is_ours && age >= suspicion => {
                    changes.push((host.clone(), MemberState::Dead));
                }
                // Only a majority may shrink the voters, lest two sides of a
                // split each forget the other.
                MemberState::Dead | MemberState::Left
                    if is_ours && age >= FORGET_AFTER && is_majority =>
                {
                    changes.push((host.clone(), MemberState::Forgotten));
                }
                MemberState::Forgotten if age >= TOMBSTONE_LIFE => purged.push(host.clone()),
                _ => {}
            }
        }
        for (host, state) in changes {
            self.set_state(&host, state, now);
        }
        for host in purged {
            self.purge(&host);
        }
    }

    fn purge(&mut self, host: &HostName) {
        let Some(entry) = self.entries.remove(host) else { return };
        always!(entry.record.state == MemberState::Forgotten, "fleet-purge-forgotten", "{host}");
        self.remove_from_domain(&entry.record.domain, host, entry.hash);
        self.news.remove(host);
    }

    /// After a pause of this process, gives suspects their time anew: what
    /// went unanswered may be this host's own fault.
    pub(crate) fn pardon(&mut self, now: Time) {
        for entry in self.entries.values_mut() {
            if entry.record.state == MemberState::Suspect {
                entry.since = now;
            }
        }
    }

    /// Records to pass on to `to`: first what it must refute, then the least
    /// spread news.
    pub(crate) fn take_news(&mut self, to: Option<&HostName>, limit: usize) -> Vec<Record> {
        let mut records = Vec::new();
        if let Some(entry) = to.and_then(|it| self.entries.get(it))
            && entry.record.state != MemberState::Alive
        {
            records.push(entry.record.clone());
        }
        if self.news.is_empty() {
            return records;
        }
        let mut hosts: Vec<_> = self.news.iter().map(|(host, &left)| (left, host)).collect();
        hosts.sort_unstable_by(|a, b| b.cmp(a));
        hosts.truncate(limit - records.len());
        let hosts: Vec<_> = hosts.into_iter().map(|(_, host)| host.clone()).collect();
        for host in hosts {
            records.push(self.entries[&host].record.clone());
            self.spend_news(&host);
        }
        records
    }

    fn spend_news(&mut self, host: &HostName) {
        let Some(left) = self.news.get_mut(host) else { return };
        *left -= 1;
        if *left == 0 {
            self.news.remove(host);
        }
    }

    /// Revisions of a few random hosts, as last heard.
    pub(crate) fn some_revisions(&self, rng: &mut SmallRng, limit: usize) -> Vec<HostRevision> {
        let heard = self.entries.values().filter(|it| it.revision > Revision(0));
        let some = heard.choose_multiple(rng, limit);
        let to_wire = |it: &Entry| HostRevision {
            host: it.name_hash,
            incarnation: it.record.incarnation,
            revision: it.revision,
        };
        some.into_iter().map(to_wire).collect()
    }

    pub(crate) fn note_revisions(&mut self, revisions: &[HostRevision]) {
        if revisions.is_empty() {
            return;
        }
        for entry in self.entries.values_mut() {
            let heard = revisions.iter().find(|it| it.host == entry.name_hash);
            let Some(heard) = heard else { continue };
            if heard.incarnation == entry.record.incarnation && heard.revision > entry.revision {
                entry.revision = heard.revision;
            }
        }
    }

    /// Hash over all records; equal on hosts that believe the same.
    pub(crate) fn digest(&self) -> u64 {
        self.domains.values().fold(0, |all, it| all ^ it.digest)
    }

    pub(crate) fn domain_digests(&self) -> Vec<DomainDigest> {
        let to_wire = |(domain, entry): (&DomainName, &DomainEntry)| DomainDigest {
            domain: domain.clone(),
            members: entry.digest,
        };
        self.domains.iter().map(to_wire).collect()
    }

    /// Records of every domain whose digest differs from the peer's.
    pub(crate) fn differing(&self, theirs: &[DomainDigest]) -> Vec<Record> {
        let differs = |domain: &&DomainName| {
            let their = theirs.iter().find(|it| it.domain == **domain).map(|it| it.members);
            their != Some(self.domains[*domain].digest)
        };
        let domains = self.domains.keys().filter(differs);
        domains.flat_map(|it| self.domain(it)).cloned().collect()
    }

    /// Random hosts believed dead, to find out whether they are back.
    pub(crate) fn random_dead(&self, rng: &mut SmallRng, count: usize) -> Vec<&Record> {
        let records = self.entries.values().map(|it| &it.record);
        records.filter(|it| it.state == MemberState::Dead).choose_multiple(rng, count)
    }
}

/// Hash of what hosts must agree on; a suspicion is no disagreement yet.
fn record_hash(record: &Record) -> u64 {
    if record.state == MemberState::Forgotten {
        return 0;
    }
    let state = if record.state.is_up() { MemberState::Alive } else { record.state };
    let flags = u64::from(record.is_leaving) | u64::from(record.is_serving) << 1;
    let life = hash::combine(record.incarnation.0, u64::from(record.epoch));
    let belief = hash::combine(state as u64, flags);
    hash::combine(host_hash(&record.host), hash::combine(life, belief))
}
