//! Detection that no target answers this host.
//!
//! Load pattern answered: a host that is cut off from all targets, while callers and
//! other hosts still reach it. Its connections hang, are reset, or live on while new
//! ones are refused. Targets that are all in trouble look the same from here; what
//! other hosts say tells them apart. Sends that hang tell a host with many requests;
//! checks ([`super::reach_checks`]) tell one with few.

use std::time::Duration;

use base::Time;

use super::{SILENT_RATIO, SendResult, Target, TargetKey, Targets, reach_checks::ReachCheck};

/// Silent targets that are needed, if there are as many.
const MIN_SILENT_TARGETS: usize = 3;

/// No target answered for so long.
pub(super) const SILENT_FOR: Duration = Duration::from_millis(400);

/// Time for which this must hold: a host that was frozen has answers to read first.
const CONFIRMED_AFTER: Duration = Duration::from_millis(150);

/// Time after which answers count as lost. Other hosts that lost their targets too have
/// told so by then.
const ANSWERS_LOST_AFTER: Duration = Duration::from_millis(1_200);

/// What this host knows of its reach.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reach {
    /// Time of the last sign of any target: an answer, or a connection that was made.
    last_sign: Option<Time>,
    /// Since when a host that starts has waited for its first sign.
    waits_since: Option<Time>,
    /// Since when no target seems to answer.
    silent_since: Option<Time>,
    pub(super) is_lost: bool,
    /// Check in progress, or the last one of a host that lost its targets.
    pub(super) check: Option<ReachCheck>,
}

impl Reach {
    pub(super) fn record_sign(&mut self, now: Time) {
        *self = Reach { last_sign: Some(now), ..Reach::default() };
    }

    /// Returns whether there was a sign of a target within `time`.
    pub(super) fn has_sign_within(&self, time: Duration, now: Time) -> bool {
        self.last_sign.is_some_and(|at| now.since(at) <= time)
    }

    /// Returns whether there was no sign of a target for longer than `time`.
    pub(super) fn is_sign_overdue(&mut self, time: Duration, now: Time) -> bool {
        let waits_since = *self.waits_since.get_or_insert(now);
        now.since(self.last_sign.unwrap_or(waits_since)) > time
    }

    pub(super) fn record_result(&mut self, result: SendResult, now: Time) {
        let is_answer = matches!(
            result,
            SendResult::Answered | SendResult::Shed | SendResult::Failed | SendResult::Misdirected
        );
        if is_answer {
            self.record_sign(now);
        }
    }
}

impl<W> Targets<W> {
    /// Returns whether no target answers this host, as of the last
    /// [`Targets::update_reach`].
    pub fn has_lost_targets(&self) -> bool {
        self.reach.is_lost
    }

    /// Returns whether answers that are still due need not be waited for: no target
    /// has answered this host for some time, and others say that they reach theirs.
    pub fn are_answers_lost(&self, now: Time) -> bool {
        let since = self.reach.silent_since.filter(|_| self.reach.is_lost);
        let has_helpers = self.helpers.is_some_and(|it| !self.services[it.0].targets.is_empty());
        has_helpers && since.is_some_and(|at| now.since(at) >= ANSWERS_LOST_AFTER)
    }

    /// Evaluates whether any target answers this host; returns whether the targets are
    /// lost as of now. The loss ends with the first sign of a target.
    pub fn update_reach(&mut self, now: Time) -> bool {
        if self.reach.is_lost {
            return false;
        }
        let is_unanswered = self.reach.check.is_some_and(|it| it.is_unanswered(now));
        let is_silent = is_unanswered || self.are_targets_silent(now);
        if self.reach.has_sign_within(SILENT_FOR, now) || !is_silent {
            self.reach.silent_since = None;
            return false;
        }
        let since = *self.reach.silent_since.get_or_insert(now);
        if now.since(since) < CONFIRMED_AFTER {
            return false;
        }
        self.reach.is_lost = true;
        // Connections that hang say nothing of the end of the cut; probes do.
        let silent: Vec<TargetKey> = self.silent_targets(now).collect();
        for key in silent {
            if let Some(target) = self.targets.get_mut(&key) {
                target.assume_down(now);
            }
        }
        true
    }

    /// Returns the targets that are silent, of those in use.
    fn silent_targets(&self, now: Time) -> impl Iterator<Item = TargetKey> {
        let silent = self.targets.iter().filter(move |(_, it)| self.is_silent(it, now));
        silent.filter(|(key, it)| self.is_used(**key, it)).map(|(key, _)| *key)
    }

    /// Returns all targets that are neither hosts nor gone.
    pub(super) fn used_targets(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        let all = self.targets.iter().map(|(key, it)| (*key, it));
        all.filter(|(key, it)| self.is_used(*key, it))
    }

    fn is_used(&self, key: TargetKey, target: &Target) -> bool {
        !target.is_gone() && !self.is_host(key)
    }

    /// Returns whether a send to any target is overdue.
    pub(super) fn has_overdue_send(&self, now: Time) -> bool {
        let mut overdue =
            self.targets.iter().filter(|(_, it)| it.silence_ratio(now) > SILENT_RATIO);
        overdue.any(|(key, it)| self.is_used(*key, it))
    }

    /// Returns whether several targets are silent, or all of them.
    pub(super) fn are_targets_silent(&self, now: Time) -> bool {
        let silent = self.silent_targets(now).count();
        silent >= MIN_SILENT_TARGETS || silent > 0 && silent == self.used_targets().count()
    }
}
