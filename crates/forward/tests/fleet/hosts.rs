//! Simulated hosts: the state of `forward` at one host, gossip and maintenance.

use std::{net::SocketAddr, sync::Arc};

use base::{DomainName, HashMap, ServiceName, Time};
use forward::{
    Service, Targets,
    peers::{DIGEST_INTERVAL, Host as PeerHost, Peers},
    placement::{ClassKey, Limits, ServiceKey},
    route::Configuration,
};
use rand::Rng;

use super::{
    COLD_RATIO, COLD_SLACK, DOMAINS, HOSTS, LEAVING_FOR, MAX_CONNECTIONS, RETRY, SERVICES, WARMUP,
    WARMUP_RATE, World,
    queries::{InFlightSend, Running},
};

/// The number of a query, and the index of its waiting part.
pub type Waiter = (usize, usize);

pub struct Host {
    pub targets: Targets<Waiter>,
    pub peers: Peers,
    pub services: Vec<ServiceKey>,
    pub class: ClassKey,
    pub started: Time,
    pub frozen_until: Time,
    /// Receives no changes from the source until this time.
    pub source_lost_until: Time,
    /// Receives changes from the source late until this time.
    pub slow_until: Time,
    /// Number of changes received from the source.
    pub updates_received: usize,
    pub queries: HashMap<usize, Running>,
    pub in_flight: Vec<InFlightSend>,
}

impl World {
    /// Kills a host, which loses all state and queries, and starts it again.
    pub fn restart_host(&mut self, host: usize) {
        let ids: Vec<usize> = self.hosts[host].queries.keys().copied().collect();
        self.hosts[host] = new_host(host, self.now);
        ids.into_iter().for_each(|id| self.records[id].is_over = true);
    }

    pub fn gossip(&mut self, host: usize) {
        let interval = DIGEST_INTERVAL.as_millis() as u64;
        let ms = self.now.as_micros() / 1_000;
        if ms % interval != (host as u64 * 37) % interval {
            return;
        }
        let (digest, to) = self.hosts[host].peers.next_digest(self.now, 1, Vec::new());
        for address in to {
            let Some(peer) = (0..HOSTS).find(|it| address_of(*it) == address) else { continue };
            self.events += 1;
            let is_connected = self.is_connected(domain_of(host), domain_of(peer));
            if is_connected
                && self.hosts[peer].frozen_until <= self.now
                && self.rng.random_bool(0.97)
            {
                let now = self.now;
                self.hosts[peer].peers.receive(&digest, now);
                if digest.asks_for_reply {
                    let reply = self.hosts[peer].peers.reply(now, 1);
                    self.hosts[host].peers.receive(&reply, now);
                }
            }
        }
        let it = &mut self.hosts[host];
        let uptime = self.now.since(it.started);
        let count = it.peers.assumed_count(self.now, uptime);
        it.targets.set_hosts(count);
    }

    /// Probes targets that are down, checks health and removes unlisted targets.
    pub fn maintain(&mut self, host: usize) {
        let now = self.now;
        for key in self.hosts[host].targets.due_probes(now) {
            let name = self.hosts[host].targets.target(key).map(|it| it.report.name.clone());
            let target = name.and_then(|it| self.target_named(&it));
            if target.is_some_and(|it| self.targets[it].is_up) {
                self.hosts[host].targets.probe_succeeded(key, now);
            }
        }
        self.hosts[host].targets.remove_unlisted(now);
        self.hosts[host].targets.expire_limits(now);
        self.check_health(host);
    }

    /// Learns from targets whether they are cold, while the source is lost.
    fn check_health(&mut self, host: usize) {
        let now = self.now;
        if self.hosts[host].source_lost_until <= now {
            return;
        }
        for key in self.hosts[host].targets.due_health_checks(now) {
            let name = self.hosts[host].targets.target(key).map(|it| it.report.name.clone());
            let Some(target) = name.and_then(|it| self.target_named(&it)) else { continue };
            let target = &self.targets[target];
            if target.is_up && self.is_connected(domain_of(host), &target.report.domain) {
                let cold_for = target.cold_until.until(now);
                self.hosts[host].targets.record_cold(key, now, cold_for);
            }
        }
    }
}

pub fn new_host(index: usize, now: Time) -> Host {
    let limits = Limits {
        retry: RETRY,
        cold_ratio: COLD_RATIO,
        cold_slack: COLD_SLACK,
        cross_domain: std::time::Duration::from_millis(3),
        leaving_for: LEAVING_FOR,
    };
    let mut targets = Targets::new(limits, DomainName::new(domain_of(index)), Default::default());
    targets.set_phase((index + 1) as f64 / HOSTS as f64);
    let service = Service {
        health_path: Arc::from("/health"),
        max_connections: MAX_CONNECTIONS,
        warmup: WARMUP,
        warmup_rate: Some(WARMUP_RATE),
    };
    let names: Vec<_> = (0..SERVICES).map(|it| ServiceName::new(&format!("s{it}"))).collect();
    let services = names.iter().map(|it| (it.clone(), service.clone())).collect();
    targets.configure(&Configuration { version: 1, services, ..Configuration::default() });
    let services = names.iter().map(|it| targets.service(it)).collect();
    let class = targets.class(&Arc::from("route"));
    let seeds = (0..3).map(address_of).collect();
    let domain = DomainName::new(domain_of(index));
    let own = PeerHost {
        address: address_of(index),
        domain,
        capacity: 1_000,
        reads_source: false,
        has_lost_targets: false,
    };
    Host {
        targets,
        peers: Peers::new(own, seeds),
        services,
        class,
        started: now,
        frozen_until: Time::ZERO,
        source_lost_until: Time::ZERO,
        slow_until: Time::ZERO,
        updates_received: 0,
        queries: HashMap::default(),
        in_flight: Vec::new(),
    }
}

fn address_of(host: usize) -> SocketAddr {
    ([10, 0, 0, host as u8 + 1], 7_000).into()
}

pub fn domain_of(host: usize) -> &'static str {
    DOMAINS[host % DOMAINS.len()]
}
