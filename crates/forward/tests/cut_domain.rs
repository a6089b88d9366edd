//! Fleets on virtual time of which a domain or a part of it is cut off from all targets, while no
//! host gets requests.

mod fixture;

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use base::{DomainName, HashMap, ServiceName, Time};
use fixture::{LEAVING_FOR, at, report};
use forward::{
    Configuration, Destination, Placement, Repeat, Route, RouteTable, Service, TargetReport,
    Targets,
    budget::RetryLimits,
    peers::{DIGEST_INTERVAL, Host, Peers},
    placement::{Limits, PlacementRequest},
    route::RouteEntry,
    senders::MAX_SENDER_AGE,
    target::SendResult,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const TARGETS_PER_DOMAIN: usize = 3;

/// Time after which hosts that are cut off are to serve callers again, in milliseconds as below.
const CONTACT_MS: u64 = 4_000;

/// Hosts that a request is passed on to at most.
const MAX_HOSTS_TRIED: usize = 3;

const SWEEP_MS: u64 = 100;
const CHOICE_MS: u64 = 500;
const CUT_AT: u64 = 15_000;
const CUT_MS: u64 = 10_000;

struct FleetHost {
    peers: Peers,
    targets: Targets<u32>,
    table: RouteTable,
    is_cut: bool,
}

struct Fleet {
    hosts: Vec<FleetHost>,
    index_of: HashMap<SocketAddr, usize>,
    rng: SmallRng,
}

fn configuration(max_connections: u32) -> Configuration {
    let service = ServiceName::new("s");
    let settings = Service {
        health_path: Arc::from("/health"),
        max_connections,
        warmup: Duration::ZERO,
        warmup_rate: None,
    };
    let route = Route {
        name: Arc::from("q"),
        host: Arc::from("h"),
        prefix: Arc::from("/q/"),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(800),
        attempts: 3,
        priority: 1,
        destination: Destination::Service(service.clone()),
        regions: Vec::new(),
        is_open: false,
    };
    Configuration {
        version: 1,
        routes: vec![route],
        services: [(service, settings)].into_iter().collect(),
        ..Configuration::default()
    }
}

impl FleetHost {
    fn new(own: Host, seeds: Vec<SocketAddr>, is_cut: bool, connections: u32) -> FleetHost {
        let limits = Limits {
            retry: RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 50.0 },
            cold_ratio: 1.5,
            cold_slack: 5.0,
            cross_domain: Duration::from_millis(3),
            leaving_for: LEAVING_FOR,
        };
        let mut targets = Targets::new(limits, own.domain.clone(), Default::default());
        let cfg = configuration(connections);
        targets.configure(&cfg);
        let table = RouteTable::new(&cfg, &mut targets);
        for domain in DOMAINS {
            for i in 0..TARGETS_PER_DOMAIN {
                let service = ServiceName::new("s");
                let report = TargetReport { service, ..report(&format!("t-{domain}-{i}"), domain) };
                targets.apply_report(report, at(0));
            }
        }
        FleetHost { peers: Peers::new(own, seeds), targets, table, is_cut }
    }

    fn update_senders(&mut self, now: Time) {
        let hosts = self.peers.usable_hosts(now, MAX_SENDER_AGE);
        let routes: Vec<Rc<RouteEntry>> = self.table.routes().cloned().collect();
        self.targets.set_hosts(self.peers.count(now));
        self.targets.update_senders(self.peers.own(), &hosts, &routes, now);
    }

    fn check_reach(&mut self, is_cut: bool, now: Time) {
        for key in self.targets.due_reach_checks(now) {
            if !is_cut {
                self.targets.probe_succeeded(key, now);
            }
        }
        self.targets.update_reach(now);
        self.peers.set_has_lost_targets(self.targets.has_lost_targets(), now);
    }

    /// Returns the addresses of the hosts that requests are passed on to, the preferred one
    /// first; `None` if this host sends to targets itself.
    fn hosts_asked(&mut self, now: Time) -> Option<Vec<SocketAddr>> {
        let entry = self.table.find("h", "/q/x").expect("the route").clone();
        let helpers = self.targets.helpers().filter(|_| self.targets.has_lost_targets());
        let service = entry.senders().or(helpers)?;
        let (mut tried, mut addresses) = (Vec::new(), Vec::new());
        loop {
            let class = entry.relay_class;
            let request = PlacementRequest { service, class, tried: &tried, regions: &[] };
            let Placement::Send(send) = self.targets.place(&request, now) else {
                return Some(addresses);
            };
            tried.push(send.target);
            addresses.extend(self.targets.target(send.target).map(|it| it.report.address));
            self.targets.finish_send(&send, now, SendResult::Cancelled);
        }
    }
}

