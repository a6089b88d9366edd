//! The simulated source of reports. Hosts receive its changes one by one, late, as
//! a snapshot after a gap, or not at all.

use std::time::Duration;

use base::{DomainName, HashMap, HashSet, TargetName, Time};
use forward::{TargetReport, Targets};

use super::{MAX_UPDATE_DELAY, UPDATE_DELAY, World, hosts::Waiter};

/// Time from a change until a host with a slow connection to the source receives it.
const SLOW_UPDATE_DELAY: Duration = Duration::from_millis(1_200);

#[derive(Clone, Debug)]
pub enum Change {
    Listed(TargetReport),
    Unlisted(TargetName),
    Evacuated(HashSet<DomainName>),
}

impl World {
    /// Publishes the scheduled changes that are due.
    pub fn publish_scheduled(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.scheduled_changes.extract_if(.., |(at, _)| *at <= now).collect();
        for (at, change) in due {
            if !self.is_stale(&change) {
                self.changes.push((at, change));
            }
        }
    }

    /// Returns whether the target has drained, ended or restarted since the change was
    /// scheduled, which it reports itself.
    fn is_stale(&self, change: &Change) -> bool {
        let Change::Listed(report) = change else { return false };
        let target = self.targets.iter().find(|it| it.report.name == report.name);
        target
            .is_some_and(|it| it.leaves_at.is_some() || it.is_over || it.report.born != report.born)
    }

    pub fn receive_updates(&mut self, host: usize) {
        let now = self.now;
        let it = &mut self.hosts[host];
        if it.source_lost_until > now {
            return;
        }
        let delay = if it.slow_until > now { SLOW_UPDATE_DELAY } else { UPDATE_DELAY };
        let is_received = |(at, _): &&(Time, Change)| now.since(*at) >= delay;
        let updates: Vec<(Time, Change)> =
            self.changes[it.updates_received..].iter().take_while(is_received).cloned().collect();
        it.updates_received += updates.len();
        self.events += updates.len() as u64;
        let is_gap = updates.iter().any(|(at, _)| now.since(*at) >= MAX_UPDATE_DELAY);
        if is_gap {
            let received = &self.changes[..it.updates_received];
            apply_snapshot(&mut it.targets, received, now);
            return;
        }
        for (at, change) in updates {
            match change {
                Change::Listed(report) => {
                    let age = now.since(at);
                    it.targets.apply_change(with_age(report, age), age, now);
                }
                Change::Unlisted(name) => it.targets.mark_unlisted(&name, at),
                Change::Evacuated(domains) => it.targets.set_evacuated(domains, now),
            }
        }
    }

    /// Returns whether the host has received all changes older than
    /// `MAX_UPDATE_DELAY`.
    pub fn is_up_to_date(&self, host: usize) -> bool {
        let it = &self.hosts[host];
        let next = self.changes.get(it.updates_received);
        let is_behind = next.is_some_and(|(at, _)| self.now.since(*at) >= MAX_UPDATE_DELAY);
        !is_behind && it.source_lost_until <= self.now && it.slow_until <= self.now
    }
}

/// Applies the net result of `changes`, as a host reads it after a gap.
fn apply_snapshot(targets: &mut Targets<Waiter>, changes: &[(Time, Change)], now: Time) {
    let mut listed: HashMap<TargetName, (Time, TargetReport)> = HashMap::default();
    let mut evacuated = HashSet::default();
    for (at, change) in changes {
        match change {
            Change::Listed(report) => {
                listed.insert(report.name.clone(), (*at, report.clone()));
            }
            Change::Unlisted(name) => {
                listed.remove(name);
            }
            Change::Evacuated(domains) => evacuated = domains.clone(),
        }
    }
    let names = listed.keys().cloned().collect();
    for (at, report) in listed.into_values() {
        targets.apply_late_report(with_age(report, now.since(at)), now);
    }
    targets.retain_listed(&names, now, now);
    targets.set_evacuated(evacuated, now);
}

/// Shortens the remaining cold time of a report by its age.
fn with_age(report: TargetReport, age: Duration) -> TargetReport {
    let cold_for = report.cold_for.saturating_sub(age);
    TargetReport { cold_for, ..report }
}
