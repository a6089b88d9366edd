//! Checks of reach: connections without a request, by which a host learns whether it
//! reaches any target.
//!
//! Load pattern answered: a host with few requests or none that is cut off from all
//! targets, by links that drop what is sent. Its own requests would tell it so only
//! once several of them hang. So a host without a sign of any target for some time
//! opens a connection to one of them and, if that is not made, to several in different
//! domains. It begins with several if sends are overdue or targets are down, as these may
//! be in trouble themselves. A target that hangs accepts connections all the same, so it
//! is not taken for a cut. A host with many requests has a sign of a target at any time,
//! and checks nothing.

use std::time::Duration;

use base::Time;

use super::{
    ServiceKey, ServiceKind, Target, TargetKey, Targets,
    reach::{Reach, SILENT_FOR},
};
use crate::helpers::spread_over_domains;

/// Time without a sign of any target after which a host checks its reach, and the same for one
/// that passes its requests on. That one has to know in case it becomes a sender.
const CHECK_AFTER: Duration = Duration::from_secs(1);
const CHECK_AFTER_IF_PASSING_ON: Duration = Duration::from_secs(2);

/// Time in which a connection is made if the target is in reach, in any region.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// Targets of a first check, and of the wide one after it, so that some targets that are lost
/// themselves do not decide it.
const FIRST_CHECK_TARGETS: usize = 1;
const WIDE_CHECK_TARGETS: usize = 8;

/// Time between two checks of a host that lost its targets, and targets of one: of its own
/// domain and of another.
const LOST_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const LOST_CHECK_TARGETS: usize = 2;

/// A check of reach, which the first sign of a target ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReachCheck {
    at: Time,
    is_wide: bool,
}

impl ReachCheck {
    fn is_over(self, now: Time) -> bool {
        now.since(self.at) >= CONNECT_TIME
    }

    /// Returns whether none of several targets was reached.
    pub(super) fn is_unanswered(self, now: Time) -> bool {
        self.is_wide && self.is_over(now)
    }
}

/// When a check begins, and with how many targets.
#[derive(Clone, Copy, Debug)]
struct CheckPlan {
    /// Time without a sign of any target.
    after: Duration,
    targets: usize,
}

impl Reach {
    /// Returns the number of targets to connect to now; 0 if no check is due.
    fn due_targets(&mut self, plan: CheckPlan, now: Time) -> usize {
        if self.is_lost {
            let is_due = self.check.is_none_or(|it| now.since(it.at) >= LOST_CHECK_INTERVAL);
            return if is_due { LOST_CHECK_TARGETS } else { 0 };
        }
        if !self.is_sign_overdue(plan.after, now) {
            return 0;
        }
        match self.check {
            None => plan.targets,
            Some(check) if check.is_wide => 0,
            Some(check) if check.is_over(now) => WIDE_CHECK_TARGETS,
            Some(_) if plan.targets == WIDE_CHECK_TARGETS => WIDE_CHECK_TARGETS,
            Some(_) => 0,
        }
    }
}

impl<W> Targets<W> {
    /// Returns the targets to which a connection is to be opened now, to learn whether any
    /// is in reach. The connections are closed once they are made.
    pub fn due_reach_checks(&mut self, now: Time) -> Vec<TargetKey> {
        if self.reach.has_sign_within(SILENT_FOR, now) {
            return Vec::new();
        }
        if self.used_targets().next().is_none() {
            self.reach.check = None;
            return Vec::new();
        }
        let count = self.reach.due_targets(self.check_plan(now), now);
        if count == 0 {
            return Vec::new();
        }
        self.reach.check = Some(ReachCheck { at: now, is_wide: count == WIDE_CHECK_TARGETS });
        let targets = self.targets_to_check(count);
        self.last_checked = targets.last().copied();
        targets
    }

    /// Returns whether a check found that no target answers this host.
    pub fn is_loss_found_by_check(&self) -> bool {
        self.reach.is_lost && self.reach.check.is_some_and(|it| it.is_wide)
    }

    fn check_plan(&self, now: Time) -> CheckPlan {
        if self.has_overdue_send(now) || self.are_targets_silent(now) {
            return CheckPlan { after: SILENT_FOR, targets: WIDE_CHECK_TARGETS };
        }
        let after = if self.sends_itself() { CHECK_AFTER } else { CHECK_AFTER_IF_PASSING_ON };
        CheckPlan { after, targets: FIRST_CHECK_TARGETS }
    }

    /// Returns whether this host sends requests to the targets of any service.
    fn sends_itself(&self) -> bool {
        let has_targets = |it: &ServiceKey| {
            let state = &self.services[it.0];
            state.kind == ServiceKind::Targets && !state.targets.is_empty()
        };
        let mut services = (0..self.services.len()).map(ServiceKey).filter(has_targets);
        services.any(|it| self.sender_role.is_sender || !self.needs_senders(it))
    }

    /// Returns up to `count` targets in turn, each from another domain if there are as
    /// many. Targets of the own domain come first, those that are down last.
    fn targets_to_check(&self, count: usize) -> Vec<TargetKey> {
        let mut known: Vec<(TargetKey, &Target)> = self.used_targets().collect();
        known.sort_unstable_by_key(|(key, it)| {
            let (is_away, had_its_turn) =
                (it.report.domain != self.home, Some(*key) <= self.last_checked);
            (is_away, had_its_turn, *key)
        });
        let mut known = spread_over_domains(known, |(_, it)| &it.report.domain);
        known.sort_by_key(|(_, it)| it.is_down());
        known.into_iter().take(count).map(|(key, _)| key).collect()
    }
}
