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

/// A host that died is counted among the voters for this long.
const FORGET_DEAD_AFTER: Duration = Duration::from_secs(60);

/// A host that said goodbye is counted for this long, in which it may be back.
const FORGET_LEFT_AFTER: Duration = Duration::from_secs(30);

/// A host that was agreed to as a voter and did not become one counts for
/// this long.
const ADMISSION_LIFE: Duration = Duration::from_secs(10);

/// The platform's list speaks against a host that it has not shown for this
/// long.
const UNLISTED_AFTER: Duration = Duration::from_secs(60);

/// The platform's list is believed for this long after it was read.
const LIST_LIFE: Duration = Duration::from_secs(90);

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

    /// Hosts of a domain that may have a say in who holds its targets: all
    /// but those that ended long ago.
    pub(crate) fn electorate(&self, domain: &DomainName) -> impl Iterator<Item = &HostName> {
        let counted = |it: &&Record| self.entries[&it.host].is_counted();
        self.domain(domain).filter(counted).map(|it| &it.host)
    }

    /// Agrees to make a host a voter: it counts here from now on. One at a
    /// time, since two at once could each bring about a majority.
    pub(crate) fn admit(&mut self, host: &HostName, now: Time) -> bool {
        let Some(entry) = self.entries.get(host) else { return false };
        let others = self.domain(&entry.record.domain).filter(|it| it.host != *host);
        if others.filter(|it| self.entries[&it.host].is_newcomer()).count() > 0 {
            return false;
        }
        let Some(entry) = self.entries.get_mut(host) else { return false };
        let was_counted = entry.is_counted();
        entry.admitted = Some(now);
        if entry.is_counted() != was_counted {
            self.electorate_version += 1;
        }
        true
    }

    /// Voters of a domain, without those whose admission is under way.
    pub(crate) fn voters(&self, domain: &DomainName) -> impl Iterator<Item = &HostName> {
        let is_voter = |it: &&Record| it.is_voter && it.state < MemberState::Forgotten;
        self.domain(domain).filter(is_voter).map(|it| &it.host)
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
        // The others count this host's name since an earlier life of it.
        let is_recent = claim.incarnation <= own.incarnation;
        if claim.is_voter && !own.is_voter && is_recent && claim.state < MemberState::Forgotten {
            self.become_voter(claim.seniority, now);
            return true;
        }
        let is_current = claim.incarnation == own.incarnation && claim.epoch >= own.epoch;
        if !is_current || claim.state == own.state || own.state == MemberState::Left {
            return false;
        }
        let epoch = claim.epoch;
        self.change_own(now, |it| it.epoch = it.epoch.max(epoch));
        true
    }

    /// Makes this host a voter.
    pub(crate) fn become_voter(&mut self, seniority: u32, now: Time) {
        self.change_own(now, |it| {
            it.is_voter = true;
            it.seniority = seniority;
        });
    }

    /// Seniority of the next voter.
    pub(crate) fn next_seniority(&self) -> u32 {
        let voters = self.entries.values().filter(|it| it.record.is_voter);
        voters.map(|it| it.record.seniority).max().map_or(0, |it| it + 1)
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
        entry.last_listed = now;
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

    /// Notes that the platform's list was read.
    pub(crate) fn note_list(&mut self, now: Time) {
        self.last_list = Some(now);
    }

    pub(crate) fn note_revision(&mut self, host: &HostName, at: Incarnation, revision: Revision) {
        let Some(entry) = self.entries.get_mut(host) else { return };
        if entry.record.incarnation == at && entry.revision < revision {
            entry.revision = revision;
        }
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

    /// Lets time pass: suspects die, ended hosts are forgotten.
    pub(crate) fn expire(&mut self, now: Time) {
        self.expire_admissions(now);
        let domain = self.own().domain.clone();
        let doublings = self.up(&domain).count().max(1).ilog2();
        let suspicion = SUSPICION_BASE + SUSPICION_PER_DOUBLING * doublings;
        let counts = |it: &&Record| self.entries[&it.host].is_counted();
        let counted = self.domain(&domain).filter(counts).count();
        // Only a majority may shrink the voters on its own word, lest two
        // sides of a split each forget the other.
        let is_alive = |it: &&Record| it.state == MemberState::Alive;
        let alive = self.domain(&domain).filter(counts).filter(is_alive).count();
        let is_majority = alive * 2 > counted;
        let list = self.last_list.filter(|&it| now.since(it) < LIST_LIFE);
        let mut changes = Vec::new();
        let mut purged = Vec::new();
        for (host, entry) in &self.entries {
            let age = now.since(entry.since);
            let is_ours = entry.record.domain == domain;
            let unlisted = list.map(|it| it.since(entry.last_listed));
            let is_unlisted = unlisted.is_some_and(|it| it >= UNLISTED_AFTER);
            match entry.record.state {
                MemberState::Suspect if is_ours && age >= suspicion => {
                    changes.push((host.clone(), MemberState::Dead));
                }
                MemberState::Dead | MemberState::Left
                    if is_ours && (is_majority || is_unlisted) && age >= memory(entry) =>
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

    /// Takes back admissions that came to nothing.
    fn expire_admissions(&mut self, now: Time) {
        for entry in self.entries.values_mut().filter(|it| it.is_newcomer()) {
            if entry.admitted.is_some_and(|it| now.since(it) >= ADMISSION_LIFE) {
                entry.admitted = None;
                self.electorate_version += 1;
            }
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

/// How long an ended host is still counted.
fn memory(entry: &Entry) -> Duration {
    if entry.record.state == MemberState::Left { FORGET_LEFT_AFTER } else { FORGET_DEAD_AFTER }
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
