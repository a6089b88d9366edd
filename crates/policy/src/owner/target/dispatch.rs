//! Work for one target: accept or refuse, send, expire, reply.

use std::time::Duration;

use base::{AttemptId, Missing, Outcome, Time, always};
use documents::model::EarlyRefusal;

use super::{Abandoned, Cancellation, Cx, InFlight, TargetCore};
use crate::{
    message::{Part, PartResult},
    owner::{
        action::{Action, CloseCause, Job, LimitCause, TargetEvent},
        connections::{Role, State},
    },
};

/// How long after its deadline an attempt without any answer condemns its
/// connection.
const OVERDUE_GRACE: Duration = Duration::from_millis(50);
/// An attempt is overdue before its deadline when it took this many times the
/// usual time, and others that were sent later have been answered.
const OVERDUE_FACTOR: u32 = 10;
const OVERDUE_FLOOR: Duration = Duration::from_millis(500);
/// How long an attempt without an answer holds its slot after its connection
/// was given up, unless the target confirms its cancellation.
const ABANDONED_HOLD: Duration = Duration::from_secs(1);
/// How many times the predicted wait must fit before the deadline. Actual
/// waits vary, and a request of many shards is as late as its latest.
const WAIT_MARGIN: u32 = 2;
/// Bound of one target's queue, whatever the deadlines say.
const MAX_QUEUED: usize = 10_000;

impl TargetCore {
    pub fn submit(&mut self, cx: &mut Cx<'_>, job: Job) {
        if let Some(missing) = self.closed_for_work(cx.now) {
            return self.refuse(cx, &job, missing);
        }
        if self.queue.len() >= MAX_QUEUED || self.would_be_late(cx, &job) {
            return self.refuse(cx, &job, Missing::Refused);
        }
        self.queue.push(job);
        self.advance(cx);
    }

    pub fn cancel(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        if let Some(job) = self.queue.take(attempt) {
            return self.reply(cx, &job, not_run(Missing::Cancelled), None);
        }
        self.cancel_in_flight(attempt);
        self.advance(cx);
    }

    /// Time a new job with `ahead` before it is likely to wait.
    pub(super) fn predicted_wait(&self, ahead: Duration) -> Duration {
        let allowed = self.allowed();
        if self.queue.is_empty() && self.busy() < allowed {
            return Duration::ZERO;
        }
        let slots = u32::try_from(allowed.max(1)).unwrap_or(u32::MAX);
        let busy = u32::try_from(self.busy()).unwrap_or(u32::MAX);
        // A job in flight is on average half done.
        let in_flight = self.queue.mean_cost() * busy / 2;
        (ahead + in_flight) / slots
    }

