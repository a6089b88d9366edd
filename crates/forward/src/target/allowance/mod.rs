//! When this host may send to a target next, and why not before.
//!
//! Load patterns answered: targets that take less than others for a time. One has just
//! started and is cold; one is in need and states how many requests it takes; one turned
//! a request away and asks for none. A target may be in several of these states at once:
//! each has its own time for the next request, and all of them have to be over.

mod cold;
mod pause;
mod stated_limit;

use std::time::Duration;

use base::Time;

pub use self::pause::MAX_PAUSE;
pub(crate) use self::pause::Pause;
use self::{cold::ColdRate, pause::SPACING, stated_limit::StatedLimit};

/// This host's part of what the target takes from all hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shares {
    /// Requests per second while the target is cold, if these are limited.
    pub cold_per_second: Option<f64>,
    /// Part of a limit that the target states.
    pub stated: f64,
}

/// Why a target gets no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hold {
    /// It is cold, or this host returns to it by degrees: a request may go soon.
    Soon,
    /// It states a limit or asks for a pause.
    Stated,
}

#[derive(Debug)]
pub(crate) struct Allowance {
    cold: ColdRate,
    /// Limit of requests from all hosts, while the target states one.
    limit: Option<StatedLimit>,
    pause: Pause,
}

impl Allowance {
    pub(super) fn new(cold_until: Time, now: Time) -> Allowance {
        Allowance { cold: ColdRate::new(cold_until, now), limit: None, pause: Pause::default() }
    }

    /// Returns why the target gets no request now, while `in_flight` are there. Extra
    /// requests go to no target that states a limit.
    pub(super) fn hold(
        &self,
        shares: &Shares,
        in_flight: usize,
        is_extra: bool,
        now: Time,
    ) -> Option<Hold> {
        let cold = shares.cold_per_second.and_then(|it| self.cold.next_send(it, now));
        let is_returning = self.pause.window(now).is_some_and(|it| in_flight >= it);
        if is_returning || cold.is_some_and(|next| next > now) {
            return Some(Hold::Soon);
        }
        let stated = self.next_stated(shares.stated, now);
        let is_held = stated.is_some_and(|(next, _)| is_extra || next > now);
        is_held.then_some(Hold::Stated)
    }

    /// Returns the time from which this host may send its next request, and the time
    /// between two of them, if the target states a limit or asks for a pause. `share` is
    /// this host's part of the limit.
    pub(crate) fn next_stated(&self, share: f64, now: Time) -> Option<(Time, Duration)> {
        let limit = self.limit.filter(|it| !it.is_over(now));
        let limited = limit.map(|it| it.next_send(share, now));
        match (limited, self.pause.until(now)) {
            (Some((next, spacing)), Some(until)) => Some((next.max(until), spacing)),
            (None, Some(until)) => Some((until, SPACING)),
            (limited, None) => limited,
        }
    }

    /// Counts a request.
    pub(super) fn record_send(&mut self, now: Time) {
        self.cold.record_send(now);
    }

    /// Counts a request against the stated limit, if there is one.
    pub(crate) fn use_limit(&mut self, share: f64, now: Time) {
        if let Some(limit) = &mut self.limit {
            limit.record_send(share, now);
        }
    }

    pub(super) fn cold_until(&self) -> Time {
        self.cold.until()
    }

    pub(super) fn extend_cold(&mut self, until: Time) {
        self.cold.extend(until);
    }

    /// Records that an answer names how many requests per second the target takes from
    /// all hosts. `share` is this host's part of them, `phase` its turn among the
    /// hosts. Returns whether the limit is new.
    pub(crate) fn record_limit(
        &mut self,
        per_second: f64,
        share: f64,
        phase: f64,
        now: Time,
    ) -> bool {
        match &mut self.limit {
            Some(limit) => limit.name(per_second, share, now),
            None => {
                self.limit = Some(StatedLimit::new(per_second, share, phase, now));
                true
            }
        }
    }

    /// Records that the answer to a request that was sent at `sent_at` names no limit;
    /// returns whether one ends.
    pub(super) fn record_no_limit(&mut self, sent_at: Time, now: Time) -> bool {
        self.limit.as_mut().is_some_and(|it| it.end(sent_at, now))
    }

    /// Records that the target asks for no requests for some time; returns whether that
    /// is new. `phase` is this host's turn among the hosts.
    pub(crate) fn record_pause(&mut self, pause: Duration, phase: f64, now: Time) -> bool {
        self.pause.ask(pause, phase, now)
    }

    pub(crate) fn pause(&self) -> Pause {
        self.pause
    }

    /// Keeps a pause that this incarnation asked for when it was known by other reports.
    pub(crate) fn keep_pause(&mut self, pause: Pause) {
        self.pause = self.pause.max(pause);
    }

    /// Forgets a limit that ended long ago; returns whether one is left, or a pause.
    pub(crate) fn expire(&mut self, now: Time) -> bool {
        self.limit = self.limit.filter(|it| !it.is_over(now));
        self.limit.is_some() || self.pause.until(now).is_some()
    }
}
