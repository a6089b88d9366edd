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
    pub settled: Option<(Time, Settled)>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
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
pub enum Settlement {
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
    outcome: Outcome,
}

#[derive(Clone, Debug)]
struct ShardParts {
    shard: ShardId,
    answer: Option<Arc<[u8]>>,
    open: u32,
    missing: Missing,
}

impl Gather {
    pub fn new(snapshot: Snapshot, shards: impl Iterator<Item = ShardId>, deadline: Time) -> Self {
        let shards = shards.map(ShardParts::new).collect();
        let attempts = HashMap::default();
        Gather { snapshot, deadline, shards, attempts, outcome: Outcome::NotRun }
    }

    /// Starts again on another snapshot. Answers are dropped, open attempts
    /// are given up; the outcome so far stays.
    pub fn restart(
        &mut self,
        now: Time,
        snapshot: Snapshot,
        shards: impl Iterator<Item = ShardId>,
    ) -> Vec<(AttemptId, HostName)> {
        let open = self.abandon_open(now, |_| true);
        self.snapshot = snapshot;
        self.shards = shards.map(ShardParts::new).collect();
        open
    }

    pub fn open(&mut self, id: AttemptId, attempt: Attempt) {
        base::always!(attempt.snapshot == self.snapshot, "send-on-pinned-snapshot");
        let Some(shard) = self.shard_mut(attempt.shard) else { return };
        shard.open += 1;
        let former = self.attempts.insert(id, attempt);
        base::always!(former.is_none(), "attempt-id-unique", "attempt {id}");
    }

    /// Takes in a part.
    pub fn accept(&mut self, now: Time, part: &Part) -> Settlement {
        let (snapshot, deadline) = (self.snapshot, self.deadline);
        let Some(attempt) = self.attempts.get_mut(&part.attempt) else {
            return Settlement::Ignored;
        };
        if attempt.settled.is_some() {
            return Settlement::Ignored;
        }
        let shard = attempt.shard;
        let is_own = part.shard == shard && part.target == attempt.target;
        let settled = judge(is_own, now >= deadline, snapshot, &part.result);
        attempt.settled = Some((now, settled));
        let settlement = match settled {
            Settled::Answered => Settlement::Answered { shard },
            Settled::Failed { missing, outcome } => Settlement::Failed { shard, missing, outcome },
            Settled::Abandoned => Settlement::Ignored,
        };
        self.settle(shard, &part.result, settlement);
        settlement
    }

    /// Gives up the open attempts that `filter` picks.
    pub fn abandon_open(
        &mut self,
        now: Time,
        filter: impl Fn(&Attempt) -> bool,
    ) -> Vec<(AttemptId, HostName)> {
        let mut given_up = Vec::new();
        for (&id, attempt) in &mut self.attempts {
            if attempt.settled.is_some() || !filter(attempt) {
                continue;
            }
            attempt.settled = Some((now, Settled::Abandoned));
            given_up.push((id, attempt.owner.clone(), attempt.shard));
        }
        for (_, _, shard) in &given_up {
            let Some(parts) = self.shard_mut(*shard) else { continue };
            parts.open -= 1;
        }
        if !given_up.is_empty() {
            self.advance(Outcome::MayHaveRun);
        }
        given_up.into_iter().map(|(id, owner, _)| (id, owner)).collect()
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

    pub fn is_answered(&self, shard: ShardId) -> bool {
        self.shard(shard).is_some_and(|it| it.answer.is_some())
    }

    pub fn is_open(&self, shard: ShardId) -> bool {
        self.shard(shard).is_some_and(|it| it.open > 0)
    }

    /// Whether every send for a shard, on whatever snapshot, is known not to
    /// have run.
    pub fn is_certainly_not_run(&self, shard: ShardId) -> bool {
        let mut sends = self.attempts.values().filter(|it| it.shard == shard);
        sends.all(|it| {
            let settled = it.settled.map(|(_, settled)| settled);
            matches!(settled, Some(Settled::Failed { outcome: Outcome::NotRun, .. }))
        })
    }

    pub fn is_complete(&self) -> bool {
        self.shards.iter().all(|it| it.answer.is_some())
    }

    /// What can be vouched for now: an open attempt may have run.
    pub fn outcome(&self) -> Outcome {
        let is_open = self.shards.iter().any(|it| it.open > 0);
        if is_open { self.outcome.max(Outcome::MayHaveRun) } else { self.outcome }
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
        let snapshot = self.snapshot;
        self.attempts.values().filter(move |it| it.shard == shard && it.snapshot == snapshot)
    }

    fn settle(&mut self, shard: ShardId, result: &PartResult, settlement: Settlement) {
        let Some(parts) = self.shard_mut(shard) else { return };
        parts.open -= 1;
        let reached = match settlement {
            Settlement::Answered { .. } => {
                let PartResult::Answer { body, .. } = result else { return };
                // The first answer counts; a hedge's twin is dropped.
                parts.answer.get_or_insert_with(|| Arc::clone(body));
                Outcome::MayHaveRun
            }
            Settlement::Failed { missing, outcome, .. } => {
                parts.missing = missing;
                outcome.min(Outcome::MayHaveRun)
            }
            Settlement::Ignored => return,
        };
        self.advance(reached);
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
    fn new(shard: ShardId) -> Self {
        ShardParts { shard, answer: None, open: 0, missing: Missing::Deadline }
    }
}

/// A part that does not fit its attempt is a failure whose work may have run.
fn judge(is_own: bool, is_late: bool, pinned: Snapshot, result: &PartResult) -> Settled {
    let missing = match result {
        _ if !is_own => Missing::WrongId,
        &PartResult::Failed { missing, outcome } => return Settled::Failed { missing, outcome },
        PartResult::Answer { snapshot, .. } if *snapshot != pinned => Missing::WrongSnapshot,
        PartResult::Answer { .. } if is_late => Missing::Deadline,
        PartResult::Answer { .. } => return Settled::Answered,
    };
    Settled::Failed { missing, outcome: Outcome::MayHaveRun }
}