    pub(super) fn dispatch(&mut self, cx: &mut Cx<'_>) {
        if self.health.is_doubted() {
            return;
        }
        while !self.queue.is_empty() {
            if self.busy() >= self.allowed() {
                return self.limit.observe_full();
            }
            let Some(connection) = self.connections.idle(Role::Data) else { return };
            let Some(job) = self.queue.pop() else { return };
            if self.is_hopeless(cx, &job) {
                self.queue.settle(&job, Duration::ZERO);
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

    /// Answers what has run out of time and gives up connections that fell
    /// silent.
    pub(super) fn expire(&mut self, cx: &mut Cx<'_>) {
        for job in self.queue.take_expired(cx.now) {
            self.reply(cx, &job, not_run(Missing::Deadline), None);
        }
        let late = self.in_flight.values().filter(|it| !it.has_part);
        let late = late.filter(|it| it.job.batch.deadline <= cx.now);
        for attempt in late.map(|it| it.job.attempt).collect::<Vec<_>>() {
            self.give_up_waiting(cx, attempt);
        }
        let silent = self.in_flight.values().filter(|it| self.is_silent(cx, it));
        for attempt in silent.map(|it| it.job.attempt).collect::<Vec<_>>() {
            self.condemn(cx, attempt);
        }
    }

    pub(super) fn reply_to(&mut self, cx: &mut Cx<'_>, entry: &InFlight, result: PartResult) {
        if !entry.has_part {
            self.reply(cx, &entry.job, result, Some(entry.sent_at));
        }
    }

    fn allowed(&self) -> usize {
        let slots = self.share.map_or(0, |it| it.slots.min(self.limit.get()));
        slots as usize
    }

    fn send(&mut self, cx: &mut Cx<'_>, connection: crate::owner::ConnectionId, job: Job) {
        let in_flight = self.busy() + 1;
        let allowed = self.allowed();
        always!(in_flight <= allowed, "owner-in-flight-limit", "{in_flight} of {allowed}");
        always!(!self.is_lease_stale(cx.now), "owner-no-send-on-stale-lease");
        always!(
            self.is_domain_in && !self.is_leaving(),
            "owner-no-send-to-leaving",
            "{}",
            self.document.name
        );
        let valid_until = self.share.and_then(|it| it.valid_until);
        self.connections.set(cx.now, connection, State::Serving(job.attempt));
        let entry = InFlight {
            job: job.clone(),
            connection,
            sent_at: cx.now,
            has_part: false,
            cancellation: Cancellation::None,
        };
        self.in_flight.insert(job.attempt, entry);
        let target = self.document.name.clone();
        cx.actions.push(Action::Send { target, connection, job, valid_until });
    }

    /// Whether a new job would not be done in time. A job that need not wait
    /// is never refused, so that a wrong estimate cannot keep itself alive.
    fn would_be_late(&self, cx: &Cx<'_>, job: &Job) -> bool {
        if cx.settings.early_refusal == EarlyRefusal::Off {
            return false;
        }
        let service = &job.batch.service;
        let wait = self.predicted_wait(self.queue.work_ahead(service, job.batch.weight));
        let needed = wait * WAIT_MARGIN + self.queue.cost(service);
        !wait.is_zero() && cx.now + needed > job.batch.deadline
    }

    /// Whether the time left is too short even for a quick answer, while
    /// others could use the slot.
    fn is_hopeless(&self, cx: &Cx<'_>, job: &Job) -> bool {
        if cx.now >= job.batch.deadline {
            return true;
        }
        let is_wanted = cx.settings.early_refusal == EarlyRefusal::On && !self.queue.is_empty();
        is_wanted && cx.now + self.queue.cost(&job.batch.service) / 2 > job.batch.deadline
    }

    fn is_silent(&self, cx: &Cx<'_>, entry: &InFlight) -> bool {
        // Answers that came during a pause have yet to be read.
        if cx.now < cx.woke_at + OVERDUE_GRACE {
            return false;
        }
        if cx.now >= entry.job.batch.deadline + OVERDUE_GRACE {
            return true;
        }
        // Its result is still wanted, so only idempotent work is given up.
        let usual = self.queue.mean_cost();
        let bound = (usual * OVERDUE_FACTOR).max(OVERDUE_FLOOR);
        let is_overtaken = self.proven_at.is_some_and(|it| it > entry.sent_at);
        entry.job.batch.is_idempotent && is_overtaken && cx.now.since(entry.sent_at) > bound
    }

    /// Has the target told once. Work that may not run twice is never broken
    /// off midway.
    fn cancel_in_flight(&mut self, attempt: AttemptId) {
        let Some(entry) = self.in_flight.get_mut(&attempt) else { return };
        if entry.job.batch.is_idempotent && entry.cancellation == Cancellation::None {
            entry.cancellation = Cancellation::Asked;
            self.cancels.push_back(attempt);
        }
    }

    fn give_up_waiting(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        let Some(entry) = self.in_flight.get_mut(&attempt) else { return };
        entry.has_part = true;
        let job = entry.job.clone();
        let sent_at = entry.sent_at;
        self.cancel_in_flight(attempt);
        self.reply(cx, &job, may_have_run(Missing::Deadline), Some(sent_at));
    }

    /// Closes the connection of an attempt that gets no answer, and those
    /// that have shown no life since that attempt was sent: what loses track
    /// of one connection often loses them all.
    fn condemn(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        let Some(entry) = self.in_flight.remove(&attempt) else { return };
        self.blame_for_silence(cx, &entry);
        self.abandon(cx, &entry);
        self.close(cx, entry.connection, CloseCause::Silent);
        while let Some(id) = self.connections.idle_since_before(entry.sent_at) {
            self.close(cx, id, CloseCause::Silent);
        }
        while let Some(used) = self.connections.controlling_for(cx.now, OVERDUE_GRACE) {
            self.close(cx, used.id, CloseCause::Silent);
            if let State::Cancelling(attempt) = used.state {
                self.observe_cancellation(attempt, false);
            }
        }
        let used = cx.now.since(entry.sent_at);
        self.queue.settle(&entry.job, used);
        self.queue.learn(&entry.job, used);
        self.reply_to(cx, &entry, may_have_run(Missing::Deadline));
    }

    /// Keeps the slot of an attempt that the target may still run.
    fn abandon(&mut self, cx: &Cx<'_>, entry: &InFlight) {
        if entry.cancellation == Cancellation::Confirmed {
            return;
        }
        let attempt = entry.job.attempt;
        self.abandoned.push(Abandoned { attempt, until: cx.now + ABANDONED_HOLD });
        let is_under_way = self.connections.iter().any(|it| it.state == State::Cancelling(attempt));
        if entry.job.batch.is_idempotent && !is_under_way && !self.cancels.contains(&attempt) {
            self.cancels.push_back(attempt);
        }
    }

    /// Frees the slot of an attempt whose cancellation the target confirmed;
    /// one that got no answer is asked again while the slot is held.
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

    /// Slots in use, as far as is known.
    pub(super) fn busy(&self) -> usize {
        self.in_flight.len() + self.abandoned.len()
    }

    /// Doubts the target if nothing sent later was answered, and treats it as
    /// cold if a connection fell silent that was opened after an earlier one
    /// had: then it is not the connections.
    fn blame_for_silence(&mut self, cx: &mut Cx<'_>, entry: &InFlight) {
        if self.proven_at.is_none_or(|it| it <= entry.sent_at) {
            self.health.observe_doubt();
        }
        let silent_since = *self.silent_since.get_or_insert(cx.now);
        let opened_at = self.connections.get(entry.connection).map(|it| it.opened_at);
        if opened_at.is_some_and(|it| it >= silent_since) {
            self.lower_limit(cx, LimitCause::NoAnswer);
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
