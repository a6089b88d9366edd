//! Membership messages: probes, gossip and digests.

use std::{net::SocketAddr, time::Duration};

use base::{HostName, Time};
use rand::seq::IteratorRandom;

use super::{Node, Phase};
use crate::{
    membership::{Probe, Prober},
    message::{Body, Gossip, MAX_RECORDS_PER_DATAGRAM, Message, Record},
};

/// Minimum time between two digests sent because a probe's digest differs.
const DIGEST_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum time between two digests sent because voter sets differ.
const URGENT_DIGEST_INTERVAL: Duration = Duration::from_millis(200);

/// Number of revisions of other hosts that a probe carries.
const REVISIONS_PER_PROBE: usize = 4;

/// Number of hosts of the domain to which a change of the own record is sent
/// directly, when gossip would be too slow.
const BROADCAST_HOSTS: usize = 16;

impl Node {
    pub(super) fn receive(&mut self, now: Time, from: SocketAddr, message: Message) {
        let Message { sender, incarnation, body } = message;
        let known = self.table.record(&sender).map(|it| it.incarnation);
        if sender == self.cfg.host || known.is_some_and(|it| it > incarnation) {
            // A message of an earlier incarnation, or of this host itself.
            return;
        }
        self.last_received = Some(now);
        match body {
            Body::Ping { seq, gossip } => {
                self.handle_gossip(now, from, &sender, gossip);
                let gossip = self.gossip(Some(&sender));
                self.send(from, Body::Ack { seq, gossip });
            }
            Body::Ack { seq, gossip } => self.handle_ack(now, from, &sender, seq, gossip),
            Body::PingRequest { seq, address } => {
                let seq = self.prober.add_relay(now, from, seq);
                let gossip = self.gossip(None);
                self.send(address, Body::Ping { seq, gossip });
            }
            Body::IndirectAck { seq, address } => {
                self.prober.handle_answer(address, seq);
            }
            Body::Digest { domains } => {
                let records = self.table.differing_records(&domains);
                self.send_members(from, records);
            }
            Body::Members { records } => self.merge(now, records),
            Body::Announce { .. } | Body::Pull { .. } | Body::Documents(_) => {
                self.handle_configuration_message(now, from, &sender, body);
            }
            Body::Claim { .. }
            | Body::Verdict { .. }
            | Body::Release { .. }
            | Body::Borrow { .. }
            | Body::Loan { .. } => self.handle_lease_message(now, from, &sender, incarnation, body),
        }
    }

    fn handle_ack(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: &HostName,
        seq: u64,
        gossip: Gossip,
    ) {
        if let Some((requester, requested)) = self.prober.handle_answer(from, seq) {
            self.send(requester, Body::IndirectAck { seq: requested, address: from });
        }
        if matches!(self.phase, Phase::Paused { seq: paused, .. } if seq > paused) {
            self.phase = Phase::Ready;
        }
        self.handle_gossip(now, from, sender, gossip);
    }

    fn handle_gossip(&mut self, now: Time, from: SocketAddr, sender: &HostName, gossip: Gossip) {
        let incarnation = gossip.own.incarnation;
        self.merge(now, gossip.records);
        self.merge(now, vec![gossip.own]);
        self.table.record_revision(sender, incarnation, gossip.revision);
        self.table.record_revisions(&gossip.revisions);
        if gossip.members != self.table.digest() {
            self.send_digest(now, from, DIGEST_INTERVAL);
        }
        self.learn_revision(now, from, gossip.revision, gossip.is_confirmed, None);
    }

    fn merge(&mut self, now: Time, records: Vec<Record>) {
        let mut must_refute = false;
        for record in records {
            must_refute |= self.table.merge(record, now);
        }
        if must_refute {
            self.broadcast_own();
        }
    }

    pub(super) fn send_probes(&mut self, now: Time) {
        for probe in self.prober.tick(now, &mut self.table, &mut self.rng) {
            match probe {
                Probe::Ping { seq, address } => {
                    let gossip = self.gossip(None);
                    self.send(address, Body::Ping { seq, gossip });
                }
                Probe::PingRequest { seq, via, address } => {
                    self.send(via, Body::PingRequest { seq, address });
                }
            }
        }
    }

    fn gossip(&mut self, to: Option<&HostName>) -> Gossip {
        let revision = self.store.complete_revision();
        Gossip {
            own: self.table.own().clone(),
            members: self.table.digest(),
            revision,
            is_confirmed: self.store.is_confirmed(),
            records: self.table.take_updates(to, MAX_RECORDS_PER_DATAGRAM),
            revisions: self.table.random_revisions(&mut self.rng, REVISIONS_PER_PROBE),
        }
    }

    fn send_digest(&mut self, now: Time, to: SocketAddr, interval: Duration) {
        if self.last_digest != Time::ZERO && now.since(self.last_digest) < interval {
            return;
        }
        self.last_digest = now;
        let domains = self.table.domain_digests();
        self.send(to, Body::Digest { domains });
    }

    /// Sends digests to a host with a different voter set, which answers with the
    /// records that differ.
    pub(super) fn compare_members(&mut self, now: Time, with: SocketAddr) {
        self.send_digest(now, with, URGENT_DIGEST_INTERVAL);
    }

    fn send_members(&mut self, to: SocketAddr, records: Vec<Record>) {
        if !records.is_empty() {
            self.send(to, Body::Members { records });
        }
    }

    /// Sends this host's own record to some hosts of its domain and to one speaker
    /// of each other domain.
    pub(super) fn broadcast_own(&mut self) {
        let own = self.table.own().clone();
        let others = self.table.up(&own.domain).filter(|it| it.host != own.host);
        let mut to = others.map(|it| it.address).choose_multiple(&mut self.rng, BROADCAST_HOSTS);
        to.extend(Prober::remote_speakers(&self.table, &mut self.rng));
        for address in to {
            self.send_members(address, vec![own.clone()]);
        }
    }
}
