//! Updates of targets, services and evacuated domains, and the queues of services.

use std::time::Duration;

use base::{DomainName, HashSet, ServiceName, TargetName, Time};

use super::{Queue, ServiceKey, ServiceKind, ServiceState, TargetKey, Targets, Waiting};
use crate::{
    route::{Configuration, Service},
    target::{Target, TargetReport},
};

/// Limit of the targets returned by one call of `due_first_connections`.
const MAX_FIRST_CONNECTIONS: usize = 4;

impl<W> Targets<W> {
    /// Applies the services' settings of a configuration.
    pub fn configure(&mut self, cfg: &Configuration) {
        for (name, settings) in &cfg.services {
            self.set_service(name, settings);
        }
    }

    fn set_service(&mut self, name: &ServiceName, settings: &Service) {
        let key = self.service(name);
        self.services[key.0].settings = Some(settings.clone());
    }

    /// Applies a target's report. One with a newer incarnation, another address or
    /// another service replaces the target and all its state.
    pub fn apply_report(&mut self, report: TargetReport, now: Time) -> TargetKey {
        let known = self.target_keys.get(&report.name).copied();
        if let Some(key) = known
            && let Some(target) = self.targets.get_mut(&key)
        {
            match compare(&target.report, &report) {
                Relation::Older => {
                    target.learn_from_earlier(&report, now);
                    return key;
                }
                Relation::Same => {
                    target.update_report(report, now);
                    return key;
                }
                Relation::Replaced => {}
            }
        }
        if let Some(old) = known {
            self.retire(old);
            self.leaving.forget_unborn(&report.name);
        }
        self.add(report, now)
    }

    /// Applies a report of a change that was made up to `age` ago. If the change is
    /// that the target drains, the target counts as leaving since then.
    pub fn apply_change(&mut self, report: TargetReport, age: Duration, now: Time) -> TargetKey {
        let was_leaving = self.is_leaving(&report.name);
        let key = self.apply_report(report, now);
        if let Some(target) = self.targets.get_mut(&key).filter(|_| !was_leaving) {
            target.backdate_leaving(now.ago(age));
        }
        key
    }

    /// Records that the platform no longer lists the target, since `since` at the
    /// latest. An entry that lapsed during an outage of the platform comes back, so
    /// the target stays for a while as a fallback.
    pub fn mark_unlisted(&mut self, name: &TargetName, since: Time) {
        let key = self.target_keys.get(name);
        if let Some(target) = key.and_then(|it| self.targets.get_mut(it)) {
            target.mark_unlisted(since);
        }
    }

    /// Removes targets that have been leaving or unlisted for more than four times
    /// `leaving_for`. One with sends in flight gets no more and is removed when the
    /// last of them ends.
    pub fn remove_unlisted(&mut self, now: Time) {
        self.leaving.remove_expired(now);
        let limit = self.limits.leaving_for;
        let is_over = |it: &Target| it.leaving_since().is_some_and(|at| now.since(at) > limit * 4);
        let over: Vec<TargetKey> =
            self.targets.iter().filter(|(_, it)| is_over(it)).map(|(key, _)| *key).collect();
        for key in over {
            if let Some(target) = self.targets.get_mut(&key) {
                target.mark_expired();
            }
            self.remove_if_unused(key);
        }
    }

    /// Marks all targets whose names are not in `listed` as unlisted since `since`, or
    /// from now on if their entries seem to have lapsed.
    pub fn retain_listed(&mut self, listed: &HashSet<TargetName>, since: Time, now: Time) {
        let listed_now = self.listed().map(|it| &it.report.name);
        let missing: Vec<TargetName> =
            listed_now.filter(|it| !listed.contains(*it)).cloned().collect();
        let since = if self.is_lapse(missing.len()) { now } else { since };
        for name in missing {
            self.mark_unlisted(&name, since);
        }
    }

    /// Returns whether the removal of so many targets at once means that their entries
    /// lapsed, as more than half of the listed ones are gone. Those that are alive will
    /// be back soon.
    pub fn is_lapse(&self, removed: usize) -> bool {
        removed > 0 && removed * 2 > self.listed().count()
    }

    /// Sets the domains whose targets get no requests. Targets of a domain that
    /// returns may have turned cold meanwhile, so they count as cold.
    pub fn set_evacuated(&mut self, domains: HashSet<DomainName>, now: Time) {
        let before = std::mem::replace(&mut self.evacuated, domains);
        let is_back = |domain: &DomainName| before.contains(domain);
        let keys: Vec<TargetKey> = self.targets.keys().copied().collect();
        for key in keys {
            let domain = self.targets.get(&key).map(|it| it.report.domain.clone());
            if domain.is_some_and(|it| is_back(&it) && !self.evacuated.contains(&it)) {
                self.assume_cold(key, now);
            }
        }
    }

