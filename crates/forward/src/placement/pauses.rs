//! Pauses that targets asked for, by incarnation.
//!
//! Load pattern answered: a target that turns requests away while its entry changes: it
//! moves to another address or service, or its entry expires and comes back. It is still
//! the same process, which wants no requests, so a pause outlives what is known of the
//! target. A new incarnation has asked for none.

use std::time::Duration;

use base::{HashMap, RegionName, TargetName, Time};

use super::{ServiceKey, TargetKey, Targets, admission::nth_wait, reachability::is_unresponsive};
use crate::target::{Pause, Target, TargetReport};

/// Pauses by the names of targets, each with the report by which its target was known.
#[derive(Debug, Default)]
pub(super) struct AskedPauses {
    by_name: HashMap<TargetName, (TargetReport, Pause)>,
}

impl AskedPauses {
    /// Returns the pause that the incarnation of `report` asked for, if it is not over.
    pub(super) fn of(&self, report: &TargetReport, now: Time) -> Option<Pause> {
        let (known, pause) = self.by_name.get(&report.name)?;
        (report.is_same_incarnation(known) && pause.until(now).is_some()).then_some(*pause)
    }

    /// Records a pause, unless a later incarnation asked for one.
    fn record(&mut self, report: TargetReport, pause: Pause) {
        let known = self.by_name.get(&report.name).map(|(it, _)| it);
        let is_later = |it: &TargetReport| !report.is_same_incarnation(it) && it.born > report.born;
        if known.is_some_and(is_later) {
            return;
        }
        self.by_name.insert(report.name.clone(), (report, pause));
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.by_name.retain(|_, (_, pause)| pause.until(now).is_some());
    }
}

impl<W> Targets<W> {
    /// Records that the target, which turned a request away, asks for no requests for some
    /// time; returns whether that is new.
    pub fn record_pause(&mut self, target: TargetKey, pause: Duration, now: Time) -> bool {
        let Some(it) = self.targets.get_mut(&target) else { return false };
        let is_new = it.allowance.record_pause(pause, self.phase, now);
        self.limited.insert(target);
        let (report, pause) = (it.report.clone(), it.allowance.pause());
        // The entry may have changed since the request was sent.
        let current = self.target_keys.get(&report.name).filter(|it| **it != target);
        if let Some(key) = current
            && let Some(it) = self.targets.get_mut(key)
            && it.report.is_same_incarnation(&report)
        {
            it.allowance.keep_pause(pause);
            self.limited.insert(*key);
        }
        self.pauses.record(report, pause);
        is_new
    }

    /// Returns the time until `min_services` of the services have a target that answers and
    /// is in no pause, if pauses keep them from it now.
    pub fn pause_wait(
        &self,
        services: &[ServiceKey],
        min_services: usize,
        regions: &[RegionName],
        now: Time,
    ) -> Option<Duration> {
        if self.limited.is_empty() {
            return None;
        }
        let wait = |it: &ServiceKey| self.service_pause_wait(*it, regions, now);
        // A service none of whose targets answers may not come back.
        let waits = services.iter().map(|it| wait(it).unwrap_or(Duration::MAX)).collect();
        let wait = nth_wait(waits, min_services);
        (!wait.is_zero() && wait < Duration::MAX).then_some(wait)
    }

    /// Removes and returns a waiter that would be late, as all targets of the service are in
    /// pauses. Its part is to be placed, which then fails.
    pub fn pop_paused(&mut self, service: ServiceKey, now: Time) -> Option<W> {
        let wait = self.pause_wait(&[service], 1, &[], now)?;
        self.services[service.0].queue.pop_late(now + wait).map(|it| it.waiter)
    }

    /// Returns the time until the first target of the service that answers is in no pause;
    /// `None` if none answers.
    fn service_pause_wait(
        &self,
        service: ServiceKey,
        regions: &[RegionName],
        now: Time,
    ) -> Option<Duration> {
        let targets = self.services[service.0].targets.iter();
        let known = targets.filter_map(|it| self.targets.get(it));
        let answering =
            known.filter(|it| self.is_allowed(it, regions, now) && !is_unresponsive(it, now));
        let wait = |it: &Target| {
            it.allowance.pause().until(now).map_or(Duration::ZERO, |at| at.until(now))
        };
        answering.map(wait).min()
    }

    /// Returns the targets of the services that are in a pause, with the time since which
    /// it is asked for, and its end.
    pub fn paused(
        &self,
        services: &[ServiceKey],
        now: Time,
    ) -> impl Iterator<Item = (&TargetName, Time, Time)> {
        let keys = services.iter().flat_map(|it| &self.services[it.0].targets);
        let known = keys.filter_map(|it| self.targets.get(it));
        known.filter_map(move |it| {
            let (since, until) = it.allowance.pause().span(now)?;
            Some((&it.report.name, since, until))
        })
    }

    /// Returns the number of targets that are in a pause.
    pub fn paused_count(&self, now: Time) -> usize {
        self.limited.iter().filter(|it| self.is_paused(**it, now)).count()
    }

    /// Returns whether the target is in a pause that it asked for.
    pub fn is_paused(&self, target: TargetKey, now: Time) -> bool {
        self.targets.get(&target).is_some_and(|it| it.allowance.pause().until(now).is_some())
    }
}
