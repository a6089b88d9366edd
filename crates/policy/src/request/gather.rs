//! Tracks one request's attempts, the shards that answered and the outcome so
//! far.
//!
//! A part counts as an answer only if its attempt is in flight, its shard and
//! target match the attempt, its snapshot is the pinned one and the deadline
//! has not passed. The outcome never goes back towards "not run".

use std::sync::Arc;

use base::{AttemptId, HashMap, HostName, Missing, Outcome, ShardId, Snapshot, TargetName, Time};

use crate::message::{Part, PartResult};

/// Why a subquery is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    First,
    Retry,
    Hedge,
    /// Sent again because the whole request moved to another snapshot.
    Restart,
}

/// One send of one subquery.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub shard: ShardId,
    pub target: TargetName,
    pub owner: HostName,
    pub kind: SendKind,
    pub sent: Time,
    pub snapshot: Snapshot,
    pub ended: Option<(Time, AttemptEnd)>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    Answered,
    Failed {
        missing: Missing,
        outcome: Outcome,
    },
    /// No longer awaited by this host; it may have run.
    Abandoned,
}

/// Effect of a received part on its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartEffect {
    /// The part belongs to no attempt in flight: it is late, duplicated or
    /// meant for another request.
    Ignored,
    Answered {
        shard: ShardId,
    },
    Failed {
        shard: ShardId,
        missing: Missing,
        outcome: Outcome,
    },
}

/// Shards that answered, out of the shards that the request asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Coverage {
    pub answered: u32,
    pub total: u32,
    pub missing: Vec<(ShardId, Missing)>,
}

impl Coverage {
    /// Returns the fraction of shards that answered, 0 to 1. It is 0 if there
    /// are no shards.
    pub fn ratio(&self) -> f64 {
        f64::from(self.answered) / f64::from(self.total.max(1))
    }
}

/// Shards and attempts of one request.
#[derive(Clone, Debug)]
pub struct Gather {
    snapshot: Snapshot,
    deadline: Time,
    shards: Vec<ShardState>,
    attempts: HashMap<AttemptId, Attempt>,
    /// Number of shards with an answer.
    answered: u32,
    /// Number of attempts in flight, over all shards.
    in_flight: u32,
    outcome: Outcome,
}

#[derive(Clone, Debug)]
struct ShardState {
    shard: ShardId,
    answer: Option<Arc<[u8]>>,
    in_flight: u32,
    /// All attempts for the shard, including those on earlier snapshots.
    attempts: Vec<AttemptId>,
    missing: Missing,
}

impl Gather {
    pub fn new(snapshot: Snapshot, shards: impl Iterator<Item = ShardId>, deadline: Time) -> Self {
        let shards = shards.map(|it| ShardState::new(it, Vec::new())).collect();
        let attempts = HashMap::default();
        Gather {
            snapshot,
            deadline,
            shards,
            attempts,
            answered: 0,
            in_flight: 0,
            outcome: Outcome::NotRun,
        }
    }

    /// Restarts on another snapshot: drops all answers and abandons attempts in
    /// flight, which are returned. The outcome so far is kept.
    pub fn restart(
        &mut self,
        now: Time,
        snapshot: Snapshot,
        shards: impl Iterator<Item = ShardId>,
    ) -> Vec<(AttemptId, HostName)> {
        let abandoned = self.abandon_in_flight(now);
        self.snapshot = snapshot;
        self.answered = 0;
        let mut attempts = self.attempts_by_shard();
        let mut attempts_for = |it| attempts.remove(&it).unwrap_or_default();
        self.shards = shards.map(|it| ShardState::new(it, attempts_for(it))).collect();
        abandoned
    }

    /// Adds an attempt that is being sent.
    pub fn add_attempt(&mut self, id: AttemptId, attempt: Attempt) {
        base::always!(attempt.snapshot == self.snapshot, "send-on-pinned-snapshot");
        let Some(shard) = self.shard_mut(attempt.shard) else { return };
        shard.in_flight += 1;
        shard.attempts.push(id);
        self.in_flight += 1;
        let former = self.attempts.insert(id, attempt);
        base::always!(former.is_none(), "attempt-id-unique", "attempt {id}");
    }

