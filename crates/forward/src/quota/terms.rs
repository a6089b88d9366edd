//! Division of a customer's bound among grants, ledgers and hosts.

use std::time::Duration;

use crate::customers::{CustomerBounds, RateLimit};

/// Parts of the margin, the requests in a window that may exceed the limit. With the share
/// of each host, which a host and its replacement may both use within one window, they add
/// up to one.
const HELD_PART: f64 = 0.25;
const SPARE_PART: f64 = 0.25;
const OWN_PART: f64 = 0.125;

/// Part for ledgers that are replaced while hosts still disagree on the ledger.
const DISAGREEMENT_PART: f64 = 0.25;

/// Least part of the hosts that a ledger has to reach.
const MIN_REACH: f64 = 0.25;

/// Tokens that the ledgers on all sides of a partition give too many together, as each rounds
/// its burst up to one request. With [`MIN_REACH`] there are at most four of them.
const ROUNDED_UP: f64 = 3.0;

/// Bounds on the life of a grant, as divisors of the window. A grant that ends before its
/// reply has arrived is of no use, so it lives for a while also without a margin.
const LONGEST_LIFE: u32 = 5;
const SHORTEST_LIFE: u32 = 50;

/// Shorter windows would make grants void before they are used.
const MIN_WINDOW: Duration = Duration::from_millis(100);

/// What a customer may send, and by how much hosts may miss it together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub limit: RateLimit,
    window: Duration,
    /// Requests in a window beyond the rate and the burst.
    margin: f64,
}

impl Terms {
    pub fn new(limit: RateLimit, bounds: &CustomerBounds) -> Terms {
        let window = bounds.limit_window.max(MIN_WINDOW);
        let allowed = limit.per_second * window.as_secs_f64() + limit.burst;
        let margin = allowed * bounds.limit_tolerance + bounds.limit_slack;
        Terms { limit, window, margin }
    }

    /// Returns the greatest number of requests that may run in one window.
    pub fn bound(&self) -> f64 {
        self.limit.per_second * self.window.as_secs_f64() + self.limit.burst + self.margin
    }

    pub(super) fn window(&self) -> Duration {
        self.window
    }

    /// Returns the time from its request after which a grant is void. Tokens of the time
    /// before a window may be used in it, so they must fit into the margin.
    pub fn grant_life(&self) -> Duration {
        let (shortest, longest) = (self.window / SHORTEST_LIFE, self.window / LONGEST_LIFE);
        let held = self.margin * HELD_PART / self.limit.per_second;
        Duration::try_from_secs_f64(held).unwrap_or(longest).clamp(shortest, longest)
    }

    /// Returns the limit of a ledger that reaches a part of the hosts, `None` if it reaches
    /// too few to grant any. Ledgers on several sides of a partition share the limit.
    pub(super) fn limit_within(&self, reach: f64) -> Option<RateLimit> {
        // Without a customer's burst, one request at a time may still be sent.
        let per_second = self.limit.per_second * reach;
        let burst = self.limit.burst.max(1.0) * reach;
        let may_round_up = reach > 0.5 || self.margin * DISAGREEMENT_PART >= ROUNDED_UP;
        if burst < 1.0 && (reach < MIN_REACH || !may_round_up) {
            return None;
        }
        Some(RateLimit { per_second, burst: burst.max(1.0) })
    }

    /// Returns the limit of a host that stands in for the ledger of a customer while that
    /// one may still be granting tokens to others.
    pub(super) fn spare_limit(&self) -> RateLimit {
        let half = self.margin * SPARE_PART / 2.0;
        let per_second = half / self.window.as_secs_f64();
        RateLimit { per_second, burst: half }
    }

    /// Returns the requests in a window that all hosts together take without a grant.
    pub(super) fn own_total(&self) -> f64 {
        self.margin * OWN_PART
    }
}
