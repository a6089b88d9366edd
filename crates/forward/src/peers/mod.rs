//! Hosts of the system that know of each other.
//!
//! Load pattern answered: starts, kills and cuts of many hosts at once. Each
//! target's limits are divided by the number of hosts, so the number must not
//! fall while a host that is out of reach may still be at work.

use std::{net::SocketAddr, time::Duration};

use base::{DomainName, HashMap, HashSet, Time};

use crate::suspects::Strike;

/// Time between two digests to a peer.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(300);

/// Peers that get each digest.
const FANOUT: usize = 4;

/// A peer that was not heard for this long no longer counts.
const COUNTED_FOR: Duration = Duration::from_secs(60);

/// A domain none of whose hosts was heard for this long is out of reach.
/// Several datagrams in a row must be lost for it.
const UNHEARD_AFTER: Duration = Duration::from_millis(900);

/// Most hosts find each other within this time of a start.
const SETTLES_WITHIN: Duration = Duration::from_millis(1_500);

/// Hosts assumed for each one heard of until then.
const UNSETTLED_FACTOR: usize = 2;

/// Hosts named in one digest.
const MAX_NAMED: usize = 64;

/// What one host tells another.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    pub from: SocketAddr,
    pub domain: DomainName,
    /// Version of the configuration in force there.
    pub version: u64,
    /// Hosts heard of, with the age of the last word of them.
    pub hosts: Vec<(SocketAddr, Duration)>,
    /// Requests that crashed targets.
    pub strikes: Vec<Strike>,
}

/// The hosts heard of.
#[derive(Debug)]
pub struct Peers {
    me: SocketAddr,
    seeds: Vec<SocketAddr>,
    heard: HashMap<SocketAddr, Time>,
    /// The last digest that came from a host of each other domain.
    domains: HashMap<DomainName, Time>,
    home: DomainName,
    /// Version in force at each peer that was heard itself, and when.
    versions: HashMap<SocketAddr, (u64, Time)>,
    turn: usize,
}

impl Peers {
    pub fn new(me: SocketAddr, home: DomainName, seeds: Vec<SocketAddr>) -> Peers {
        let seeds = seeds.into_iter().filter(|it| *it != me).collect();
        Peers {
            me,
            seeds,
            heard: HashMap::default(),
            domains: HashMap::default(),
            home,
            versions: HashMap::default(),
            turn: 0,
        }
    }

    /// Hosts that may be at work, this one included.
    pub fn count(&self, now: Time) -> usize {
        let is_counted = |at: &Time| now.since(*at) < COUNTED_FOR;
        let heard = self.heard.values().filter(|at| is_counted(at)).count();
        let unheard = self.seeds.iter().filter(|it| !self.heard.contains_key(*it)).count();
        1 + heard + unheard
    }

    /// Hosts to share limits with. Soon after a start there are likely more
    /// than were heard of.
    pub fn assumed_count(&self, now: Time, uptime: Duration) -> usize {
        let count = self.count(now);
        if uptime < SETTLES_WITHIN { count * UNSETTLED_FACTOR } else { count }
    }

    /// Other domains that were heard of once, and those of them that are out of
    /// reach now.
    pub fn other_domains(&self, now: Time) -> (usize, HashSet<DomainName>) {
        let is_unheard = |at: &Time| now.since(*at) > UNHEARD_AFTER;
        let unheard = self.domains.iter().filter(|(_, at)| is_unheard(at));
        (self.domains.len(), unheard.map(|(domain, _)| domain.clone()).collect())
    }

    /// The peer in touch that has the highest version in force.
    pub fn peer_with_newest_version(&self, now: Time) -> Option<(SocketAddr, u64)> {
        let in_touch = self.versions.iter().filter(|(_, (_, at))| now.since(*at) < UNHEARD_AFTER);
        in_touch.map(|(peer, (version, _))| (*peer, *version)).max_by_key(|(_, version)| *version)
    }

    pub fn receive(&mut self, digest: &Digest, now: Time) {
        self.versions.insert(digest.from, (digest.version, now));
        self.hear(digest.from, now);
        if digest.domain != self.home {
            self.domains.insert(digest.domain.clone(), now);
        }
        for (host, age) in &digest.hosts {
            if *age < COUNTED_FOR {
                self.hear(*host, now.ago(*age));
            }
        }
    }

    /// The digest of this moment and the peers to send it to.
    pub fn next_digest(
        &mut self,
        now: Time,
        version: u64,
        strikes: Vec<Strike>,
    ) -> (Digest, Vec<SocketAddr>) {
        self.heard.retain(|_, at| now.since(*at) < COUNTED_FOR);
        self.versions.retain(|_, (_, at)| now.since(*at) < COUNTED_FOR);
        let mut known: Vec<SocketAddr> = self.heard.keys().copied().collect();
        known.extend(self.seeds.iter().filter(|it| !self.heard.contains_key(*it)));
        known.sort_unstable();
        let count = known.len().min(FANOUT);
        let to = (0..count).map(|i| known[(self.turn + i) % known.len()]).collect();
        self.turn = self.turn.wrapping_add(count);
        let hosts = self.heard.iter().map(|(host, at)| (*host, now.since(*at)));
        let digest = Digest {
            from: self.me,
            domain: self.home.clone(),
            version,
            hosts: hosts.take(MAX_NAMED).collect(),
            strikes,
        };
        (digest, to)
    }

    fn hear(&mut self, host: SocketAddr, at: Time) {
        if host == self.me {
            return;
        }
        let heard = self.heard.entry(host).or_insert(at);
        *heard = (*heard).max(at);
    }
}
