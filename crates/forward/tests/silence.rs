//! Readers that fall silent, as the other hosts of their domain notice it.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    net::SocketAddr,
};

use base::{DomainName, Time};
use forward::peers::{Digest, Host, Peers};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Share of digests that are lost.
const LOSS: f64 = 0.03;

/// Readers of each domain.
const READERS: usize = 2;

/// A host's next round, or the arrival of a digest.
#[derive(Debug)]
enum Event {
    Round(usize),
    Arrival(usize, Digest),
}

struct Fleet {
    hosts: Vec<Peers>,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    all: Vec<Option<Event>>,
    frozen: Vec<bool>,
    /// Range of the time between rounds, in milliseconds.
    round: std::ops::Range<u64>,
    latency: std::ops::Range<u64>,
    rng: SmallRng,
}

fn addr(index: usize) -> SocketAddr {
    ([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 7_000).into()
}

impl Fleet {
    fn new(hosts: usize, domains: usize, seed: u64) -> Fleet {
        let host = |it: usize| Host {
            address: addr(it),
            domain: DomainName::new(&format!("d{}", it % domains)),
            capacity: 1_000,
            reads_source: it / domains < READERS,
            has_lost_targets: false,
        };
        let seeds: Vec<SocketAddr> = (0..3).map(addr).collect();
        let mut it = Fleet {
            hosts: (0..hosts).map(|it| Peers::new(host(it), seeds.clone())).collect(),
            events: BinaryHeap::new(),
            all: Vec::new(),
            frozen: vec![false; hosts],
            round: 300..301,
            latency: 1..3,
            rng: SmallRng::seed_from_u64(seed),
        };
        for host in 0..hosts {
            let at = it.rng.random_range(0..300);
            it.push(at, Event::Round(host));
        }
        it
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.all.len())));
        self.all.push(Some(event));
    }

    fn send(&mut self, now: u64, to: SocketAddr, digest: Digest) {
        if self.rng.random_bool(LOSS) {
            return;
        }
        let to = (0..self.hosts.len()).find(|it| addr(*it) == to).expect("a host");
        let at = now + self.rng.random_range(self.latency.clone());
        self.push(at, Event::Arrival(to, digest));
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((at, index))) = self.events.peek().copied()
            && at < until
        {
            self.events.pop();
            let now = Time::from_millis(at);
            match self.all[index].take() {
                Some(Event::Round(host)) => {
                    let next = at + self.rng.random_range(self.round.clone());
                    self.push(next, Event::Round(host));
                    if self.frozen[host] {
                        continue;
                    }
                    let (digest, to) = self.hosts[host].next_digest(now, 1, Vec::new());
                    for it in to {
                        self.send(at, it, digest.clone());
                    }
                }
                Some(Event::Arrival(host, digest)) if !self.frozen[host] => {
                    self.hosts[host].receive(&digest, now);
                    if digest.asks_for_reply {
                        let reply = self.hosts[host].reply(now, 1);
                        self.send(at, digest.from.address, reply);
                    }
                }
                _ => {}
            }
        }
    }
}

impl Fleet {
    fn readers(&self, domains: usize) -> std::ops::Range<usize> {
        0..READERS * domains
    }

    /// Returns the readers of its domain that the host takes for silent.
    fn missed(&self, host: usize, domains: usize, now: u64) -> Vec<usize> {
        let now = Time::from_millis(now);
        let local = self.readers(domains).filter(|it| it % domains == host % domains);
        let others = local.filter(|it| *it != host);
        others.filter(|it| self.hosts[host].is_silent(addr(*it), now)).collect()
    }
}

/// Hosts and domains of a fleet, and the time within which a configuration is in force on
/// all of its hosts.
const FLEETS: [(usize, usize, u64); 4] =
    [(6, 1, 3_000), (30, 3, 3_000), (30, 1, 5_000), (91, 3, 5_000)];

/// Part of that time for another host to become a reader, and for its followers to hear: a
/// check, a step of the wait and a round.
const TAKEOVER: u64 = 200 + 200 + 300;

/// Guards against followers of two frozen readers that notice one after the other, each by a
/// call that gets no answer.
#[test]
fn readers_that_freeze_together_are_noticed_in_time_for_changes() {
    for (seed, (hosts, domains, bound)) in (0..5).flat_map(|seed| FLEETS.map(|it| (seed, it))) {
        let mut it = Fleet::new(hosts, domains, seed);
        it.run(10_000);
        let frozen = it.readers(domains);
        frozen.clone().for_each(|reader| it.frozen[reader] = true);
        // A host leaves a reader once it has noticed.
        let mut left = vec![BTreeSet::new(); hosts];
        for now in (10_000..=10_000 + bound - TAKEOVER).step_by(100) {
            it.run(now);
            (0..hosts).for_each(|host| left[host].extend(it.missed(host, domains, now)));
        }
        for (host, left) in left.iter().enumerate().skip(frozen.end) {
            let count = left.len();
            assert_eq!(count, READERS, "{host} of {hosts} in {domains} domains, seed {seed}");
        }
    }
}

/// Guards against hosts that leave all readers though these go on, as digests are lost or
/// late. One that leaves one of them follows the other.
#[test]
fn readers_that_go_on_are_not_all_silent_however_late_digests_are() {
    for (seed, (hosts, domains, _)) in (0..5).flat_map(|seed| FLEETS.map(|it| (seed, it))) {
        for (round, latency) in [(300..301, 1..3), (300..1_200, 1..200)] {
            let mut it = Fleet::new(hosts, domains, seed);
            (it.round, it.latency) = (round, latency);
            it.run(10_000);
            for now in (10_000..20_000).step_by(200) {
                it.run(now);
                let missed = (0..hosts).map(|host| it.missed(host, domains, now).len()).max();
                assert!(missed < Some(READERS), "{hosts} in {domains} at {now}, seed {seed}");
            }
        }
    }
}

/// A host that was frozen itself has got no digests meanwhile, and misses nobody.
#[test]
fn a_host_that_goes_on_after_a_freeze_misses_no_reader() {
    let mut it = Fleet::new(30, 3, 3);
    it.run(10_000);
    it.frozen[29] = true;
    it.run(14_000);
    it.frozen[29] = false;
    for now in (14_000..17_000).step_by(20) {
        it.run(now);
        assert!(it.missed(29, 3, now).is_empty(), "at {now}");
    }
}
