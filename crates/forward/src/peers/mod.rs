//! Membership of hosts, learned by gossip.
//!
//! Load pattern answered: starts, kills and partitions of many hosts at once.
//! Each target's limits are divided by the number of hosts, so the number must
//! not fall while an unreachable host may still be sending.

use std::{net::SocketAddr, time::Duration};

use base::{DomainName, HashMap, HashSet, Time};

use crate::suspects::Strike;

/// Time between two rounds of gossip.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(300);

/// Peers that each digest is sent to.
const FANOUT: usize = 4;

/// Time after which a silent peer is no longer counted.
const HOST_RETENTION: Duration = Duration::from_secs(60);

/// Time after which a domain none of whose hosts sent a digest is unreachable,
/// long enough that several datagrams in a row must be lost for it.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(900);

/// Time after a start within which most hosts discover each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Factor applied to the number of known hosts during discovery.
const DISCOVERY_FACTOR: usize = 2;

/// Limit of hosts listed in one digest.
const MAX_DIGEST_HOSTS: usize = 64;

/// One gossip message.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    pub from: SocketAddr,
    pub domain: DomainName,
    /// Version of the configuration in force at the sender.
    pub version: u64,
    /// Hosts known to the sender, with the time since each was last seen.
    pub hosts: Vec<(SocketAddr, Duration)>,
    /// Recent strikes against requests that crashed targets.
    pub strikes: Vec<Strike>,
}

/// The hosts that this host knows of.
#[derive(Debug)]
pub struct Peers {
    own_address: SocketAddr,
    seeds: Vec<SocketAddr>,
    /// Time at which each host was last seen, by its own digest or as reported by
    /// another host.
    last_seen: HashMap<SocketAddr, Time>,
    /// Time of the last digest from each other domain.
    domains_last_seen: HashMap<DomainName, Time>,
    home: DomainName,
    /// Configuration version in each peer's last digest, and when that came.
    versions: HashMap<SocketAddr, (u64, Time)>,
    /// Index of the next peer to gossip to, before wrapping.
    next_peer: usize,
}

impl Peers {
    pub fn new(own_address: SocketAddr, home: DomainName, seeds: Vec<SocketAddr>) -> Peers {
        let seeds = seeds.into_iter().filter(|it| *it != own_address).collect();
        Peers {
            own_address,
            seeds,
            last_seen: HashMap::default(),
            domains_last_seen: HashMap::default(),
            home,
            versions: HashMap::default(),
            next_peer: 0,
        }
    }

    /// Returns the number of hosts that may be running, including this one.
    pub fn count(&self, now: Time) -> usize {
        let is_counted = |at: &Time| now.since(*at) < HOST_RETENTION;
        let seen = self.last_seen.values().filter(|at| is_counted(at)).count();
        let unseen_seeds = self.seeds.iter().filter(|it| !self.last_seen.contains_key(*it)).count();
        1 + seen + unseen_seeds
    }

    /// Returns the number of hosts to share limits with. Soon after a start there
    /// are likely more hosts than are known.
    pub fn assumed_count(&self, now: Time, uptime: Duration) -> usize {
        let count = self.count(now);
        if uptime < DISCOVERY_TIME { count * DISCOVERY_FACTOR } else { count }
    }

    /// Returns the number of other domains that ever sent a digest, and those of
    /// them that are unreachable now.
    pub fn other_domains(&self, now: Time) -> (usize, HashSet<DomainName>) {
        let is_silent = |at: &Time| now.since(*at) > UNREACHABLE_AFTER;
        let silent = self.domains_last_seen.iter().filter(|(_, at)| is_silent(at));
        (self.domains_last_seen.len(), silent.map(|(domain, _)| domain.clone()).collect())
    }

    /// Returns the reachable peer with the highest configuration version, and that
    /// version.
    pub fn peer_with_newest_version(&self, now: Time) -> Option<(SocketAddr, u64)> {
        let reachable =
            self.versions.iter().filter(|(_, (_, at))| now.since(*at) < UNREACHABLE_AFTER);
        reachable.map(|(peer, (version, _))| (*peer, *version)).max_by_key(|(_, version)| *version)
    }

    /// Learns from a peer's digest.
    pub fn receive(&mut self, digest: &Digest, now: Time) {
        self.versions.insert(digest.from, (digest.version, now));
        self.record_seen(digest.from, now);
        if digest.domain != self.home {
            self.domains_last_seen.insert(digest.domain.clone(), now);
        }
        for (host, age) in &digest.hosts {
            if *age < HOST_RETENTION {
                self.record_seen(*host, now.ago(*age));
            }
        }
    }

    /// Returns the current digest and the peers to send it to. Peers take turns.
    pub fn next_digest(
        &mut self,
        now: Time,
        version: u64,
        strikes: Vec<Strike>,
    ) -> (Digest, Vec<SocketAddr>) {
        self.last_seen.retain(|_, at| now.since(*at) < HOST_RETENTION);
        self.versions.retain(|_, (_, at)| now.since(*at) < HOST_RETENTION);
        let mut known: Vec<SocketAddr> = self.last_seen.keys().copied().collect();
        known.extend(self.seeds.iter().filter(|it| !self.last_seen.contains_key(*it)));
        known.sort_unstable();
        let count = known.len().min(FANOUT);
        let to = (0..count).map(|i| known[(self.next_peer + i) % known.len()]).collect();
        self.next_peer = self.next_peer.wrapping_add(count);
        let hosts = self.last_seen.iter().map(|(host, at)| (*host, now.since(*at)));
        let digest = Digest {
            from: self.own_address,
            domain: self.home.clone(),
            version,
            hosts: hosts.take(MAX_DIGEST_HOSTS).collect(),
            strikes,
        };
        (digest, to)
    }

    fn record_seen(&mut self, host: SocketAddr, at: Time) {
        if host == self.own_address {
            return;
        }
        let last_seen = self.last_seen.entry(host).or_insert(at);
        *last_seen = (*last_seen).max(at);
    }
}
