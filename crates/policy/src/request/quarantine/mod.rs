//! Quarantine of requests that crash the targets which run them.
//!
//! When a target dies, every request in flight there is implicated and becomes
//! a suspect, identified by its fingerprint. A suspect is not sent to many
//! targets: it first gets a trial, which is one subquery to one target, on a
//! shard where it was implicated. If that target answers, the suspect is cleared;
//! if it dies as well, the suspect is quarantined. A harmless request that ran
//! at the same time as a crashing one is thus delayed by its trial, and is
//! refused only if the target dies during that trial.
//!
//! Two suspects may be on trial at one target when it dies. Then the one that is
//! less likely to have caused the death is released: it was implicated in fewer
//! deaths, or in as many but was answered in full before. It is refused for
//! `RELEASE_DELAY` more, then may have another trial. If they are equally likely,
//! both are released; once one of them is cleared, the other is quarantined again.
//!
//! A lost connection need not mean that the target died. If the target later
//! answers in the same incarnation, the death is removed from its suspects.
//!
//! Hosts exchange [`SuspectNote`]s. The table is bounded and all entries expire.

mod answered;
mod note;

use std::time::Duration;

use base::{HashMap, Incarnation, ShardId, TargetName, Time};

use self::answered::AnsweredSet;
pub use self::note::SuspectNote;

/// How long a suspect is kept after its last death or release, or after the end
/// of its quarantine.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(60);
/// Length of the first quarantine; each further one is twice as long, up to
/// [`MAX_QUARANTINE`].
const FIRST_QUARANTINE: Duration = Duration::from_secs(300);
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);
/// Time until a released suspect may have another trial.
const RELEASE_DELAY: Duration = Duration::from_millis(100);
/// Time after which a trial without a result no longer blocks others.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay of a suspect's first trial, in which hosts exchange notes on all
/// suspects of a death.
const FIRST_TRIAL_DELAY: Duration = Duration::from_millis(3);
const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of deaths kept for each suspect.
const MAX_DEATHS: usize = 8;

/// Death of one incarnation of a target while a suspect was in flight there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Death {
    pub target: TargetName,
    pub incarnation: Incarnation,
    pub shard: ShardId,
}

/// How a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    Free,
    /// It may run only as a trial: one subquery to one target.
    Trial(TrialPlan),
    /// A trial may not start yet: another request with this fingerprint is on
    /// trial, or the delay of the first trial is not over.
    Wait,
    Refused {
        retry_after: Duration,
    },
}

/// Constraints on where a suspect may have its trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialPlan {
    /// Shards on which the suspect was implicated.
    pub shards: Vec<ShardId>,
    /// Targets whose death the suspect was implicated in.
    pub dead_targets: Vec<TargetName>,
    /// Rank among the suspects of the same deaths, by fingerprint. It is the same
    /// on all hosts that know these suspects, and each rank gets a different
    /// target.
    pub rank: usize,
}

/// Suspects and quarantined requests, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
    answered: AnsweredSet,
    /// Fingerprints whose notes have not been sent to peers yet.
    unsent: Vec<u64>,
    /// Quarantines imposed by this host so far.
    quarantined: u64,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Deaths, each with the time when this host learned of it.
    deaths: Vec<(Death, Time)>,
    /// Whether the same request was answered in full before.
    was_answered: bool,
    state: SuspectState,
    trial_not_before: Time,
    /// Number of quarantines so far, without those it was released from; at most
    /// 8.
    quarantine_count: u32,
    expires: Time,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum SuspectState {
    AwaitingTrial,
    Trial {
        target: TargetName,
        until: Time,
    },
    Quarantined {
        until: Time,
    },
    /// Released from quarantine since another suspect may have caused the death.
    Released {
        until: Time,
    },
}

