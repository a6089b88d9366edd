//! Work for one target: accepts or refuses jobs, sends them, expires them and
//! replies.

use std::time::Duration;

use base::{AttemptId, Missing, Outcome, Time, always};
use documents::model::EarlyRefusal;

use super::{Abandoned, Cancellation, Cx, InFlight, TargetCore};
use crate::{
    message::{Part, PartResult},
    owner::{
        action::{Action, CloseCause, Job, LimitCause, TargetEvent},
        connections::{ConnectionState, Role},
    },
};

/// Time after the deadline of an attempt at which its connection is closed if
/// no answer has come. Also the time after a pause during which no attempt
/// counts as silent, and the age at which a control call counts as silent once
/// an attempt does.
const OVERDUE_GRACE: Duration = Duration::from_millis(50);
/// An idempotent attempt is overdue before its deadline if it has taken more
/// than this many times the usual time, and a call started later has succeeded.
const OVERDUE_FACTOR: u32 = 10;
/// Minimum time after the send before an attempt is overdue ahead of its
/// deadline.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(500);
/// Time for which an attempt without an answer holds its slot after its
/// connection was closed, unless the target confirms its cancellation.
const ABANDONED_SLOT_HOLD: Duration = Duration::from_secs(1);
/// A job that must wait is accepted if this many times the predicted wait and
/// its own cost fit before its deadline. Actual waits vary, and a request of
/// many shards is as late as its latest subquery.
const WAIT_MARGIN_FACTOR: u32 = 2;
/// Maximum length of one target's queue, whatever the deadlines are.
const MAX_QUEUED_JOBS: usize = 10_000;

impl TargetCore {
    pub fn submit(&mut self, cx: &mut Cx<'_>, job: Job) {
        if let Some(missing) = self.unavailable_reason(cx.now) {
            return self.refuse(cx, &job, missing);
        }
        if self.queue.len() >= MAX_QUEUED_JOBS || self.would_miss_deadline(cx, &job) {
            return self.refuse(cx, &job, Missing::Refused);
        }
        self.queue.push(job);
        self.advance(cx);
    }

    pub fn cancel(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        if let Some(job) = self.queue.remove(attempt) {
            return self.reply(cx, &job, not_run(Missing::Cancelled), None);
        }
        self.cancel_in_flight(attempt);
        self.advance(cx);
    }

    /// Returns the time that a new job is expected to wait if queued jobs with
    /// a slot time of `ahead` are served first.
    pub(super) fn predicted_wait(&self, ahead: Duration) -> Duration {
        let slot_limit = self.slot_limit();
        if self.queue.is_empty() && self.slots_in_use() < slot_limit {
            return Duration::ZERO;
        }
        let slots = u32::try_from(slot_limit.max(1)).unwrap_or(u32::MAX);
        let slots_in_use = u32::try_from(self.slots_in_use()).unwrap_or(u32::MAX);
        // On average, a job in flight is half done.
        let in_flight = self.queue.mean_cost() * slots_in_use / 2;
        (ahead + in_flight) / slots
    }

    pub(super) fn dispatch(&mut self, cx: &mut Cx<'_>) {
        if self.health.is_suspect() {
            return;
        }
        while !self.queue.is_empty() {
            if self.slots_in_use() >= self.slot_limit() {
                return self.limit.record_saturated();
            }
            let Some(connection) = self.connections.idle(Role::Data) else { return };
            let Some(job) = self.queue.pop() else { return };
            if self.lacks_time(cx, &job) {
                self.queue.settle_cost(&job, Duration::ZERO);
                self.refuse(cx, &job, Missing::Deadline);
                continue;
            }
            self.send(cx, connection, job);
        }
    }

    pub(super) fn fail_queue(&mut self, cx: &mut Cx<'_>, missing: Missing) {
        if self.queue.is_empty() {
            return;
        }
        let jobs = self.queue.take_all();
        self.emit(cx, TargetEvent::QueueFailed { jobs: jobs.len(), missing });
        for job in jobs {
            self.reply(cx, &job, not_run(missing), None);
        }
    }

    /// Replies to jobs whose deadline has passed and closes connections that
    /// fell silent.
    pub(super) fn expire(&mut self, cx: &mut Cx<'_>) {
        for job in self.queue.take_expired(cx.now) {
            self.reply(cx, &job, not_run(Missing::Deadline), None);
        }
        let late = self.in_flight.values().filter(|it| !it.is_replied);
        let late = late.filter(|it| it.job.batch.deadline <= cx.now);
        for attempt in late.map(|it| it.job.attempt).collect::<Vec<_>>() {
            self.reply_deadline_passed(cx, attempt);
        }
        let silent = self.in_flight.values().filter(|it| self.is_silent(cx, it));
        for attempt in silent.map(|it| it.job.attempt).collect::<Vec<_>>() {
            self.fail_silent_attempt(cx, attempt);
        }
    }

