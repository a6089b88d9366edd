//! What answers prove of the configuration in force.

use std::time::Duration;

use base::Time;
use forward::{Position, customers::StatedProof, readers::Origin};

use crate::{
    SharedCx,
    feeds::{Batch, Feed, Item},
};

/// What an answer proves of the configuration in force, once its items are applied.
#[derive(Clone, Copy, Debug)]
pub(super) enum Proves {
    /// A source that answers by an old state, or a reader that states no proof.
    Nothing,
    /// At the time of the call, no later version than this was published.
    Version(StatedProof),
    /// At the time of the call, no later version than the one in force was published.
    InForce,
}

impl Proves {
    pub(super) fn by_read(cx: &SharedCx, origin: Origin, batch: &Batch) -> Proves {
        let versions = batch.items.iter().filter_map(|it| match it {
            Item::Configuration(cfg) => Some(cfg.version),
            _ => None,
        });
        match origin {
            Origin::Source if versions.max().unwrap_or(0) >= cx.version() => Proves::InForce,
            Origin::Host(_) => Proves::by_reader(batch),
            Origin::Source | Origin::None => Proves::Nothing,
        }
    }

    pub(super) fn by_changes(origin: Origin, after: Position, batch: &Batch) -> Proves {
        match origin {
            Origin::Source if batch.position.revision >= after.revision => Proves::InForce,
            Origin::Host(_) => Proves::by_reader(batch),
            Origin::Source | Origin::None => Proves::Nothing,
        }
    }

    fn by_reader(batch: &Batch) -> Proves {
        batch.proof.map_or(Proves::Nothing, Proves::Version)
    }
}

/// Records what an answer proves to a call that was made at `called`. If another host has a
/// later version, the answer came from a state that lacks it.
pub(super) fn record_proof(cx: &SharedCx, feed: Feed, called: Time, proves: Proves) {
    let newest = cx.peers.borrow().peer_with_newest_version(cx.clock.now());
    let is_superseded = newest.is_some_and(|(_, version)| version > cx.version());
    if feed != Feed::Operations || is_superseded {
        return;
    }
    match proves {
        Proves::Nothing => {}
        Proves::Version(stated) => cx.take_over_proof(called, Some(stated)),
        Proves::InForce => cx.record_proof(called, Duration::ZERO),
    }
}
