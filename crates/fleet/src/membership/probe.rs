//! Probes of other hosts: one at a time within the domain, first directly and
//! then through other hosts; also of dead hosts and of other domains.

use std::{net::SocketAddr, time::Duration};

use base::{HashMap, HostName, Time};
use rand::{
    Rng,
    rngs::SmallRng,
    seq::{IndexedRandom, SliceRandom},
};

use super::{MemberState, PROBE_INTERVAL, Table};

/// Time without an answer after which a probe is repeated through other hosts.
const INDIRECT_AFTER: Duration = Duration::from_millis(300);

/// Time without an answer after which the probed host becomes suspect.
const SUSPECT_AFTER: Duration = Duration::from_millis(900);

/// Number of hosts asked to probe on behalf of this one.
const INDIRECT_PROBES: usize = 3;

/// Time between two probes of dead hosts.
const DEAD_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Time after its start for which a host probes dead hosts more often, several
/// at once.
const START_PHASE: Duration = Duration::from_secs(20);
const START_PROBE_INTERVAL: Duration = Duration::from_millis(300);
const START_PROBES: usize = 4;

/// Time for which a probe on behalf of another host waits for an answer.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of speakers of a domain, the hosts that probe other domains.
const SPEAKERS_PER_DOMAIN: usize = 2;

#[derive(Debug)]
pub(crate) struct Prober {
    /// Hosts of this domain still to be probed in this round, last first.
    order: Vec<HostName>,
    started: Time,
    next_probe: Time,
    next_dead_probe: Time,
    pending: Option<Pending>,
    relays: HashMap<u64, Relay>,
    next_seq: u64,
}

#[derive(Debug)]
struct Pending {
    host: HostName,
    address: SocketAddr,
    sent: Time,
    is_indirect: bool,
}

#[derive(Debug)]
struct Relay {
    requester: SocketAddr,
    seq: u64,
    expires: Time,
}

/// A probe message to send.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Probe {
    Ping { seq: u64, address: SocketAddr },
    PingRequest { seq: u64, via: SocketAddr, address: SocketAddr },
}

impl Prober {
    pub(crate) fn new(now: Time, rng: &mut SmallRng) -> Prober {
        let jitter = PROBE_INTERVAL.mul_f64(rng.random::<f64>() * 0.5);
        Prober {
            order: Vec::new(),
            started: now,
            next_probe: now + jitter,
            next_dead_probe: now,
            pending: None,
            relays: HashMap::default(),
            next_seq: 1,
        }
    }

    pub(crate) fn next_wakeup(&self) -> Time {
        let next = self.next_probe.min(self.next_dead_probe);
        let Some(pending) = &self.pending else { return next };
        let due = if pending.is_indirect { SUSPECT_AFTER } else { INDIRECT_AFTER };
        next.min(pending.sent + due)
    }

    pub(crate) fn next_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    /// Discards the unanswered probe, which says nothing about its host after a
    /// pause of this process.
    pub(crate) fn reset(&mut self, now: Time) {
        self.pending = None;
        self.next_probe = now;
        self.next_dead_probe = now;
    }

    pub(crate) fn tick(&mut self, now: Time, table: &mut Table, rng: &mut SmallRng) -> Vec<Probe> {
        let mut out = Vec::new();
        self.relays.retain(|_, it| it.expires > now);
        self.check_pending(now, table, rng, &mut out);
        if now >= self.next_dead_probe {
            let is_new = now.since(self.started) < START_PHASE;
            let (interval, count) = if is_new {
                (START_PROBE_INTERVAL, START_PROBES)
            } else {
                (DEAD_PROBE_INTERVAL, 1)
            };
            self.next_dead_probe = now + jittered(interval, rng);
            for record in table.random_dead(rng, count) {
                out.push(Probe::Ping { seq: self.next_seq(), address: record.address });
            }
        }
        if now >= self.next_probe {
            self.next_probe = now + jittered(PROBE_INTERVAL, rng);
            self.probe(now, table, rng, &mut out);
            self.probe_other_domain(table, rng, &mut out);
        }
        out
    }

