//! Readers: the few hosts of each domain that read the configuration and the
//! targets at their source. The other hosts of the domain follow a reader.
//!
//! Load patterns answered:
//! - each change of targets would cost one call of each host, and the source's
//!   rates grow more slowly than the fleet;
//! - readers are lost, frozen, or rejected by a source that serves other hosts.
//!   Other hosts then become readers, a few after the other;
//! - all hosts start at once and know nothing of each other yet.

use std::{net::SocketAddr, time::Duration};

use crate::{
    peers::Host,
    senders::{candidates, rank},
};

/// Readers of a domain, so that the loss of one leaves another.
const READERS: usize = 2;

/// In a domain with at most this many hosts each one reads the source itself.
const SMALL_DOMAIN: usize = 4;

/// While no reader is known, hosts become readers one pair after the other, with
/// this time between pairs, and all of them at last.
const WAIT_STEP: Duration = Duration::from_millis(200);
const MAX_WAIT: Duration = Duration::from_millis(2_000);

/// Returns whether hosts of a domain with so many of them follow readers.
pub fn has_followers(hosts: usize) -> bool {
    hosts > SMALL_DOMAIN
}

/// Where a host gets the configuration and the targets from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The source itself.
    Source,
    /// A reader.
    Host(SocketAddr),
    /// Nothing for now; a reader may become known.
    None,
}

/// What a host knows when it chooses.
#[derive(Clone, Copy, Debug)]
pub struct ReaderView<'a> {
    pub own: &'a Host,
    /// All live hosts of the own domain, including this one.
    pub local: &'a [Host],
    /// Readers that did not answer lately.
    pub lost: &'a [SocketAddr],
    /// Whether the source rejected this host or did not answer it lately.
    pub is_source_lost: bool,
    /// Time since this host has neither the source nor a reader.
    pub waited: Duration,
}

impl ReaderView<'_> {
    /// Chooses where to get the configuration and the targets from.
    pub fn choose(&self) -> Origin {
        if !has_followers(self.local.len()) {
            return Origin::Source;
        }
        let ranked = self.ranked();
        let own = ranked.iter().position(|it| it.address == self.own.address).unwrap_or(0);
        let is_reader = |it: &Host| it.reads_source && !self.lost.contains(&it.address);
        let readers = |hosts: &[&Host]| -> Vec<SocketAddr> {
            hosts.iter().filter(|it| is_reader(it)).map(|it| it.address).collect()
        };
        let preferred = readers(&ranked[..own]);
        let should_read = own < READERS || self.own.reads_source && preferred.len() < READERS;
        if should_read && !self.is_source_lost {
            return Origin::Source;
        }
        let mut known = preferred;
        known.extend(readers(ranked.get(own + 1..).unwrap_or_default()));
        known.truncate(READERS);
        if !known.is_empty() {
            return Origin::Host(known[rank(self.own.address) as usize % known.len()]);
        }
        let wait = (WAIT_STEP * (own / READERS) as u32).min(MAX_WAIT);
        if self.waited >= wait { Origin::Source } else { Origin::None }
    }

    /// Returns the hosts in the order in which they should be readers. Likely
    /// senders come last, as they have other work.
    fn ranked(&self) -> Vec<&Host> {
        let senders = candidates(self.local);
        let mut ranked: Vec<&Host> = self.local.iter().collect();
        ranked.sort_by_key(|it| (senders.contains(&it.address), rank(it.address)));
        ranked
    }
}