    /// Treats the target as cold if its service limits requests to cold targets.
    pub(super) fn assume_cold(&mut self, key: TargetKey, now: Time) {
        let Some(service) = self.service_of(key) else { return };
        let settings = self.services[service.0].settings.as_ref();
        let limited = settings.filter(|it| it.warmup_rate.is_some());
        let Some(warmup) = limited.map(|it| it.warmup) else { return };
        self.record_cold(key, now, warmup);
    }

    pub fn evacuated(&self) -> &HashSet<DomainName> {
        &self.evacuated
    }

    /// Returns the reports of listed targets, with the remaining cold time.
    pub fn listed_reports(&self, now: Time) -> impl Iterator<Item = TargetReport> {
        self.listed().map(move |it| {
            let cold_for = it.cold_until().until(now);
            TargetReport { cold_for, ..it.report.clone() }
        })
    }

    fn listed(&self) -> impl Iterator<Item = &Target> {
        self.used_targets().map(|(_, it)| it).filter(|it| !it.is_unlisted())
    }

    /// Returns the targets that the platform no longer lists, with the time for which
    /// that has been known.
    pub fn unlisted(&self, now: Time) -> impl Iterator<Item = (&TargetName, Duration)> {
        let unlisted = self.used_targets().map(|(_, it)| it).filter(|it| it.is_unlisted());
        unlisted.filter_map(move |it| Some((&it.report.name, now.since(it.leaving_since()?))))
    }

    pub fn target_count(&self) -> usize {
        self.target_keys.values().filter(|it| !self.is_host(**it)).count()
    }

    /// Returns targets to open a first connection to now, a few at a time, so that
    /// the first requests after a start need not wait for one. If this host's share
    /// is a single connection, it is not opened before it is needed.
    pub fn due_first_connections(&mut self, now: Time) -> Vec<TargetKey> {
        let mut due = Vec::new();
        for service in (0..self.services.len()).map(ServiceKey) {
            if self.are_hosts(service) || self.connection_share(service) < 2 {
                continue;
            }
            for key in &self.services[service.0].targets {
                let Some(target) = self.targets.get_mut(key) else { continue };
                let is_leaving = target.is_gone() || target.leaving_since().is_some();
                let is_wanted = !is_leaving && !target.is_cold(now);
                if is_wanted && target.take_first_connection() {
                    due.push(*key);
                }
                if due.len() >= MAX_FIRST_CONNECTIONS {
                    return due;
                }
            }
        }
        due
    }

    /// Returns targets whose health is to be checked now. Used while the source of
    /// reports is lost, to detect targets that turned cold; covers only services
    /// that limit requests to cold targets.
    pub fn due_health_checks(&mut self, now: Time) -> Vec<TargetKey> {
        let has_cold_limit =
            |it: &ServiceState<W>| it.settings.as_ref().is_some_and(|it| it.warmup_rate.is_some());
        let services = self.services.iter().filter(|it| has_cold_limit(it));
        let mut due: Vec<TargetKey> = services.flat_map(|it| it.targets.iter().copied()).collect();
        due.retain(|key| {
            let target = self.targets.get(key);
            let is_due = target
                .is_some_and(|it| !it.is_gone() && !it.is_down() && it.is_health_check_due(now));
            is_due && self.take_limited_health_check(*key, now)
        });
        for key in &due {
            if let Some(target) = self.targets.get_mut(key) {
                target.start_health_check(now);
            }
        }
        due
    }

    /// Returns whether any service limits requests to cold targets.
    pub fn limits_cold_targets(&self) -> bool {
        let mut settings = self.services.iter().filter_map(|it| it.settings.as_ref());
        settings.any(|it| it.warmup_rate.is_some())
    }

    /// Returns the path of the target's health check.
    pub fn health_path(&self, target: TargetKey) -> Option<std::sync::Arc<str>> {
        let service = self.service_of(target)?;
        let settings = self.services[service.0].settings.as_ref()?;
        Some(settings.health_path.clone())
    }

    /// Adds an entry to the service's queue; returns false if the queue is full.
    pub fn enqueue(&mut self, service: ServiceKey, waiting: Waiting<W>) -> bool {
        self.services[service.0].queue.push(waiting).is_ok()
    }

    /// Removes the entries of the service's queue for whose waiter `is_over` returns
    /// true.
    pub fn remove_waiting(&mut self, service: ServiceKey, is_over: impl Fn(&W) -> bool) {
        self.services[service.0].queue.remove_waiting(is_over);
    }

