//! Rate of a customer's requests at one host.

use std::time::Duration;

use base::Time;

/// Weight of the newest gap in the moving average.
const GAP_GAIN: f64 = 0.2;

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Arrivals {
    last: Option<Time>,
    mean_gap: Option<Duration>,
}

impl Arrivals {
    pub(super) fn record(&mut self, now: Time) {
        let Some(last) = self.last.replace(now) else { return };
        let gap = now.since(last);
        let mean =
            self.mean_gap.map_or(gap, |it| it.mul_f64(1.0 - GAP_GAIN) + gap.mul_f64(GAP_GAIN));
        self.mean_gap = Some(mean);
    }

    /// Returns the number of requests expected within `span`, rounded down.
    pub(super) fn expected(&self, span: Duration, now: Time) -> u32 {
        let (Some(last), Some(mean)) = (self.last, self.mean_gap) else { return 0 };
        let gap = mean.max(now.since(last)).max(Duration::from_micros(1));
        (span.as_secs_f64() / gap.as_secs_f64()) as u32
    }
}
