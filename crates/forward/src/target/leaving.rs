//! Word of a target itself that it leaves, which no report takes back.

use std::time::Duration;

use base::{TargetName, Time};

use super::{Lifecycle, Target, TargetReport};

/// An incarnation of a target that says that it leaves, as hosts tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingTarget {
    pub name: TargetName,
    /// Start time of the incarnation, if it states one.
    pub born: Option<u64>,
    /// Time since an answer first said so.
    pub age: Duration,
}

impl Target {
    /// Learns from an earlier report of the same incarnation, whose target never stops to
    /// drain.
    pub fn learn_from_earlier(&mut self, report: &TargetReport, now: Time) {
        let is_same = self.report.born.is_some() && self.report.born == report.born;
        if is_same && report.lifecycle == Lifecycle::Draining {
            self.mark_draining(now);
        }
    }

    /// Records that the target itself has said since `since` that it leaves; returns
    /// whether that is new. No later report takes it back.
    pub fn mark_draining(&mut self, since: Time) -> bool {
        let before = std::mem::replace(&mut self.report.lifecycle, Lifecycle::Draining);
        self.leaving_since = Some(self.leaving_since.map_or(since, |it| it.min(since)));
        before != Lifecycle::Draining
    }
}