    /// Removes and returns the next waiter of the service's queue, to be placed now.
    /// While stated limits keep all targets from getting a request, there is only one that
    /// waits in vain.
    pub fn pop_waiting(&mut self, service: ServiceKey, now: Time) -> Option<W> {
        if self.is_limited(service, now) {
            return self.pop_paused(service, now);
        }
        self.services[service.0].queue.pop(now).map(|it| it.waiter)
    }

    /// Returns the number of entries in all queues.
    pub fn waiting_count(&self) -> usize {
        self.services.iter().map(|it| it.queue.len()).sum()
    }

    pub fn down_count(&self) -> usize {
        self.targets.values().filter(|it| it.is_down()).count()
    }

    pub fn service_name(&self, service: ServiceKey) -> &ServiceName {
        &self.services[service.0].name
    }

    /// Returns the services whose queues are not empty.
    pub fn services_with_waiting(&self) -> Vec<ServiceKey> {
        let has_waiting = |queue: &Queue<W>| queue.len() > 0;
        let indexes = self.services.iter().enumerate();
        indexes.filter(|(_, it)| has_waiting(&it.queue)).map(|(i, _)| ServiceKey(i)).collect()
    }

    /// Applies a report that was read some time after it was made, at a start or
    /// after a gap. It is then unknown when a draining target began to leave.
    pub fn apply_late_report(&mut self, report: TargetReport, now: Time) -> TargetKey {
        let was_leaving = self.is_leaving(&report.name);
        let key = self.apply_report(report, now);
        if let Some(target) = self.targets.get_mut(&key).filter(|_| !was_leaving) {
            target.mark_leave_time_unknown();
        }
        key
    }

    /// Returns whether the target is a host of this tier.
    pub fn is_host(&self, key: TargetKey) -> bool {
        self.service_of(key).is_some_and(|it| self.are_hosts(it))
    }

    /// Returns whether the service's targets are hosts of this tier.
    pub fn are_hosts(&self, service: ServiceKey) -> bool {
        self.services[service.0].kind == ServiceKind::Hosts
    }

    fn is_leaving(&self, name: &TargetName) -> bool {
        let target = self.target_keys.get(name).and_then(|key| self.targets.get(key));
        target.is_some_and(|it| it.leaving_since().is_some())
    }

    fn add(&mut self, report: TargetReport, now: Time) -> TargetKey {
        self.next_target += 1;
        let key = TargetKey(self.next_target);
        let service = self.service(&report.service);
        self.services[service.0].targets.push(key);
        self.target_keys.insert(report.name.clone(), key);
        let mut target = Target::new(report, now);
        // If its first report says that the target is draining, it is unknown since
        // when.
        target.mark_leave_time_unknown();
        if let Some(since) = self.leaving.since(&target.report.name, target.report.born) {
            target.mark_draining(since);
        }
        if let Some(pause) = self.pauses.of(&target.report, now) {
            target.allowance.keep_pause(pause);
            self.limited.insert(key);
        }
        self.targets.insert(key, target);
        key
    }

    /// Stops the use of a target that was replaced, and removes it once no send is in
    /// flight.
    pub(super) fn retire(&mut self, key: TargetKey) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        target.mark_replaced();
        if self.target_keys.get(&target.report.name) == Some(&key) {
            self.target_keys.remove(&target.report.name);
        }
        self.remove_if_unused(key);
    }

    fn remove_if_unused(&mut self, key: TargetKey) {
        let is_used = self.targets.get(&key).is_some_and(|it| it.sends_in_flight() > 0);
        if !is_used {
            self.remove(key);
        }
    }

    pub(super) fn remove(&mut self, key: TargetKey) {
        let Some(target) = self.targets.remove(&key) else { return };
        if self.target_keys.get(&target.report.name) == Some(&key) {
            self.target_keys.remove(&target.report.name);
        }
        if let Some(service) = self.service_keys.get(&target.report.service) {
            self.services[service.0].targets.retain(|it| *it != key);
        }
    }
}

/// How a new report relates to the known one.
enum Relation {
    /// The new report is of an earlier incarnation, or an earlier report of the same
    /// one.
    Older,
    Same,
    /// The new report is of another incarnation, address or service.
    Replaced,
}

fn compare(known: &TargetReport, new: &TargetReport) -> Relation {
    let is_moved = known.address != new.address || known.service != new.service;
    match (known.born, new.born) {
        (Some(old), Some(born)) if born < old => Relation::Older,
        (Some(old), Some(born)) if born > old => Relation::Replaced,
        (Some(_), Some(_)) if new.sequence < known.sequence => Relation::Older,
        // Sequence numbers start again at a restart.
        (None, None) if new.sequence < known.sequence => Relation::Replaced,
        _ if is_moved => Relation::Replaced,
        _ => Relation::Same,
    }
}
