//! Concurrency limit of one target.
//!
//! The limit starts at the number of requests a cold target can handle and
//! rises by one at a time. Each raise requires answers and time at the current
//! limit, and demand that used it up. A sign that the target is cold resets
//! the limit. A raise that only made answers slower is undone and tried again
//! after a backoff.

use std::time::Duration;

use base::Time;
use documents::model::WarmUp;

use super::action::LimitCause;

/// Minimum time after the last change or reset of the limit before it is raised
/// or a raise is undone. Resets do not wait for it.
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(500);
/// Answers required to get from the cold limit to all slots, divided evenly
/// among the raises.
const ANSWERS_TO_FULL_LIMIT: u32 = 60;
/// An answer is slow, which suggests a cold target, if it takes this many times
/// the baseline and at least `MIN_JUMP` longer.
const JUMP_FACTOR: f64 = 4.0;
/// Minimum time above the baseline of a slow answer.
const MIN_JUMP: Duration = Duration::from_millis(5);
/// Consecutive slow answers that count as a latency jump.
const JUMP_ANSWERS: u32 = 3;
/// A raise is undone if the mean service time grew by more than this factor.
const MAX_SLOWDOWN_FACTOR: f64 = 2.0;
/// Time before the limit is raised again after a raise was undone. Doubles up
/// to `RAISE_BACKOFF_MAX`.
const RAISE_BACKOFF: Duration = Duration::from_secs(2);
const RAISE_BACKOFF_MAX: Duration = Duration::from_secs(30);
/// A target that has answered nothing for this long may have become cold.
const LONG_IDLE: Duration = Duration::from_secs(30);
/// Weight of a new answer in the moving average of the baseline.
const BASELINE_GAIN: f64 = 1.0 / 32.0;

#[derive(Clone, Debug)]
pub struct Limit {
    warm_up: WarmUp,
    /// Concurrent requests that the target can handle when warm.
    warm_slots: u32,
    /// Part of `warm_slots` that this host may use.
    slots: u32,
    cold_slots: u32,
    current: u32,
    changed_at: Time,
    answered_at: Time,
    /// Answers since the last change of the limit.
    answers: u32,
    answers_us: f64,
    /// Whether work had to wait for the limit since its last change.
    was_saturated: bool,
    /// Mean service time before the last raise.
    previous_step_mean_us: Option<f64>,
    no_raise_before: Time,
    raise_backoff: Duration,
    baseline_us: Option<f64>,
    consecutive_slow_answers: u32,
}

impl Limit {
    pub fn new(now: Time, warm_up: WarmUp, slots: u32, cold_slots: u32) -> Self {
        Limit {
            warm_up,
            warm_slots: slots,
            slots,
            cold_slots,
            current: cold_slots,
            changed_at: now,
            answered_at: now,
            answers: 0,
            answers_us: 0.0,
            was_saturated: false,
            previous_step_mean_us: None,
            no_raise_before: now,
            raise_backoff: RAISE_BACKOFF,
            baseline_us: None,
            consecutive_slow_answers: 0,
        }
    }

    /// Returns the number of concurrent requests that the target may get now.
    pub fn get(&self) -> u32 {
        match self.warm_up {
            WarmUp::On => self.current.min(self.slots),
            WarmUp::Off => self.slots,
        }
    }

    /// Sets the number of requests that the target can handle when warm and when
    /// cold.
    pub fn set_capacity(&mut self, warm_slots: u32, cold_slots: u32) {
        self.warm_slots = warm_slots;
        self.cold_slots = cold_slots;
        self.current = self.current.max(cold_slots);
    }

    /// Sets the slots that this host may use. The limit does not rise above
    /// them, since the host's own work cannot prove more. What was proven with
    /// a larger share stays proven.
    pub fn set_share(&mut self, slots: u32) {
        self.slots = slots.min(self.warm_slots);
    }

    /// Records that work is waiting because the limit is used up.
    pub fn record_saturated(&mut self) {
        self.was_saturated = true;
    }

    /// Returns whether the limit is above that of a cold target although the
    /// target has been idle so long that it may be cold.
    pub fn is_long_idle(&self, now: Time) -> bool {
        self.current > self.cold_slots && now.since(self.answered_at) >= LONG_IDLE
    }

