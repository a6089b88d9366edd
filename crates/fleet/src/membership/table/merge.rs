//! Merging of records, revisions and the platform's list into the table.

use base::{HostName, Incarnation, Revision, Time};

use super::Table;
use crate::{
    membership::MemberState,
    message::{HostRevision, Record},
};

impl Table {
    /// Merges a record from another source. Returns whether it was a wrong record
    /// of this host, which has to be refuted to the others.
    pub(crate) fn merge(&mut self, record: Record, now: Time) -> bool {
        if record.host == self.own {
            return self.refute(&record, now);
        }
        let key = |it: &Record| (it.incarnation, it.epoch, it.state);
        if let Some(entry) = self.entries.get(&record.host)
            && key(&record) <= key(&entry.record)
        {
            return false;
        }
        self.insert(record, now);
        false
    }

    /// Supersedes a wrong record of this host by a newer one.
    fn refute(&mut self, claim: &Record, now: Time) -> bool {
        let own = self.own();
        // The other hosts count this one as a voter since an earlier incarnation.
        let is_recent = claim.incarnation <= own.incarnation;
        if claim.is_voter && !own.is_voter && is_recent && claim.state < MemberState::Forgotten {
            self.become_voter(claim.seniority, now);
            return true;
        }
        let is_current = claim.incarnation == own.incarnation && claim.epoch >= own.epoch;
        if !is_current || claim.state == own.state || own.state == MemberState::Left {
            return false;
        }
        let epoch = claim.epoch;
        self.update_own(now, |it| it.epoch = it.epoch.max(epoch));
        true
    }

    /// Applies an entry of the platform's list. Only a change from live to leaving
    /// within one incarnation is accepted, because the list lags.
    pub(crate) fn apply_listed(&mut self, host: &HostName, is_leaving: bool, now: Time) {
        let Some(entry) = self.entries.get_mut(host) else { return };
        entry.last_listed = now;
        if !is_leaving {
            entry.was_listed_live |= entry.record.state.is_up();
            return;
        }
        if !entry.was_listed_live || entry.record.is_leaving || !entry.record.state.is_up() {
            return;
        }
        if *host == self.own {
            self.update_own(now, |it| it.is_leaving = true);
        } else {
            let record = Record { is_leaving: true, ..entry.record.clone() };
            self.insert(record, now);
        }
    }

    /// Whether the platform's list was ever read.
    pub(crate) fn has_list(&self) -> bool {
        self.list_read_at.is_some()
    }

    /// Records that the platform's list was read.
    pub(crate) fn record_list_read(&mut self, now: Time) {
        self.list_read_at = Some(now);
    }

    pub(crate) fn record_revision(&mut self, host: &HostName, at: Incarnation, revision: Revision) {
        let Some(entry) = self.entries.get_mut(host) else { return };
        if entry.record.incarnation == at && entry.revision < revision {
            entry.revision = revision;
        }
    }

    pub(crate) fn record_revisions(&mut self, revisions: &[HostRevision]) {
        if revisions.is_empty() {
            return;
        }
        for entry in self.entries.values_mut() {
            let known = revisions.iter().find(|it| it.host == entry.name_hash);
            let Some(known) = known else { continue };
            if known.incarnation == entry.record.incarnation && known.revision > entry.revision {
                entry.revision = known.revision;
            }
        }
    }
}
