//! How fast a client sends a body or reads an answer.

use std::time::Duration;

use base::Time;

/// Least pace of a transfer in bytes per second, over the idle timeout. The slowest
/// mobile networks carry several times this.
pub const LEAST_PACE: f64 = 500.0;

/// Least pace of a transfer in bytes per second while memory is short: the largest body
/// that is allowed by default comes in within the default idle timeout.
pub const PRESSED_PACE: f64 = 262_144.0 / 15.0;

/// A transfer is not judged for so long, as its first bytes may still be on the way.
pub const NEW_FOR: Duration = Duration::from_millis(1_000);

/// Bytes that a transfer moved, in windows of time.
#[derive(Clone, Debug)]
pub(super) struct Pace {
    /// Begin of the window and bytes in it.
    window: (Time, usize),
    /// Bytes per second of the window before.
    last: Option<f64>,
    /// Same as `window`, for the least pace.
    long_window: (Time, usize),
}

impl Pace {
    pub(super) fn new(now: Time) -> Pace {
        Pace { window: (now, 0), last: None, long_window: (now, 0) }
    }

    pub(super) fn record(&mut self, bytes: usize, now: Time) {
        let (begun, moved) = self.window;
        let age = now.since(begun);
        if age >= NEW_FOR {
            self.last = Some(moved as f64 / age.as_secs_f64());
            self.window = (now, 0);
        }
        self.window.1 += bytes;
        self.long_window.1 += bytes;
    }

    /// Returns the pace if it is too low while memory is short.
    pub(super) fn pressed(&self, now: Time) -> Option<f64> {
        let (begun, moved) = self.window;
        let age = now.since(begun);
        let pace = if age >= NEW_FOR { Some(moved as f64 / age.as_secs_f64()) } else { self.last };
        pace.filter(|it| *it < PRESSED_PACE)
    }

    /// Returns whether the pace was below [`LEAST_PACE`] for `grace`.
    pub(super) fn is_below_least(&mut self, grace: Duration, now: Time) -> bool {
        let (begun, moved) = self.long_window;
        let age = now.since(begun);
        if age < grace {
            return false;
        }
        self.long_window = (now, 0);
        (moved as f64) < LEAST_PACE * age.as_secs_f64()
    }
}
