//! The parts of one request: which attempts were sent, which shards answered,
//! what became of the request so far.
//!
//! A part counts only if its attempt is known and open, its shard and target
//! are the attempt's, its snapshot is the pinned one and the deadline has not
//! passed. The outcome only moves forward.

use std::sync::Arc;

use base::{AttemptId, HashMap, HostName, Missing, Outcome, ShardId, Snapshot, TargetName, Time};

use crate::message::{Part, PartResult};

/// Why a subquery is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    First,
    Retry,
    Hedge,
    /// Sent again since the whole request moved to another snapshot.
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
    /// Given up by this host; whether it ran is not known.
    Abandoned,
}

/// What a part meant to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartEffect {
    /// Not a part of an open attempt: late, crossed or sent twice.
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

/// Shards that answered, of those that the pinned map has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Coverage {
    pub answered: u32,
    pub total: u32,
    pub missing: Vec<(ShardId, Missing)>,
}

impl Coverage {
    /// 0 to 1; nothing is full coverage of no shard.
    pub fn ratio(&self) -> f64 {
        f64::from(self.answered) / f64::from(self.total.max(1))
    }
}

/// State of a request's shards and attempts.
#[derive(Clone, Debug)]
pub struct Gather {
    snapshot: Snapshot,
    deadline: Time,
    shards: Vec<ShardParts>,
    attempts: HashMap<AttemptId, Attempt>,
    /// Shards that have an answer.
    answered: u32,
    /// Attempts in flight.
    open: u32,
    outcome: Outcome,
}

#[derive(Clone, Debug)]
struct ShardParts {
    shard: ShardId,
    answer: Option<Arc<[u8]>>,
    open: u32,
    /// All sends for the shard, on whatever snapshot.
    attempts: Vec<AttemptId>,
    missing: Missing,
}

impl Gather {
    pub fn new(snapshot: Snapshot, shards: impl Iterator<Item = ShardId>, deadline: Time) -> Self {
        let shards = shards.map(|it| ShardParts::new(it, Vec::new())).collect();
        let attempts = HashMap::default();
        Gather {
            snapshot,
            deadline,
            shards,
            attempts,
            answered: 0,
            open: 0,
            outcome: Outcome::NotRun,
        }
    }

    /// Starts again on another snapshot. Answers are dropped, open attempts
    /// are given up; the outcome so far stays.
    pub fn restart(
        &mut self,
        now: Time,
        snapshot: Snapshot,
        shards: impl Iterator<Item = ShardId>,
    ) -> Vec<(AttemptId, HostName)> {
        let open = self.abandon_in_flight(now);
        self.snapshot = snapshot;
        self.answered = 0;
        let mut attempts = self.attempts_by_shard();
        let mut attempts_of = |it| attempts.remove(&it).unwrap_or_default();
        self.shards = shards.map(|it| ShardParts::new(it, attempts_of(it))).collect();
        open
    }

    pub fn open(&mut self, id: AttemptId, attempt: Attempt) {
        base::always!(attempt.snapshot == self.snapshot, "send-on-pinned-snapshot");
        let Some(shard) = self.shard_mut(attempt.shard) else { return };
        shard.open += 1;
        shard.attempts.push(id);
        self.open += 1;
        let former = self.attempts.insert(id, attempt);
        base::always!(former.is_none(), "attempt-id-unique", "attempt {id}");
    }

    /// Takes in a part.
    pub fn accept(&mut self, now: Time, part: &Part) -> PartEffect {
        let (snapshot, deadline) = (self.snapshot, self.deadline);
        let Some(attempt) = self.attempts.get_mut(&part.attempt) else {
            return PartEffect::Ignored;
        };
        if attempt.ended.is_some() {
            return PartEffect::Ignored;
        }
        let shard = attempt.shard;
        let is_own = part.shard == shard && part.target == attempt.target;
        let ended = judge(is_own, now >= deadline, snapshot, &part.result);
        attempt.ended = Some((now, ended));
        let settlement = match ended {
            AttemptEnd::Answered => PartEffect::Answered { shard },
            AttemptEnd::Failed { missing, outcome } => {
                PartEffect::Failed { shard, missing, outcome }
            }
            AttemptEnd::Abandoned => PartEffect::Ignored,
        };
        self.settle(shard, &part.result, settlement);
        settlement
    }

    /// Gives up all open attempts.
    pub fn abandon_in_flight(&mut self, now: Time) -> Vec<(AttemptId, HostName)> {
        let mut given_up = Vec::new();
        for i in 0..self.shards.len() {
            if self.open == 0 {
                break;
            }
            self.abandon_shard(now, i, &mut given_up);
        }
        given_up
    }

    /// Gives up the open attempts of one shard.
    pub fn abandon(&mut self, now: Time, shard: ShardId) -> Vec<(AttemptId, HostName)> {
        let mut given_up = Vec::new();
        if let Ok(index) = self.shards.binary_search_by_key(&shard, |it| it.shard) {
            self.abandon_shard(now, index, &mut given_up);
        }
        given_up
    }

