//! Groups of senders as places to send to, and the share of each target's limits
//! that this host may use.

use std::{rc::Rc, time::Duration};

use base::{DomainName, HashMap, HashSet, ServiceName, TargetName, Time};

use super::{ServiceKey, ServiceKind, TargetKey, Targets, USABLE_CONNECTION_SHARE};
use crate::{
    helpers::choose as choose_helpers,
    peers::Host,
    route::{RouteEntry, Service},
    senders::{OVERLAP, SENDERS_PART, Senders, is_too_wide, least_capacity},
    target::{Lifecycle, TargetReport},
};

/// Requests that a host is expected to work on at a time without delay.
const HOST_SLOTS: u32 = 16;

/// Role of this host where services have senders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SenderRole {
    /// Number of senders; 0 if each host sends itself.
    pub senders: usize,
    pub is_sender: bool,
}

impl<W> Targets<W> {
    /// Chooses senders among `hosts`, and sets for each route whether and to whom
    /// this host, `own`, passes its requests on.
    pub fn update_senders(
        &mut self,
        own: &Host,
        hosts: &[Host],
        routes: &[Rc<RouteEntry>],
        now: Time,
    ) {
        self.wide_services = wide_services(hosts, routes);
        let services: HashSet<ServiceKey> = routes
            .iter()
            .flat_map(|it| it.services.iter().copied())
            .filter(|it| self.needs_senders(*it))
            .collect();
        let domains_of: HashMap<ServiceKey, Vec<DomainName>> =
            services.iter().map(|it| (*it, self.usable_domains(*it))).collect();
        let senders = self.choose_senders(hosts, &domains_of);
        self.sender_role =
            SenderRole { senders: senders.count(), is_sender: senders.contains(own) };
        let mut groups = HashMap::default();
        for entry in routes {
            let group = self.group_of(entry, own, &senders, &domains_of);
            let key = group
                .map(|domains| *groups.entry(domains).or_insert_with_key(|it| self.group_key(it)));
            entry.set_senders(key);
        }
        let helpers = self.group_named("helpers");
        self.helpers = Some(helpers);
        let in_domains = groups.iter().map(|(domains, key)| {
            let hosts = domains.iter().flat_map(|it| senders.of_domain(it));
            (*key, hosts.cloned().collect())
        });
        let in_groups: Vec<(ServiceKey, Vec<Host>)> =
            in_domains.chain([(helpers, choose_helpers(own, hosts))]).collect();
        self.update_groups(&in_groups, own, now);
    }

    /// Returns the group of hosts that requests are passed on to while this host cannot
    /// serve them.
    pub fn helpers(&self) -> Option<ServiceKey> {
        self.helpers
    }

    pub fn sender_role(&self) -> SenderRole {
        self.sender_role
    }

    /// Returns whether the service's targets accept fewer connections than there are
    /// hosts, or queries are too wide for some hosts.
    pub fn needs_senders(&self, service: ServiceKey) -> bool {
        let state = &self.services[service.0];
        let is_known = self.is_host_count_known && state.kind == ServiceKind::Targets;
        let settings = state.settings.as_ref().filter(|_| is_known);
        let is_wide = self.wide_services.contains(&service);
        settings.is_some_and(|it| is_wide || usable_connections(it) < self.hosts as f64)
    }

    /// Returns the part of the limits of the service's targets that this host may
    /// use.
    pub(super) fn limit_share(&self, service: ServiceKey) -> f64 {
        let SenderRole { senders, is_sender } = self.sender_role;
        if senders == 0 || !self.needs_senders(service) {
            return 1.0 / self.hosts as f64;
        }
        if is_sender {
            return SENDERS_PART / (senders as f64 * OVERLAP);
        }
        (1.0 - SENDERS_PART) / self.hosts as f64
    }

    fn choose_senders(
        &self,
        hosts: &[Host],
        domains_of: &HashMap<ServiceKey, Vec<DomainName>>,
    ) -> Senders {
        let domains: HashSet<&DomainName> = domains_of.values().flatten().collect();
        let domains: Vec<DomainName> = domains.into_iter().cloned().collect();
        let settings = domains_of.keys().filter_map(|it| self.services[it.0].settings.as_ref());
        let connections = settings.map(usable_connections).fold(f64::INFINITY, f64::min);
        Senders::choose(hosts, &domains, connections)
    }

