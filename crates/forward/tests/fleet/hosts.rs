//! Hosts of the model: the pure decisions of one host, and their upkeep.

use std::{net::SocketAddr, sync::Arc};

use base::{DomainName, HashMap, ServiceName, Time};
use forward::{
    Service, Targets,
    peers::{DIGEST_INTERVAL, Peers},
    placement::{ClassKey, Limits, ServiceKey},
    route::Configuration,
};
use rand::Rng;

use super::{
    COLD_RATIO, COLD_SLACK, DOMAINS, HOSTS, LEAVING_FOR, MAX_CONNECTIONS, RETRY, SERVICES, WARMUP,
    WARMUP_RATE, World,
    queries::{Flight, Running},
};

/// A query's number and the part of it that waits.
pub type Waiter = (usize, usize);

pub struct Host {
    pub core: Targets<Waiter>,
    pub peers: Peers,
    pub services: Vec<ServiceKey>,
    pub class: ClassKey,
    pub started: Time,
    pub frozen_until: Time,
    /// Hears nothing of the source until then.
    pub lost_until: Time,
    /// Hears of the source late until then.
    pub late_until: Time,
    /// Changes of the source that it has taken.
    pub taken: usize,
    pub queries: HashMap<usize, Running>,
    pub in_flight: Vec<Flight>,
}

impl World {
    /// All that the host knew and did is gone.
    pub fn kill_host(&mut self, host: usize) {
        let ids: Vec<usize> = self.hosts[host].queries.keys().copied().collect();
        self.hosts[host] = new_host(host, self.now);
        ids.into_iter().for_each(|id| self.records[id].is_over = true);
    }

    pub fn tell_peers(&mut self, host: usize) {
        let interval = DIGEST_INTERVAL.as_millis() as u64;
        let ms = self.now.as_micros() / 1_000;
        if ms % interval != (host as u64 * 37) % interval {
            return;
        }
        let (digest, to) = self.hosts[host].peers.next_digest(self.now, 1, Vec::new());
        for address in to {
            let Some(peer) = (0..HOSTS).find(|it| address_of(*it) == address) else { continue };
            self.events += 1;
            let reaches = self.reaches(domain_of(host), domain_of(peer));
            if reaches && self.hosts[peer].frozen_until <= self.now && self.rng.random_bool(0.97) {
                let now = self.now;
                self.hosts[peer].peers.receive(&digest, now);
            }
        }
        let it = &mut self.hosts[host];
        let uptime = self.now.since(it.started);
        let count = it.peers.assumed_count(self.now, uptime);
        it.core.set_hosts(count);
    }

    /// Trials of targets that are down, questions for health, forgetting.
    pub fn sweep(&mut self, host: usize) {
        let now = self.now;
        for key in self.hosts[host].core.due_probes(now) {
            let name = self.hosts[host].core.target(key).map(|it| it.report.name.clone());
            let target = name.and_then(|it| self.target_named(&it));
            if target.is_some_and(|it| self.targets[it].is_up) {
                self.hosts[host].core.probe_succeeded(key, now);
            }
        }
        self.hosts[host].core.remove_unlisted(now);
        self.ask_health(host);
    }

    /// While the source is lost, targets themselves tell whether they are cold.
    fn ask_health(&mut self, host: usize) {
        let now = self.now;
        if self.hosts[host].lost_until <= now {
            return;
        }
        for key in self.hosts[host].core.due_health_checks(now) {
            let name = self.hosts[host].core.target(key).map(|it| it.report.name.clone());
            let Some(target) = name.and_then(|it| self.target_named(&it)) else { continue };
            let target = &self.targets[target];
            if target.is_up && self.reaches(domain_of(host), &target.report.domain) {
                let cold_for = target.cold_until.until(now);
                self.hosts[host].core.record_cold(key, now, cold_for);
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
    let mut core = Targets::new(limits, DomainName::new(domain_of(index)), Default::default());
    let service = Service {
        health_path: Arc::from("/health"),
        max_connections: MAX_CONNECTIONS,
        warmup: WARMUP,
        warmup_rate: Some(WARMUP_RATE),
    };
    let names: Vec<_> = (0..SERVICES).map(|it| ServiceName::new(&format!("s{it}"))).collect();
    let services = names.iter().map(|it| (it.clone(), service.clone())).collect();
    core.configure(&Configuration { version: 1, services, ..Configuration::default() });
    let services = names.iter().map(|it| core.service(it)).collect();
    let class = core.class(&Arc::from("route"));
    let seeds = (0..3).map(address_of).collect();
    Host {
        core,
        peers: Peers::new(address_of(index), DomainName::new(domain_of(index)), seeds),
        services,
        class,
        started: now,
        frozen_until: Time::ZERO,
        lost_until: Time::ZERO,
        late_until: Time::ZERO,
        taken: 0,
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
