//! What is known of one target: its reports, the sends in flight, how fast it
//! answers and whether it can be trusted with more.

mod probes;
mod report;
mod speed;

use std::time::Duration;

use base::Time;

pub use self::report::{Lifecycle, ReportedLoad, SendResult, TargetReport};
use self::{probes::Trials, speed::Speed};

/// A reported load counts for this long.
const LOAD_LIFE: Duration = Duration::from_millis(250);

/// Weight of the newest answer in the share of failures.
const FAILURE_GAIN: f64 = 0.15;

/// Time between two questions for a target's health while only it can tell.
const HEALTH_INTERVAL: Duration = Duration::from_millis(400);

/// Failures in a row after which a target is taken for down.
const DOWN_AFTER: u32 = 3;

/// A send in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    send: u64,
    at: Time,
    expected: Duration,
}

/// One target's state.
#[derive(Debug)]
pub struct Target {
    pub report: TargetReport,
    in_flight: Vec<InFlight>,
    last_send: Option<Time>,
    /// When anything came from it last.
    last_answer: Option<Time>,
    speed: Speed,
    failures: f64,
    failed_in_row: u32,
    has_connected: bool,
    checked_at: Option<Time>,
    trials: Trials,
    pub load: Option<ReportedLoad>,
    /// Cold until then, and how many sends the current second saw.
    pub cold_until: Time,
    cold_second: (Time, u32),
    /// Leaves or is no longer listed since then.
    leaving_since: Option<Time>,
    /// Leaves since a time that is not known.
    has_left: bool,
    /// Another has its address, or another incarnation its name.
    is_replaced: bool,
    /// No longer listed long enough.
    is_forgotten: bool,
}

impl Target {
    pub fn new(report: TargetReport, now: Time) -> Target {
        let cold_until = now + report.cold_for;
        Target {
            report,
            in_flight: Vec::new(),
            last_send: None,
            last_answer: None,
            speed: Speed::new(now),
            failures: 0.0,
            failed_in_row: 0,
            has_connected: false,
            checked_at: None,
            trials: Trials::new(),
            load: None,
            cold_until,
            cold_second: (now, 0),
            leaving_since: None,
            has_left: false,
            is_replaced: false,
            is_forgotten: false,
        }
    }

    /// The platform lists it, as `report` says.
    pub fn listed(&mut self, report: TargetReport, now: Time) {
        self.cold_until = self.cold_until.max(now + report.cold_for);
        let was_draining = self.report.lifecycle == Lifecycle::Draining;
        self.report = report;
        if was_draining || self.report.lifecycle == Lifecycle::Draining {
            self.report.lifecycle = Lifecycle::Draining;
            self.leaving_since.get_or_insert(now);
        } else {
            self.leaving_since = None;
        }
    }

    /// It is leaving, and nobody knows since when: nothing more is sent to it.
    pub fn left_unseen(&mut self) {
        if self.report.lifecycle == Lifecycle::Draining {
            self.has_left = true;
        }
    }

    /// It leaves since `at`, if it leaves.
    pub fn left_before(&mut self, at: Time) {
        self.leaving_since = self.leaving_since.map(|since| since.min(at));
    }

    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// The platform does not list it.
    pub fn mark_unlisted(&mut self, now: Time) {
        self.leaving_since.get_or_insert(now);
    }

    /// Nothing more may be sent to it, ever.
    pub fn replaced(&mut self) {
        self.is_replaced = true;
    }

    pub fn forget(&mut self) {
        self.is_forgotten = true;
    }

    pub fn is_gone(&self) -> bool {
        self.is_replaced || self.is_forgotten
    }

    /// Left without a report that says so.
    pub fn is_unlisted(&self) -> bool {
        self.leaving_since.is_some() && self.report.lifecycle == Lifecycle::Ready
    }

    pub fn leaving_since(&self) -> Option<Time> {
        self.leaving_since
    }

    pub fn sends_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether no connection was opened yet; one is now.
    pub fn take_first_connection(&mut self) -> bool {
        !std::mem::replace(&mut self.has_connected, true)
    }

    /// Whether its health is to be asked; the next time is later then.
    pub fn take_health_check(&mut self, now: Time) -> bool {
        let is_due = self.checked_at.is_none_or(|at| now.since(at) >= HEALTH_INTERVAL);
        if is_due {
            self.checked_at = Some(now);
        }
        is_due
    }

    pub fn start_send(&mut self, send: u64, now: Time, expected: Duration) {
        self.has_connected = true;
        self.last_send = Some(now);
        self.in_flight.push(InFlight { send, at: now, expected });
        if now.since(self.cold_second.0) >= Duration::from_secs(1) {
            self.cold_second = (now, 0);
        }
        self.cold_second.1 += 1;
    }