    /// Returns the domains whose senders serve the route, or `None` if this host
    /// serves it itself.
    fn group_of(
        &self,
        entry: &RouteEntry,
        own: &Host,
        senders: &Senders,
        domains_of: &HashMap<ServiceKey, Vec<DomainName>>,
    ) -> Option<Vec<DomainName>> {
        let is_usable = |it: &DomainName| {
            let regions = &entry.route.regions;
            let region = self.regions.get(it);
            let is_in_region = regions.is_empty() || region.is_some_and(|it| regions.contains(it));
            is_in_region && !senders.of_domain(it).is_empty()
        };
        let mut counts: HashMap<&DomainName, usize> = HashMap::default();
        let known = entry.services.iter().filter_map(|it| domains_of.get(it));
        let usable = known.flatten().filter(|it| is_usable(it));
        usable.for_each(|it| *counts.entry(it).or_default() += 1);
        let most = counts.values().max().copied()?;
        // A domain with enough targets for an answer, or else with most of them.
        let wanted = entry.min_services().min(most);
        let full = counts.values().filter(|it| **it >= wanted).count();
        let spread = Spread { parts: entry.services.len(), full, lacking: counts.len() - full };
        let is_chosen = |it: &DomainName, count: usize| {
            count >= wanted || *it == own.domain && spread.serves_own_callers(count)
        };
        let mut domains: Vec<DomainName> = counts
            .into_iter()
            .filter(|(it, count)| is_chosen(it, *count))
            .map(|(it, _)| it.clone())
            .collect();
        let serves_itself = domains.contains(&own.domain) && senders.contains(own);
        if serves_itself || domains.is_empty() {
            return None;
        }
        domains.sort_unstable();
        Some(domains)
    }

    /// Returns the domains in which the service has targets for new work.
    fn usable_domains(&self, service: ServiceKey) -> Vec<DomainName> {
        let targets = self.services[service.0].targets.iter();
        let known = targets.filter_map(|it| self.targets.get(it));
        let usable = known.filter(|it| {
            let is_evacuated = self.evacuated.contains(&it.report.domain);
            !it.is_gone() && it.leaving_since().is_none() && !is_evacuated
        });
        let domains: HashSet<&DomainName> = usable.map(|it| &it.report.domain).collect();
        domains.into_iter().cloned().collect()
    }

    fn group_key(&mut self, domains: &[DomainName]) -> ServiceKey {
        let names: Vec<&str> = domains.iter().map(DomainName::as_str).collect();
        self.group_named(&format!("senders in {}", names.join(" ")))
    }

    fn group_named(&mut self, name: &str) -> ServiceKey {
        let key = self.service(&ServiceName::new(name));
        let state = &mut self.services[key.0];
        state.kind = ServiceKind::Hosts;
        state.settings.get_or_insert_with(|| Service {
            health_path: "".into(),
            max_connections: u32::MAX,
            warmup: Duration::ZERO,
            warmup_rate: None,
        });
        key
    }

    /// Makes the hosts of each group its targets. Groups that no route uses any more
    /// lose theirs.
    fn update_groups(&mut self, groups: &[(ServiceKey, Vec<Host>)], own: &Host, now: Time) {
        let mut wanted: HashSet<TargetName> = HashSet::default();
        for (key, hosts) in groups {
            for host in hosts.iter().filter(|it| it.address != own.address) {
                let report = host_report(host, self.services[key.0].name.clone());
                wanted.insert(report.name.clone());
                self.apply_report(report, now);
            }
        }
        let is_over = |name: &TargetName, key| self.is_host(key) && !wanted.contains(name);
        let known = self.target_keys.iter();
        let over: Vec<TargetKey> =
            known.filter(|(name, key)| is_over(name, **key)).map(|(_, key)| *key).collect();
        over.into_iter().for_each(|it| self.retire(it));
    }
}

/// How the callers of a route are spread over domains.
#[derive(Clone, Copy, Debug)]
struct Spread {
    /// Parts of a request.
    parts: usize,
    /// Domains with targets for enough parts.
    full: usize,
    /// Domains with targets for fewer.
    lacking: usize,
}

impl Spread {
    /// Returns whether a domain with targets for `count` parts serves its own callers, with
    /// the other parts from other domains, rather than pass their requests on as a whole.
    ///
    /// The missing parts run in other domains either way, so they are compared as messages
    /// that cross: one for each part against one for the whole. A request that is passed on
    /// also moves the parts that the domain could run itself. These count by the load that
    /// they add to each of the full domains, if all domains that lack targets do the same.
    fn serves_own_callers(&self, count: usize) -> bool {
        let crossing = self.parts - count.min(self.parts);
        let moved = count as f64 * self.lacking as f64 / self.full.max(1) as f64;
        crossing as f64 <= 1.0 + moved
    }
}

/// Returns the services of queries that are too wide for the weakest host, while others
/// are stronger.
fn wide_services(hosts: &[Host], routes: &[Rc<RouteEntry>]) -> HashSet<ServiceKey> {
    let Some(least) = least_capacity(hosts) else { return HashSet::default() };
    let is_wide = |it: &&Rc<RouteEntry>| is_too_wide(it.parts(), least, it.route.objective);
    routes.iter().filter(is_wide).flat_map(|it| it.services.iter().copied()).collect()
}

fn usable_connections(settings: &Service) -> f64 {
    f64::from(settings.max_connections) * USABLE_CONNECTION_SHARE
}

fn host_report(host: &Host, service: ServiceName) -> TargetReport {
    TargetReport {
        name: TargetName::new(&format!("{} ({service})", host.address)),
        born: None,
        sequence: 0,
        service,
        address: host.address,
        domain: host.domain.clone(),
        slots: HOST_SLOTS,
        lifecycle: Lifecycle::Ready,
        cold_for: Duration::ZERO,
    }
}
