//! The source of reports, and how hosts hear of it: changes as they come, all
//! of it after a gap, late, or not at all.

use std::time::Duration;

use base::{DomainName, HashMap, HashSet, TargetName, Time};
use forward::{TargetReport, Targets};

use super::{NEWS_DELAY, NEWS_WITHIN, World, hosts::Waiter};

/// Delay of news for a host whose watch is slow.
const LATE_NEWS_DELAY: Duration = Duration::from_millis(1_200);

#[derive(Clone, Debug)]
pub enum Change {
    Listed(TargetReport),
    Unlisted(TargetName),
    Evacuated(HashSet<DomainName>),
}

impl World {
    /// Publishes what was to come at this moment.
    pub fn publish_later(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.later.extract_if(.., |(at, _)| *at <= now).collect();
        for (at, change) in due {
            if !self.is_stale(&change) {
                self.changes.push((at, change));
            }
        }
    }

    /// A target that drains, ended or started anew by now says so itself.
    fn is_stale(&self, change: &Change) -> bool {
        let Change::Listed(report) = change else { return false };
        let target = self.targets.iter().find(|it| it.report.name == report.name);
        target
            .is_some_and(|it| it.leaves_at.is_some() || it.is_over || it.report.born != report.born)
    }

    pub fn take_news(&mut self, host: usize) {
        let now = self.now;
        let it = &mut self.hosts[host];
        if it.lost_until > now {
            return;
        }
        let delay = if it.late_until > now { LATE_NEWS_DELAY } else { NEWS_DELAY };
        let heard = |(at, _): &&(Time, Change)| now.since(*at) >= delay;
        let news: Vec<(Time, Change)> =
            self.changes[it.taken..].iter().take_while(heard).cloned().collect();
        it.taken += news.len();
        self.events += news.len() as u64;
        let is_gap = news.iter().any(|(at, _)| now.since(*at) >= NEWS_WITHIN);
        if is_gap {
            let heard = &self.changes[..it.taken];
            read_whole(&mut it.core, heard, now);
            return;
        }
        for (at, change) in news {
            match change {
                Change::Listed(report) => {
                    let age = now.since(at);
                    it.core.apply_change(aged(report, age), age, now);
                }
                Change::Unlisted(name) => it.core.mark_unlisted(&name, at),
                Change::Evacuated(domains) => it.core.set_evacuated(domains, now),
            }
        }
    }

    /// Whether the host has heard all news that is old enough.
    pub fn is_in_touch(&self, host: usize) -> bool {
        let it = &self.hosts[host];
        let next = self.changes.get(it.taken);
        let is_behind = next.is_some_and(|(at, _)| self.now.since(*at) >= NEWS_WITHIN);
        !is_behind && it.lost_until <= self.now && it.late_until <= self.now
    }
}

/// What the source says at last, as a host reads it after a gap.
fn read_whole(core: &mut Targets<Waiter>, changes: &[(Time, Change)], now: Time) {
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
        core.apply_late_report(aged(report, now.since(at)), now);
    }
    core.retain_listed(&names, now);
    core.set_evacuated(evacuated, now);
}

/// A target tells how much longer it is cold, not for how long it was.
fn aged(report: TargetReport, age: Duration) -> TargetReport {
    let cold_for = report.cold_for.saturating_sub(age);
    TargetReport { cold_for, ..report }
}
