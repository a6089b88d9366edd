//! The owner of all targets assigned to this host: hands each input to the
//! target it concerns and keeps the set of targets in line with the
//! configuration and the shares.

use std::{sync::Arc, time::Duration};

use base::{AttemptId, HashMap, Missing, Outcome, PoolName, ServiceName, Share, TargetName, Time};
use documents::{Configuration, model::PolicySettings};
use rand::{SeedableRng, rngs::SmallRng};

use super::{
    action::{Action, Job, JobBatch},
    input::{Input, RequesterId},
    target::{Cx, Hint, TargetCore},
};
use crate::message::{Batch, Part, PartResult, Subquery, TargetStatus};

/// Time between two ticks from which the process counts as having paused.
const PAUSE: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
pub struct OwnerCore {
    settings: PolicySettings,
    rng: SmallRng,
    configuration: Arc<Configuration>,
    shares: HashMap<TargetName, Share>,
    targets: HashMap<TargetName, TargetCore>,
    hints: HashMap<TargetName, Hint>,
    /// Subqueries that have had no part yet, with their targets.
    pending: HashMap<AttemptId, TargetName>,
    is_draining: bool,
    ticked_at: Time,
    woke_at: Time,
}

impl OwnerCore {
    pub fn new(settings: PolicySettings, seed: u64) -> Self {
        OwnerCore {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            configuration: Arc::default(),
            shares: HashMap::default(),
            targets: HashMap::default(),
            hints: HashMap::default(),
            pending: HashMap::default(),
            is_draining: false,
            ticked_at: Time::ZERO,
            woke_at: Time::ZERO,
        }
    }

