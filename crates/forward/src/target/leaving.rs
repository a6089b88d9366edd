//! Word of a target itself that it leaves, which no report takes back.

use base::Time;

use super::{Lifecycle, Target};

impl Target {
    /// Records that the target itself has said since `since` that it leaves; returns
    /// whether that is new. No later report takes it back.
    pub fn mark_draining(&mut self, since: Time) -> bool {
        let before = std::mem::replace(&mut self.report.lifecycle, Lifecycle::Draining);
        self.leaving_since = Some(self.leaving_since.map_or(since, |it| it.min(since)));
        before != Lifecycle::Draining
    }
}
