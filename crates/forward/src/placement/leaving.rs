//! Targets that say themselves that they leave.
//!
//! Load pattern answered: targets that are emptied while the source still lists them as
//! sound, as it is lost or late. Work moves to others with the first answer that says so,
//! at each host that hears of it, and neither a list, a lapse nor a long gap takes it
//! back. Another incarnation of the same name, or at the same address, is not affected.

use std::time::Duration;

use base::{HashMap, TargetName, Time};

use super::{ServiceKey, TargetKey, Targets};
use crate::target::{LeavingTarget, Lifecycle, Target};

/// Time for which it is remembered that an incarnation leaves. It has ended by then.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Limit of incarnations that are remembered.
const MAX_REMEMBERED: usize = 4_096;

/// Time for which other hosts are told of an incarnation, and limit of those in one digest.
const SHARED_FOR: Duration = Duration::from_secs(20);
const MAX_SHARED: usize = 16;

/// The incarnations that said that they leave, whether or not their targets are known.
#[derive(Debug)]
#[derive(Default)]
pub(super) struct LeavingTargets {
    /// The latest such incarnation of each name.
    known: HashMap<TargetName, Leave>,
    /// Index of the next one to tell other hosts of, before wrapping.
    next_shared: usize,
}

#[derive(Clone, Copy, Debug)]
struct Leave {
    born: Option<u64>,
    since: Time,
}

impl LeavingTargets {
    /// Records that an incarnation has been leaving since `since`; returns whether that is
    /// new.
    fn record(&mut self, name: &TargetName, born: Option<u64>, since: Time) -> bool {
        if let Some(known) = self.known.get_mut(name) {
            if is_same(known.born, born) {
                *known = Leave { born: known.born.or(born), since: known.since.min(since) };
                return false;
            }
            if known.born > born {
                return false;
            }
        } else if self.known.len() >= MAX_REMEMBERED {
            self.forget_earliest();
        }
        self.known.insert(name.clone(), Leave { born, since });
        true
    }

    /// Returns since when the incarnation has been leaving, if it said so.
    pub(super) fn since(&self, name: &TargetName, born: Option<u64>) -> Option<Time> {
        self.known.get(name).filter(|it| is_same(it.born, born)).map(|it| it.since)
    }

    /// Forgets an incarnation without a start time, as another one has its name.
    pub(super) fn forget_unborn(&mut self, name: &TargetName) {
        if self.known.get(name).is_some_and(|it| it.born.is_none()) {
            self.known.remove(name);
        }
    }

    /// Returns some of those that said so lately, in turn.
    fn next_shared(&mut self, now: Time) -> Vec<LeavingTarget> {
        let recent = self.known.iter().filter(|(_, it)| now.since(it.since) < SHARED_FOR);
        let mut recent: Vec<LeavingTarget> = recent
            .map(|(name, it)| LeavingTarget {
                name: name.clone(),
                born: it.born,
                age: now.since(it.since),
            })
            .collect();
        recent.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let count = recent.len().min(MAX_SHARED);
        if count > 0 {
            let start = self.next_shared % recent.len();
            recent.rotate_left(start);
        }
        recent.truncate(count);
        self.next_shared = self.next_shared.wrapping_add(count);
        recent
    }

    pub(super) fn remove_expired(&mut self, now: Time) {
        self.known.retain(|_, it| now.since(it.since) < RETENTION);
    }

    fn forget_earliest(&mut self) {
        let earliest = self.known.iter().min_by_key(|(_, it)| it.since);
        if let Some(name) = earliest.map(|(name, _)| name.clone()) {
            self.known.remove(&name);
        }
    }
}

/// Returns whether two entries of the same name are of one incarnation, as far as they say.
fn is_same(one: Option<u64>, other: Option<u64>) -> bool {
    one.is_none() || other.is_none() || one == other
}

impl<W> Targets<W> {
    /// Records that an answer of the target says that it leaves; returns whether that is
    /// new.
    pub fn record_leaving(&mut self, target: TargetKey, now: Time) -> bool {
        let Some(it) = self.targets.get_mut(&target) else { return false };
        let is_new = it.mark_draining(now);
        let (name, born) = (it.report.name.clone(), it.report.born);
        self.leaving.record(&name, born, now);
        // Its entry may have changed since the request was sent.
        self.mark_known(&name, born, now);
        is_new
    }

    /// Records that another host says that a target leaves; returns whether that is new.
    pub fn learn_leaving(&mut self, leaving: &LeavingTarget, now: Time) -> bool {
        let LeavingTarget { name, born, age } = leaving;
        let since = now.ago(*age);
        let is_new = self.leaving.record(name, *born, since);
        self.mark_known(name, *born, since);
        is_new
    }

    /// Marks the incarnation as leaving if it is the one that is known by its name.
    fn mark_known(&mut self, name: &TargetName, born: Option<u64>, since: Time) {
        let key = self.target_keys.get(name).filter(|it| !self.is_host(**it));
        let target = key.copied().and_then(|it| self.targets.get_mut(&it));
        if let Some(target) = target.filter(|it| is_same(it.report.born, born)) {
            target.mark_draining(since);
        }
    }

    /// Returns what to tell other hosts of targets that said lately that they leave: some of
    /// them, in turn.
    pub fn next_shared_leaving(&mut self, now: Time) -> Vec<LeavingTarget> {
        self.leaving.next_shared(now)
    }

    /// Returns the targets of the services that leave or are no longer listed, with the time
    /// for which they have done so.
    pub fn leaving(
        &self,
        services: &[ServiceKey],
        now: Time,
    ) -> impl Iterator<Item = (&TargetName, Duration)> {
        let keys = services.iter().flat_map(|it| &self.services[it.0].targets);
        let known = keys.filter_map(|it| self.targets.get(it));
        known.filter_map(move |it| Some((&it.report.name, now.since(it.leaving_since()?))))
    }

    /// Returns the number of targets that leave, by their entries or by their own word.
    pub fn leaving_count(&self) -> usize {
        let draining = |it: &Target| it.report.lifecycle == Lifecycle::Draining;
        self.used_targets().filter(|(_, it)| draining(it)).count()
    }

    /// Returns what to tell other hosts of a target that said that it leaves.
    pub fn stated_leaving(&self, target: TargetKey, now: Time) -> Option<LeavingTarget> {
        let report = &self.targets.get(&target)?.report;
        let since = self.leaving.since(&report.name, report.born)?;
        Some(LeavingTarget { name: report.name.clone(), born: report.born, age: now.since(since) })
    }
}
