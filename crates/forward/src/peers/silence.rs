//! Notices that a host has fallen silent by what the others' digests say of it.
//!
//! Digests are counted, not time alone: if all hosts are short of processor time, their
//! digests come late, and none of them is silent.

use std::{net::SocketAddr, time::Duration};

use base::{HashMap, Time};

use super::DIGEST_INTERVAL;

/// Digests in a row that bring no later sign of a host before it counts as silent: so many,
/// and one more for each so many hosts of the domain, as signs take more rounds to reach
/// all of them.
const MIN_DIGESTS: usize = 5;
const HOSTS_PER_DIGEST: usize = 8;

/// A later sign is later by this much: times that hosts tell each other grow by the time
/// that digests are on the way.
const MIN_LATER: Duration = Duration::from_millis(DIGEST_INTERVAL.as_millis() as u64 / 2);

#[derive(Debug)]
#[derive(Default)]
pub(super) struct Silence {
    signs: HashMap<SocketAddr, Sign>,
}

/// The last sign of a host.
#[derive(Clone, Copy, Debug)]
struct Sign {
    seen: Time,
    /// Digests since then.
    digests: usize,
}

impl Silence {
    /// Records that a digest came, after which `host` was last seen at `seen`.
    pub(super) fn record_digest(&mut self, host: SocketAddr, seen: Time) {
        let sign = self.signs.entry(host).or_insert(Sign { seen, digests: 0 });
        if seen.since(sign.seen) >= MIN_LATER {
            *sign = Sign { seen, digests: 0 };
        } else {
            sign.digests = sign.digests.saturating_add(1);
        }
    }

    /// Returns whether `host`, in a domain of so many `hosts`, gave no sign after `since`.
    pub(super) fn is_silent(&self, host: SocketAddr, hosts: usize, since: Time) -> bool {
        let limit = MIN_DIGESTS + hosts / HOSTS_PER_DIGEST;
        self.signs.get(&host).is_some_and(|it| it.digests >= limit && it.seen <= since)
    }

    /// Forgets hosts that are not `known` any more.
    pub(super) fn retain(&mut self, known: impl Fn(&SocketAddr) -> bool) {
        self.signs.retain(|it, _| known(it));
    }
}
