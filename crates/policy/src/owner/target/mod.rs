//! State machine of one target.
//!
//! `assignment` handles the share and the configuration, `dispatch` the work
//! (accept, refuse, send, reply), `maintenance` connections and probes, and
//! `capacity` the effect of results on limit and health. Inputs that change
//! the state end in [`TargetCore::advance`], which brings work and connections
//! in line with it.

mod assignment;
mod capacity;
mod dispatch;
mod maintenance;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use base::{AttemptId, HashMap, Missing, Share, TargetName, Time};
use documents::{Target, model::PolicySettings};
use rand::rngs::SmallRng;

pub(super) use self::assignment::LimitHint;
use self::dispatch::not_run;
use super::{
    action::{Action, CloseCause, Job, LimitCause, TargetEvent},
    connections::{ConnectionState, Connections},
    health::Health,
    input::{AttemptResult, ConnectionId, ControlResult, LoadReport},
    limit::Limit,
    queue::FairQueue,
    result_check::{self, CapacitySignal, CheckedResult},
};
use crate::message::TargetStatus;

/// Shared state of the owner that a target uses while it handles an input.
pub(super) struct Cx<'a> {
    pub now: Time,
    /// Time at which the last pause of this process ended.
    pub resumed_at: Time,
    pub settings: &'a PolicySettings,
    pub rng: &'a mut SmallRng,
    /// Subqueries without a part so far, with their targets.
    pub pending: &'a mut HashMap<AttemptId, TargetName>,
    pub actions: &'a mut Vec<Action>,
}

#[derive(Clone, Debug)]
pub(super) struct TargetCore {
    document: Arc<Target>,
    /// None once the target is released.
    share: Option<Share>,
    released_at: Time,
    /// Limit proven by the former owner; applied when the first connection
    /// opens.
    hint: Option<LimitHint>,
    is_domain_in: bool,
    queue: FairQueue,
    limit: Limit,
    connections: Connections,
    health: Health,
    in_flight: HashMap<AttemptId, InFlight>,
    abandoned: Vec<Abandoned>,
    /// Attempts to cancel at the target.
    cancels: VecDeque<AttemptId>,
    /// Latest start time of an attempt, probe, cancellation or connection
    /// opening that succeeded.
    alive_as_of: Option<Time>,
    /// Time at which a connection first fell silent since the last answer.
    silent_since: Option<Time>,
    /// Time before which no connection is opened.
    open_after: Time,
}

#[derive(Clone, Debug)]
struct InFlight {
    job: Job,
    connection: ConnectionId,
    sent_at: Time,
    /// Whether the part was sent already, because the deadline passed.
    is_replied: bool,
    cancellation: Cancellation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cancellation {
    None,
    Requested,
    /// The target confirmed that it no longer runs the attempt.
    Confirmed,
}

/// An attempt whose connection was closed without an answer and which the
/// target may still run. It holds a slot until the target confirms its
/// cancellation, a new incarnation is seen, or `until` is reached.
#[derive(Clone, Copy, Debug)]
struct Abandoned {
    attempt: AttemptId,
    until: Time,
}

impl TargetCore {
    /// Creates the state of a target of which nothing is known, so that it
    /// counts as cold.
    pub fn new(cx: &mut Cx<'_>, document: Arc<Target>, is_domain_in: bool) -> Self {
        let limit = Limit::new(cx.now, cx.settings.warm_up, document.slots, document.cold_slots);
        TargetCore {
            document,
            share: None,
            released_at: cx.now,
            hint: None,
            is_domain_in,
            queue: FairQueue::new(cx.settings.fair_turns),
            limit,
            connections: Connections::default(),
            health: Health::default(),
            in_flight: HashMap::default(),
            abandoned: Vec::new(),
            cancels: VecDeque::new(),
            alive_as_of: None,
            silent_since: None,
            open_after: cx.now,
        }
    }

    pub fn document(&self) -> &Arc<Target> {
        &self.document
    }

    pub fn is_assigned(&self) -> bool {
        self.share.is_some()
    }

    /// Returns whether nothing is in flight, including attempts that were
    /// replied to already.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    pub fn prune_services(&mut self, keep: impl Fn(&base::ServiceName) -> bool) {
        self.queue.prune(keep);
    }

    pub fn opened(&mut self, cx: &mut Cx<'_>, connection: ConnectionId, report: &LoadReport) {
        let Some(opened) = self.connections.get(connection) else { return };
        self.alive_as_of = self.alive_as_of.max(Some(opened.since));
        self.connections.set(cx.now, connection, ConnectionState::Idle);
        let change = self.health.observe_opened(cx.now, report);
        self.apply_health_change(cx, change);
        self.apply_hint(cx);
        self.advance(cx);
    }

    pub fn open_failed(&mut self, cx: &mut Cx<'_>, connection: ConnectionId) {
        if self.connections.remove(connection).is_none() {
            return;
        }
        cx.actions.push(Action::Close { target: self.document.name.clone(), connection });
        self.handle_open_failure(cx);
        self.advance(cx);
    }

