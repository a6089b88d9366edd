//! When status calls to the owners of a pool's targets are due.

use std::{sync::Mutex, time::Duration};

use base::{HashMap, PoolName, Time};
use tokio::sync::watch;

/// Minimum interval between rounds for targets in this failure domain while all
/// shards can be served.
const LOCAL_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between rounds for targets in other failure domains while all
/// shards can be served.
pub(crate) const REMOTE_INTERVAL: Duration = Duration::from_secs(4);
/// Minimum interval between rounds while some shard cannot be served.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between rounds while no snapshot is known.
pub(crate) const INITIAL_INTERVAL: Duration = Duration::from_millis(20);

/// Rounds of status calls, by pool.
#[derive(Debug, Default)]
pub(crate) struct Learning {
    pub pools: Mutex<HashMap<PoolName, Rounds>>,
}

#[derive(Debug)]
pub(crate) struct Rounds {
    local_at: Option<Time>,
    remote_at: Option<Time>,
    /// Grows with the number of owners polled, which bounds the rate of calls.
    pub remote_interval: Duration,
    /// Changes with each owner's reply and at the end of a round.
    pub progress: watch::Sender<Progress>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    pub replies: u64,
    pub ended_rounds: u64,
}

/// How many shards of a pool can be served, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Knowledge {
    None,
    /// Some shards can be served.
    Partial,
    Complete,
}

/// Status calls that are due.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Due {
    pub local: bool,
    pub remote: bool,
    /// Targets whose status is younger than this need no status call.
    pub fresh_for: Duration,
}

impl Rounds {
    pub(crate) fn new() -> Self {
        let (progress, _) = watch::channel(Progress::default());
        Rounds { local_at: None, remote_at: None, remote_interval: REMOTE_INTERVAL, progress }
    }

    pub(crate) fn take_due(&mut self, now: Time, knowledge: Knowledge) -> Due {
        let (local, remote) = match knowledge {
            Knowledge::Complete => (LOCAL_INTERVAL, self.remote_interval),
            Knowledge::Partial => (URGENT_INTERVAL, URGENT_INTERVAL),
            Knowledge::None => (INITIAL_INTERVAL, INITIAL_INTERVAL),
        };
        let fresh_for = local.saturating_sub(URGENT_INTERVAL);
        let due = Due {
            fresh_for,
            local: is_due(self.local_at, now, local),
            remote: is_due(self.remote_at, now, remote),
        };
        if due.local {
            self.local_at = Some(now);
        }
        if due.remote {
            self.remote_at = Some(now);
        }
        due
    }
}

fn is_due(last: Option<Time>, now: Time, interval: Duration) -> bool {
    last.is_none_or(|it| now.since(it) >= interval)
}
