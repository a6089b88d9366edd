//! Membership of hosts, learned by gossip.
//!
//! Load patterns answered:
//! - starts, kills and partitions of many hosts at once. Each target's limits are
//!   divided by the number of hosts, so the number must not fall while an
//!   unreachable host may still be sending;
//! - a fleet that grows: each host sends the same number of digests of bounded
//!   size, whatever the number of hosts. A digest lists some hosts, in turn.

mod digest;
mod silence;

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use base::{DomainName, HashMap, HashSet, Time};

pub use self::digest::{Digest, Host, ListedHost, SeenDomain};
use self::silence::Silence;
use crate::{
    senders::{MAX_SENDER_AGE, candidates, rank, rank_for},
    suspects::Strike,
};

/// Limit of hosts listed in one digest, and in a reply to a host that asks.
pub const MAX_LISTED_HOSTS: usize = 16;
pub const MAX_HOSTS_IN_REPLY: usize = 64;

/// Time between two rounds of gossip.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(300);

/// Peers that each digest is sent to.
const FANOUT: usize = 4;

/// Of these, peers in this host's own domain. Traffic between domains is
/// expensive, and hosts of a domain tell each other what they heard.
const LOCAL_FANOUT: usize = 2;

/// Rounds after a start in which each digest asks for a reply, so that a host
/// learns of the others though few know of it.
const ASKING_ROUNDS: u32 = 16;

/// Hosts listed in a digest because they are likely senders, whose loss should be
/// known soon, and those listed because they were seen last.
const MAX_CANDIDATES: usize = 6;
const MAX_NEWS: usize = 6;

/// Readers of the own domain listed in a digest.
const MAX_READERS: usize = 2;

/// Limits of hosts and of other domains that are known, beyond those of any fleet. Of more
/// domains, the one that was silent for longest is forgotten.
const MAX_HOSTS: usize = 8_192;
const MAX_DOMAINS: usize = 64;

/// Time after which a silent peer is no longer counted.
pub(crate) const HOST_RETENTION: Duration = Duration::from_secs(60);

/// Time after which a domain none of whose hosts sent a digest is unreachable,
/// long enough that several datagrams in a row must be lost for it.
pub(crate) const UNREACHABLE_AFTER: Duration = Duration::from_millis(900);

/// Time after a host lost its targets by which others that lost theirs at the same moment know.
const LOSS_KNOWN_AFTER: Duration = Duration::from_secs(2);

/// Time after a start within which most hosts discover each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Factor applied to the number of known hosts during discovery.
const DISCOVERY_FACTOR: usize = 2;

/// The hosts that this host knows of.
#[derive(Debug)]
pub struct Peers {
    own: Host,
    /// Since when no target answers this host.
    lost_since: Option<Time>,
    seeds: Vec<SocketAddr>,
    is_seed: bool,
    known: HashMap<SocketAddr, KnownHost>,
    /// Time of the last digest from each other domain to a host of this domain.
    domains_last_seen: HashMap<DomainName, Time>,
    /// What each peer said last of its configuration.
    versions: HashMap<SocketAddr, StatedVersion>,
    /// Signs of the readers of the own domain, which all its hosts list.
    readers: Silence,
    /// Indexes of the next peer to gossip to, before wrapping.
    next_local: usize,
    next_remote: usize,
    /// Indexes of the next hosts to list in a digest, before wrapping.
    next_candidate: usize,
    next_listed: usize,
    /// Number of digests sent.
    rounds: u32,
}

#[derive(Debug)]
struct KnownHost {
    host: Host,
    /// Time at which the host was last seen, by its own digest or as reported by
    /// another host.
    last_seen: Time,
}

/// What a peer said of its configuration.
#[derive(Clone, Copy, Debug)]
struct StatedVersion {
    version: u64,
    at: Time,
    /// When it was the newest one, if the peer stated a proof of that.
    proven_at: Option<Time>,
}

impl Peers {
    pub fn new(own: Host, seeds: Vec<SocketAddr>) -> Peers {
        let is_seed = seeds.contains(&own.address);
        let seeds = seeds.into_iter().filter(|it| *it != own.address).collect();
        // Hosts begin their turns at different peers.
        let first_turn = rank(own.address) as usize;
        Peers {
            own,
            lost_since: None,
            seeds,
            is_seed,
            known: HashMap::default(),
            domains_last_seen: HashMap::default(),
            versions: HashMap::default(),
            readers: Silence::default(),
            next_local: first_turn,
            next_remote: first_turn,
            next_candidate: first_turn,
            next_listed: first_turn,
            rounds: 0,
        }
    }

    pub fn own(&self) -> &Host {
        &self.own
    }

