//! The budget of repeated sends to one service.
//!
//! Load pattern answered: pauses, shedding and lost answers that make many
//! parts late at once. Each host spends in proportion to its own requests, so
//! the ratio holds for the sum without a word between hosts; the fixed slack
//! is divided by the number of hosts.

use std::{collections::VecDeque, time::Duration};

use base::Time;

/// Resolution of the sliding window.
const BUCKET: Duration = Duration::from_millis(500);

/// Share of the stated budget that is spent: arrivals of two hosts' windows
/// do not line up with the window that is judged.
const SPENT_SHARE: f64 = 0.85;

/// What operators state of repeated sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Extra sends for each request.
    pub ratio: f64,
    pub window: Duration,
    /// Extra sends in a window beside the ratio, over all hosts.
    pub slack: f64,
}

/// Counts requests and extra sends of one service over a sliding window.
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
        self.bucket(now, limits).requests += 1;
        self.requests += 1;
    }

    /// Counts an extra send that happened whatever the budget says.
    pub fn note_extra(&mut self, now: Time, limits: &RetryLimits) {
        self.bucket(now, limits).extra += 1;
        self.extra += 1;
    }

    /// Takes one extra send if the budget holds it. `hosts` share the slack.
    pub fn try_take(&mut self, now: Time, limits: &RetryLimits, hosts: usize) -> bool {
        self.bucket(now, limits);
        let slack = limits.slack / hosts.max(1) as f64;
        let allowed = (limits.ratio * f64::from(self.requests) + slack) * SPENT_SHARE;
        if f64::from(self.extra + 1) > allowed {
            return false;
        }
        self.note_extra(now, limits);
        true
    }

    fn bucket(&mut self, now: Time, limits: &RetryLimits) -> &mut Bucket {
        while let Some(first) = self.buckets.front()
            && now.since(first.start) > limits.window + BUCKET
        {
            self.requests -= first.requests;
            self.extra -= first.extra;
            self.buckets.pop_front();
        }
        let is_current = self.buckets.back().is_some_and(|it| now.since(it.start) < BUCKET);
        if !is_current {
            self.buckets.push_back(Bucket { start: now, requests: 0, extra: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
