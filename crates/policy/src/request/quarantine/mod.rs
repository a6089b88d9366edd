//! Requests that crash the targets which run them.
//!
//! When a target dies, every request in flight there is implicated and becomes
//! a suspect, known by its fingerprint. A suspect is not spread over targets:
//! it first runs on trial, as one subquery to one target, on a shard where it
//! was implicated. If that target answers, the suspect is cleared; if it dies
//! as well, the suspect is quarantined. An innocent request that ran beside a
//! crashing one is thus delayed by its trial, but not refused.
//!
//! Two suspects may be on trial at one target when it dies. Then the one that
//! is less likely to blame is released for another trial: it was implicated in
//! fewer deaths, or as many but was answered in full before. If they cannot be
//! told apart both are released, and once one is cleared the other is not.
//!
//! A lost connection is not yet a death. If the target answers later in the same
//! life, the implication is taken back.
//!
//! Hosts tell each other their [`SuspectNote`]s. The table is bounded and
//! everything in it expires.

mod answered;
mod note;

use std::time::Duration;

use base::{HashMap, Incarnation, ShardId, TargetName, Time};

use self::answered::Answered;
pub use self::note::SuspectNote;

/// How long an implication is remembered.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(60);
/// First quarantine; each further one is twice as long.
const FIRST_QUARANTINE: Duration = Duration::from_secs(300);
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);
/// Until a released suspect may have another trial.
const RELEASE_DELAY: Duration = Duration::from_millis(100);
/// A trial without a result for this long is over.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Wait before a suspect's first trial, in which hosts tell each other of all
/// suspects of a death.
const TRIAL_SETTLE: Duration = Duration::from_millis(3);
const MAX_SUSPECTS: usize = 1_024;
/// Deaths remembered for each suspect.
const MAX_DEATHS: usize = 8;

/// The death of one life of a target.
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
    /// Only as a trial: one subquery to one target.
    Trial(TrialPlan),
    /// Another request with this fingerprint is on trial.
    Wait,
    Refused {
        retry_after: Duration,
    },
}

/// Where a suspect may have its trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialPlan {
    /// Shards on which it was implicated.
    pub shards: Vec<ShardId>,
    /// Targets whose death it was implicated in.
    pub dead_targets: Vec<TargetName>,
    /// Its place among the suspects of the same deaths, alike on all hosts
    /// that know them; each place is a target of its own.
    pub rank: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
    answered: Answered,
    /// Notes that peers have not been told yet.
    untold: Vec<u64>,
    quarantined: u64,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Each with the time when this host heard of it.
    deaths: Vec<(Death, Time)>,
    /// Whether the same request was answered in full before.
    was_answered: bool,
    verdict: Verdict,
    trial_from: Time,
    /// Quarantines so far.
    strikes: u32,
    expires: Time,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Verdict {
    Open,
    Trial {
        target: TargetName,
        until: Time,
    },
    Quarantined {
        until: Time,
    },
    /// Out of quarantine since another suspect may be to blame.
    Released {
        until: Time,
    },
}