    /// Names why a shard has no answer so far.
    pub fn set_missing(&mut self, shard: ShardId, missing: Missing) {
        let Some(parts) = self.shard_mut(shard) else { return };
        parts.missing = missing;
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

    /// Shards answered, of all.
    pub fn progress(&self) -> (u32, u32) {
        (self.answered, self.shards.len() as u32)
    }

    /// Whether some attempt is in flight.
    pub fn is_any_in_flight(&self) -> bool {
        self.open > 0
    }

    pub fn is_answered(&self, shard: ShardId) -> bool {
        self.shard(shard).is_some_and(|it| it.answer.is_some())
    }

    pub fn is_in_flight(&self, shard: ShardId) -> bool {
        self.shard(shard).is_some_and(|it| it.open > 0)
    }

    /// Whether every send for a shard, on whatever snapshot, is known not to
    /// have run.
    pub fn is_certainly_not_run(&self, shard: ShardId) -> bool {
        let Some(parts) = self.shard(shard) else { return false };
        let mut sends = parts.attempts.iter().filter_map(|it| self.attempts.get(it));
        sends.all(|it| {
            let ended = it.ended.map(|(_, ended)| ended);
            matches!(ended, Some(AttemptEnd::Failed { outcome: Outcome::NotRun, .. }))
        })
    }

    pub fn is_complete(&self) -> bool {
        self.answered as usize == self.shards.len()
    }

    /// What can be vouched for now: an open attempt may have run.
    pub fn outcome(&self) -> Outcome {
        if self.open > 0 { self.outcome.max(Outcome::MayHaveRun) } else { self.outcome }
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

    pub fn attempts_of(&self, shard: ShardId) -> impl Iterator<Item = &Attempt> {
        let ids = self.shard(shard).map_or(&[][..], |it| it.attempts.as_slice());
        let attempts = ids.iter().filter_map(|it| self.attempts.get(it));
        attempts.filter(|it| it.snapshot == self.snapshot)
    }

    fn abandon_shard(
        &mut self,
        now: Time,
        index: usize,
        given_up: &mut Vec<(AttemptId, HostName)>,
    ) {
        let parts = &mut self.shards[index];
        if parts.open == 0 {
            return;
        }
        for &id in &parts.attempts {
            let Some(attempt) = self.attempts.get_mut(&id) else { continue };
            if attempt.ended.is_none() {
                attempt.ended = Some((now, AttemptEnd::Abandoned));
                given_up.push((id, attempt.owner.clone()));
            }
        }
        self.open -= parts.open;
        parts.open = 0;
        self.advance(Outcome::MayHaveRun);
    }

    fn settle(&mut self, shard: ShardId, result: &PartResult, settlement: PartEffect) {
        let index = self.shards.binary_search_by_key(&shard, |it| it.shard);
        let Some(parts) = index.ok().and_then(|it| self.shards.get_mut(it)) else { return };
        parts.open -= 1;
        self.open -= 1;
        let reached = match settlement {
            PartEffect::Answered { .. } => {
                let PartResult::Answer { body, .. } = result else { return };
                // The first answer counts; a hedge's twin is dropped.
                if parts.answer.is_none() {
                    parts.answer = Some(Arc::clone(body));
                    self.answered += 1;
                }
                Outcome::MayHaveRun
            }
            PartEffect::Failed { missing, outcome, .. } => {
                parts.missing = missing;
                outcome.min(Outcome::MayHaveRun)
            }
            PartEffect::Ignored => return,
        };
        self.advance(reached);
    }

    fn attempts_by_shard(&self) -> HashMap<ShardId, Vec<AttemptId>> {
        let mut by_shard: HashMap<ShardId, Vec<AttemptId>> = HashMap::default();
        for (&id, attempt) in &self.attempts {
            by_shard.entry(attempt.shard).or_default().push(id);
        }
        by_shard
    }

    fn advance(&mut self, reached: Outcome) {
        self.outcome = self.outcome.max(reached);
    }

    fn shard(&self, shard: ShardId) -> Option<&ShardParts> {
        let index = self.shards.binary_search_by_key(&shard, |it| it.shard).ok()?;
        self.shards.get(index)
    }

    fn shard_mut(&mut self, shard: ShardId) -> Option<&mut ShardParts> {
        let index = self.shards.binary_search_by_key(&shard, |it| it.shard).ok()?;
        self.shards.get_mut(index)
    }
}

impl ShardParts {
    fn new(shard: ShardId, attempts: Vec<AttemptId>) -> Self {
        ShardParts { shard, answer: None, open: 0, attempts, missing: Missing::Deadline }
    }
}

/// A part that does not fit its attempt is a failure whose work may have run.
fn judge(is_own: bool, is_late: bool, pinned: Snapshot, result: &PartResult) -> AttemptEnd {
    let missing = match result {
        _ if !is_own => Missing::WrongId,
        &PartResult::Failed { missing, outcome } => return AttemptEnd::Failed { missing, outcome },
        PartResult::Answer { snapshot, .. } if *snapshot != pinned => Missing::WrongSnapshot,
        PartResult::Answer { .. } if is_late => Missing::Deadline,
        PartResult::Answer { .. } => return AttemptEnd::Answered,
    };
    AttemptEnd::Failed { missing, outcome: Outcome::MayHaveRun }
}
