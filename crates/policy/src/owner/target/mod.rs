//! One target: what it is told, and what is on the way to it.
//!
//! `dispatch` decides on work (accept, refuse, send, reply), `upkeep` on
//! connections and probes. Every input ends in [`TargetCore::advance`], which
//! brings both in line with what is now believed.

mod dispatch;
mod upkeep;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use base::{AttemptId, HashMap, Incarnation, Missing, Share, TargetName, Time};
use documents::{Target, model::PolicySettings};
use rand::rngs::SmallRng;

use super::{
    action::{Action, CloseCause, Job, LimitCause, Note},
    connections::{Connections, State},
    input::{AttemptResult, ConnectionId, ControlResult, LoadReport},
    limit::{Limit, LimitChange},
    queue::FairQueue,
    trust::{Trust, TrustChange},
    verdict::{self, Proof, Verdict},
};
use crate::message::TargetStatus;

/// What is known of a target that was let go is kept so long.
const MEMORY: Duration = Duration::from_secs(30);
/// Age up to which another owner's word counts.
const HINT_FRESH: Duration = Duration::from_secs(5);

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
    trust: Trust,
    in_flight: HashMap<AttemptId, InFlight>,
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
    is_cancelled: bool,
}

/// What another owner last said that a target bears.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hint {
    incarnation: Incarnation,
    limit: u32,
    told_at: Time,
}

impl Hint {
    pub fn new(now: Time, status: &TargetStatus) -> Self {
        Hint { incarnation: status.incarnation, limit: status.limit, told_at: now }
    }

    pub fn is_fresh(&self, now: Time) -> bool {
        now.since(self.told_at) < HINT_FRESH
    }
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
            trust: Trust::default(),
            in_flight: HashMap::default(),
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

    /// Whether a target that was let go is done with, and so long ago that
    /// nothing known of it is worth keeping.
    pub fn is_forgotten(&self, now: Time) -> bool {
        let is_gone = self.share.is_none() && self.is_idle() && self.connections.len() == 0;
        is_gone && now.since(self.let_go_at) >= MEMORY
    }

    pub fn prune_services(&mut self, keep: impl Fn(&base::ServiceName) -> bool) {
        self.queue.prune(keep);
    }

    pub fn assign(&mut self, cx: &mut Cx<'_>, share: Share, hint: Option<Hint>) {
        let was_cold = self.share.is_some_and(|it| it.starts_cold);
        let size = self.share.map(|it| (it.slots, it.connections));
        if size != Some((share.slots, share.connections)) {
            let note = Note::Assigned { slots: share.slots, connections: share.connections };
            self.note(cx, note);
        }
        if self.share.is_none() {
            self.hint = hint.filter(|it| it.is_fresh(cx.now) && !share.starts_cold);
        }
        self.share = Some(share);
        self.resize_limit();
        if share.starts_cold && !was_cold {
            self.lower_limit(cx, LimitCause::StartsCold);
        }
        self.advance(cx);
    }

    pub fn let_go(&mut self, cx: &mut Cx<'_>) {
        if self.share.take().is_some() {
            self.let_go_at = cx.now;
            self.note(cx, Note::LetGo);
        }
        self.advance(cx);
    }

    pub fn configure(&mut self, cx: &mut Cx<'_>, document: Arc<Target>, is_domain_in: bool) {
        let has_moved = document.address != self.document.address;
        self.document = document;
        self.resize_limit();
        if has_moved {
            self.forget_connections(cx);
            self.lower_limit(cx, LimitCause::NewIncarnation);
        }
        if is_domain_in && !self.is_domain_in {
            self.lower_limit(cx, LimitCause::DomainReturned);
        }
        self.is_domain_in = is_domain_in;
        self.advance(cx);
    }