    pub(super) fn reply_in_flight(
        &mut self,
        cx: &mut Cx<'_>,
        entry: &InFlight,
        result: PartResult,
    ) {
        if !entry.is_replied {
            self.reply(cx, &entry.job, result, Some(entry.sent_at));
        }
    }

    fn slot_limit(&self) -> usize {
        let slots = self.share.map_or(0, |it| it.slots.min(self.limit.get()));
        slots as usize
    }

    fn send(&mut self, cx: &mut Cx<'_>, connection: crate::owner::ConnectionId, job: Job) {
        let in_flight = self.slots_in_use() + 1;
        let slot_limit = self.slot_limit();
        always!(in_flight <= slot_limit, "owner-in-flight-limit", "{in_flight} of {slot_limit}");
        always!(!self.is_lease_stale(cx.now), "owner-no-send-on-stale-lease");
        always!(
            self.is_domain_in && !self.is_leaving(),
            "owner-no-send-to-leaving",
            "{}",
            self.document.name
        );
        let valid_until = self.share.and_then(|it| it.valid_until);
        self.connections.set(cx.now, connection, ConnectionState::Serving(job.attempt));
        let entry = InFlight {
            job: job.clone(),
            connection,
            sent_at: cx.now,
            is_replied: false,
            cancellation: Cancellation::None,
        };
        self.in_flight.insert(job.attempt, entry);
        let target = self.document.name.clone();
        cx.actions.push(Action::Send { target, connection, job, valid_until });
    }

    /// Returns whether a new job would miss its deadline. A job that need not
    /// wait is never refused, because a wrong estimate is corrected only by jobs
    /// that run.
    fn would_miss_deadline(&self, cx: &Cx<'_>, job: &Job) -> bool {
        if cx.settings.early_refusal == EarlyRefusal::Off {
            return false;
        }
        let service = &job.batch.service;
        let wait = self.predicted_wait(self.queue.work_ahead(service, job.batch.weight));
        let needed = wait * WAIT_MARGIN_FACTOR + self.queue.cost(service);
        !wait.is_zero() && cx.now + needed > job.batch.deadline
    }

    /// Returns whether the deadline has passed, or is too close even for a quick
    /// answer while other jobs could use the slot.
    fn lacks_time(&self, cx: &Cx<'_>, job: &Job) -> bool {
        if cx.now >= job.batch.deadline {
            return true;
        }
        let is_slot_wanted =
            cx.settings.early_refusal == EarlyRefusal::On && !self.queue.is_empty();
        is_slot_wanted && cx.now + self.queue.cost(&job.batch.service) / 2 > job.batch.deadline
    }

    fn is_silent(&self, cx: &Cx<'_>, entry: &InFlight) -> bool {
        // Answers received during a pause have not been read yet.
        if cx.now < cx.resumed_at + OVERDUE_GRACE {
            return false;
        }
        if cx.now >= entry.job.batch.deadline + OVERDUE_GRACE {
            return true;
        }
        // The result is still wanted, so only idempotent work, which can be run
        // again, is given up.
        let usual = self.queue.mean_cost();
        let bound = (usual * OVERDUE_FACTOR).max(MIN_OVERDUE_TIME);
        let is_overtaken = self.alive_as_of.is_some_and(|it| it > entry.sent_at);
        entry.job.batch.is_idempotent && is_overtaken && cx.now.since(entry.sent_at) > bound
    }

    /// Queues one cancellation to the target. Non-idempotent work is never
    /// cancelled midway.
    fn cancel_in_flight(&mut self, attempt: AttemptId) {
        let Some(entry) = self.in_flight.get_mut(&attempt) else { return };
        if entry.job.batch.is_idempotent && entry.cancellation == Cancellation::None {
            entry.cancellation = Cancellation::Requested;
            self.cancels.push_back(attempt);
        }
    }

    /// Replies that the deadline of an attempt in flight has passed, and has the
    /// attempt cancelled.
    fn reply_deadline_passed(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        let Some(entry) = self.in_flight.get_mut(&attempt) else { return };
        entry.is_replied = true;
        let job = entry.job.clone();
        let sent_at = entry.sent_at;
        self.cancel_in_flight(attempt);
        self.reply(cx, &job, may_have_run(Missing::Deadline), Some(sent_at));
    }