    /// Resets the limit to that of a cold target. Returns whether that lowered
    /// it.
    pub fn reset(&mut self, now: Time) -> bool {
        let is_lowered = self.current > self.cold_slots;
        self.move_to(now, self.cold_slots);
        self.previous_step_mean_us = None;
        self.consecutive_slow_answers = 0;
        self.answered_at = now;
        is_lowered
    }

    /// Starts from the limit that another owner of the target has proven.
    pub fn adopt(&mut self, now: Time, proven: u32) {
        self.move_to(now, proven.max(self.cold_slots));
    }

    /// Records an answer that passed the checks and adjusts the limit.
    pub fn observe_answer(&mut self, now: Time, service_time: Duration) -> Option<LimitChange> {
        let time_us = service_time.as_micros() as f64;
        self.answered_at = now;
        if self.observe_latency(time_us) {
            return self.reset_after_jump(now, time_us);
        }
        self.answers += 1;
        self.answers_us += time_us;
        self.adjust(now)
    }

    /// Records an attempt that ran into its deadline. Its time counts towards a
    /// latency jump, but not towards a raise.
    pub fn observe_timeout(&mut self, now: Time, time: Duration) -> Option<LimitChange> {
        let time_us = time.as_micros() as f64;
        if self.observe_latency(time_us) { self.reset_after_jump(now, time_us) } else { None }
    }

    fn reset_after_jump(&mut self, now: Time, time_us: f64) -> Option<LimitChange> {
        // A latency that stays high becomes the baseline for later jumps.
        self.baseline_us = Some(time_us);
        self.reset(now).then_some(LimitChange::Lowered(LimitCause::LatencyJump))
    }

    /// Updates the baseline. Returns whether `time_us` completes a latency
    /// jump.
    fn observe_latency(&mut self, time_us: f64) -> bool {
        let Some(baseline) = self.baseline_us else {
            self.baseline_us = Some(time_us);
            return false;
        };
        let floor = baseline + MIN_JUMP.as_micros() as f64;
        if time_us < (baseline * JUMP_FACTOR).max(floor) {
            self.consecutive_slow_answers = 0;
            self.baseline_us = Some(baseline + BASELINE_GAIN * (time_us - baseline));
            return false;
        }
        self.consecutive_slow_answers += 1;
        self.consecutive_slow_answers >= JUMP_ANSWERS
    }

    /// Raises the limit or undoes the last raise, if either is due.
    fn adjust(&mut self, now: Time) -> Option<LimitChange> {
        let steps = self.warm_slots.saturating_sub(self.cold_slots).max(1);
        let is_proven = self.answers >= ANSWERS_TO_FULL_LIMIT.div_ceil(steps);
        let is_due =
            now.since(self.changed_at) >= MIN_RAISE_INTERVAL && now >= self.no_raise_before;
        if !is_proven || !is_due {
            return None;
        }
        let mean_us = self.answers_us / f64::from(self.answers);
        if self.previous_step_mean_us.is_some_and(|it| mean_us > it * MAX_SLOWDOWN_FACTOR) {
            return self.undo_raise(now);
        }
        if !self.was_saturated || self.current >= self.slots {
            return None;
        }
        self.move_to(now, self.current + 1);
        self.previous_step_mean_us = Some(mean_us);
        self.raise_backoff = RAISE_BACKOFF;
        Some(LimitChange::Raised)
    }

    fn undo_raise(&mut self, now: Time) -> Option<LimitChange> {
        self.previous_step_mean_us = None;
        if self.current <= self.cold_slots {
            return None;
        }
        self.move_to(now, self.current - 1);
        self.no_raise_before = now + self.raise_backoff;
        self.raise_backoff = (self.raise_backoff * 2).min(RAISE_BACKOFF_MAX);
        Some(LimitChange::Lowered(LimitCause::RiseTooSlow))
    }

    fn move_to(&mut self, now: Time, limit: u32) {
        self.current = limit;
        self.changed_at = now;
        self.answers = 0;
        self.answers_us = 0.0;
        self.was_saturated = false;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    Raised,
    Lowered(LimitCause),
}
