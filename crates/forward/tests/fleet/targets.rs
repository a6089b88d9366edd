//! Simulated targets and their faults.

use std::{net::SocketAddr, time::Duration};

use base::{HashMap, ServiceName, TargetName, Time};
use forward::{Lifecycle, TargetReport};
use rand::Rng;

use super::{DOMAINS, REUSE_AFTER, SERVICES, WARMUP, World, source::Change};

pub struct Target {
    pub report: TargetReport,
    pub is_up: bool,
    /// Ended permanently; the address may be reused.
    pub is_over: bool,
    /// The target answers nothing until this time.
    pub pauses_until: Time,
    pub cold_until: Time,
    /// Time at which the source accepted that the target leaves.
    pub leaves_at: Option<Time>,
    pub arrivals: Vec<Time>,
    /// Limit of requests per second that the target states, until a time.
    pub stated_limit: Option<(f64, Time)>,
    /// Time at which each host was first told the limit.
    pub told: HashMap<usize, Time>,
    /// Requests of hosts that were told half a second before or earlier.
    pub limited_arrivals: Vec<Time>,
}

impl Target {
    pub fn service(&self) -> usize {
        self.report.service.as_str()[1..].parse().expect("a number")
    }
}

impl World {
    pub fn add_target(&mut self, service: usize, domain: &str) {
        let born = self.next_born;
        self.next_born += 1;
        let cold_for = if self.now == Time::ZERO { Duration::ZERO } else { WARMUP };
        let report = TargetReport {
            name: TargetName::new(&format!("t{born}")),
            born: Some(born),
            sequence: 1,
            service: ServiceName::new(&format!("s{service}")),
            address: self.free_address(born),
            domain: base::DomainName::new(domain),
            slots: 3,
            lifecycle: Lifecycle::Ready,
            cold_for,
        };
        self.publish(report.clone());
        self.targets.push(Target {
            report,
            is_up: true,
            is_over: false,
            pauses_until: Time::ZERO,
            cold_until: self.now + cold_for,
            leaves_at: None,
            arrivals: Vec::new(),
            stated_limit: None,
            told: HashMap::default(),
            limited_arrivals: Vec::new(),
        });
    }

    fn free_address(&mut self, born: u64) -> SocketAddr {
        let now = self.now;
        let free = self.free_addresses.iter().position(|(at, _)| now.since(*at) >= REUSE_AFTER);
        match free {
            Some(index) => self.free_addresses.swap_remove(index).1,
            None => ([10, 1, (born / 250) as u8, (born % 250) as u8], 80).into(),
        }
    }

    /// Drains a target and adds another in its place.
    pub fn drain_and_replace(&mut self, index: usize) {
        if self.targets[index].leaves_at.is_some() || self.targets[index].is_over {
            return;
        }
        let service = self.targets[index].service();
        let mut report = self.targets[index].report.clone();
        report.lifecycle = Lifecycle::Draining;
        report.sequence += 1;
        self.targets[index].leaves_at = Some(self.now);
        let domain = report.domain.clone();
        self.publish(report);
        self.add_target(service, &domain);
    }

    /// Removes a target's entry and lists it again within two seconds.
    pub fn lapse_entry(&mut self, index: usize) {
        let target = &self.targets[index];
        if target.leaves_at.is_some() || target.is_over {
            return;
        }
        let (name, report) = (target.report.name.clone(), target.report.clone());
        self.changes.push((self.now, Change::Unlisted(name)));
        let back = self.now + Duration::from_millis(self.rng.random_range(0..2_000));
        self.scheduled_changes.push((back, Change::Listed(report)));
    }

    /// Restarts a target under the same name, cold.
    pub fn restart(&mut self, index: usize) {
        if self.targets[index].leaves_at.is_some() || self.targets[index].is_over {
            return;
        }
        let born = self.next_born;
        self.next_born += 1;
        let now = self.now;
        let target = &mut self.targets[index];
        target.is_up = true;
        target.stated_limit = None;
        target.cold_until = now + WARMUP;
        target.report = TargetReport {
            born: Some(born),
            sequence: 1,
            cold_for: WARMUP,
            ..target.report.clone()
        };
        let report = target.report.clone();
        self.publish(report);
    }

    /// Ends a target without a report. Its entry expires later, and its address may be
    /// reused by a target of another service.
    pub fn crash_permanently(&mut self, index: usize) {
        let target = &self.targets[index];
        if target.leaves_at.is_some() || target.is_over {
            return;
        }
        let service = target.service();
        let (name, address) = (target.report.name.clone(), target.report.address);
        let domain = target.report.domain.clone();
        self.targets[index].is_up = false;
        self.targets[index].is_over = true;
        self.free_addresses.push((self.now, address));
        let expires = self.now + Duration::from_millis(3_600);
        self.scheduled_changes.push((expires, Change::Unlisted(name)));
        self.add_target(service, &domain);
        let other = (service + 1) % SERVICES;
        let elsewhere = DOMAINS[self.rng.random_range(0..DOMAINS.len())];
        if self.rng.random_bool(0.2) {
            self.add_target(other, elsewhere);
        }
    }

    pub fn evacuate(&mut self) {
        let domain = self.any_domain();
        if self.evacuated.remove(&domain).is_none() {
            self.evacuated.insert(domain, self.now);
        } else {
            self.mark_returned_cold(&domain);
        }
        let domains = self.evacuated_domains();
        self.changes.push((self.now, Change::Evacuated(domains)));
    }

    fn mark_returned_cold(&mut self, domain: &base::DomainName) {
        let now = self.now;
        let of_domain = self.targets.iter_mut().filter(|it| it.report.domain == *domain);
        for it in of_domain.filter(|it| !it.is_over) {
            it.cold_until = now + WARMUP;
            if it.leaves_at.is_none() {
                it.report.sequence += 1;
                let report = TargetReport { cold_for: WARMUP, ..it.report.clone() };
                self.changes.push((now, Change::Listed(report)));
            }
        }
    }
}
