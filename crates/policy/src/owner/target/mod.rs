//! One target: what it is told, and what is on the way to it.
//!
//! `assignment` says what this host may use of it, `dispatch` decides on work
//! (accept, refuse, send, reply), `maintenance` on connections and probes, and
//! `capacity` on what results say of the target. Every input ends in
//! [`TargetCore::advance`], which brings work and connections in line with
//! what is now believed.

mod assignment;
mod capacity;
mod dispatch;
mod maintenance;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use base::{AttemptId, HashMap, Missing, Share, TargetName, Time};
use documents::{Target, model::PolicySettings};
use rand::rngs::SmallRng;

pub(super) use self::assignment::Hint;
use self::dispatch::not_run;
use super::{
    action::{Action, CloseCause, Job, LimitCause, TargetEvent},
    connections::{Connections, State},
    health::Health,
    input::{AttemptResult, ConnectionId, ControlResult, LoadReport},
    limit::Limit,
    queue::FairQueue,
    result_check::{self, CapacitySignal, CheckedResult},
};
use crate::message::TargetStatus;

/// What a target needs of the machine while it handles an input.
pub(super) struct Cx<'a> {
    pub now: Time,
    /// End of the last pause of this process.
    pub woke_at: Time,
    pub settings: &'a PolicySettings,
    pub rng: &'a mut SmallRng,
    /// Subqueries that have had no part yet, with their targets.
    pub pending: &'a mut HashMap<AttemptId, TargetName>,
    pub actions: &'a mut Vec<Action>,
}

#[derive(Clone, Debug)]
pub(super) struct TargetCore {
    document: Arc<Target>,
    /// None once the target is let go.
    share: Option<Share>,
    let_go_at: Time,
    /// What the former owner proved; looked at when the first connection opens.
    hint: Option<Hint>,
    is_domain_in: bool,
    queue: FairQueue,
    limit: Limit,
    connections: Connections,
    health: Health,
    in_flight: HashMap<AttemptId, InFlight>,
    abandoned: Vec<Abandoned>,
    /// Attempts to cancel at the target.
    cancels: VecDeque<AttemptId>,
    /// Send time of the latest attempt or probe that was answered.
    proven_at: Option<Time>,
    /// When a connection first fell silent since the last answer.
    silent_since: Option<Time>,
    /// No connection is opened before.
    open_after: Time,
}