    /// Sets whether this host reads the source itself, which is gossiped.
    pub fn set_reads_source(&mut self, reads_source: bool) {
        self.own.reads_source = reads_source;
    }

    /// Sets whether no target answers this host, which is gossiped.
    pub fn set_has_lost_targets(&mut self, has_lost_targets: bool, now: Time) {
        self.own.has_lost_targets = has_lost_targets;
        self.lost_since = has_lost_targets.then(|| self.lost_since.unwrap_or(now));
    }

    /// Returns whether any other host was heard of.
    pub fn knows_any(&self) -> bool {
        !self.known.is_empty()
    }

    /// Returns the number of hosts that may be running, including this one.
    pub fn count(&self, now: Time) -> usize {
        let is_counted = |it: &KnownHost| now.since(it.last_seen) < HOST_RETENTION;
        let seen = self.known.values().filter(|it| is_counted(it)).count();
        1 + seen + self.unseen_seeds().count()
    }

    /// Returns the part of the seeds that was seen, with this host. A host that started in a
    /// partition knows of the hosts beyond it by these alone.
    pub fn seen_seeds(&self) -> f64 {
        let own = usize::from(self.is_seed);
        let all = self.seeds.len() + own;
        if all == 0 {
            return 1.0;
        }
        (all - self.unseen_seeds().count()) as f64 / all as f64
    }

    /// Returns the number of hosts to share limits with. Soon after a start there
    /// are likely more hosts than are known.
    pub fn assumed_count(&self, now: Time, uptime: Duration) -> usize {
        let count = self.count(now);
        if uptime < DISCOVERY_TIME { count * DISCOVERY_FACTOR } else { count }
    }

    /// Returns the other hosts that are counted, and when each was last seen.
    pub fn last_seen(&self, now: Time) -> impl Iterator<Item = (SocketAddr, Time)> {
        let is_counted = move |it: &&KnownHost| now.since(it.last_seen) < HOST_RETENTION;
        self.known.values().filter(is_counted).map(|it| (it.host.address, it.last_seen))
    }

