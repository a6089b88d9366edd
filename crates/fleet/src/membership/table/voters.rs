//! Who has a say in who holds a domain's targets.

use std::time::Duration;

use base::{DomainName, HostName, Time};

use super::Table;
use crate::{membership::MemberState, message::Record};

/// A host that was agreed to as a voter and did not become one counts for
/// this long.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(10);

impl Table {
    /// Hosts of a domain that may have a say in who holds its targets: all
    /// but those that ended long ago.
    pub(crate) fn electorate(&self, domain: &DomainName) -> impl Iterator<Item = &HostName> {
        let counted = |it: &&Record| self.entries[&it.host].is_elector();
        self.domain(domain).filter(counted).map(|it| &it.host)
    }

    /// Voters of a domain, without those whose admission is under way.
    pub(crate) fn voters(&self, domain: &DomainName) -> impl Iterator<Item = &HostName> {
        let is_voter = |it: &&Record| it.is_voter && it.state < MemberState::Forgotten;
        self.domain(domain).filter(is_voter).map(|it| &it.host)
    }

    pub(crate) fn electorate_version(&self) -> u64 {
        self.electorate_version
    }

    /// Agrees to make a host a voter: it counts here from now on. One at a
    /// time, since two at once could each bring about a majority.
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

    /// Seniority of the next voter.
    pub(crate) fn next_seniority(&self) -> u32 {
        let voters = self.entries.values().filter(|it| it.record.is_voter);
        voters.map(|it| it.record.seniority).max().map_or(0, |it| it + 1)
    }

    /// Takes back admissions that came to nothing.
    pub(super) fn expire_admissions(&mut self, now: Time) {
        for entry in self.entries.values_mut().filter(|it| it.is_admission_pending()) {
            if entry.admitted_at.is_some_and(|it| now.since(it) >= ADMISSION_TIMEOUT) {
                entry.admitted_at = None;
                self.electorate_version += 1;
            }
        }
    }
}