impl Fleet {
    /// Creates hosts in each domain, of which `cut` percent of the last one's are cut off.
    /// Each target accepts this many `connections`.
    fn new(sizes: [usize; 3], cut: usize, connections: u32) -> Fleet {
        let domains = DOMAINS.iter().zip(sizes);
        let hosts =
            domains.flat_map(|(it, size)| (0..size).map(move |i| (*it, i * 100 < size * cut)));
        let own: Vec<(Host, bool)> = hosts
            .enumerate()
            .map(|(i, (domain, is_cut))| {
                let address = ([10, 0, (i / 200) as u8, (i % 200) as u8 + 1], 7_000).into();
                let domain = DomainName::new(domain);
                let is_cut = is_cut && domain.as_str() == DOMAINS[2];
                let (reads_source, has_lost_targets) = (false, false);
                (Host { address, domain, capacity: 1_000, reads_source, has_lost_targets }, is_cut)
            })
            .collect();
        let last = own.len() - 1;
        let seeds: Vec<SocketAddr> = [0, sizes[0], last].map(|it| own[it].0.address).to_vec();
        let index_of = own.iter().enumerate().map(|(i, it)| (it.0.address, i)).collect();
        let hosts = own
            .into_iter()
            .map(|(own, is_cut)| FleetHost::new(own, seeds.clone(), is_cut, connections));
        Fleet { hosts: hosts.collect(), index_of, rng: SmallRng::seed_from_u64(7) }
    }

    fn gossip(&mut self, now: Time) {
        for sender in 0..self.hosts.len() {
            let (digest, to) = self.hosts[sender].peers.next_digest(now, 1, Vec::new());
            for receiver in to.iter().map(|it| self.index_of[it]) {
                if self.rng.random_bool(0.05) {
                    continue;
                }
                self.hosts[receiver].peers.receive(&digest, now);
                if digest.asks_for_reply {
                    let reply = self.hosts[receiver].peers.reply(now, 1);
                    self.hosts[sender].peers.receive(&reply, now);
                }
            }
        }
    }

    /// Runs all hosts; returns the times, `CONTACT_MS` after the cut or later, at which some hosts
    /// cannot have a request served, and how many.
    fn play(&mut self) -> Vec<(u64, usize)> {
        let mut failures = Vec::new();
        for ms in (0..CUT_AT + CUT_MS).step_by(SWEEP_MS as usize) {
            let now = at(ms);
            if ms % DIGEST_INTERVAL.as_millis() as u64 == 0 {
                self.gossip(now);
            }
            for it in &mut self.hosts {
                it.check_reach(it.is_cut && ms >= CUT_AT, now);
                if ms % CHOICE_MS == 0 {
                    it.update_senders(now);
                }
            }
            if ms >= CUT_AT + CONTACT_MS {
                let count = (0..self.hosts.len()).filter(|it| !self.is_served(*it, now)).count();
                failures.extend((count > 0).then_some((ms, count)));
            }
        }
        failures
    }

    /// Returns whether a request at the host is served: by itself, or by a host after those
    /// that refuse it at once, as they know of the cut.
    fn is_served(&mut self, host: usize, now: Time) -> bool {
        let Some(asked) = self.hosts[host].hosts_asked(now) else {
            return !self.hosts[host].is_cut;
        };
        let asked = asked.iter().map(|it| &self.hosts[self.index_of[it]]);
        let mut tried = asked.take(MAX_HOSTS_TRIED);
        let answers = tried.find(|it| !it.is_cut || !it.targets.has_lost_targets());
        answers.is_some_and(|it| !it.is_cut)
    }
}

/// RECOVER: hosts that pass their requests on did not know that they are cut off from targets, and
/// became senders one after the other as those before them lost theirs.
#[test]
fn requests_in_a_domain_that_is_cut_off_reach_senders_elsewhere() {
    let fleets = [([4, 4, 32], 100), ([12, 12, 12], 100), ([8, 8, 40], 50), ([60, 60, 60], 100)];
    for (sizes, cut) in fleets {
        let mut fleet = Fleet::new(sizes, cut, 20);
        let failures = fleet.play();
        assert!(failures.is_empty(), "{sizes:?}, {cut}% cut: (ms, hosts) {failures:?}");
        let is_right = |it: &FleetHost| it.targets.has_lost_targets() == it.is_cut;
        assert!(fleet.hosts.iter().all(is_right), "{sizes:?}, {cut}% cut");
    }
}

/// RECOVER: a host that lost its targets asks hosts of its own domain for help, of whose loss it has
/// not heard yet.
#[test]
fn helpers_of_a_domain_that_is_cut_off_are_elsewhere() {
    let fleets = [([4, 4, 16], 100), ([8, 8, 100], 100), ([4, 4, 40], 50), ([60, 60, 60], 100)];
    for (sizes, cut) in fleets {
        let mut fleet = Fleet::new(sizes, cut, 1_000);
        let failures = fleet.play();
        assert!(failures.is_empty(), "{sizes:?}, {cut}% cut: (ms, hosts) {failures:?}");
    }
}
