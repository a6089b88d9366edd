//! Detection of unresponsive targets, and of domains whose targets fell silent
//! together.

use std::time::Duration;

use base::{DomainName, HashMap, HashSet, Time};

use super::{PlacementRequest, ServiceKey, TargetKey, Targets};
use crate::target::Target;

/// A target is unresponsive, and no longer waited for, if it is silent for longer
/// than this time and than this multiple of the expected latency. Targets that are
/// merely slow answer earlier.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(500);
const UNRESPONSIVE_RATIO: f64 = 8.0;

/// Minimum number of silent targets in a silent domain.
const MIN_SILENT_TARGETS: usize = 3;

/// A domain from which an answer came within this time is not silent.
const DOMAIN_SILENT_AFTER: Duration = Duration::from_millis(400);

/// Records the time of an answer from `domain`.
pub(super) fn record_answer(
    answers: &mut HashMap<DomainName, Time>,
    domain: &DomainName,
    now: Time,
) {
    match answers.get_mut(domain) {
        Some(at) => *at = now,
        None => {
            answers.insert(domain.clone(), now);
        }
    }
}

impl<W> Targets<W> {
    /// Returns the domains, other than this host's own, in which several targets are
    /// silent and none answered lately.
    pub fn silent_domains(&self, now: Time) -> HashSet<DomainName> {
        let mut silent: HashMap<&DomainName, usize> = HashMap::default();
        for target in self.targets.values() {
            if target.report.domain != self.home && self.is_silent(target, now) {
                *silent.entry(&target.report.domain).or_default() += 1;
            }
        }
        let has_no_answers = |domain: &DomainName| {
            let last = self.domain_answers.get(domain);
            last.is_none_or(|at| now.since(*at) > DOMAIN_SILENT_AFTER)
        };
        let silent_domains =
            silent.iter().filter(|(it, count)| **count >= MIN_SILENT_TARGETS && has_no_answers(it));
        silent_domains.map(|(domain, _)| (*domain).clone()).collect()
    }

    /// Returns whether `req` has an allowed target outside of the `partitioned`
    /// domains that is not unresponsive.
    pub fn has_responsive_target(
        &self,
        req: &PlacementRequest<'_>,
        partitioned: &HashSet<DomainName>,
        now: Time,
    ) -> bool {
        self.has_target_where(req, partitioned, now, |it| !is_unresponsive(it, now))
    }

    /// Returns whether `req` has an allowed target outside of the `partitioned`
    /// domains that is not down. A silent one counts, as it may be working on a
    /// long request.
    pub fn has_reachable_target(
        &self,
        req: &PlacementRequest<'_>,
        partitioned: &HashSet<DomainName>,
        now: Time,
    ) -> bool {
        self.has_target_where(req, partitioned, now, |it| !it.is_down())
    }

    /// Returns whether `req` has an allowed target outside of the `partitioned`
    /// domains, in whatever state.
    pub fn has_allowed_target(
        &self,
        req: &PlacementRequest<'_>,
        partitioned: &HashSet<DomainName>,
        now: Time,
    ) -> bool {
        self.has_target_where(req, partitioned, now, |_| true)
    }

    fn has_target_where(
        &self,
        req: &PlacementRequest<'_>,
        partitioned: &HashSet<DomainName>,
        now: Time,
        is_usable: impl Fn(&Target) -> bool,
    ) -> bool {
        let targets = &self.services[req.service.0].targets;
        let known = targets.iter().filter_map(|key| self.targets.get(key));
        let mut allowed = known.filter(|it| self.is_allowed(it, req.regions, now));
        allowed.any(|it| !partitioned.contains(&it.report.domain) && is_usable(it))
    }

    /// Returns whether a send to the target need not be waited for. True for a target
    /// that was removed.
    pub fn is_unresponsive(&self, target: TargetKey, now: Time) -> bool {
        self.targets.get(&target).is_none_or(|it| is_unresponsive(it, now))
    }

    pub fn service_of(&self, target: TargetKey) -> Option<ServiceKey> {
        let target = self.targets.get(&target)?;
        self.service_keys.get(&target.report.service).copied()
    }
}

pub(super) fn is_unresponsive(target: &Target, now: Time) -> bool {
    target.is_down()
        || target.silence_ratio(now) > UNRESPONSIVE_RATIO
            && target.silent_for(now) > UNRESPONSIVE_AFTER
}
