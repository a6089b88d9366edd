//! Electorate and voters of a domain.

use std::time::Duration;

use base::{DomainName, HostName, Time};

use super::Table;
use crate::{membership::MemberState, message::Record};

/// Time for which an admitted host counts in the electorate without becoming a
/// voter.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(10);

impl Table {
    /// Returns the hosts of a domain from which voters are chosen: its voters and
    /// the hosts whose admission is pending, without forgotten hosts.
    pub(crate) fn electorate(&self, domain: &DomainName) -> impl Iterator<Item = &HostName> {
        let counted = |it: &&Record| self.entries[&it.host].is_elector();
        self.domain(domain).filter(counted).map(|it| &it.host)
    }

    /// Returns the voters of a domain, without hosts whose admission is pending.
    pub(crate) fn voters(&self, domain: &DomainName) -> impl Iterator<Item = &HostName> {
        let is_voter = |it: &&Record| it.is_voter && it.state < MemberState::Forgotten;
        self.domain(domain).filter(is_voter).map(|it| &it.host)
    }

    pub(crate) fn electorate_version(&self) -> u64 {
        self.electorate_version
    }

    /// Admits a host as a voter: it counts in the electorate on this host from now
    /// on. Returns false while another admission in the domain is pending, since
    /// two at once could each bring about a majority.
    pub(crate) fn admit(&mut self, host: &HostName, now: Time) -> bool {
        let Some(entry) = self.entries.get(host) else { return false };
        let others = self.domain(&entry.record.domain).filter(|it| it.host != *host);
        if others.filter(|it| self.entries[&it.host].is_admission_pending()).count() > 0 {
            return false;
        }
        let Some(entry) = self.entries.get_mut(host) else { return false };
        let was_counted = entry.is_elector();
        entry.admitted_at = Some(now);
        if entry.is_elector() != was_counted {
            self.electorate_version += 1;
        }
        true
    }

    /// Makes this host a voter.
    pub(crate) fn become_voter(&mut self, seniority: u32, now: Time) {
        self.update_own(now, |it| {
            it.is_voter = true;
            it.seniority = seniority;
        });
    }

    /// Returns the seniority for the next voter.
    pub(crate) fn next_seniority(&self) -> u32 {
        let voters = self.entries.values().filter(|it| it.record.is_voter);
        voters.map(|it| it.record.seniority).max().map_or(0, |it| it + 1)
    }

    /// Revokes admissions that did not complete within [`ADMISSION_TIMEOUT`].
    pub(super) fn expire_admissions(&mut self, now: Time) {
        for entry in self.entries.values_mut().filter(|it| it.is_admission_pending()) {
            if entry.admitted_at.is_some_and(|it| now.since(it) >= ADMISSION_TIMEOUT) {
                entry.admitted_at = None;
                self.electorate_version += 1;
            }
        }
    }
}