impl Quarantine {
    /// Returns how a request with this fingerprint may run now.
    pub fn admit(&mut self, now: Time, fingerprint: u64) -> Admission {
        self.remove_expired(now);
        let Some(suspect) = self.suspects.get(&fingerprint) else { return Admission::Free };
        match suspect.state {
            SuspectState::Quarantined { until } | SuspectState::Released { until }
                if until > now =>
            {
                Admission::Refused { retry_after: until.until(now) }
            }
            SuspectState::Trial { until, .. } if until > now => Admission::Wait,
            _ if suspect.trial_not_before > now => Admission::Wait,
            _ => Admission::Trial(self.trial_plan(fingerprint, suspect)),
        }
    }

    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Starts a trial at `target`. Returns false if another suspect is on trial
    /// there or the suspect may not have a trial now.
    #[must_use]
    pub fn start_trial(&mut self, now: Time, fingerprint: u64, target: &TargetName) -> bool {
        let is_taken = self.suspects.values().any(|it| it.is_on_trial_at(now, target));
        let may_run = matches!(self.admit(now, fingerprint), Admission::Trial(_));
        if is_taken || !may_run {
            return false;
        }
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return false };
        suspect.state = SuspectState::Trial { target: target.clone(), until: now + TRIAL_TIMEOUT };
        true
    }

    /// Ends a trial that had no result.
    pub fn end_trial(&mut self, fingerprint: u64, target: &TargetName) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return };
        if matches!(&suspect.state, SuspectState::Trial { target: at, .. } if at == target) {
            suspect.state = SuspectState::AwaitingTrial;
        }
    }

    /// Clears a suspect whose trial ended with an answer.
    pub fn clear(&mut self, now: Time, fingerprint: u64) {
        if self.suspects.remove(&fingerprint).is_some() {
            self.unsent.push(fingerprint);
            self.reassess(now);
        }
    }

    /// Records that a request was answered by every shard.
    pub fn record_answered(&mut self, now: Time, fingerprint: u64) {
        self.answered.insert(now, fingerprint);
    }

    /// Makes a request a suspect because a target died while it was in flight
    /// there. If the request was on trial at that target, it is quarantined.
    pub fn implicate(&mut self, now: Time, fingerprint: u64, death: Death) {
        self.evict_if_full(fingerprint);
        let was_answered = self.answered.contains(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect::new(now));
        suspect.was_answered |= was_answered;
        let is_trial = suspect.is_on_trial_at(now, &death.target);
        suspect.add_death(now, death);
        suspect.expires = suspect.expires.max(now + SUSPECT_LIFETIME);
        if is_trial {
            suspect.quarantine(now);
            self.quarantined += 1;
        }
        self.unsent.push(fingerprint);
        self.reassess(now);
    }

    /// Removes the deaths of a target that, in the same incarnation, answered a
    /// subquery sent at `sent`. If the death was learned of before `sent`, only
    /// the connection had been lost. Suspects without deaths are cleared.
    pub fn refute(&mut self, now: Time, target: &TargetName, incarnation: Incarnation, sent: Time) {
        let is_refuted = |death: &Death, learned_at: Time| {
            death.target == *target && death.incarnation == incarnation && learned_at < sent
        };
        let mut cleared = Vec::new();
        for (&fingerprint, suspect) in &mut self.suspects {
            suspect.deaths.retain(|(death, learned_at)| !is_refuted(death, *learned_at));
            if suspect.deaths.is_empty() {
                cleared.push(fingerprint);
            }
        }
        cleared.into_iter().for_each(|it| self.clear(now, it));
    }

    /// Returns the number of quarantines imposed by this host so far.
    pub fn quarantined_count(&self) -> u64 {
        self.quarantined
    }

    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Releases quarantined suspects that have an alternative suspect, and
    /// quarantines released ones again that have none.
    fn reassess(&mut self, now: Time) {
        let reassessed: Vec<(u64, bool)> = self
            .suspects
            .iter()
            .filter(|(_, it)| it.is_quarantined(now) || it.is_released())
            .map(|(&fingerprint, it)| (fingerprint, self.has_alternative_suspect(fingerprint, it)))
            .collect();
        for (fingerprint, has_alternative_suspect) in reassessed {
            let Some(suspect) = self.suspects.get_mut(&fingerprint) else { continue };
            match has_alternative_suspect {
                true if !suspect.is_released() => suspect.release(now),
                false if suspect.is_released() => suspect.quarantine(now),
                _ => (),
            }
        }
    }

    /// Returns whether another suspect is at least as likely to have caused the
    /// last death that `suspect` was implicated in.
    fn has_alternative_suspect(&self, fingerprint: u64, suspect: &Suspect) -> bool {
        let Some((last, _)) = suspect.deaths.last() else { return false };
        self.suspects.iter().any(|(&other, it)| {
            other != fingerprint
                && it.is_implicated_in(last)
                && it.likelihood() >= suspect.likelihood()
        })
    }

    fn trial_plan(&self, fingerprint: u64, suspect: &Suspect) -> TrialPlan {
        let ranks_before = |other: &u64, it: &Suspect| {
            *other < fingerprint
                && it.deaths.iter().any(|(death, _)| suspect.is_implicated_in(death))
        };
        TrialPlan {
            shards: suspect.deaths.iter().map(|(it, _)| it.shard).collect(),
            dead_targets: suspect.deaths.iter().map(|(it, _)| it.target.clone()).collect(),
            rank: self.suspects.iter().filter(|(other, it)| ranks_before(other, it)).count(),
        }
    }

    fn remove_expired(&mut self, now: Time) {
        self.suspects.retain(|_, it| it.expires > now);
    }

    /// Makes room for a new suspect: evicts the one with the fewest quarantines,
    /// among these the one that expires first.
    fn evict_if_full(&mut self, fingerprint: u64) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(_, it)| (it.quarantine_count, it.expires));
        let Some((&least, _)) = least else { return };
        self.suspects.remove(&least);
    }
}