    /// Applies a received part, and returns its effect.
    pub fn accept(&mut self, now: Time, part: &Part) -> PartEffect {
        let (snapshot, deadline) = (self.snapshot, self.deadline);
        let Some(attempt) = self.attempts.get_mut(&part.attempt) else {
            return PartEffect::Ignored;
        };
        if attempt.ended.is_some() {
            return PartEffect::Ignored;
        }
        let shard = attempt.shard;
        let is_matching = part.shard == shard && part.target == attempt.target;
        let ended = evaluate(is_matching, now >= deadline, snapshot, &part.result);
        attempt.ended = Some((now, ended));
        let effect = match ended {
            AttemptEnd::Answered => PartEffect::Answered { shard },
            AttemptEnd::Failed { missing, outcome } => {
                PartEffect::Failed { shard, missing, outcome }
            }
            AttemptEnd::Abandoned => PartEffect::Ignored,
        };
        self.apply(shard, &part.result, effect);
        effect
    }

    /// Abandons all attempts in flight, and returns them with their owners.
    pub fn abandon_in_flight(&mut self, now: Time) -> Vec<(AttemptId, HostName)> {
        let mut abandoned = Vec::new();
        for i in 0..self.shards.len() {
            if self.in_flight == 0 {
                break;
            }
            self.abandon_shard(now, i, &mut abandoned);
        }
        abandoned
    }

    /// Abandons the attempts of `shard` that are in flight, and returns them
    /// with their owners.
    pub fn abandon(&mut self, now: Time, shard: ShardId) -> Vec<(AttemptId, HostName)> {
        let mut abandoned = Vec::new();
        if let Ok(index) = self.shards.binary_search_by_key(&shard, |it| it.shard) {
            self.abandon_shard(now, index, &mut abandoned);
        }
        abandoned
    }

    /// Sets the reason why `shard` has no answer so far.
    pub fn set_missing(&mut self, shard: ShardId, missing: Missing) {
        let Some(state) = self.shard_mut(shard) else { return };
        state.missing = missing;
    }

    pub fn snapshot(&self) -> Snapshot {
        self.snapshot
    }

    pub fn coverage(&self) -> Coverage {
        let missing: Vec<_> = self
            .shards
            .iter()
            .filter(|it| it.answer.is_none())
            .map(|it| (it.shard, it.missing))
            .collect();
        let total = self.shards.len() as u32;
        let answered = total - missing.len() as u32;
        Coverage { answered, total, missing }
    }

    /// Returns the number of shards that answered and the number of all shards.
    pub fn progress(&self) -> (u32, u32) {
        (self.answered, self.shards.len() as u32)
    }

    pub fn is_any_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    pub fn is_answered(&self, shard: ShardId) -> bool {
        self.shard(shard).is_some_and(|it| it.answer.is_some())
    }

    pub fn is_in_flight(&self, shard: ShardId) -> bool {
        self.shard(shard).is_some_and(|it| it.in_flight > 0)
    }

    /// Returns whether every attempt for `shard`, including those on earlier
    /// snapshots, is known not to have run.
    pub fn is_certainly_not_run(&self, shard: ShardId) -> bool {
        let Some(state) = self.shard(shard) else { return false };
        let mut sends = state.attempts.iter().filter_map(|it| self.attempts.get(it));
        sends.all(|it| {
            let ended = it.ended.map(|(_, ended)| ended);
            matches!(ended, Some(AttemptEnd::Failed { outcome: Outcome::NotRun, .. }))
        })
    }

    pub fn is_complete(&self) -> bool {
        self.answered as usize == self.shards.len()
    }

    /// Returns the outcome that can be guaranteed now; an attempt in flight may
    /// have run.
    pub fn outcome(&self) -> Outcome {
        if self.in_flight > 0 { self.outcome.max(Outcome::MayHaveRun) } else { self.outcome }
    }

    pub fn answers(&self) -> impl Iterator<Item = (ShardId, &Arc<[u8]>)> {
        self.shards.iter().filter_map(|it| Some((it.shard, it.answer.as_ref()?)))
    }