    fn check_pending(
        &mut self,
        now: Time,
        table: &mut Table,
        rng: &mut SmallRng,
        out: &mut Vec<Probe>,
    ) {
        let seq = self.next_seq();
        let Some(pending) = &mut self.pending else { return };
        let age = now.since(pending.sent);
        if age >= SUSPECT_AFTER {
            table.set_state(&pending.host, MemberState::Suspect, now);
            self.pending = None;
            return;
        }
        if pending.is_indirect || age < INDIRECT_AFTER {
            return;
        }
        pending.is_indirect = true;
        let address = pending.address;
        let own = table.own();
        let can_help = |host: &HostName| *host != pending.host && *host != own.host;
        let mut helpers: Vec<_> =
            table.up(&own.domain).filter(|it| can_help(&it.host)).map(|it| it.address).collect();
        helpers.shuffle(rng);
        helpers.truncate(INDIRECT_PROBES);
        out.extend(helpers.into_iter().map(|via| Probe::PingRequest { seq, via, address }));
    }

    fn probe(&mut self, now: Time, table: &Table, rng: &mut SmallRng, out: &mut Vec<Probe>) {
        if self.pending.is_some() {
            return;
        }
        let Some((host, address)) = self.next_host(table, rng) else { return };
        out.push(Probe::Ping { seq: self.next_seq(), address });
        self.pending = Some(Pending { host, address, sent: now, is_indirect: false });
    }

    /// Returns the next host in the random order of a round, so that each host is
    /// probed within two rounds.
    fn next_host(&mut self, table: &Table, rng: &mut SmallRng) -> Option<(HostName, SocketAddr)> {
        for _ in 0..2 {
            while let Some(host) = self.order.pop() {
                let record = table.record(&host).filter(|it| it.state.is_up());
                if let Some(record) = record {
                    return Some((host, record.address));
                }
            }
            let own = table.own();
            let others = table.up(&own.domain).filter(|it| it.host != own.host);
            self.order = others.map(|it| it.host.clone()).collect();
            self.order.shuffle(rng);
        }
        None
    }

    /// Probes a host of another domain if this host is a speaker. The gossip of
    /// the probe spreads updates between domains.
    fn probe_other_domain(&mut self, table: &Table, rng: &mut SmallRng, out: &mut Vec<Probe>) {
        if !table.is_selected("speaker", SPEAKERS_PER_DOMAIN) {
            return;
        }
        let own = table.own();
        let domains: Vec<_> = table.domains().filter(|it| **it != own.domain).collect();
        let Some(domain) = domains.choose(rng) else { return };
        let candidates: Vec<_> = if rng.random() {
            table.selected(domain, "speaker", SPEAKERS_PER_DOMAIN)
        } else {
            table.up(domain).collect()
        };
        let Some(record) = candidates.choose(rng) else { return };
        out.push(Probe::Ping { seq: self.next_seq(), address: record.address });
    }

    /// Returns one speaker of every other domain, or none if this host is not a
    /// speaker.
    pub(crate) fn remote_speakers(table: &Table, rng: &mut SmallRng) -> Vec<SocketAddr> {
        if !table.is_selected("speaker", SPEAKERS_PER_DOMAIN) {
            return Vec::new();
        }
        let own = &table.own().domain;
        let others = table.domains().filter(|it| *it != own);
        let speakers = others.map(|it| table.selected(it, "speaker", SPEAKERS_PER_DOMAIN));
        speakers.filter_map(|it| it.choose(rng).map(|it| it.address)).collect()
    }

    /// Records a probe on behalf of `requester` and returns its own sequence
    /// number.
    pub(crate) fn add_relay(&mut self, now: Time, requester: SocketAddr, seq: u64) -> u64 {
        let own_seq = self.next_seq();
        self.relays.insert(own_seq, Relay { requester, seq, expires: now + RELAY_TIMEOUT });
        own_seq
    }

    /// Handles an answer from `address`. Returns the host that requested the
    /// probe, if any, with its sequence number.
    pub(crate) fn handle_answer(
        &mut self,
        address: SocketAddr,
        seq: u64,
    ) -> Option<(SocketAddr, u64)> {
        if self.pending.as_ref().is_some_and(|it| it.address == address) {
            self.pending = None;
        }
        self.relays.remove(&seq).map(|it| (it.requester, it.seq))
    }
}

fn jittered(interval: Duration, rng: &mut SmallRng) -> Duration {
    interval.mul_f64(0.9 + 0.2 * rng.random::<f64>())
}
