//! Whether a host is late to get a configuration that other hosts have. That shows whatever
//! keeps its own origin from telling it.
//!
//! Load pattern answered: an origin that is silent, late or behind while it still counts as
//! followed, so that callers are served by an old configuration; and requests that are
//! passed on to hosts with a later version, after which callers must not see the old one.

use std::time::Duration;

use base::Time;

/// Part of the time within which each host is to have a new version that it may be heard of
/// from others before a host is late. The rest is for hearing of it and for asking.
const LATE_SHARE: f64 = 0.25;

/// What a host knows of versions later than its own.
#[derive(Debug)]
pub struct VersionLag {
    /// Time after which a host is late.
    limit: Duration,
    /// The first later version that was heard of, and when that was.
    later: Option<(u64, Time)>,
    /// Latest version by which another host handled a request of a caller of this one.
    shown: u64,
    own: u64,
}

impl VersionLag {
    /// `bound` is the time within which each host is to have a new version.
    pub fn new(bound: Duration) -> VersionLag {
        VersionLag { limit: bound.mul_f64(LATE_SHARE), later: None, shown: 0, own: 0 }
    }

    /// Records the own version and the `newest` one of other hosts.
    pub fn record(&mut self, own: u64, newest: u64, now: Time) {
        self.own = own;
        self.later = self.later.filter(|(version, _)| *version > own);
        if self.later.is_none() && newest > own {
            self.later = Some((newest, now));
        }
    }

    /// Records that another host handled a caller's request by that version. The caller has
    /// seen it, so this host is late from now on.
    pub fn record_shown(&mut self, version: u64) {
        self.shown = self.shown.max(version);
    }

    /// Returns whether a later version was shown to a caller, or heard of so long ago that it
    /// should be here.
    pub fn is_late(&self, now: Time) -> bool {
        let is_overdue = self.later.is_some_and(|(_, since)| now.since(since) >= self.limit);
        self.shown > self.own || is_overdue
    }
}
