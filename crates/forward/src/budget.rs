//! The budget for extra sends (retries and hedges) to one service.
//!
//! Load pattern answered: pauses, shedding and lost answers that make many
//! parts late at once. Each host spends in proportion to its own requests, so
//! the ratio holds for the sum without coordination between hosts; the fixed
//! slack is divided by the number of hosts.
//!
//! Hosts that are replaced meanwhile, and whose callers move to others, must not make
//! the sum larger. A host spends for recent requests only: what it saved would be spent
//! in a window in which others have its callers. A host that has just started leaves
//! the slack to the one that it replaces, but for a single extra send.

use std::{collections::VecDeque, time::Duration};

use base::Time;

/// Resolution of the sliding window.
const BUCKET_DURATION: Duration = Duration::from_millis(500);

/// Share of the configured budget that a host spends. The rest allows for the
/// windows of different hosts not lining up with the one that is checked.
const USABLE_SHARE: f64 = 0.85;

/// Part of the window whose requests an extra send is taken from.
const RECENT_PARTS: u32 = 4;

/// Slack of a host in its first window: one extra send, given [`USABLE_SHARE`].
const FIRST_SLACK: f64 = 1.2;

/// Configured limits of extra sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Extra sends allowed per request.
    pub ratio: f64,
    pub window: Duration,
    /// Extra sends allowed in a window beyond the ratio, over all hosts.
    pub slack: f64,
}

impl RetryLimits {
    /// Returns the part of the slack that a host may use in its first window, instead of
    /// `share`.
    pub fn first_slack_share(&self, share: f64) -> f64 {
        share.min(FIRST_SLACK / self.slack)
    }
}

/// Requests and extra sends of one service within a sliding window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
    requests: u32,
    extra: u32,
}

#[derive(Debug)]
struct Bucket {
    start: Time,
    requests: u32,
    extra: u32,
}

impl RetryBudget {
    pub fn record_request(&mut self, now: Time, limits: &RetryLimits) {
        self.current_bucket(now, limits).requests += 1;
        self.requests += 1;
    }

    /// Records an extra send without checking the budget.
    pub fn record_extra_send(&mut self, now: Time, limits: &RetryLimits) {
        self.current_bucket(now, limits).extra += 1;
        self.extra += 1;
    }

    /// Takes one extra send from the budget and returns whether there was one left.
    /// `slack_share` is this host's part of the slack.
    pub fn try_take(&mut self, now: Time, limits: &RetryLimits, slack_share: f64) -> bool {
        self.current_bucket(now, limits);
        let slack = limits.slack * slack_share;
        let is_allowed = |requests: u32, extra: u32| {
            let allowed = (limits.ratio * f64::from(requests) + slack) * USABLE_SHARE;
            f64::from(extra + 1) <= allowed
        };
        let (requests, extra) = self.recent(limits.window / RECENT_PARTS, now);
        if !is_allowed(self.requests, self.extra) || !is_allowed(requests, extra) {
            return false;
        }
        self.record_extra_send(now, limits);
        true
    }

    /// Returns the requests and the extra sends of the last `time`.
    fn recent(&self, time: Duration, now: Time) -> (u32, u32) {
        let buckets = self.buckets.iter().rev();
        let recent = buckets.take_while(|it| now.since(it.start) <= time + BUCKET_DURATION);
        recent.fold((0, 0), |(requests, extra), it| (requests + it.requests, extra + it.extra))
    }

    /// Drops expired buckets and returns the newest, adding one if it is due.
    fn current_bucket(&mut self, now: Time, limits: &RetryLimits) -> &mut Bucket {
        while let Some(first) = self.buckets.front()
            && now.since(first.start) > limits.window + BUCKET_DURATION
        {
            self.requests -= first.requests;
            self.extra -= first.extra;
            self.buckets.pop_front();
        }
        let is_current =
            self.buckets.back().is_some_and(|it| now.since(it.start) < BUCKET_DURATION);
        if !is_current {
            self.buckets.push_back(Bucket { start: now, requests: 0, extra: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
