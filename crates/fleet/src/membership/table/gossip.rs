//! Records, revisions and digests to send to other hosts.

use base::{DomainName, HostName, Revision};
use rand::{rngs::SmallRng, seq::IteratorRandom};

use super::{DomainEntry, Entry, Table};
use crate::{
    membership::MemberState,
    message::{DomainDigest, HostRevision, Record},
};

impl Table {
    /// Returns records to gossip to `to`: first the record of `to` itself if it
    /// has to refute it, then the least spread updates.
    pub(crate) fn take_updates(&mut self, to: Option<&HostName>, limit: usize) -> Vec<Record> {
        let mut records = Vec::new();
        if let Some(entry) = to.and_then(|it| self.entries.get(it))
            && entry.record.state != MemberState::Alive
        {
            records.push(entry.record.clone());
        }
        if self.updates.is_empty() {
            return records;
        }
        let mut hosts: Vec<_> = self.updates.iter().map(|(host, &left)| (left, host)).collect();
        hosts.sort_unstable_by(|a, b| b.cmp(a));
        hosts.truncate(limit - records.len());
        let hosts: Vec<_> = hosts.into_iter().map(|(_, host)| host.clone()).collect();
        for host in hosts {
            records.push(self.entries[&host].record.clone());
            self.record_update_sent(&host);
        }
        records
    }

    fn record_update_sent(&mut self, host: &HostName) {
        let Some(left) = self.updates.get_mut(host) else { return };
        *left -= 1;
        if *left == 0 {
            self.updates.remove(host);
        }
    }

    /// Returns the last known revisions of up to `limit` random hosts.
    pub(crate) fn random_revisions(&self, rng: &mut SmallRng, limit: usize) -> Vec<HostRevision> {
        let known = self.entries.values().filter(|it| it.revision > Revision(0));
        let some = known.choose_multiple(rng, limit);
        let to_wire = |it: &Entry| HostRevision {
            host: it.name_hash,
            incarnation: it.record.incarnation,
            revision: it.revision,
        };
        some.into_iter().map(to_wire).collect()
    }

    /// Returns the digest of all records; equal on hosts with the same records.
    pub(crate) fn digest(&self) -> u64 {
        self.domains.values().fold(0, |all, it| all ^ it.digest)
    }

    pub(crate) fn domain_digests(&self) -> Vec<DomainDigest> {
        let to_wire = |(domain, entry): (&DomainName, &DomainEntry)| DomainDigest {
            domain: domain.clone(),
            members: entry.digest,
        };
        self.domains.iter().map(to_wire).collect()
    }

    /// Returns the records of every domain whose digest differs from the peer's.
    pub(crate) fn differing_records(&self, theirs: &[DomainDigest]) -> Vec<Record> {
        let differs = |domain: &&DomainName| {
            let their = theirs.iter().find(|it| it.domain == **domain).map(|it| it.members);
            their != Some(self.domains[*domain].digest)
        };
        let domains = self.domains.keys().filter(differs);
        domains.flat_map(|it| self.domain(it)).cloned().collect()
    }
}