#[derive(Clone, Debug)]
struct InFlight {
    job: Job,
    connection: ConnectionId,
    sent_at: Time,
    /// Whether the part has gone out, because the deadline passed first.
    has_part: bool,
    cancellation: Cancellation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cancellation {
    None,
    Asked,
    /// The target said that it does not run the attempt any more.
    Confirmed,
}

/// An attempt whose connection was given up, and which the target may still
/// run. It holds a slot until the target confirms its cancellation, or for a
/// bounded time.
#[derive(Clone, Copy, Debug)]
struct Abandoned {
    attempt: AttemptId,
    until: Time,
}

impl TargetCore {
    /// A target of which nothing is known yet, so that it counts as cold.
    pub fn new(cx: &mut Cx<'_>, document: Arc<Target>, is_domain_in: bool) -> Self {
        let limit = Limit::new(cx.now, cx.settings.warm_up, document.slots, document.cold_slots);
        TargetCore {
            document,
            share: None,
            let_go_at: cx.now,
            hint: None,
            is_domain_in,
            queue: FairQueue::new(cx.settings.fair_turns),
            limit,
            connections: Connections::default(),
            health: Health::default(),
            in_flight: HashMap::default(),
            abandoned: Vec::new(),
            cancels: VecDeque::new(),
            proven_at: None,
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

    /// Whether nothing is in flight, whoever still waits for it.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    pub fn prune_services(&mut self, keep: impl Fn(&base::ServiceName) -> bool) {
        self.queue.prune(keep);
    }

    pub fn opened(&mut self, cx: &mut Cx<'_>, connection: ConnectionId, report: &LoadReport) {
        let Some(opened) = self.connections.get(connection) else { return };
        self.proven_at = self.proven_at.max(Some(opened.since));
        self.connections.set(cx.now, connection, State::Idle);
        let change = self.health.observe_opened(cx.now, report);
        self.apply(cx, change);
        self.take_hint(cx);
        self.advance(cx);
    }

    pub fn open_failed(&mut self, cx: &mut Cx<'_>, connection: ConnectionId) {
        if self.connections.remove(connection).is_none() {
            return;
        }
        cx.actions.push(Action::Close { target: self.document.name.clone(), connection });
        self.observe_refused(cx);
        self.advance(cx);
    }

    pub fn control_finished(
        &mut self,
        cx: &mut Cx<'_>,
        connection: ConnectionId,
        result: ControlResult,
    ) {
        let Some(&used) = self.connections.get(connection) else { return };
        if let State::Cancelling(attempt) = used.state {
            self.observe_cancellation(attempt, result == ControlResult::Cancelled);
        }
        if result == ControlResult::Failed {
            self.close(cx, connection, CloseCause::Silent);
            self.health.observe_doubt();
            return self.advance(cx);
        }
        self.proven_at = self.proven_at.max(Some(used.since));
        self.connections.set(cx.now, connection, State::Idle);
        self.health.observe_alive();
        if let ControlResult::Report(report) = result {
            let change = self.health.observe_report(cx.now, &report);
            self.apply(cx, change);
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
        // A job that was put back may be in flight again, elsewhere.
        if self.in_flight.get(&attempt).is_none_or(|it| it.connection != connection) {
            return;
        }
        let Some(entry) = self.in_flight.remove(&attempt) else { return };
        self.cancels.retain(|it| *it != attempt);
        let CheckedResult { result, keeps_connection, head, signal } =
            result_check::check_result(&entry.job, result);
        if keeps_connection {
            self.connections.set(cx.now, entry.connection, State::Idle);
        } else {
            let cause = match signal {
                CapacitySignal::Lost | CapacitySignal::NotSent => CloseCause::Lost,
                _ => CloseCause::WrongAnswer,
            };
            self.close(cx, entry.connection, cause);
        }
        self.observe_proof(cx, &entry, signal);
        if let Some(head) = head {
            let change = self.health.observe_answer(cx.now, &head);
            self.apply(cx, change);
        }
        if signal == CapacitySignal::NotSent && entry.cancellation != Cancellation::None {
            self.queue.settle(&entry.job, Duration::ZERO);
            self.reply_to(cx, &entry, not_run(Missing::Cancelled));
        } else if signal == CapacitySignal::NotSent && !entry.has_part {
            // Nothing was sent, so the job waits for another connection.
            self.queue.push_front(entry.job);
        } else {
            let used = cx.now.since(entry.sent_at);
            self.queue.settle(&entry.job, used);
            if matches!(signal, CapacitySignal::Answered | CapacitySignal::TimedOut) {
                self.queue.learn(&entry.job, used);
            }
            self.reply_to(cx, &entry, result);
        }
        self.advance(cx);
    }

    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.expire(cx);
        self.abandoned.retain(|it| cx.now < it.until);
        if self.limit.is_long_idle(cx.now) {
            self.lower_limit(cx, LimitCause::LongIdle);
        }
        self.advance(cx);
    }

    pub fn status(&self, now: Time) -> TargetStatus {
        let allowed = self.share.map_or(0, |it| it.slots.min(self.limit.get()));
        TargetStatus {
            target: self.document.name.clone(),
            incarnation: self.health.incarnation(),
            is_leaving: self.is_leaving() || !self.is_domain_in,
            is_up: self.health.is_up() && !self.is_lease_stale(now),
            limit: allowed,
            in_flight: u32::try_from(self.busy()).unwrap_or(u32::MAX),
            // The same for all services, so that entries can compare targets
            // by what different requests heard.
            wait: self.predicted_wait(self.queue.work_ahead_of_fresh()),
            snapshots: self.health.snapshots().to_vec(),
        }
    }

    /// Brings work and connections in line with what is now believed.
    fn advance(&mut self, cx: &mut Cx<'_>) {
        match self.closed_for_work(cx.now) {
            Some(missing) => self.fail_queue(cx, missing),
            None => self.dispatch(cx),
        }
        self.keep_connections(cx);
    }

    /// Why the target gets no new work, if it gets none.
    fn closed_for_work(&self, now: Time) -> Option<Missing> {
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
