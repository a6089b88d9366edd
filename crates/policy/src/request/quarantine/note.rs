//! Updates about suspects that hosts exchange.

use std::time::Duration;

use base::Time;

use super::{Death, MAX_DEATHS, MAX_QUARANTINE, Quarantine, SUSPECT_LIFETIME, Suspect};

/// What a host knows of one suspect fingerprint, as sent to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectNote {
    pub fingerprint: u64,
    /// Deaths that the request was implicated in; empty if it was cleared.
    pub deaths: Vec<Death>,
    /// Whether the same request was answered in full before.
    pub was_answered: bool,
    /// Time left in quarantine, if it is quarantined.
    pub quarantine: Option<Duration>,
}

impl Quarantine {
    pub fn has_unsent_notes(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Takes the notes to be sent to peers at once. Each is returned once.
    pub fn take_unsent_notes(&mut self, now: Time) -> Vec<SuspectNote> {
        let mut unsent = std::mem::take(&mut self.unsent);
        unsent.sort_unstable();
        unsent.dedup();
        unsent.into_iter().map(|it| self.note(now, it)).collect()
    }

    /// Returns notes of all suspects, for a host that is new or was partitioned.
    pub fn notes(&self, now: Time) -> Vec<SuspectNote> {
        self.suspects.keys().map(|&it| self.note(now, it)).collect()
    }

    /// Merges a note from a peer. It is not forwarded.
    pub fn merge(&mut self, now: Time, note: &SuspectNote) {
        if note.deaths.is_empty() {
            self.merge_cleared(now, note.fingerprint);
            return;
        }
        self.evict_if_full(note.fingerprint);
        let was_answered = note.was_answered || self.answered.contains(note.fingerprint);
        let suspect = self.suspects.entry(note.fingerprint).or_insert_with(|| Suspect::new(now));
        suspect.was_answered |= was_answered;
        for death in note.deaths.iter().take(MAX_DEATHS) {
            suspect.add_death(now, death.clone());
        }
        suspect.expires = suspect.expires.max(now + SUSPECT_LIFETIME);
        if let Some(left) = note.quarantine.filter(|_| !suspect.is_released()) {
            suspect.quarantine_count = suspect.quarantine_count.max(1);
            suspect.quarantine_until(now + left.min(MAX_QUARANTINE));
        }
        self.reassess(now);
    }

    /// Removes a suspect that a peer cleared, unless it is quarantined here.
    fn merge_cleared(&mut self, now: Time, fingerprint: u64) {
        let is_quarantined =
            self.suspects.get(&fingerprint).is_some_and(|it| it.is_quarantined(now));
        if !is_quarantined {
            self.suspects.remove(&fingerprint);
            self.reassess(now);
        }
    }

    fn note(&self, now: Time, fingerprint: u64) -> SuspectNote {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            let (deaths, quarantine) = (Vec::new(), None);
            return SuspectNote { fingerprint, deaths, was_answered: true, quarantine };
        };
        let quarantine = match suspect.state {
            super::SuspectState::Quarantined { until } if until > now => Some(until.until(now)),
            _ => None,
        };
        let deaths = suspect.deaths.iter().map(|(it, _)| it.clone()).collect();
        let was_answered = suspect.was_answered;
        SuspectNote { fingerprint, deaths, was_answered, quarantine }
    }
}
