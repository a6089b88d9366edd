//! Choice of a customer's ledger among the hosts.

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use base::Time;
use rustc_hash::FxHasher;

use crate::peers::{DIGEST_INTERVAL, HOST_RETENTION, Peers, UNREACHABLE_AFTER};

/// Longest time between two rounds of gossip in which nothing counts as missed. Others
/// notice a silence at the earliest after [`UNREACHABLE_AFTER`] and a round.
const MAX_GAP: Duration = UNREACHABLE_AFTER.saturating_add(DIGEST_INTERVAL);

/// The hosts as one host sees them.
#[derive(Clone, Debug)]
pub struct Fleet {
    own: SocketAddr,
    /// Other hosts seen in the time for which silent ones are counted, and when.
    seen: Vec<(SocketAddr, Time)>,
    /// Number of hosts that may be running, with those that were never seen.
    count: usize,
    /// Part of the seeds that was seen.
    seen_seeds: f64,
    running: Running,
}

/// Since when a host runs without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Running {
    since: Time,
    last: Time,
}

impl Running {
    pub fn new(now: Time) -> Running {
        Running { since: now, last: now }
    }

    /// Records that the host runs. In a gap, other hosts may have become ledgers.
    pub fn record(&mut self, now: Time) {
        if now.since(self.last) > MAX_GAP {
            self.since = now;
        }
        self.last = self.last.max(now);
    }
}

/// What a host is for a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// It is the ledger since a time, and reaches a part of the hosts.
    Ledger { since: Time, reach: f64 },
    /// Another host may be the ledger. This one runs since a time.
    StandIn { running_since: Time },
    /// It doesn't know enough of the others yet.
    Settling,
}

impl Fleet {
    pub fn new(peers: &Peers, running: &Running, now: Time) -> Fleet {
        Fleet {
            own: peers.own().address,
            seen: peers.last_seen(now).collect(),
            count: peers.count(now),
            seen_seeds: peers.seen_seeds(),
            running: *running,
        }
    }

    /// Returns the same hosts, as seen by a host that runs since another time.
    pub fn with_running(&self, running: &Running) -> Fleet {
        Fleet { running: *running, ..self.clone() }
    }

    pub fn is_running_since(&self, running: &Running) -> bool {
        self.running.since == running.since
    }

    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Returns the time after which a host of which nothing was heard grants no tokens, as
    /// far as others know. Signs of a host take some rounds to reach all others.
    pub fn silence(&self) -> Duration {
        let rounds = self.count.next_power_of_two().ilog2();
        UNREACHABLE_AFTER + DIGEST_INTERVAL * rounds
    }

    /// Returns the two hosts to ask, the ledger first, without those that `is_skipped`.
    pub fn ledgers(
        &self,
        customer: &str,
        is_skipped: impl Fn(SocketAddr) -> bool,
        now: Time,
    ) -> Vec<SocketAddr> {
        let (mut first, mut second) = (None, None);
        for host in self.live(now).filter(|it| !is_skipped(*it)).chain([self.own]) {
            let weight = Some(weight(customer, host));
            if weight > first {
                (first, second) = (weight, first);
            } else if weight > second {
                second = weight;
            }
        }
        first.into_iter().chain(second).map(|(_, host)| host).collect()
    }

    /// Returns what this host is for a customer. `is_declined` is whether the first host in
    /// the order declined.
    pub fn standing(&self, customer: &str, is_declined: bool, now: Time) -> Standing {
        let silence = self.silence();
        if now.since(self.running.since) < silence {
            return Standing::Settling;
        }
        let own = weight(customer, self.own);
        let before = self.seen.iter().filter(|(it, _)| weight(customer, *it) > own);
        let mut before: Vec<(SocketAddr, Time)> = before.copied().collect();
        if is_declined {
            let is_live = |it: &&(SocketAddr, Time)| now.since(it.1) <= silence;
            let first = before.iter().filter(is_live).max_by_key(|it| weight(customer, it.0));
            let first = first.map(|it| it.0);
            before.retain(|it| Some(it.0) != first);
        }
        // An earlier ledger may have granted tokens until others noticed its silence.
        let since = before.iter().map(|(_, at)| *at + silence).max();
        let since = since.unwrap_or_default().max(self.running.since + silence);
        if since > now {
            return Standing::StandIn { running_since: self.running.since };
        }
        Standing::Ledger { since, reach: self.reach(now) }
    }

    /// Returns this host's part of `total` requests. The parts of all hosts add up to
    /// `total`, rounded down.
    pub fn own_part(&self, customer: &str, total: f64) -> usize {
        let own = weight(customer, self.own);
        let index = self.seen.iter().filter(|(it, _)| weight(customer, *it) > own).count();
        let until = |index: usize| (total * index as f64 / self.count as f64) as usize;
        until(index + 1) - until(index)
    }

    /// Returns the part of the hosts that this one reaches. One that runs for less time than
    /// silent hosts are counted may not know of all.
    fn reach(&self, now: Time) -> f64 {
        let reach = (self.live(now).count() + 1) as f64 / self.count as f64;
        let is_new = now.since(self.running.since) < HOST_RETENTION;
        if is_new { reach.min(self.seen_seeds) } else { reach }
    }

    fn live(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        let silence = self.silence();
        let is_live = move |it: &&(SocketAddr, Time)| now.since(it.1) <= silence;
        self.seen.iter().filter(is_live).map(|(it, _)| *it)
    }
}

/// Returns the place of a host in the order of a customer's ledgers, which is the same in
/// every view. The highest is the ledger.
fn weight(customer: &str, host: SocketAddr) -> (u64, SocketAddr) {
    let mut hasher = FxHasher::default();
    (customer, host).hash(&mut hasher);
    // The hash of addresses that differ in few bits differs in few bits, too.
    let mut mixed = hasher.finish();
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31), host)
}
