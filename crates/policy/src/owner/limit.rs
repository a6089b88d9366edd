//! Concurrency limit of one target.
//!
//! It starts at what a cold target bears and rises one step at a time, each
//! step paid for by answers at the former one, by time, and by demand that
//! used the former one up. A sign of a cold target sets it back to the start.
//! A rise that only made answers slower is taken back and tried again later.

use std::time::Duration;

use base::Time;
use documents::model::WarmUp;

use super::action::LimitCause;

/// Least time between two rises.
const RISE_INTERVAL: Duration = Duration::from_millis(500);
/// Answers that pay for the rise from cold to all slots, divided evenly
/// among its steps.
const RISE_ANSWERS: u32 = 60;
/// Answers this many times slower than the baseline tell of a cold target.
const JUMP_FACTOR: f64 = 4.0;
/// And at least this much slower.
const JUMP_FLOOR: Duration = Duration::from_millis(5);
/// Slow answers in a row that make a jump.
const JUMP_ANSWERS: u32 = 3;
/// A rise is taken back if answers became this many times slower.
const SLOWER_FACTOR: f64 = 2.0;
/// First wait after a rise was taken back; doubles up to the longest.
const RISE_RETRY: Duration = Duration::from_secs(2);
const RISE_RETRY_MAX: Duration = Duration::from_secs(30);
/// A target without work for so long may have turned cold.
const LONG_IDLE: Duration = Duration::from_secs(30);
/// Part of a new answer in the baseline.
const BASELINE_GAIN: f64 = 1.0 / 32.0;

#[derive(Clone, Debug)]
pub struct Limit {
    warm_up: WarmUp,
    /// What the target bears when warm.
    warm_slots: u32,
    /// What this host may use of that.
    slots: u32,
    cold_slots: u32,
    current: u32,
    changed_at: Time,
    answered_at: Time,
    /// Answers since the last change.
    answers: u32,
    answers_us: f64,
    /// Whether demand has used the limit up since the last change.
    was_full: bool,
    /// Mean service time at the step below.
    lower_mean_us: Option<f64>,
    rise_after: Time,
    rise_retry: Duration,
    baseline_us: Option<f64>,
    slow_answers: u32,
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
            was_full: false,
            lower_mean_us: None,
            rise_after: now,
            rise_retry: RISE_RETRY,
            baseline_us: None,
            slow_answers: 0,
        }
    }

    /// Requests at once that the target now bears.
    pub fn get(&self) -> u32 {
        match self.warm_up {
            WarmUp::On => self.current.min(self.slots),
            WarmUp::Off => self.slots,
        }
    }

    /// Takes over the figures of the target's document.
    pub fn resize(&mut self, warm_slots: u32, cold_slots: u32) {
        self.warm_slots = warm_slots;
        self.cold_slots = cold_slots;
        self.current = self.current.max(cold_slots);
    }

    /// Takes over what this host may use. The limit never rises past what its
    /// own work can prove; what a larger share has proven stays proven.
    pub fn set_share(&mut self, slots: u32) {
        self.slots = slots.min(self.warm_slots);
    }

    /// Notes that work waits although the limit is used up.
    pub fn observe_full(&mut self) {
        self.was_full = true;
    }

    /// Whether the target was without work so long that it may be cold.
    pub fn is_long_idle(&self, now: Time) -> bool {
        self.current > self.cold_slots && now.since(self.answered_at) >= LONG_IDLE
    }

    /// Goes back to the start. Returns whether that lowered the limit.
    pub fn reset(&mut self, now: Time) -> bool {
        let is_lowered = self.current > self.cold_slots;
        self.move_to(now, self.cold_slots);
        self.lower_mean_us = None;
        self.slow_answers = 0;
        self.answered_at = now;
        is_lowered
    }

    /// Starts at what another owner of the same target has proven.
    pub fn adopt(&mut self, now: Time, proven: u32) {
        self.move_to(now, proven.max(self.cold_slots));
    }

    /// Takes a good answer as proof.
    pub fn observe_answer(&mut self, now: Time, service_time: Duration) -> Option<LimitChange> {
        let time_us = service_time.as_micros() as f64;
        self.answered_at = now;
        if self.is_jump(time_us) {
            return self.reset_by_jump(now, time_us);
        }
        self.answers += 1;
        self.answers_us += time_us;
        self.step(now)
    }

    /// Takes an attempt that ran into its deadline as a slow answer, which
    /// proves nothing.
    pub fn observe_timeout(&mut self, now: Time, time: Duration) -> Option<LimitChange> {
        let time_us = time.as_micros() as f64;
        if self.is_jump(time_us) { self.reset_by_jump(now, time_us) } else { None }
    }

    fn reset_by_jump(&mut self, now: Time, time_us: f64) -> Option<LimitChange> {
        // What is slow for good becomes the measure of later jumps.
        self.baseline_us = Some(time_us);
        self.reset(now).then_some(LimitChange::Lowered(LimitCause::LatencyJump))
    }

    fn is_jump(&mut self, time_us: f64) -> bool {
        let Some(baseline) = self.baseline_us else {
            self.baseline_us = Some(time_us);
            return false;
        };
        let floor = baseline + JUMP_FLOOR.as_micros() as f64;
        if time_us < (baseline * JUMP_FACTOR).max(floor) {
            self.slow_answers = 0;
            self.baseline_us = Some(baseline + BASELINE_GAIN * (time_us - baseline));
            return false;
        }
        self.slow_answers += 1;
        self.slow_answers >= JUMP_ANSWERS
    }

    fn step(&mut self, now: Time) -> Option<LimitChange> {
        let steps = self.warm_slots.saturating_sub(self.cold_slots).max(1);
        let is_proven = self.answers >= RISE_ANSWERS.div_ceil(steps);
        let is_due = now.since(self.changed_at) >= RISE_INTERVAL && now >= self.rise_after;
        if !is_proven || !is_due {
            return None;
        }
        let mean_us = self.answers_us / f64::from(self.answers);
        if self.lower_mean_us.is_some_and(|it| mean_us > it * SLOWER_FACTOR) {
            return self.take_rise_back(now);
        }
        if !self.was_full || self.current >= self.slots {
            return None;
        }
        self.move_to(now, self.current + 1);
        self.lower_mean_us = Some(mean_us);
        self.rise_retry = RISE_RETRY;
        Some(LimitChange::Raised)
    }

    fn take_rise_back(&mut self, now: Time) -> Option<LimitChange> {
        self.lower_mean_us = None;
        if self.current <= self.cold_slots {
            return None;
        }
        self.move_to(now, self.current - 1);
        self.rise_after = now + self.rise_retry;
        self.rise_retry = (self.rise_retry * 2).min(RISE_RETRY_MAX);
        Some(LimitChange::Lowered(LimitCause::RiseTooSlow))
    }

    fn move_to(&mut self, now: Time, limit: u32) {
        self.current = limit;
        self.changed_at = now;
        self.answers = 0;
        self.answers_us = 0.0;
        self.was_full = false;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    Raised,
    Lowered(LimitCause),
}
