//! One host's state machine.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{DomainName, Finding, HostName, Revision, Share, TargetName, Time};
use documents::Configuration;

use crate::{membership::Member, message::Message, settings::NodeSettings};

/// What happened; the driver reports it with the time.
#[derive(Clone, Debug)]
pub enum Input {
    /// [`Node::next_wakeup`] is due.
    Tick,
    /// `from` is where the sender listens for hosts.
    Message {
        from: SocketAddr,
        message: Message,
    },
    /// The process was paused; what it believes may be old.
    Woke,
    /// Answer to `ReadIndex`: entries above the revision asked for.
    PlatformIndex {
        revision: Revision,
        entries: Vec<IndexEntry>,
    },
    /// Answer to `ReadDocument`.
    PlatformDocument {
        key: Arc<str>,
        revision: Revision,
        text: Arc<str>,
    },
    PlatformMissing {
        key: Arc<str>,
    },
    /// Any platform call failed or timed out.
    PlatformFailed,
    /// Answer to `ReadHosts`.
    PlatformHosts(Vec<ListedHost>),
    /// Begin the graceful stop.
    Leave,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// By datagram, or by link if the message is bulk.
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// Long-poll the index for entries above `after`; at most one at a time.
    ReadIndex {
        after: Revision,
        wait: Duration,
    },
    ReadDocument {
        key: Arc<str>,
    },
    ReadHosts,
    ConfigurationChanged,
    /// [`Node::shares`] or [`Node::owners`] changed.
    SharesChanged,
    /// All rights are given up and peers told; the process may exit.
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    pub key: Arc<str>,
    pub revision: Revision,
    pub is_deleted: bool,
}

/// A host in the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    pub host: HostName,
    pub domain: DomainName,
    pub address: SocketAddr,
    pub is_leaving: bool,
}

/// Why a node is not ready for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotReady {
    #[error("no peer and no platform has confirmed the configuration yet")]
    Unconfirmed,
    #[error("the process was paused and has not heard from any peer since")]
    Paused,
    #[error("the host is leaving")]
    Leaving,
}

/// One host's state machine.
#[derive(Debug)]
pub struct Node {
    cfg: NodeSettings,
    configuration: Arc<Configuration>,
}

impl Node {
    pub fn new(cfg: NodeSettings, _now: Time) -> Node {
        Node { cfg, configuration: Arc::default() }
    }

    /// Takes in what happened at `now` and returns what to do about it.
    pub fn handle(&mut self, _now: Time, _input: Input) -> Vec<Action> {
        Vec::new()
    }

    /// When to call [`Node::handle`] with [`Input::Tick`] at the latest.
    pub fn next_wakeup(&self) -> Time {
        Time::ZERO
    }

    /// All hosts known, this one included.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        std::iter::empty()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.configuration)
    }

    /// What is wrong with documents that are not in force.
    pub fn findings(&self) -> Vec<Finding> {
        Vec::new()
    }

    pub fn readiness(&self) -> Result<(), NotReady> {
        Err(NotReady::Unconfirmed)
    }

    /// Primary and standby of a target, in the target's domain.
    pub fn owners(&self, _target: &TargetName) -> Option<(HostName, Option<HostName>)> {
        Some((self.cfg.host.clone(), None))
    }

    /// What this host may use of each target now.
    pub fn shares(&self, _now: Time) -> Vec<(TargetName, Share)> {
        Vec::new()
    }
}
