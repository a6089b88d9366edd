//! State of one target: its latest report, the sends in flight, its speed, and
//! whether it may get more sends.

mod allowance;
mod backlog;
mod leaving;
mod probes;
mod report;
mod speed;
mod sustained;

use std::time::Duration;

use base::Time;

pub use self::allowance::MAX_PAUSE;
pub(crate) use self::allowance::{Hold, Pause, Shares};
pub use self::leaving::LeavingTarget;
pub use self::report::{Lifecycle, ReportedLoad, SendResult, TargetReport};
use self::{
    allowance::Allowance, backlog::Backlog, probes::Probes, speed::Speed, sustained::Sustained,
};

/// Time for which a reported load is used.
const LOAD_FRESH_FOR: Duration = Duration::from_millis(250);

/// Weight of the newest outcome in the failure share.
const FAILURE_GAIN: f64 = 0.15;

/// Time between two health checks of a target while the source of reports is lost.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest expected time of a send with which others are compared, in seconds.
const MIN_EXPECTED_S: f64 = 1e-4;

/// Number of consecutive failures after which a target counts as down.
const DOWN_AFTER_FAILURES: u32 = 3;

/// A send in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    send: u64,
    at: Time,
    expected: Duration,
}

/// State of one target.
#[derive(Debug)]
pub struct Target {
    pub report: TargetReport,
    in_flight: Vec<InFlight>,
    /// Time of the last answer, including those that report a failure or that the
    /// request was shed.
    last_answer: Option<Time>,
    speed: Speed,
    sustained: Sustained,
    failure_share: f64,
    consecutive_failures: u32,
    has_connected: bool,
    health_checked_at: Option<Time>,
    probes: Probes,
    load: Option<ReportedLoad>,
    backlog: Backlog,
    pub(crate) allowance: Allowance,
    /// Since when the target is draining or no longer listed.
    leaving_since: Option<Time>,
    /// Draining since an unknown time.
    has_unknown_leave_time: bool,
    /// Another target has the address, or another incarnation the name.
    is_replaced: bool,
    /// Leaving or unlisted for so long that the target is not used any more.
    is_expired: bool,
}

impl Target {
    pub fn new(report: TargetReport, now: Time) -> Target {
        let allowance = Allowance::new(now + report.cold_for, now);
        Target {
            report,
            in_flight: Vec::new(),
            last_answer: None,
            speed: Speed::new(now),
            sustained: Sustained::new(now),
            failure_share: 0.0,
            consecutive_failures: 0,
            has_connected: false,
            health_checked_at: None,
            probes: Probes::new(),
            load: None,
            backlog: Backlog::new(now),
            allowance,
            leaving_since: None,
            has_unknown_leave_time: false,
            is_replaced: false,
            is_expired: false,
        }
    }

    /// Applies a report of the same incarnation. A target that drains stays
    /// draining.
    pub fn update_report(&mut self, report: TargetReport, now: Time) {
        self.extend_cold(now + report.cold_for);
        let was_draining = self.report.lifecycle == Lifecycle::Draining;
        self.report = report;
        if was_draining || self.report.lifecycle == Lifecycle::Draining {
            self.report.lifecycle = Lifecycle::Draining;
            self.leaving_since.get_or_insert(now);
        } else {
            self.leaving_since = None;
        }
    }

    /// Records that it is unknown since when the target is draining, if it is. Such
    /// a target gets no more sends.
    pub fn mark_leave_time_unknown(&mut self) {
        if self.report.lifecycle == Lifecycle::Draining {
            self.has_unknown_leave_time = true;
        }
    }

    /// Records that the target is leaving since `at` at the latest, if it is leaving.
    pub fn backdate_leaving(&mut self, at: Time) {
        self.leaving_since = self.leaving_since.map(|since| since.min(at));
    }

    pub fn has_unknown_leave_time(&self) -> bool {
        self.has_unknown_leave_time
    }

    /// Records that the platform no longer lists the target, since `since` at the
    /// latest.
    pub fn mark_unlisted(&mut self, since: Time) {
        self.leaving_since = Some(self.leaving_since.map_or(since, |it| it.min(since)));
    }

    /// Excludes the target from all further sends, as another has its place.
    pub fn mark_replaced(&mut self) {
        self.is_replaced = true;
    }

