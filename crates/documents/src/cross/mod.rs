//! Checks of documents against each other.
//!
//! References to pools or domains are not checked if the set has no document of
//! that kind at all. This allows services to be checked alone.

use std::net::SocketAddr;

use base::{Finding, Findings, HashSet, Place, TargetName};

use crate::{
    model::{Document, Domain, Located, Pool, Service, Settings},
    reader::{Unique, sorted},
};

/// Returns the findings on documents that are valid alone but not together.
pub fn cross_check(documents: &[Located<Document>]) -> Findings {
    let mut cx = CrossCheck::new(documents);
    for document in documents {
        cx.keys.check(&mut cx.findings, document.value.key(), document.place.clone());
        match &document.value {
            Document::Service(it) => cx.check_service(document, it),
            Document::Pool(it) => cx.check_pool(document, it),
            Document::Domain(_) => (),
        }
    }
    sorted(cx.findings)
}

/// Returns the findings on settings of several hosts that conflict with each
/// other.
pub fn cross_check_settings(settings: &[Located<Settings>]) -> Findings {
    let mut findings = Findings::default();
    let mut hosts = Unique::new("settings", "host");
    let mut addresses = Unique::new("settings", "address");
    for it in settings {
        hosts.check(&mut findings, it.value.host.clone(), it.place_of("host"));
        let Settings { callers, admin, peers, advertise, .. } = it.value;
        for (field, address) in [("callers", callers), ("admin", admin), ("peers", peers)] {
            addresses.check(&mut findings, address, it.place_of(field));
        }
        if advertise != peers {
            addresses.check(&mut findings, advertise, it.place_of("advertise"));
        }
    }
    sorted(findings)
}

struct CrossCheck<'a> {
    pools: HashSet<&'a str>,
    domains: HashSet<&'a str>,
    keys: Unique<String>,
    targets: Unique<TargetName>,
    addresses: Unique<SocketAddr>,
    findings: Findings,
}

impl<'a> CrossCheck<'a> {
    fn new(documents: &'a [Located<Document>]) -> Self {
        let mut pools = HashSet::default();
        let mut domains = HashSet::default();
        for document in documents {
            match &document.value {
                Document::Pool(Pool { name, .. }) => pools.insert(name.as_str()),
                Document::Domain(Domain { name, .. }) => domains.insert(name.as_str()),
                Document::Service(_) => false,
            };
        }
        CrossCheck {
            pools,
            domains,
            keys: Unique::new("documents", "key"),
            targets: Unique::new("targets", "name"),
            addresses: Unique::new("targets", "address"),
            findings: Findings::default(),
        }
    }

    fn check_service(&mut self, document: &Located<Document>, service: &Service) {
        if self.pools.is_empty() || self.pools.contains(service.pool.as_str()) {
            return;
        }
        let message = format!("no document describes the pool {}", service.pool);
        let finding = Finding::new(document.place_of("pool"), message);
        self.findings.push(finding.with_hint("correct the name or add the pool's document"));
    }

    fn check_pool(&mut self, document: &Located<Document>, pool: &Pool) {
        for (i, target) in pool.targets.iter().enumerate() {
            let place = |field: &str| document.place_of(&format!("targets/{i}/{field}"));
            self.targets.check(&mut self.findings, target.name.clone(), place("name"));
            let address = place("address");
            self.addresses.check(&mut self.findings, target.address, address);
            self.check_domain(target.domain.as_str(), place("domain"));
        }
    }

    fn check_domain(&mut self, domain: &str, place: Place) {
        if self.domains.is_empty() || self.domains.contains(domain) {
            return;
        }
        let message = format!("no document describes the domain {domain}");
        let finding = Finding::new(place, message);
        self.findings.push(finding.with_hint("correct the name or add the domain's document"));
    }
}