    /// Notes the end of a send and returns how long it took.
    pub fn finish_send(&mut self, send: u64, now: Time, result: SendResult) -> Option<Duration> {
        let index = self.in_flight.iter().position(|it| it.send == send)?;
        let sent = self.in_flight.swap_remove(index);
        let took = now.since(sent.at);
        let ratio = took.as_secs_f64() / sent.expected.as_secs_f64().max(1e-4);
        let showed_life = self.last_answer.is_some_and(|at| at > sent.at);
        if matches!(result, SendResult::Answered | SendResult::Shed | SendResult::Failed) {
            self.last_answer = Some(now);
        }
        match result {
            SendResult::Answered => {
                self.speed.note(ratio, now);
                self.note_outcome(0.0);
                self.failed_in_row = 0;
                self.trials.forgive();
            }
            SendResult::Shed => {
                self.note_outcome(1.0);
                self.failed_in_row = 0;
                self.trials.end();
            }
            SendResult::Failed | SendResult::Broken => {
                self.note_outcome(1.0);
                self.failed_in_row += 1;
                if self.failed_in_row >= DOWN_AFTER {
                    self.trials.take_down(now);
                }
            }
            // A long request at a target that answers others.
            SendResult::Silent if showed_life => self.note_outcome(1.0),
            SendResult::Silent => {
                self.note_outcome(1.0);
                self.speed.note(ratio.max(2.0), now);
                self.failed_in_row += 1;
                self.trials.take_down(now);
            }
            SendResult::Misdirected => self.is_replaced = true,
            SendResult::Cancelled if ratio > 1.0 => self.speed.note(ratio, now),
            SendResult::NotSent | SendResult::Cancelled => {}
        }
        Some(took)
    }

    /// How many times longer than usual it takes to answer, at least 1 for
    /// a target of which nothing is known.
    pub fn slowdown(&self, now: Time) -> f64 {
        let known = self.speed.slowdown(now);
        known.max(self.silence_ratio(now))
    }

    /// How long nothing came from it while a send waited, as a multiple of the
    /// time that the send was expected to take.
    pub fn silence_ratio(&self, now: Time) -> f64 {
        let ratio = |it: &InFlight| self.silence(it, now).as_secs_f64() / it.expected.as_secs_f64();
        self.in_flight.iter().map(ratio).fold(0.0, f64::max)
    }

    /// How long nothing came from it while a send waited.
    pub fn silent_for(&self, now: Time) -> Duration {
        self.in_flight.iter().map(|it| self.silence(it, now)).max().unwrap_or_default()
    }

    fn silence(&self, send: &InFlight, now: Time) -> Duration {
        let since = self.last_answer.map_or(send.at, |at| at.max(send.at));
        now.since(since)
    }

    /// Share of recent sends that failed or were shed.
    pub fn failure_share(&self) -> f64 {
        self.failures
    }

    /// Whether it gets no requests until a trial succeeds.
    pub fn is_down(&self) -> bool {
        self.trials.is_down()
    }

    /// Whether a trial is due; the next one is later then.
    pub fn take_trial(&mut self, now: Time) -> bool {
        self.trials.take(now)
    }

    /// A trial reached it. How it answers is not known yet.
    pub fn probe_succeeded(&mut self, now: Time) {
        if self.trials.end() {
            self.speed.note_reached(now);
            self.failed_in_row = 0;
        }
    }

    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    pub fn last_send(&self) -> Option<Time> {
        self.last_send
    }

    /// Sends of the running second, for the limit of a cold target.
    pub fn sends_this_second(&self, now: Time) -> u32 {
        if now.since(self.cold_second.0) >= Duration::from_secs(1) { 0 } else { self.cold_second.1 }
    }

    /// Work at the target: what it told lately, or what this host sent.
    pub fn work(&self, now: Time) -> f64 {
        let own = self.in_flight.len() as f64;
        let Some(load) = self.load else { return own };
        let age = now.since(load.at);
        if age >= LOAD_LIFE {
            return own;
        }
        let freshness = 1.0 - age.as_secs_f64() / LOAD_LIFE.as_secs_f64();
        let told = f64::from(load.running + load.waiting);
        own.max(told * freshness)
    }

    /// Whether as many requests as it works on at once wait there, by its own
    /// fresh word.
    pub fn is_full(&self, now: Time) -> bool {
        let Some(load) = self.load.filter(|it| now.since(it.at) < LOAD_LIFE) else { return false };
        load.waiting >= self.report.slots && !self.in_flight.is_empty()
    }

    fn note_outcome(&mut self, failed: f64) {
        self.failures += (failed - self.failures) * FAILURE_GAIN;
    }
}