impl Suspect {
    fn new(now: Time) -> Self {
        Suspect {
            deaths: Vec::new(),
            was_answered: false,
            state: SuspectState::AwaitingTrial,
            trial_not_before: now + FIRST_TRIAL_DELAY,
            quarantine_count: 0,
            expires: Time::ZERO,
        }
    }

    /// Returns a rank that is higher if the suspect is more likely to crash
    /// targets.
    fn likelihood(&self) -> (usize, bool) {
        (self.deaths.len(), !self.was_answered)
    }

    fn is_released(&self) -> bool {
        matches!(self.state, SuspectState::Released { .. })
    }

    fn is_on_trial_at(&self, now: Time, target: &TargetName) -> bool {
        matches!(&self.state, SuspectState::Trial { target: at, until } if at == target && *until > now)
    }

    fn is_quarantined(&self, now: Time) -> bool {
        matches!(self.state, SuspectState::Quarantined { until } if until > now)
    }

    fn is_implicated_in(&self, death: &Death) -> bool {
        self.deaths.iter().any(|(it, _)| it == death)
    }

    fn add_death(&mut self, now: Time, death: Death) {
        if self.is_implicated_in(&death) {
            return;
        }
        if self.deaths.len() == MAX_DEATHS {
            self.deaths.remove(0);
        }
        self.deaths.push((death, now));
    }

    fn quarantine(&mut self, now: Time) {
        let length = FIRST_QUARANTINE * 2_u32.saturating_pow(self.quarantine_count);
        self.quarantine_count = (self.quarantine_count + 1).min(8);
        self.quarantine_until(now + length.min(MAX_QUARANTINE));
    }

    fn quarantine_until(&mut self, until: Time) {
        self.state = SuspectState::Quarantined { until };
        // Kept past the end of the quarantine, so that the next run is a trial.
        self.expires = self.expires.max(until + SUSPECT_LIFETIME);
    }

    fn release(&mut self, now: Time) {
        self.quarantine_count = self.quarantine_count.saturating_sub(1);
        self.state = SuspectState::Released { until: now + RELEASE_DELAY };
        self.expires = now + SUSPECT_LIFETIME;
    }
}