    /// Handles one input; what is to be done is appended to `actions`.
    pub fn handle(&mut self, now: Time, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Submit { requester, batch } => self.submit(now, requester, &batch, actions),
            Input::Cancel { request: _, attempts } => self.cancel(now, &attempts, actions),
            Input::AttemptFinished { target, connection, attempt, result } => {
                self.with(now, &target, actions, |it, cx| {
                    it.attempt_finished(cx, connection, attempt, result);
                });
            }
            Input::Opened { target, connection, report } => {
                self.with(now, &target, actions, |it, cx| it.opened(cx, connection, &report));
            }
            Input::OpenFailed { target, connection } => {
                self.with(now, &target, actions, |it, cx| it.open_failed(cx, connection));
            }
            Input::ControlFinished { target, connection, result } => {
                self.with(now, &target, actions, |it, cx| {
                    it.control_finished(cx, connection, result)
                });
            }
            Input::Configure(configuration) => {
                self.configuration = configuration;
                self.reconcile(now, actions);
            }
            Input::Assign(shares) => {
                self.shares = shares.into_iter().collect();
                self.reconcile(now, actions);
            }
            Input::Learn(statuses) => self.learn(now, statuses),
            Input::Drain => self.is_draining = true,
            Input::Tick => self.tick(now, actions),
        }
    }

    /// Whether nothing is queued and nothing is in flight at any target.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.targets.values().all(TargetCore::is_idle)
    }

    /// What is known of the assigned targets, or of those of one pool.
    pub fn status(&self, now: Time, pool: Option<&PoolName>) -> Vec<TargetStatus> {
        let is_wanted = |it: &&TargetCore| pool.is_none_or(|name| it.document().pool == *name);
        let assigned = self.targets.values().filter(|it| it.is_assigned()).filter(is_wanted);
        assigned.map(|it| it.status(now)).collect()
    }

    fn submit(
        &mut self,
        now: Time,
        requester: RequesterId,
        batch: &Batch,
        actions: &mut Vec<Action>,
    ) {
        let shared = Arc::new(JobBatch::new(batch, self.weight(&batch.service), now));
        for subquery in &batch.subqueries {
            if self.pending.contains_key(&subquery.attempt) {
                // The first of the two runs; of this one nothing is vouched.
                let outcome = Outcome::MayHaveRun;
                actions.push(unplaced(requester, subquery, Missing::Refused, outcome));
                continue;
            }
            let is_known = self.targets.contains_key(&subquery.target);
            if self.is_draining || !is_known {
                let missing = if is_known { Missing::Refused } else { Missing::OwnerUnreachable };
                actions.push(unplaced(requester, subquery, missing, Outcome::NotRun));
                continue;
            }
            let job = Job {
                attempt: subquery.attempt,
                shard: subquery.shard,
                requester,
                queued_at: now,
                charged: Duration::ZERO,
                batch: Arc::clone(&shared),
            };
            self.pending.insert(subquery.attempt, subquery.target.clone());
            self.with(now, &subquery.target, actions, |it, cx| it.submit(cx, job));
        }
    }

    fn cancel(&mut self, now: Time, attempts: &[AttemptId], actions: &mut Vec<Action>) {
        for &attempt in attempts {
            let Some(target) = self.pending.get(&attempt).cloned() else { continue };
            self.with(now, &target, actions, |it, cx| it.cancel(cx, attempt));
        }
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.ticked_at) >= PAUSE {
            self.woke_at = now;
        }
        self.ticked_at = now;
        let OwnerCore { settings, rng, targets, pending, woke_at, .. } = self;
        for target in targets.values_mut() {
            target.tick(&mut Cx { now, woke_at: *woke_at, settings, rng, pending, actions });
        }
        targets.retain(|_, it| !it.is_forgotten(now));
    }

    /// Remembers what other owners have proven, for targets that may come here.
    fn learn(&mut self, now: Time, statuses: Vec<TargetStatus>) {
        self.hints.retain(|_, it| it.is_fresh(now));
        for status in statuses {
            let is_own = self.targets.get(&status.target).is_some_and(TargetCore::is_assigned);
            if !is_own && self.configuration.target(&status.target).is_some() {
                let hint = Hint::new(now, &status);
                self.hints.insert(status.target, hint);
            }
        }
    }

    /// Brings the targets in line with the configuration and the shares.
    fn reconcile(&mut self, now: Time, actions: &mut Vec<Action>) {
        let woke_at = self.woke_at;
        let OwnerCore { settings, rng, configuration, shares, targets, hints, pending, .. } = self;
        let mut cx = Cx { now, woke_at, settings, rng, pending, actions };
        for (name, target) in targets.iter_mut() {
            target.prune_services(|it| configuration.services.contains_key(it));
            let document = configuration.target(name);
            if let Some(document) = document {
                let is_domain_in = configuration.is_domain_in(&document.domain);
                target.configure(&mut cx, Arc::clone(document), is_domain_in);
            }
            if document.is_none() || !shares.contains_key(name) {
                target.let_go(&mut cx);
            }
        }
        for (name, &share) in shares.iter() {
            let Some(document) = configuration.target(name) else { continue };
            let is_domain_in = configuration.is_domain_in(&document.domain);
            let target = targets
                .entry(name.clone())
                .or_insert_with(|| TargetCore::new(&mut cx, Arc::clone(document), is_domain_in));
            target.assign(&mut cx, share, hints.remove(name));
        }
        targets.retain(|_, it| !it.is_forgotten(now));
    }

    /// Runs `handle` on a target, if there is one of that name.
    fn with(
        &mut self,
        now: Time,
        name: &TargetName,
        actions: &mut Vec<Action>,
        handle: impl FnOnce(&mut TargetCore, &mut Cx<'_>),
    ) {
        let OwnerCore { settings, rng, targets, pending, woke_at, .. } = self;
        let Some(target) = targets.get_mut(name) else { return };
        handle(target, &mut Cx { now, woke_at: *woke_at, settings, rng, pending, actions });
    }

    fn weight(&self, service: &ServiceName) -> u32 {
        self.configuration.services.get(service).map_or(1, |it| it.weight)
    }
}

/// The part of a subquery that no target took.
fn unplaced(
    requester: RequesterId,
    subquery: &Subquery,
    missing: Missing,
    outcome: Outcome,
) -> Action {
    let part = Part {
        attempt: subquery.attempt,
        shard: subquery.shard,
        target: subquery.target.clone(),
        result: PartResult::Failed { missing, outcome },
        queued: Duration::ZERO,
        service_time: Duration::ZERO,
        status: None,
    };
    Action::Reply { requester, part }
}
