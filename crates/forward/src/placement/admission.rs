//! Whether a request is taken on, by how long its parts would wait.
//!
//! Load pattern answered: more work than targets bear, for seconds, as when a
//! cut leaves one target of each shard. If all queries were taken on, each
//! shard would be late with other parts, and nearly no query would have enough
//! of them in time. A query that would be late is refused at its arrival, so
//! that those taken on are answered in time; the caller learns at once, and
//! when to come back.

use std::time::Duration;

use base::Time;

use super::{ClassKey, ServiceKey, Targets};

/// Weight of the newest gap between two sends that ended.
const GAIN: f64 = 0.1;

/// How fast a service takes what waits for it: the time between two ends of
/// sends while something waits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Drain {
    gap: Option<Duration>,
    last: Option<Time>,
}

impl Drain {
    /// A send ended; `is_waited_for` tells whether anything waits.
    pub(super) fn note(&mut self, now: Time, is_waited_for: bool) {
        if !is_waited_for {
            // The next queue may come of something else.
            *self = Drain::default();
            return;
        }
        if let Some(last) = self.last.replace(now) {
            let newest = now.since(last);
            let known = self.gap.unwrap_or(newest);
            self.gap = Some(known.mul_f64(1.0 - GAIN) + newest.mul_f64(GAIN));
        }
    }

    /// Time until `waiting` that wait now are on their way.
    pub(super) fn time_for(&self, waiting: usize, now: Time) -> Duration {
        let Some(gap) = self.gap else { return Duration::ZERO };
        // Nothing ends at a target that has stopped.
        let current = self.last.map_or(Duration::ZERO, |at| now.since(at));
        gap.max(current) * waiting as u32
    }
}

/// A request that has just come.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    pub services: &'a [ServiceKey],
    /// Services that must answer.
    pub min_services: usize,
    pub class: ClassKey,
    /// When it has to be answered.
    pub answer_by: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Accept,
    /// It would be late. What waits now is on its way after `wait`.
    Refuse {
        wait: Duration,
    },
}

impl<W> Targets<W> {
    /// Whether to take on a request.
    pub fn admit(&self, arrival: &Arrival<'_>, now: Time) -> Admission {
        let wait = self.expected_wait(arrival, now);
        let would_end = now + wait + self.expected_latency(arrival.class);
        // Without a queue, nothing is gained by sending callers away.
        if wait.is_zero() || would_end <= arrival.answer_by {
            return Admission::Accept;
        }
        Admission::Refuse { wait }
    }

    /// Time until enough of its parts would be on their way.
    fn expected_wait(&self, arrival: &Arrival<'_>, now: Time) -> Duration {
        let wait = |it: &ServiceKey| {
            let state = &self.services[it.0];
            state.drain.time_for(state.queue.len(), now)
        };
        let mut waits: Vec<Duration> = arrival.services.iter().map(wait).collect();
        let Some(last) = arrival.min_services.min(waits.len()).checked_sub(1) else {
            return Duration::ZERO;
        };
        *waits.select_nth_unstable(last).1
    }
}
