//! When a refused caller should come back.
//!
//! Load pattern answered: a service all of whose targets are down for a
//! moment, or a queue that drains; callers that come back too early are turned
//! away twice, those that come too late have no time left.

use std::time::Duration;

/// Shortest wait that is worth a new request.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Share of the time left that a caller is asked to wait at most, so that an
/// answer still fits into the rest.
const MAX_SHARE: f64 = 1.0 / 3.0;

/// The wait to tell a caller that has `left` until its deadline, when room is
/// expected in `expected`.
pub fn retry_after(expected: Duration, left: Duration) -> Duration {
    let longest = left.mul_f64(MAX_SHARE);
    expected.max(MIN_WAIT).min(longest)
}