    pub fn control_finished(
        &mut self,
        cx: &mut Cx<'_>,
        connection: ConnectionId,
        result: ControlResult,
    ) {
        let Some(&used) = self.connections.get(connection) else { return };
        if let ConnectionState::Cancelling(attempt) = used.state {
            self.observe_cancellation(attempt, result == ControlResult::Cancelled);
        }
        if result == ControlResult::Failed {
            self.close_early(cx, connection, CloseCause::Silent);
            self.health.mark_suspect();
            return self.advance(cx);
        }
        self.alive_as_of = self.alive_as_of.max(Some(used.since));
        self.connections.set(cx.now, connection, ConnectionState::Idle);
        self.health.clear_suspicion();
        if let ControlResult::Report(report) = result {
            let change = self.health.observe_report(cx.now, &report);
            self.apply_health_change(cx, change);
        }
        self.advance(cx);
    }

    pub fn attempt_finished(
        &mut self,
        cx: &mut Cx<'_>,
        connection: ConnectionId,
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        // A job that was put back may be in flight on another connection.
        if self.in_flight.get(&attempt).is_none_or(|it| it.connection != connection) {
            return;
        }
        let Some(entry) = self.in_flight.remove(&attempt) else { return };
        self.cancels.retain(|it| *it != attempt);
        let CheckedResult { result, keeps_connection, head, signal } =
            result_check::check_result(&entry.job, result);
        if keeps_connection {
            self.connections.set(cx.now, entry.connection, ConnectionState::Idle);
        } else {
            let cause = match signal {
                CapacitySignal::Lost | CapacitySignal::NotSent => CloseCause::Lost,
                _ => CloseCause::WrongAnswer,
            };
            self.close_early(cx, entry.connection, cause);
        }
        self.apply_signal(cx, &entry, signal);
        if let Some(head) = head {
            let change = self.health.observe_answer(cx.now, &head);
            self.apply_health_change(cx, change);
        }
        if signal == CapacitySignal::NotSent && entry.cancellation != Cancellation::None {
            self.queue.settle_cost(&entry.job, Duration::ZERO);
            self.reply_in_flight(cx, &entry, not_run(Missing::Cancelled));
        } else if signal == CapacitySignal::NotSent && !entry.is_replied {
            // Nothing was sent, so the job can wait for another connection.
            self.queue.push_front(entry.job);
        } else {
            let used = cx.now.since(entry.sent_at);
            self.queue.settle_cost(&entry.job, used);
            if matches!(signal, CapacitySignal::Answered | CapacitySignal::TimedOut) {
                self.queue.record_cost(&entry.job, used);
            }
            self.reply_in_flight(cx, &entry, result);
        }
        self.advance(cx);
    }

    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.expire(cx);
        self.abandoned.retain(|it| cx.now < it.until);
        if self.limit.is_long_idle(cx.now) {
            self.reset_limit(cx, LimitCause::LongIdle);
        }
        self.advance(cx);
    }

    pub fn status(&self, now: Time) -> TargetStatus {
        let slot_limit = self.share.map_or(0, |it| it.slots.min(self.limit.get()));
        TargetStatus {
            target: self.document.name.clone(),
            incarnation: self.health.incarnation(),
            is_leaving: self.is_leaving() || !self.is_domain_in,
            is_up: self.health.is_up() && !self.is_lease_stale(now),
            limit: slot_limit,
            in_flight: u32::try_from(self.slots_in_use()).unwrap_or(u32::MAX),
            // The same for all services, so that an entry host can compare
            // targets by statuses that came with different requests.
            wait: self.predicted_wait(self.queue.work_ahead_of_new_flow()),
            snapshots: self.health.snapshots().to_vec(),
        }
    }

    /// Brings work and connections in line with the current state.
    fn advance(&mut self, cx: &mut Cx<'_>) {
        match self.unavailable_reason(cx.now) {
            Some(missing) => self.fail_queue(cx, missing),
            None => self.dispatch(cx),
        }
        self.maintain_connections(cx);
    }

    /// Returns the reason why the target gets no new work, if there is one.
    fn unavailable_reason(&self, now: Time) -> Option<Missing> {
        if self.share.is_none_or(|it| it.slots == 0) || self.is_lease_stale(now) {
            return Some(Missing::OwnerUnreachable);
        }
        if !self.is_domain_in {
            return Some(Missing::DomainOut);
        }
        if self.is_leaving() {
            return Some(Missing::TargetLeaving);
        }
        self.health.is_down().then_some(Missing::NoTarget)
    }

    fn is_leaving(&self) -> bool {
        self.document.leaving || self.health.is_leaving()
    }

    fn is_lease_stale(&self, now: Time) -> bool {
        self.share.and_then(|it| it.valid_until).is_some_and(|it| now > it)
    }

    fn emit(&self, cx: &mut Cx<'_>, event: TargetEvent) {
        cx.actions.push(Action::Emit { target: self.document.name.clone(), event });
    }
}