impl Quarantine {
    pub fn admit(&mut self, now: Time, fingerprint: u64) -> Admission {
        self.forget_expired(now);
        let Some(suspect) = self.suspects.get(&fingerprint) else { return Admission::Free };
        match suspect.verdict {
            Verdict::Quarantined { until } | Verdict::Released { until } if until > now => {
                Admission::Refused { retry_after: until.until(now) }
            }
            Verdict::Trial { until, .. } if until > now => Admission::Wait,
            _ if suspect.trial_from > now => Admission::Wait,
            _ => Admission::Trial(self.trial_plan(fingerprint, suspect)),
        }
    }

    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Starts a trial at a target; false if another suspect is on trial there
    /// or the suspect may not run.
    #[must_use]
    pub fn start_trial(&mut self, now: Time, fingerprint: u64, target: &TargetName) -> bool {
        let is_taken = self.suspects.values().any(|it| it.is_on_trial_at(now, target));
        let may_run = matches!(self.admit(now, fingerprint), Admission::Trial(_));
        if is_taken || !may_run {
            return false;
        }
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return false };
        suspect.verdict = Verdict::Trial { target: target.clone(), until: now + TRIAL_TIMEOUT };
        true
    }

    /// Ends a trial that had no result.
    pub fn end_trial(&mut self, fingerprint: u64, target: &TargetName) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return };
        if matches!(&suspect.verdict, Verdict::Trial { target: at, .. } if at == target) {
            suspect.verdict = Verdict::Open;
        }
    }

    /// Clears a suspect whose trial ended with an answer.
    pub fn clear(&mut self, now: Time, fingerprint: u64) {
        if self.suspects.remove(&fingerprint).is_some() {
            self.untold.push(fingerprint);
            self.weigh(now);
        }
    }

    /// Records that a request was answered by every shard.
    pub fn record_answered(&mut self, now: Time, fingerprint: u64) {
        self.answered.insert(now, fingerprint);
    }

    /// Records that a target died while a request was in flight there. A
    /// death during the trial at that target means quarantine.
    pub fn implicate(&mut self, now: Time, fingerprint: u64, death: Death) {
        self.make_room(fingerprint);
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
        self.untold.push(fingerprint);
        self.weigh(now);
    }

    /// Takes back the deaths of a target that answers in the same life a
    /// subquery which was sent at `sent`: if that is later, then only the
    /// connection was lost. A suspect without deaths is none.
    pub fn refute(&mut self, now: Time, target: &TargetName, incarnation: Incarnation, sent: Time) {
        let is_refuted = |death: &Death, heard: Time| {
            death.target == *target && death.incarnation == incarnation && heard < sent
        };
        let mut cleared = Vec::new();
        for (&fingerprint, suspect) in &mut self.suspects {
            suspect.deaths.retain(|(death, heard)| !is_refuted(death, *heard));
            if suspect.deaths.is_empty() {
                cleared.push(fingerprint);
            }
        }
        cleared.into_iter().for_each(|it| self.clear(now, it));
    }

    /// Quarantines imposed by this host so far.
    pub fn quarantined_count(&self) -> u64 {
        self.quarantined
    }

    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Releases quarantined suspects that have a rival, and takes back those
    /// whose rivals were cleared.
    fn weigh(&mut self, now: Time) {
        let rivalled: Vec<(u64, bool)> = self
            .suspects
            .iter()
            .filter(|(_, it)| it.is_quarantined(now) || it.is_released())
            .map(|(&fingerprint, it)| (fingerprint, self.has_rival(fingerprint, it)))
            .collect();
        for (fingerprint, has_rival) in rivalled {
            let Some(suspect) = self.suspects.get_mut(&fingerprint) else { continue };
            match has_rival {
                true if !suspect.is_released() => suspect.release(now),
                false if suspect.is_released() => suspect.quarantine(now),
                _ => (),
            }
        }
    }

    /// Whether another suspect is at least as likely to blame for the last
    /// death that this one was implicated in.
    fn has_rival(&self, fingerprint: u64, suspect: &Suspect) -> bool {
        let Some((last, _)) = suspect.deaths.last() else { return false };
        self.suspects.iter().any(|(&other, it)| {
            other != fingerprint && it.was_in(last) && it.likelihood() >= suspect.likelihood()
        })
    }

    fn trial_plan(&self, fingerprint: u64, suspect: &Suspect) -> TrialPlan {
        let is_before = |other: &u64, it: &Suspect| {
            *other < fingerprint && it.deaths.iter().any(|(death, _)| suspect.was_in(death))
        };
        TrialPlan {
            shards: suspect.deaths.iter().map(|(it, _)| it.shard).collect(),
            dead_targets: suspect.deaths.iter().map(|(it, _)| it.target.clone()).collect(),
            rank: self.suspects.iter().filter(|(other, it)| is_before(other, it)).count(),
        }
    }

    fn forget_expired(&mut self, now: Time) {
        self.suspects.retain(|_, it| it.expires > now);
    }

    fn make_room(&mut self, fingerprint: u64) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(_, it)| (it.strikes, it.expires));
        let Some((&least, _)) = least else { return };
        self.suspects.remove(&least);
    }
}

impl Suspect {
    fn new(now: Time) -> Self {
        Suspect {
            deaths: Vec::new(),
            was_answered: false,
            verdict: Verdict::Open,
            trial_from: now + TRIAL_SETTLE,
            strikes: 0,
            expires: Time::ZERO,
        }
    }

    /// Higher if more likely to crash targets.
    fn likelihood(&self) -> (usize, bool) {
        (self.deaths.len(), !self.was_answered)
    }

    fn is_released(&self) -> bool {
        matches!(self.verdict, Verdict::Released { .. })
    }

    fn is_on_trial_at(&self, now: Time, target: &TargetName) -> bool {
        matches!(&self.verdict, Verdict::Trial { target: at, until } if at == target && *until > now)
    }

    fn is_quarantined(&self, now: Time) -> bool {
        matches!(self.verdict, Verdict::Quarantined { until } if until > now)
    }

    fn was_in(&self, death: &Death) -> bool {
        self.deaths.iter().any(|(it, _)| it == death)
    }

    fn add_death(&mut self, now: Time, death: Death) {
        if self.was_in(&death) {
            return;
        }
        if self.deaths.len() == MAX_DEATHS {
            self.deaths.remove(0);
        }
        self.deaths.push((death, now));
    }

    fn quarantine(&mut self, now: Time) {
        let length = FIRST_QUARANTINE * 2_u32.saturating_pow(self.strikes);
        self.strikes = (self.strikes + 1).min(8);
        self.quarantine_until(now + length.min(MAX_QUARANTINE));
    }

    fn quarantine_until(&mut self, until: Time) {
        self.verdict = Verdict::Quarantined { until };
        // Remembered past its end, so that the next run is a trial again.
        self.expires = self.expires.max(until + SUSPECT_LIFETIME);
    }

    fn release(&mut self, now: Time) {
        self.strikes = self.strikes.saturating_sub(1);
        self.verdict = Verdict::Released { until: now + RELEASE_DELAY };
        self.expires = now + SUSPECT_LIFETIME;
    }
}