    /// Excludes the target from all further sends, as it was leaving or
    /// unlisted for too long.
    pub fn mark_expired(&mut self) {
        self.is_expired = true;
    }

    /// Returns whether the target gets no more sends and is to be removed.
    pub fn is_gone(&self) -> bool {
        self.is_replaced || self.is_expired
    }

    /// Returns whether the platform no longer lists the target, without a report that
    /// it is draining.
    pub fn is_unlisted(&self) -> bool {
        self.leaving_since.is_some() && self.report.lifecycle == Lifecycle::Ready
    }

    pub fn leaving_since(&self) -> Option<Time> {
        self.leaving_since
    }

    pub fn sends_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns whether no connection was opened yet, and records that one is.
    pub fn take_first_connection(&mut self) -> bool {
        !std::mem::replace(&mut self.has_connected, true)
    }

    pub fn is_health_check_due(&self, now: Time) -> bool {
        !self.was_checked_within(HEALTH_CHECK_INTERVAL, now)
    }

    pub fn was_checked_within(&self, time: Duration, now: Time) -> bool {
        self.health_checked_at.is_some_and(|at| now.since(at) < time)
    }

    pub fn start_health_check(&mut self, now: Time) {
        self.health_checked_at = Some(now);
    }

    pub fn start_send(&mut self, send: u64, now: Time, expected: Duration) {
        self.has_connected = true;
        self.in_flight.push(InFlight { send, at: now, expected });
        self.allowance.record_send(now);
    }

    /// Records the end of a send; returns how long the send took.
    pub fn finish_send(&mut self, send: u64, now: Time, result: SendResult) -> Option<Duration> {
        let index = self.in_flight.iter().position(|it| it.send == send)?;
        let sent = self.in_flight.swap_remove(index);
        let took = now.since(sent.at);
        let ratio = took.as_secs_f64() / sent.expected.as_secs_f64().max(MIN_EXPECTED_S);
        let has_answered_since = self.last_answer.is_some_and(|at| at > sent.at);
        let has_answered = matches!(
            result,
            SendResult::Answered | SendResult::Shed | SendResult::Failed | SendResult::NoMemory
        );
        if has_answered {
            self.last_answer = Some(now);
        }
        match result {
            SendResult::Answered => {
                self.speed.record(ratio, now);
                self.sustained.record(ratio, now);
                self.record_outcome(0.0);
                self.consecutive_failures = 0;
                self.probes.reset();
            }
            SendResult::Shed => {
                self.record_outcome(1.0);
                self.consecutive_failures = 0;
                self.probes.mark_up();
            }
            SendResult::Failed | SendResult::Broken => {
                self.record_outcome(1.0);
                self.consecutive_failures += 1;
                if self.consecutive_failures >= DOWN_AFTER_FAILURES {
                    self.probes.mark_down(now);
                }
            }
            // One long request at a target that answers others.
            SendResult::Silent if has_answered_since => self.record_outcome(1.0),
            SendResult::Silent | SendResult::Unreachable => {
                self.record_outcome(1.0);
                self.speed.record(ratio.max(2.0), now);
                self.consecutive_failures += 1;
                self.probes.mark_down(now);
            }
            SendResult::Misdirected => self.is_replaced = true,
            SendResult::Cancelled if ratio > 1.0 => self.speed.record(ratio, now),
            SendResult::NoMemory | SendResult::NotSent | SendResult::Cancelled => {}
        }
        Some(took)
    }

    /// Returns how much slower than expected the target answers; 1 if nothing is
    /// known.
    pub fn slowdown(&self, now: Time) -> f64 {
        self.known_slowdown(now).max(self.silence_ratio(now))
    }

    /// Returns how much slower than expected the target answered lately.
    pub fn known_slowdown(&self, now: Time) -> f64 {
        self.speed.slowdown(now)
    }

    /// Returns how long the target has not answered while a send was in flight, as a
    /// multiple of that send's expected latency.
    pub fn silence_ratio(&self, now: Time) -> f64 {
        let ratio = |it: &InFlight| {
            self.silence(it, now).as_secs_f64() / it.expected.as_secs_f64().max(MIN_EXPECTED_S)
        };
        self.in_flight.iter().map(ratio).fold(0.0, f64::max)
    }

    /// Returns how long the target has not answered while a send was in flight.
    pub fn silent_for(&self, now: Time) -> Duration {
        self.in_flight.iter().map(|it| self.silence(it, now)).max().unwrap_or_default()
    }

