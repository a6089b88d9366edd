//! What can be reached at all: targets without hope, and whole domains whose
//! targets fell silent together.

use std::time::Duration;

use base::{DomainName, HashMap, HashSet, Time};

use super::{PlacementRequest, ServiceKey, TargetKey, Targets};
use crate::target::Target;

/// A target that was silent for this long, and by this factor longer than an
/// answer takes, is not waited for any more. Targets that are merely slow answer earlier.
const HOPELESS_AGE: Duration = Duration::from_millis(500);
const HOPELESS_RATIO: f64 = 8.0;

/// Targets of a domain that must be silent at once.
const MIN_SILENT: usize = 3;

/// A domain from which something came in this time is not silent.
const SILENT_FOR: Duration = Duration::from_millis(400);

pub(super) fn note_answer(answers: &mut HashMap<DomainName, Time>, domain: &DomainName, now: Time) {
    match answers.get_mut(domain) {
        Some(at) => *at = now,
        None => {
            answers.insert(domain.clone(), now);
        }
    }
}

impl<W> Targets<W> {
    /// Domains beside this host's own several of whose targets are silent and
    /// none of whose answers lately.
    pub fn silent_domains(&self, now: Time) -> HashSet<DomainName> {
        let mut silent: HashMap<&DomainName, usize> = HashMap::default();
        for target in self.targets.values() {
            if target.report.domain != self.home && self.is_silent(target, now) {
                *silent.entry(&target.report.domain).or_default() += 1;
            }
        }
        let is_quiet = |domain: &DomainName| {
            let last = self.domain_answers.get(domain);
            last.is_none_or(|at| now.since(*at) > SILENT_FOR)
        };
        let dark = silent.iter().filter(|(it, count)| **count >= MIN_SILENT && is_quiet(it));
        dark.map(|(domain, _)| (*domain).clone()).collect()
    }

    /// Whether a shard's part can be hoped for, with the domains in `cut_off`
    /// out of reach.
    pub fn has_responsive_target(
        &self,
        ask: &PlacementRequest<'_>,
        cut_off: &HashSet<DomainName>,
        now: Time,
    ) -> bool {
        self.has_target(ask, cut_off, now, |it| !is_unresponsive(it, now))
    }

    /// Whether a target can be reached. One that is silent may work on a long
    /// request, so only one that is down cannot.
    pub fn has_reachable_target(
        &self,
        ask: &PlacementRequest<'_>,
        cut_off: &HashSet<DomainName>,
        now: Time,
    ) -> bool {
        self.has_target(ask, cut_off, now, |it| !it.is_down())
    }

    fn has_target(
        &self,
        ask: &PlacementRequest<'_>,
        cut_off: &HashSet<DomainName>,
        now: Time,
        is_good: impl Fn(&Target) -> bool,
    ) -> bool {
        let targets = &self.services[ask.service.0].targets;
        let known = targets.iter().filter_map(|key| self.targets.get(key));
        let mut allowed = known.filter(|it| self.is_allowed(it, ask, now));
        allowed.any(|it| !cut_off.contains(&it.report.domain) && is_good(it))
    }

    /// Whether a send to the target need not be waited for.
    pub fn is_unresponsive(&self, target: TargetKey, now: Time) -> bool {
        self.targets.get(&target).is_none_or(|it| is_unresponsive(it, now))
    }

    pub fn service_of(&self, target: TargetKey) -> Option<ServiceKey> {
        let target = self.targets.get(&target)?;
        self.service_keys.get(&target.report.service).copied()
    }
}

fn is_unresponsive(target: &Target, now: Time) -> bool {
    target.is_down()
        || target.silence_ratio(now) > HOPELESS_RATIO && target.silent_for(now) > HOPELESS_AGE
}
