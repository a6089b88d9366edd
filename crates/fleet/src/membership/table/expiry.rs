//! Letting time pass: suspects die, ended hosts are forgotten.

use std::time::Duration;

use base::{DomainName, HostName, Time, always};

use super::{Entry, Table};
use crate::{membership::MemberState, message::Record};

/// Suspicion of a host in a domain of one host lasts this long.
const SUSPICION_BASE: Duration = Duration::from_secs(2);

/// Suspicion lasts longer by this for each doubling of the domain, since a
/// refutation takes that much longer to spread.
const SUSPICION_PER_DOUBLING: Duration = Duration::from_millis(500);

/// A host that died is counted among the voters for this long.
const FORGET_DEAD_AFTER: Duration = Duration::from_secs(60);

/// A host that said goodbye is counted for this long, in which it may be back.
const FORGET_LEFT_AFTER: Duration = Duration::from_secs(30);

/// The platform's list speaks against a host that it has not shown for this
/// long.
const UNLISTED_AFTER: Duration = Duration::from_secs(60);

/// The platform's list is believed for this long after it was read.
const LIST_VALIDITY: Duration = Duration::from_secs(90);

/// A forgotten host's record is kept for this long, lest old news revive it.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

impl Table {
    /// Lets time pass: suspects die, ended hosts are forgotten.
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

    /// Only a majority may shrink the voters on its own word, lest two sides
    /// of a split each forget the other.
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

    /// After a pause of this process, gives suspects their time anew: what
    /// went unanswered may be this host's own fault.
    pub(crate) fn reset_suspicions(&mut self, now: Time) {
        for entry in self.entries.values_mut() {
            if entry.record.state == MemberState::Suspect {
                entry.state_since = now;
            }
        }
    }
}

/// What decides whether a host's state changes with time.
struct ExpiryCx {
    now: Time,
    domain: DomainName,
    suspicion: Duration,
    has_majority: bool,
    /// When the platform's list was read, if lately.
    list_read_at: Option<Time>,
}

impl Entry {
    /// The state that time has brought about; only for hosts of this domain.
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