    pub fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.attempts.get(&id)
    }

    pub fn attempts(&self) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        self.attempts.iter().map(|(&id, it)| (id, it))
    }

    /// Returns the attempts for `shard` on the pinned snapshot.
    pub fn attempts_for(&self, shard: ShardId) -> impl Iterator<Item = &Attempt> {
        let ids = self.shard(shard).map_or(&[][..], |it| it.attempts.as_slice());
        let attempts = ids.iter().filter_map(|it| self.attempts.get(it));
        attempts.filter(|it| it.snapshot == self.snapshot)
    }

    fn abandon_shard(
        &mut self,
        now: Time,
        index: usize,
        abandoned: &mut Vec<(AttemptId, HostName)>,
    ) {
        let state = &mut self.shards[index];
        if state.in_flight == 0 {
            return;
        }
        for &id in &state.attempts {
            let Some(attempt) = self.attempts.get_mut(&id) else { continue };
            if attempt.ended.is_none() {
                attempt.ended = Some((now, AttemptEnd::Abandoned));
                abandoned.push((id, attempt.owner.clone()));
            }
        }
        self.in_flight -= state.in_flight;
        state.in_flight = 0;
        self.raise_outcome(Outcome::MayHaveRun);
    }

    fn apply(&mut self, shard: ShardId, result: &PartResult, effect: PartEffect) {
        let index = self.shards.binary_search_by_key(&shard, |it| it.shard);
        let Some(state) = index.ok().and_then(|it| self.shards.get_mut(it)) else { return };
        state.in_flight -= 1;
        self.in_flight -= 1;
        let reached = match effect {
            PartEffect::Answered { .. } => {
                let PartResult::Answer { body, .. } = result else { return };
                // Only the first answer counts: a hedged shard may answer twice.
                if state.answer.is_none() {
                    state.answer = Some(Arc::clone(body));
                    self.answered += 1;
                }
                Outcome::MayHaveRun
            }
            PartEffect::Failed { missing, outcome, .. } => {
                state.missing = missing;
                outcome.min(Outcome::MayHaveRun)
            }
            PartEffect::Ignored => return,
        };
        self.raise_outcome(reached);
    }

    fn attempts_by_shard(&self) -> HashMap<ShardId, Vec<AttemptId>> {
        let mut by_shard: HashMap<ShardId, Vec<AttemptId>> = HashMap::default();
        for (&id, attempt) in &self.attempts {
            by_shard.entry(attempt.shard).or_default().push(id);
        }
        by_shard
    }

    fn raise_outcome(&mut self, reached: Outcome) {
        self.outcome = self.outcome.max(reached);
    }

    fn shard(&self, shard: ShardId) -> Option<&ShardState> {
        let index = self.shards.binary_search_by_key(&shard, |it| it.shard).ok()?;
        self.shards.get(index)
    }

    fn shard_mut(&mut self, shard: ShardId) -> Option<&mut ShardState> {
        let index = self.shards.binary_search_by_key(&shard, |it| it.shard).ok()?;
        self.shards.get_mut(index)
    }
}

impl ShardState {
    fn new(shard: ShardId, attempts: Vec<AttemptId>) -> Self {
        ShardState { shard, answer: None, in_flight: 0, attempts, missing: Missing::Deadline }
    }
}

/// Returns how a part ends its attempt. A part that does not match the attempt
/// is a failure whose work may have run.
fn evaluate(is_matching: bool, is_late: bool, pinned: Snapshot, result: &PartResult) -> AttemptEnd {
    let missing = match result {
        _ if !is_matching => Missing::WrongId,
        &PartResult::Failed { missing, outcome } => return AttemptEnd::Failed { missing, outcome },
        PartResult::Answer { snapshot, .. } if *snapshot != pinned => Missing::WrongSnapshot,
        PartResult::Answer { .. } if is_late => Missing::Deadline,
        PartResult::Answer { .. } => return AttemptEnd::Answered,
    };
    AttemptEnd::Failed { missing, outcome: Outcome::MayHaveRun }
}
