//! What hosts tell each other about suspects.

use std::time::Duration;

use base::Time;

use super::{Death, MAX_DEATHS, MAX_QUARANTINE, Quarantine, SUSPECT_LIFETIME, Suspect};

/// A host's word of one fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectNote {
    pub fingerprint: u64,
    /// Deaths it was implicated in; none if it was cleared.
    pub deaths: Vec<Death>,
    /// Whether the same request was answered in full before.
    pub was_answered: bool,
    /// Quarantine that is left, if any.
    pub quarantine: Option<Duration>,
}

impl Quarantine {
    pub fn has_unsent_notes(&self) -> bool {
        !self.untold.is_empty()
    }

    /// Notes that peers are to be told at once, each taken only once.
    pub fn take_unsent_notes(&mut self, now: Time) -> Vec<SuspectNote> {
        let mut untold = std::mem::take(&mut self.untold);
        untold.sort_unstable();
        untold.dedup();
        untold.into_iter().map(|it| self.note(now, it)).collect()
    }

    /// Notes of all suspects, for a host that is new or was cut off.
    pub fn notes(&self, now: Time) -> Vec<SuspectNote> {
        self.suspects.keys().map(|&it| self.note(now, it)).collect()
    }

    /// Takes in a peer's word. It is not told on.
    pub fn merge(&mut self, now: Time, note: &SuspectNote) {
        if note.deaths.is_empty() {
            self.merge_cleared(now, note.fingerprint);
            return;
        }
        self.make_room(note.fingerprint);
        let was_answered = note.was_answered || self.answered.contains(note.fingerprint);
        let suspect = self.suspects.entry(note.fingerprint).or_insert_with(|| Suspect::new(now));
        suspect.was_answered |= was_answered;
        for death in note.deaths.iter().take(MAX_DEATHS) {
            suspect.add_death(now, death.clone());
        }
        suspect.expires = suspect.expires.max(now + SUSPECT_LIFETIME);
        if let Some(left) = note.quarantine.filter(|_| !suspect.is_released()) {
            suspect.strikes = suspect.strikes.max(1);
            suspect.quarantine_until(now + left.min(MAX_QUARANTINE));
        }
        self.weigh(now);
    }

    /// A quarantine of this host's own outlasts a peer's good word.
    fn merge_cleared(&mut self, now: Time, fingerprint: u64) {
        let is_quarantined =
            self.suspects.get(&fingerprint).is_some_and(|it| it.is_quarantined(now));
        if !is_quarantined {
            self.suspects.remove(&fingerprint);
            self.weigh(now);
        }
    }

    fn note(&self, now: Time, fingerprint: u64) -> SuspectNote {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            let (deaths, quarantine) = (Vec::new(), None);
            return SuspectNote { fingerprint, deaths, was_answered: true, quarantine };
        };
        let quarantine = match suspect.verdict {
            super::Verdict::Quarantined { until } if until > now => Some(until.until(now)),
            _ => None,
        };
        let deaths = suspect.deaths.iter().map(|(it, _)| it.clone()).collect();
        let was_answered = suspect.was_answered;
        SuspectNote { fingerprint, deaths, was_answered, quarantine }
    }
}
