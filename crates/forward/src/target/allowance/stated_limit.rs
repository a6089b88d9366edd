//! When this host may send to a target that states how many requests per second it
//! takes from all hosts.
//!
//! Load pattern answered: targets in need, while callers of some hosts ask for more
//! than those of others, and hosts learn of the limit at different times. Each host
//! has an equal share of the limit, whether or not the others know of it yet, and
//! sends at times of its own, one share apart. A time that is not used within a
//! second lapses, so that hosts that had no requests do not send all at once later.
//! Once the limit ends, the rate rises from it by degrees, as all hosts learn of the
//! end together.

use std::time::Duration;

use base::Time;

/// Time after which a time to send lapses.
const LAPSES_AFTER: Duration = Duration::from_secs(1);

/// Time in which the rate doubles after the limit ended, and after which it is
/// unlimited.
const DOUBLES_IN: Duration = Duration::from_secs(1);
const UNLIMITED_AFTER: Duration = Duration::from_secs(5);

/// Requests per second that are sent to a target whose limit is lower, to learn when
/// the limit ends.
const MIN_PER_SECOND: f64 = 0.1;

/// Limits beyond what time can resolve limit nothing.
const MAX_PER_SECOND: f64 = 1e6;
const MIN_SPACING: Duration = Duration::from_micros(1);

#[derive(Clone, Copy, Debug)]
pub(super) struct StatedLimit {
    per_second: f64,
    /// Time of the last answer that named the limit.
    named_at: Time,
    /// Time of the first answer that named none any more.
    ended_at: Option<Time>,
    /// Time from which the next request may be sent.
    next: Time,
}

impl StatedLimit {
    /// Creates the schedule of a host that was just told the limit. Hosts are told at
    /// the same time, so each begins at its own `phase` (0 to 1) of a share.
    pub(super) fn new(per_second: f64, share: f64, phase: f64, now: Time) -> StatedLimit {
        let mut it = StatedLimit { per_second, named_at: now, ended_at: None, next: now };
        it.next = now + it.spacing(share, now).mul_f64(phase);
        it
    }

    /// Records that an answer named a limit; returns whether it is another one.
    pub(super) fn name(&mut self, per_second: f64, share: f64, now: Time) -> bool {
        let before = (self.per_second, self.ended_at);
        (self.per_second, self.named_at, self.ended_at) = (per_second, now, None);
        let is_changed = before != (per_second, None);
        if is_changed {
            // A raised limit brings the next request nearer.
            self.next = self.next.min(now + self.spacing(share, now));
        }
        is_changed
    }

    /// Records that the answer to a request that was sent at `sent_at` named no limit;
    /// returns whether the limit ends. An earlier answer may have been overtaken.
    pub(super) fn end(&mut self, sent_at: Time, now: Time) -> bool {
        let ends = self.ended_at.is_none() && sent_at > self.named_at;
        if ends {
            self.ended_at = Some(now);
        }
        ends
    }

    pub(super) fn is_over(&self, now: Time) -> bool {
        self.ended_at.is_some_and(|at| now.since(at) >= UNLIMITED_AFTER)
    }

    /// Returns the time from which this host may send its next request, and the time
    /// between two of them. `share` is this host's part of the limit.
    pub(super) fn next_send(&self, share: f64, now: Time) -> (Time, Duration) {
        let spacing = self.spacing(share, now);
        let lapsed = now.since(self.next).saturating_sub(LAPSES_AFTER);
        let times = lapsed.as_secs_f64() / spacing.as_secs_f64();
        (self.next + spacing.mul_f64(times.ceil()), spacing)
    }

    /// Records a request. One that is sent before its time delays those after it.
    pub(super) fn record_send(&mut self, share: f64, now: Time) {
        let (next, spacing) = self.next_send(share, now);
        self.next = next + spacing;
    }

    fn spacing(&self, share: f64, now: Time) -> Duration {
        let since_end = self.ended_at.map_or(Duration::ZERO, |at| now.since(at));
        let rise = (since_end.as_secs_f64() / DOUBLES_IN.as_secs_f64()).exp2();
        let per_second = self.per_second.clamp(MIN_PER_SECOND, MAX_PER_SECOND);
        Duration::from_secs_f64(1.0 / (per_second * share * rise)).max(MIN_SPACING)
    }
}
