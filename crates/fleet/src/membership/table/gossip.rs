//! What is passed on to others.

use base::{DomainName, HostName, Revision};
use rand::{rngs::SmallRng, seq::IteratorRandom};

use super::{DomainEntry, Entry, Table};
use crate::{
    membership::MemberState,
    message::{DomainDigest, HostRevision, Record},
};

impl Table {
    /// Records to pass on to `to`: first what it must refute, then the least
    /// spread news.
    pub(crate) fn take_news(&mut self, to: Option<&HostName>, limit: usize) -> Vec<Record> {
        let mut records = Vec::new();
        if let Some(entry) = to.and_then(|it| self.entries.get(it))
            && entry.record.state != MemberState::Alive
        {
            records.push(entry.record.clone());
        }
        if self.news.is_empty() {
            return records;
        }
        let mut hosts: Vec<_> = self.news.iter().map(|(host, &left)| (left, host)).collect();
        hosts.sort_unstable_by(|a, b| b.cmp(a));
        hosts.truncate(limit - records.len());
        let hosts: Vec<_> = hosts.into_iter().map(|(_, host)| host.clone()).collect();
        for host in hosts {
            records.push(self.entries[&host].record.clone());
            self.spend_news(&host);
        }
        records
    }

    fn spend_news(&mut self, host: &HostName) {
        let Some(left) = self.news.get_mut(host) else { return };
        *left -= 1;
        if *left == 0 {
            self.news.remove(host);
        }
    }

    /// Revisions of a few random hosts, as last heard.
    pub(crate) fn some_revisions(&self, rng: &mut SmallRng, limit: usize) -> Vec<HostRevision> {
        let heard = self.entries.values().filter(|it| it.revision > Revision(0));
        let some = heard.choose_multiple(rng, limit);
        let to_wire = |it: &Entry| HostRevision {
            host: it.name_hash,
            incarnation: it.record.incarnation,
            revision: it.revision,
        };
        some.into_iter().map(to_wire).collect()
    }

    /// Hash over all records; equal on hosts that believe the same.
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

    /// Records of every domain whose digest differs from the peer's.
    pub(crate) fn differing(&self, theirs: &[DomainDigest]) -> Vec<Record> {
        let differs = |domain: &&DomainName| {
            let their = theirs.iter().find(|it| it.domain == **domain).map(|it| it.members);
            their != Some(self.domains[*domain].digest)
        };
        let domains = self.domains.keys().filter(differs);
        domains.flat_map(|it| self.domain(it)).cloned().collect()
    }
}