    /// Returns the hosts seen within `max_age`, including this one.
    pub fn live_hosts(&self, now: Time, max_age: Duration) -> Vec<Host> {
        let live = self.known.values().filter(|it| now.since(it.last_seen) <= max_age);
        let others = live.map(|it| it.host.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// Same as [`Peers::live_hosts`], for hosts that requests may be passed on to.
    ///
    /// While this host has lost its targets, others of its domain may have lost theirs by the
    /// same cut, without its having heard so. They count once they were seen so late that they
    /// would know of it, unless there are hosts of this domain only.
    pub fn usable_hosts(&self, now: Time, max_age: Duration) -> Vec<Host> {
        let live = self.live_hosts(now, max_age);
        let is_remote = |it: &Host| it.domain != self.own.domain;
        let Some(since) = self.lost_since.filter(|_| live.iter().any(is_remote)) else {
            return live;
        };
        let is_known_sound = |it: &Host| {
            let seen = self.known.get(&it.address).map(|it| it.last_seen);
            seen.is_none_or(|at| at >= since + LOSS_KNOWN_AFTER)
        };
        live.into_iter().filter(|it| is_remote(it) || is_known_sound(it)).collect()
    }

    /// Returns the number of other domains that ever sent a digest, and those of
    /// them that are unreachable now.
    pub fn other_domains(&self, now: Time) -> (usize, HashSet<DomainName>) {
        let limit = self.unreachable_after();
        let is_silent = |at: &Time| now.since(*at) > limit;
        let silent = self.domains_last_seen.iter().filter(|(_, at)| is_silent(at));
        (self.domains_last_seen.len(), silent.map(|(domain, _)| domain.clone()).collect())
    }

    /// Returns a reachable peer with the highest configuration version, preferably
    /// of the own domain, and that version. Hosts choose different ones among several.
    pub fn peer_with_newest_version(&self, now: Time) -> Option<(SocketAddr, u64)> {
        let is_local = |it| self.known.get(it).is_some_and(|it| it.host.domain == self.own.domain);
        let newest = self.reachable(now).max_by_key(|(peer, it)| {
            (it.version, is_local(*peer), rank_for(self.own.address, **peer))
        });
        newest.map(|(peer, it)| (*peer, it.version))
    }

    /// Returns a reachable peer that stated the youngest proof of its configuration.
    pub fn peer_with_youngest_proof(&self, now: Time) -> Option<SocketAddr> {
        let stated = self.reachable(now).filter_map(|(peer, it)| Some((it.proven_at?, *peer)));
        stated.max().map(|(_, peer)| peer)
    }

    /// Returns the age of the youngest proof that any peer stated lately.
    pub fn youngest_proof(&self, now: Time) -> Option<Duration> {
        self.versions.values().filter_map(|it| it.proven_at).max().map(|it| now.since(it))
    }

    /// Returns whether this host hears nothing of some hosts that may be running: of a
    /// domain, or of all others.
    pub fn misses_hosts(&self, now: Time) -> bool {
        let (_, silent) = self.other_domains(now);
        let is_running = |it: &KnownHost| now.since(it.last_seen) < HOST_RETENTION;
        let mut running = self.known.values().filter(|it| is_running(it)).peekable();
        if running.peek().is_none() {
            return false;
        }
        let is_alone = self.reachable(now).next().is_none();
        is_alone || running.any(|it| silent.contains(&it.host.domain))
    }

    fn reachable(&self, now: Time) -> impl Iterator<Item = (&SocketAddr, &StatedVersion)> {
        self.versions.iter().filter(move |(_, it)| now.since(it.at) < UNREACHABLE_AFTER)
    }

    /// Records the version of the configuration that a peer named beside its digests.
    pub fn record_version(&mut self, peer: SocketAddr, version: u64, now: Time) {
        if self.versions.len() < MAX_HOSTS || self.versions.contains_key(&peer) {
            let proven_at = self.versions.get(&peer).and_then(|it| it.proven_at);
            self.versions.insert(peer, StatedVersion { version, at: now, proven_at });
        }
    }

    /// Learns from a peer's digest. If it asks for a reply, a digest is to be sent to
    /// its sender.
    pub fn receive(&mut self, digest: &Digest, now: Time) {
        self.record_version(digest.from.address, digest.version, now);
        if let Some(stated) = self.versions.get_mut(&digest.from.address) {
            stated.proven_at = digest.proof_age.map(|it| now.ago(it));
        }
        self.record_seen(&digest.from, now);
        self.record_domain(&digest.from.domain, now);
        if digest.from.domain == self.own.domain {
            digest.domains.iter().for_each(|it| self.record_domain(&it.domain, now.ago(it.age)));
        }
        for it in digest.hosts.iter().filter(|it| it.age < HOST_RETENTION) {
            self.record_seen(&it.host, now.ago(it.age));
        }
        if digest.from.domain == self.own.domain {
            let readers = self.known.values().filter(|it| is_reader_in(it, &self.own.domain));
            readers.for_each(|it| self.readers.record_digest(it.host.address, it.last_seen));
        }
    }

    /// Returns whether a reader of the own domain has fallen silent.
    pub fn is_silent(&self, reader: SocketAddr, now: Time) -> bool {
        let since = now.ago(self.unreachable_after());
        self.readers.is_silent(reader, self.locals(), since)
    }

    /// Returns the current digest and the peers to send it to. Peers take turns.
    pub fn next_digest(
        &mut self,
        now: Time,
        version: u64,
        strikes: Vec<Strike>,
    ) -> (Digest, Vec<SocketAddr>) {
        self.known.retain(|_, it| now.since(it.last_seen) < HOST_RETENTION);
        self.versions.retain(|_, it| now.since(it.at) < HOST_RETENTION);
        self.readers.retain(|it| self.known.contains_key(it));
        let to = self.next_receivers();
        self.rounds = self.rounds.saturating_add(1);
        let mut digest = self.digest(now, version, MAX_LISTED_HOSTS);
        digest.strikes = strikes;
        digest.asks_for_reply = self.rounds <= ASKING_ROUNDS;
        (digest, to)
    }

    /// Returns the reply to a digest that asks for one.
    pub fn reply(&mut self, now: Time, version: u64) -> Digest {
        self.digest(now, version, MAX_HOSTS_IN_REPLY)
    }

    fn digest(&mut self, now: Time, version: u64, max_hosts: usize) -> Digest {
        let domains = self.domains_last_seen.iter();
        let domains = domains
            .map(|(domain, at)| SeenDomain { domain: domain.clone(), age: now.since(*at) })
            .collect();
        Digest {
            from: self.own.clone(),
            version,
            proof_age: None,
            hosts: self.next_listed_hosts(now, max_hosts),
            domains,
            strikes: Vec::new(),
            leaving: Vec::new(),
            asks_for_reply: false,
        }
    }

    /// Returns the time after which a domain counts as unreachable. In a large
    /// domain, a digest from another one reaches a few hosts, and their word takes
    /// some rounds to reach the others.
    fn unreachable_after(&self) -> Duration {
        let rounds = (self.locals() / FANOUT).checked_ilog2().map_or(0, |it| it + 1);
        UNREACHABLE_AFTER + DIGEST_INTERVAL * rounds
    }

    /// Returns the number of other hosts in the own domain.
    fn locals(&self) -> usize {
        self.known.values().filter(|it| it.host.domain == self.own.domain).count()
    }

    fn next_receivers(&mut self) -> Vec<SocketAddr> {
        let (local, mut remote): (Vec<&KnownHost>, Vec<&KnownHost>) =
            self.known.values().partition(|it| it.host.domain == self.own.domain);
        let address = |it: &KnownHost| it.host.address;
        let mut local: Vec<SocketAddr> = local.into_iter().map(address).collect();
        let mut remote: Vec<SocketAddr> = remote.drain(..).map(address).collect();
        remote.extend(self.unseen_seeds());
        local.sort_unstable();
        remote.sort_unstable();
        let from_remote = remote.len().min(FANOUT - LOCAL_FANOUT.min(local.len()));
        let from_local = local.len().min(FANOUT - from_remote);
        let mut to = take_turns(&local, &mut self.next_local, from_local);
        to.extend(take_turns(&remote, &mut self.next_remote, from_remote));
        to
    }

    /// Returns the hosts for a digest: likely senders in turn, readers of the own
    /// domain, those seen last, and others in turn, so that a host that was seen only
    /// once is listed too.
    fn next_listed_hosts(&mut self, now: Time, max: usize) -> Vec<ListedHost> {
        let candidates = self.likely_senders(now);
        let count = candidates.len().min(MAX_CANDIDATES);
        let mut listed = take_turns(&candidates, &mut self.next_candidate, count);
        for it in self.local_readers(now).into_iter().take(MAX_READERS) {
            if !listed.contains(&it) {
                listed.push(it);
            }
        }
        let mut others: Vec<&KnownHost> =
            self.known.values().filter(|it| !listed.contains(&it.host.address)).collect();
        others.sort_unstable_by_key(|it| (Reverse(it.last_seen), it.host.address));
        let mut news: Vec<SocketAddr> = others.iter().map(|it| it.host.address).collect();
        let mut in_turn = news.split_off(news.len().min(MAX_NEWS));
        listed.extend(news);
        in_turn.sort_unstable();
        let count = in_turn.len().min(max.saturating_sub(listed.len()));
        listed.extend(take_turns(&in_turn, &mut self.next_listed, count));
        let known = listed.iter().filter_map(|it| self.known.get(it));
        known.map(|it| ListedHost { host: it.host.clone(), age: now.since(it.last_seen) }).collect()
    }

    fn likely_senders(&self, now: Time) -> Vec<SocketAddr> {
        candidates(self.live(now).map(|it| &it.host))
    }

    fn local_readers(&self, now: Time) -> Vec<SocketAddr> {
        let is_reader = |it: &&KnownHost| is_reader_in(it, &self.own.domain);
        self.live(now).filter(is_reader).map(|it| it.host.address).collect()
    }

    fn live(&self, now: Time) -> impl Iterator<Item = &KnownHost> {
        self.known.values().filter(move |it| now.since(it.last_seen) <= MAX_SENDER_AGE)
    }

    fn unseen_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds.iter().copied().filter(|it| !self.known.contains_key(it))
    }

    fn record_seen(&mut self, host: &Host, at: Time) {
        if host.address == self.own.address || self.is_full(host.address) {
            return;
        }
        let known = self
            .known
            .entry(host.address)
            .or_insert_with(|| KnownHost { host: host.clone(), last_seen: at });
        if at >= known.last_seen {
            known.last_seen = at;
            known.host = host.clone();
        }
    }

    fn record_domain(&mut self, domain: &DomainName, at: Time) {
        if *domain == self.own.domain {
            return;
        }
        match self.domains_last_seen.get_mut(domain) {
            Some(last) => *last = (*last).max(at),
            None => self.add_domain(domain, at),
        }
    }

    /// Returns whether too many hosts are known for this one to be added.
    fn is_full(&self, address: SocketAddr) -> bool {
        self.known.len() >= MAX_HOSTS && !self.known.contains_key(&address)
    }

    fn add_domain(&mut self, domain: &DomainName, at: Time) {
        if self.domains_last_seen.len() >= MAX_DOMAINS {
            let silent = self.domains_last_seen.iter().min_by_key(|(_, last)| **last);
            let Some((silent, last)) = silent.map(|(it, last)| (it.clone(), *last)) else { return };
            if last >= at {
                return;
            }
            self.domains_last_seen.remove(&silent);
        }
        self.domains_last_seen.insert(domain.clone(), at);
    }
}

fn is_reader_in(known: &KnownHost, domain: &DomainName) -> bool {
    known.host.reads_source && known.host.domain == *domain
}

/// Returns the next `count` of `all`, which take turns.
fn take_turns<T: Copy>(all: &[T], next: &mut usize, count: usize) -> Vec<T> {
    let taken = (0..count).map(|i| all[next.wrapping_add(i) % all.len()]).collect();
    *next = next.wrapping_add(count);
    taken
}