    /// Closes the connection of an attempt that gets no answer, the idle ones
    /// without a success since that attempt was sent, and those with an overdue
    /// control call, because a fault that silences one connection often affects
    /// all of them.
    fn fail_silent_attempt(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        let Some(entry) = self.in_flight.remove(&attempt) else { return };
        self.evaluate_silence(cx, &entry);
        self.hold_slot(cx, &entry);
        self.close_early(cx, entry.connection, CloseCause::Silent);
        while let Some(id) = self.connections.idle_since_before(entry.sent_at) {
            self.close_early(cx, id, CloseCause::Silent);
        }
        while let Some(stale) = self.connections.overdue_control_call(cx.now, OVERDUE_GRACE) {
            self.close_early(cx, stale.id, CloseCause::Silent);
            if let ConnectionState::Cancelling(attempt) = stale.state {
                self.observe_cancellation(attempt, false);
            }
        }
        let used = cx.now.since(entry.sent_at);
        self.queue.settle_cost(&entry.job, used);
        self.queue.record_cost(&entry.job, used);
        self.reply_in_flight(cx, &entry, may_have_run(Missing::Deadline));
    }

    /// Keeps the slot of an attempt that the target may still run, and has the
    /// attempt cancelled if it is idempotent.
    fn hold_slot(&mut self, cx: &Cx<'_>, entry: &InFlight) {
        if entry.cancellation == Cancellation::Confirmed {
            return;
        }
        let attempt = entry.job.attempt;
        self.abandoned.push(Abandoned { attempt, until: cx.now + ABANDONED_SLOT_HOLD });
        let is_in_progress =
            self.connections.iter().any(|it| it.state == ConnectionState::Cancelling(attempt));
        if entry.job.batch.is_idempotent && !is_in_progress && !self.cancels.contains(&attempt) {
            self.cancels.push_back(attempt);
        }
    }

    /// Frees the slot of an attempt whose cancellation the target confirmed. An
    /// unconfirmed cancellation is sent again while the slot is held.
    pub(super) fn observe_cancellation(&mut self, attempt: AttemptId, is_confirmed: bool) {
        let is_abandoned = self.abandoned.iter().any(|it| it.attempt == attempt);
        if is_confirmed {
            self.abandoned.retain(|it| it.attempt != attempt);
        } else if is_abandoned {
            self.cancels.push_back(attempt);
        }
        if let Some(entry) = self.in_flight.get_mut(&attempt).filter(|_| is_confirmed) {
            entry.cancellation = Cancellation::Confirmed;
        }
    }

    /// Returns the number of slots in use, including those held for abandoned
    /// attempts.
    pub(super) fn slots_in_use(&self) -> usize {
        self.in_flight.len() + self.abandoned.len()
    }

    /// Marks the target as suspect if nothing sent later was answered. Resets
    /// its limit if the silent connection was opened after another one had
    /// fallen silent: then the fault is the target's, not the connection's.
    fn evaluate_silence(&mut self, cx: &mut Cx<'_>, entry: &InFlight) {
        if self.alive_as_of.is_none_or(|it| it <= entry.sent_at) {
            self.health.mark_suspect();
        }
        let silent_since = *self.silent_since.get_or_insert(cx.now);
        let opened_at = self.connections.get(entry.connection).map(|it| it.opened_at);
        if opened_at.is_some_and(|it| it >= silent_since) {
            self.reset_limit(cx, LimitCause::NoAnswer);
        }
    }

    fn refuse(&mut self, cx: &mut Cx<'_>, job: &Job, missing: Missing) {
        let service = job.batch.service.clone();
        self.emit(cx, TargetEvent::Refused { service, missing });
        self.reply(cx, job, not_run(missing), None);
    }

    fn reply(&self, cx: &mut Cx<'_>, job: &Job, result: PartResult, sent_at: Option<Time>) {
        let is_first = cx.pending.remove(&job.attempt).is_some();
        always!(is_first, "owner-one-part-per-subquery", "attempt {}", job.attempt);
        let status = self.status(cx.now);
        let part = Part {
            attempt: job.attempt,
            shard: job.shard,
            target: self.document.name.clone(),
            result,
            queued: sent_at.unwrap_or(cx.now).since(job.queued_at),
            service_time: sent_at.map_or(Duration::ZERO, |it| cx.now.since(it)),
            status: Some(status),
        };
        cx.actions.push(Action::Reply { requester: job.requester, part });
    }
}

pub(super) fn not_run(missing: Missing) -> PartResult {
    PartResult::Failed { missing, outcome: Outcome::NotRun }
}

fn may_have_run(missing: Missing) -> PartResult {
    PartResult::Failed { missing, outcome: Outcome::MayHaveRun }
}
