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
    target::{Cx, TargetCore},
};
use crate::message::{Batch, Part, PartResult, Subquery, TargetStatus};

#[derive(Clone, Debug)]
pub struct OwnerCore {
    settings: PolicySettings,
    rng: SmallRng,
    configuration: Arc<Configuration>,
    shares: HashMap<TargetName, Share>,
    targets: HashMap<TargetName, TargetCore>,
    /// Subqueries that have had no part yet, with their targets.
    pending: HashMap<AttemptId, TargetName>,
    is_draining: bool,
}

impl OwnerCore {
    pub fn new(settings: PolicySettings, seed: u64) -> Self {
        OwnerCore {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            configuration: Arc::default(),
            shares: HashMap::default(),
            targets: HashMap::default(),
            pending: HashMap::default(),
            is_draining: false,
        }
    }

    /// Handles one input; what is to be done is appended to `actions`.
    pub fn handle(&mut self, now: Time, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Submit { requester, batch } => self.submit(now, requester, &batch, actions),
            Input::Cancel { request: _, attempts } => self.cancel(now, &attempts, actions),
            Input::Finished { target, connection, attempt, result } => {
                self.with(now, &target, actions, |it, cx| {
                    it.finished(cx, connection, attempt, result);
                });
            }
            Input::Opened { target, connection, report } => {
                self.with(now, &target, actions, |it, cx| it.opened(cx, connection, &report));
            }
            Input::OpenFailed { target, connection } => {
                self.with(now, &target, actions, |it, cx| it.open_failed(cx, connection));
            }
            Input::Controlled { target, connection, result } => {
                self.with(now, &target, actions, |it, cx| it.controlled(cx, connection, result));
            }
            Input::Configure(configuration) => {
                self.configuration = configuration;
                self.reconcile(now, actions);
            }
            Input::Assign(shares) => {
                self.shares = shares.into_iter().collect();
                self.reconcile(now, actions);
            }
            Input::Drain => self.is_draining = true,
            Input::Tick => self.tick(now, actions),
        }
    }

    /// Whether nothing is queued and every subquery has had its part.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
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
        let OwnerCore { settings, rng, targets, pending, .. } = self;
        for target in targets.values_mut() {
            target.tick(&mut Cx { now, settings, rng, pending, actions });
        }
        targets.retain(|_, it| !it.is_gone());
    }

    /// Brings the targets in line with the configuration and the shares.
    fn reconcile(&mut self, now: Time, actions: &mut Vec<Action>) {
        let OwnerCore { settings, rng, configuration, shares, targets, pending, .. } = self;
        let mut cx = Cx { now, settings, rng, pending, actions };
        for (name, target) in targets.iter_mut() {
            let document = configuration.target(name);
            if !shares.contains_key(name) || document.is_none() {
                target.let_go(&mut cx);
            }
            target.prune_services(|it| configuration.services.contains_key(it));
        }
        for (name, &share) in shares.iter() {
            let Some(document) = configuration.target(name) else { continue };
            let is_domain_in = configuration.is_domain_in(&document.domain);
            let target = targets
                .entry(name.clone())
                .or_insert_with(|| TargetCore::new(&mut cx, Arc::clone(document), is_domain_in));
            target.configure(&mut cx, Arc::clone(document), is_domain_in);
            target.assign(&mut cx, share);
        }
        targets.retain(|_, it| !it.is_gone());
    }

    /// Runs `handle` on a target, if there is one of that name.
    fn with(
        &mut self,
        now: Time,
        name: &TargetName,
        actions: &mut Vec<Action>,
        handle: impl FnOnce(&mut TargetCore, &mut Cx<'_>),
    ) {
        let OwnerCore { settings, rng, targets, pending, .. } = self;
        let Some(target) = targets.get_mut(name) else { return };
        handle(target, &mut Cx { now, settings, rng, pending, actions });
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
