//! A small deployment: a store, leafs and hosts on loopback addresses.

use std::{
    net::IpAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    host::{Host, HostSettings},
    ingress::Ingress,
    leaf::{Behaviour, Leaf, Runs},
    proxy::Proxy,
    record::Record,
    store::Store,
};

/// Name of the host that clients ask for.
pub const HOST_NAME: &str = "pupu76.example";

/// `drain_ms` of the site arriaga-pasarela.
const DRAIN_MS: u64 = 3_000;

pub struct Deployment {
    pub store: Store,
    pub hosts: Vec<Host>,
    pub leafs: Vec<Leaf>,
    /// For each host, what stands between it and the store.
    pub proxies: Vec<Proxy>,
    pub runs: Runs,
}

impl Deployment {
    /// Starts the store and the leafs; `hosts` gives the number of hosts of each zone,
    /// `services` the number of leafs of each service.
    pub fn new(
        record: &Record,
        hosts: &[(&str, usize)],
        services: &[(&str, usize)],
        behaviour: &Behaviour,
    ) -> Result<Deployment, String> {
        Deployment::build(record, hosts, services, behaviour, DRAIN_MS, false)
    }

    /// Same as `new` with another `drain_ms` in the settings, and with a proxy between
    /// each host and the store.
    pub fn with_proxies(
        record: &Record,
        hosts: &[(&str, usize)],
        services: &[(&str, usize)],
        behaviour: &Behaviour,
        drain_ms: u64,
    ) -> Result<Deployment, String> {
        Deployment::build(record, hosts, services, behaviour, drain_ms, true)
    }

    fn build(
        record: &Record,
        hosts: &[(&str, usize)],
        services: &[(&str, usize)],
        behaviour: &Behaviour,
        drain_ms: u64,
        has_proxies: bool,
    ) -> Result<Deployment, String> {
        let store = Store::start(own_ip(200), record)?;
        let runs = Runs::default();
        let mut leafs = Vec::new();
        for (service, count) in services {
            for _ in 0..*count {
                let index = leafs.len();
                let zone = hosts[index % hosts.len()].0;
                let ip = own_ip(100);
                leafs.push(Leaf::start(ip, index, service, zone, behaviour, &runs, record)?);
            }
        }
        for leaf in &leafs {
            store.put(&format!("servers/{}", leaf.id), &leaf.entry());
        }
        let zones = hosts.iter().flat_map(|(zone, count)| std::iter::repeat_n(*zone, *count));
        let zones: Vec<&str> = zones.collect();
        let seeds: Vec<IpAddr> = (1..=zones.len().min(3) as u8).map(own_ip).collect();
        let mut all = Vec::new();
        let mut proxies = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let mut store_addr = store.addr;
            if has_proxies {
                let proxy = Proxy::start(own_ip(201), store.addr)?;
                store_addr = proxy.addr;
                proxies.push(proxy);
            }
            all.push(Host::new(&HostSettings {
                name: format!("front-{zone}-{}", index + 1),
                zone: (*zone).to_owned(),
                ip: own_ip(index as u8 + 1),
                seeds: seeds.clone(),
                store: store_addr,
                drain_ms,
            })?);
        }
        Ok(Deployment { store, hosts: all, leafs, proxies, runs })
    }

    /// Starts the hosts and waits until all are in rotation.
    pub fn start(&self, record: &Record) -> Result<Ingress, String> {
        for host in &self.hosts {
            host.start()?;
        }
        let ingress = Ingress::start(self, record);
        let until = Instant::now() + Duration::from_secs(10);
        while !ingress.are_all_ready() {
            if Instant::now() > until {
                return Err("the hosts are not ready after 10 s".to_owned());
            }
            thread::sleep(Duration::from_millis(20));
        }
        // The traffic of a day starts some seconds after the machines.
        thread::sleep(Duration::from_secs(2));
        record.line("all hosts are in rotation");
        Ok(ingress)
    }
}

/// A route to one service, as the wire page shows it.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST_NAME}","prefix":"{prefix}","kind":"{kind}","timeout_ms":5000,"target_latency_ms":800,"priority":2,"service":"{service}","attempts":2}}"#
    )
}

/// A configuration with these routes, and with services that accept 96 connections a
/// leaf.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    configuration_with_warmup(version, routes, services, 0.0)
}

/// Same as `configuration`; cold leafs tolerate so many requests per second, or any
/// number if it is zero.
pub fn configuration_with_warmup(
    version: u64,
    routes: &[String],
    services: &[&str],
    warmup_per_s: f64,
) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|it| {
            format!(
                r#"{{"name":"{it}","health_path":"/healthz","max_conns":96,"proto":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":{warmup_per_s:.1}}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// A loopback address of this process.
fn own_ip(last: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::from([127, 64 | high >> 2, (high & 3) << 6 | low >> 2, (low & 3) << 6 | last & 63])
}