    pub fn opened(&mut self, cx: &mut Cx<'_>, connection: ConnectionId, report: &LoadReport) {
        let Some(opened) = self.connections.get(connection) else { return };
        self.proven_at = self.proven_at.max(Some(opened.since));
        self.connections.set(cx.now, connection, State::Idle);
        let change = self.trust.observe_opened(cx.now, report);
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

    pub fn controlled(&mut self, cx: &mut Cx<'_>, connection: ConnectionId, result: ControlResult) {
        let Some(used) = self.connections.get(connection) else { return };
        if result == ControlResult::Failed {
            self.close(cx, connection, CloseCause::Silent);
            self.trust.observe_doubt();
            return self.advance(cx);
        }
        self.proven_at = self.proven_at.max(Some(used.since));
        self.connections.set(cx.now, connection, State::Idle);
        self.trust.observe_alive();
        if let ControlResult::Report(report) = result {
            let change = self.trust.observe_report(cx.now, &report);
            self.apply(cx, change);
        }
        self.advance(cx);
    }

    pub fn finished(
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
        let Verdict { result, keeps_connection, head, proof } = verdict::judge(&entry.job, result);
        if keeps_connection {
            self.connections.set(cx.now, entry.connection, State::Idle);
        } else {
            let cause = match proof {
                Proof::Lost | Proof::NotSent => CloseCause::Lost,
                _ => CloseCause::WrongAnswer,
            };
            self.close(cx, entry.connection, cause);
        }
        self.observe_proof(cx, &entry, proof);
        if let Some(head) = head {
            let change = self.trust.observe_answer(cx.now, &head);
            self.apply(cx, change);
        }
        if proof == Proof::NotSent && !entry.has_part {
            // Nothing was sent, so the job waits for another connection.
            self.queue.push_front(entry.job);
        } else {
            let used = cx.now.since(entry.sent_at);
            self.queue.settle(&entry.job, used);
            if matches!(proof, Proof::Answered | Proof::TimedOut) {
                self.queue.learn(&entry.job, used);
            }
            self.reply_to(cx, &entry, result);
        }
        self.advance(cx);
    }

    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.expire(cx);
        if self.limit.is_long_idle(cx.now) {
            self.lower_limit(cx, LimitCause::LongIdle);
        }
        self.advance(cx);
    }

    pub fn status(&self, now: Time) -> TargetStatus {
        let allowed = self.share.map_or(0, |it| it.slots.min(self.limit.get()));
        TargetStatus {
            target: self.document.name.clone(),
            incarnation: self.trust.incarnation(),
            is_leaving: self.is_leaving() || !self.is_domain_in,
            is_up: self.trust.is_up() && !self.is_lease_stale(now),
            limit: allowed,
            in_flight: u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX),
            wait: self.predicted_wait(self.queue.work()),
            snapshots: self.trust.snapshots().to_vec(),
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
        self.trust.is_down().then_some(Missing::NoTarget)
    }

    fn is_leaving(&self) -> bool {
        self.document.leaving || self.trust.is_leaving()
    }

    fn is_lease_stale(&self, now: Time) -> bool {
        self.share.and_then(|it| it.valid_until).is_some_and(|it| now > it)
    }

    /// Starts where the former owner was, if that was the same incarnation.
    fn take_hint(&mut self, cx: &mut Cx<'_>) {
        let Some(hint) = self.hint.take() else { return };
        if hint.incarnation == self.trust.incarnation() && hint.limit > self.limit.get() {
            self.limit.adopt(cx.now, hint.limit);
            self.note_limit(cx, Some(LimitChange::Raised));
        }
    }

    fn resize_limit(&mut self) {
        let share = self.share.map_or(0, |it| it.slots);
        self.limit.resize(self.document.slots, self.document.cold_slots);
        self.limit.set_share(share);
    }

    fn observe_proof(&mut self, cx: &mut Cx<'_>, entry: &InFlight, proof: Proof) {
        match proof {
            Proof::Answered => {
                self.proven_at = self.proven_at.max(Some(entry.sent_at));
                self.silent_since = None;
                let change = self.limit.observe_answer(cx.now, cx.now.since(entry.sent_at));
                self.note_limit(cx, change);
            }
            Proof::TimedOut => {
                let change = self.limit.observe_timeout(cx.now, cx.now.since(entry.sent_at));
                self.note_limit(cx, change);
            }
            Proof::Shed => self.lower_limit(cx, LimitCause::Shed),
            Proof::Lost => {
                self.trust.observe_doubt();
                self.lower_limit(cx, LimitCause::ConnectionLost);
            }
            Proof::NotSent => self.trust.observe_doubt(),
            Proof::None => {}
        }
    }

    fn apply(&mut self, cx: &mut Cx<'_>, change: TrustChange) {
        let incarnation = self.trust.incarnation();
        if change.is_now_up {
            self.note(cx, Note::Up { incarnation });
        }
        if change.is_new_incarnation {
            self.lower_limit(cx, LimitCause::NewIncarnation);
        }
        if change.is_now_unhealthy {
            self.lower_limit(cx, LimitCause::Unhealthy);
        }
        if change.is_now_leaving {
            self.note(cx, Note::Leaving { incarnation });
        }
    }

    fn lower_limit(&mut self, cx: &mut Cx<'_>, cause: LimitCause) {
        if self.limit.reset(cx.now) {
            self.note_limit(cx, Some(LimitChange::Lowered(cause)));
        }
    }

    fn note_limit(&self, cx: &mut Cx<'_>, change: Option<LimitChange>) {
        let to = self.limit.get();
        match change {
            Some(LimitChange::Raised) => self.note(cx, Note::LimitRaised { to }),
            Some(LimitChange::Lowered(cause)) => self.note(cx, Note::LimitLowered { to, cause }),
            None => {}
        }
    }

    fn note(&self, cx: &mut Cx<'_>, note: Note) {
        cx.actions.push(Action::Note { target: self.document.name.clone(), note });
    }
}
