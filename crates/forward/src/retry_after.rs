//! When a refused caller should retry.
//!
//! Load pattern answered: a service all of whose targets are down for a
//! moment, or a queue that empties. Callers that retry too early are refused
//! twice; those that retry too late have no time left.

use std::time::Duration;

/// Shortest wait that is worth a retry.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Largest share of its remaining time that a caller is asked to wait, so that
/// an answer still fits into the rest.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;

/// Returns the wait to state to a caller that has `remaining` until its deadline,
/// when capacity is expected to be free after `expected`.
pub fn retry_after(expected: Duration, remaining: Duration) -> Duration {
    let max_wait = remaining.mul_f64(MAX_WAIT_SHARE);
    expected.max(MIN_WAIT).min(max_wait)
}