    fn silence(&self, send: &InFlight, now: Time) -> Duration {
        let since = self.last_answer.map_or(send.at, |at| at.max(send.at));
        now.since(since)
    }

    /// Returns how much slower than expected the target answers for longer than a pause.
    pub fn sustained_slowdown(&self, now: Time) -> f64 {
        self.known_slowdown(now).min(self.sustained.slowdown())
    }

    /// Returns the age of the oldest send in flight.
    pub fn oldest_send(&self, now: Time) -> Duration {
        self.in_flight.iter().map(|it| now.since(it.at)).max().unwrap_or_default()
    }

    /// Returns the share of recent sends that failed or were shed.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns whether the target gets no requests until a probe succeeds.
    pub fn is_down(&self) -> bool {
        self.probes.is_down()
    }

    /// Treats the target as down, so that it is probed and gets no requests meanwhile.
    pub fn assume_down(&mut self, now: Time) {
        self.probes.mark_down(now);
    }

    /// Returns whether a probe is due, and schedules the next one if so.
    pub fn take_probe(&mut self, now: Time) -> bool {
        self.probes.take_due(now)
    }

    /// Records that a probe connected. How fast the target answers is unknown yet.
    pub fn probe_succeeded(&mut self, now: Time) {
        if self.probes.mark_up() {
            self.speed.cap_after_recovery(now);
            self.consecutive_failures = 0;
        }
    }

    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until()
    }

    pub(crate) fn cold_until(&self) -> Time {
        self.allowance.cold_until()
    }

    /// Records that the target is cold until `until` at least.
    pub(crate) fn extend_cold(&mut self, until: Time) {
        self.allowance.extend_cold(until);
    }

    /// Records that the answer to `send` names no limit; returns whether one ends.
    pub(crate) fn record_no_limit(&mut self, send: u64, now: Time) -> bool {
        let sent_at = self.in_flight.iter().find(|it| it.send == send).map(|it| it.at);
        sent_at.is_some_and(|it| self.allowance.record_no_limit(it, now))
    }

    /// Returns why the target gets no request now.
    pub(crate) fn hold(&self, shares: &Shares, is_extra: bool, now: Time) -> Option<Hold> {
        self.allowance.hold(shares, self.in_flight.len(), is_extra, now)
    }

    /// Returns the last reported load, however old it is.
    pub(crate) fn reported_load(&self) -> Option<ReportedLoad> {
        self.load
    }

    pub fn record_load(&mut self, load: ReportedLoad) {
        self.backlog.record(load.waiting, load.at);
        self.load = Some(load);
    }

    /// Returns the number of requests that usually wait at the target per slot.
    pub fn backlog(&self, now: Time) -> f64 {
        self.backlog.waiting(now) / f64::from(self.report.slots.max(1))
    }

    /// Returns how much longer a queue of `queue` requests per slot takes than the one that
    /// usually waits; 1 if the target reports no load.
    pub fn queue_growth(&self, queue: f64, now: Time) -> f64 {
        if self.load.is_none() {
            return 1.0;
        }
        ((1.0 + queue) / (1.0 + self.backlog(now))).max(1.0)
    }

    /// Estimates the number of requests at the target: its reported load, weighted by
    /// freshness, or this host's sends in flight if they are more.
    pub fn work(&self, now: Time) -> f64 {
        let own = self.in_flight.len() as f64;
        let Some(load) = self.load else { return own };
        let age = now.since(load.at);
        if age >= LOAD_FRESH_FOR {
            return own;
        }
        let freshness = 1.0 - age.as_secs_f64() / LOAD_FRESH_FOR.as_secs_f64();
        let reported = f64::from(load.running) + f64::from(load.waiting);
        own.max(reported * freshness)
    }

    /// Returns whether the target recently reported at least as many waiting requests
    /// as it has slots. A target without sends of this host is never full, as only
    /// an answer brings a new report.
    pub fn is_full(&self, now: Time) -> bool {
        let Some(load) = self.load.filter(|it| now.since(it.at) < LOAD_FRESH_FOR) else {
            return false;
        };
        load.waiting >= self.report.slots && !self.in_flight.is_empty()
    }

    fn record_outcome(&mut self, failed: f64) {
        self.failure_share += (failed - self.failure_share) * FAILURE_GAIN;
    }
}
