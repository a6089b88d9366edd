//! State changes by time: suspects become dead, ended hosts are forgotten.

use std::time::Duration;

use base::{DomainName, HostName, Time, always};

use super::{Entry, Table};
use crate::{membership::MemberState, message::Record};

/// Duration of a suspicion in a domain of one host.
const SUSPICION_BASE: Duration = Duration::from_secs(2);

/// Additional duration of a suspicion for each doubling of the domain's size,
/// because a refutation takes longer to spread.
const SUSPICION_PER_DOUBLING: Duration = Duration::from_millis(500);

/// Time for which a dead host is still counted among the voters.
const FORGET_DEAD_AFTER: Duration = Duration::from_secs(60);

/// Time for which a host that left is still counted among the voters, since it
/// may be restarting.
const FORGET_LEFT_AFTER: Duration = Duration::from_secs(30);

/// Time without an entry in the platform's list after which a host can be
/// forgotten without a majority.
const UNLISTED_AFTER: Duration = Duration::from_secs(60);

/// Time after its read for which the platform's list is used.
const LIST_VALIDITY: Duration = Duration::from_secs(90);

/// Time for which the record of a forgotten host is kept, so that outdated
/// gossip does not revive it.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

impl Table {
    /// Applies the state changes that are due and removes expired tombstones.
    pub(crate) fn expire(&mut self, now: Time) {
        self.expire_admissions(now);
        let domain = self.own().domain.clone();
        let doublings = self.up(&domain).count().max(1).ilog2();
        let cx = ExpiryCx {
            now,
            suspicion: SUSPICION_BASE + SUSPICION_PER_DOUBLING * doublings,
            has_majority: self.has_alive_majority(&domain),
            list_read_at: self.list_read_at.filter(|&it| now.since(it) < LIST_VALIDITY),
            domain,
        };
        let due = |(host, entry): (&HostName, &Entry)| Some((host.clone(), entry.next_state(&cx)?));
        let changes: Vec<_> = self.entries.iter().filter_map(due).collect();
        for (host, state) in changes {
            self.set_state(&host, state, now);
        }
        let is_over =
            |it: &Entry| it.is_forgotten() && now.since(it.state_since) >= TOMBSTONE_RETENTION;
        let over = self.entries.iter().filter(|(_, it)| is_over(it));
        let purged: Vec<_> = over.map(|(host, _)| host.clone()).collect();
        for host in purged {
            self.purge(&host);
        }
    }

    /// Whether a majority of the domain's electorate is alive. Only then may
    /// hosts be forgotten on this host's own observation, or two sides of a
    /// partition would each forget the other.
    fn has_alive_majority(&self, domain: &DomainName) -> bool {
        let counts = |it: &&Record| self.entries[&it.host].is_elector();
        let counted: Vec<_> = self.domain(domain).filter(counts).collect();
        let alive = counted.iter().filter(|it| it.state == MemberState::Alive);
        alive.count() * 2 > counted.len()
    }

    fn purge(&mut self, host: &HostName) {
        let Some(entry) = self.entries.remove(host) else { return };
        always!(entry.record.state == MemberState::Forgotten, "fleet-purge-forgotten", "{host}");
        self.remove_from_domain(&entry.record.domain, host, entry.hash);
        self.updates.remove(host);
    }

    /// Restarts all suspicions after a pause of this process, since the probes
    /// may have been unanswered because of the pause.
    pub(crate) fn reset_suspicions(&mut self, now: Time) {
        for entry in self.entries.values_mut() {
            if entry.record.state == MemberState::Suspect {
                entry.state_since = now;
            }
        }
    }
}

/// Inputs for deciding whether a host's state changes with time.
struct ExpiryCx {
    now: Time,
    domain: DomainName,
    suspicion: Duration,
    has_majority: bool,
    /// When the platform's list was read, if it is still valid.
    list_read_at: Option<Time>,
}

impl Entry {
    /// Returns the state that is due, if any; only for hosts of this domain.
    fn next_state(&self, cx: &ExpiryCx) -> Option<MemberState> {
        if self.record.domain != cx.domain {
            return None;
        }
        let age = cx.now.since(self.state_since);
        let unlisted = cx.list_read_at.map(|it| it.since(self.last_listed));
        let can_forget = cx.has_majority || unlisted.is_some_and(|it| it >= UNLISTED_AFTER);
        let (next, is_due) = match self.record.state {
            MemberState::Suspect => (MemberState::Dead, age >= cx.suspicion),
            MemberState::Dead => (MemberState::Forgotten, can_forget && age >= FORGET_DEAD_AFTER),
            MemberState::Left => (MemberState::Forgotten, can_forget && age >= FORGET_LEFT_AFTER),
            MemberState::Alive | MemberState::Forgotten => return None,
        };
        is_due.then_some(next)
    }
}
