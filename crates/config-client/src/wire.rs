//! JSON format of the platform's responses, described in `docs/PROTOCOLS.md`.

use base::Revision;
use serde::Deserialize;

use crate::{Index, IndexEntry, ListedHost, PlatformError};

#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct WireIndex {
    /// Epoch of `revision`.
    #[serde(default)]
    epoch: u64,
    revision: u64,
    documents: Vec<WireEntry>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireEntry {
    key: String,
    #[serde(default)]
    epoch: u64,
    revision: u64,
    #[serde(default)]
    deleted: bool,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct WireHosts {
    hosts: Vec<WireHost>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireHost {
    host: String,
    domain: String,
    address: std::net::SocketAddr,
    state: WireState,
}

#[derive(Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireState {
    Live,
    Leaving,
}

impl TryFrom<WireIndex> for Index {
    type Error = PlatformError;

    fn try_from(wire: WireIndex) -> Result<Self, PlatformError> {
        let revision = revision(wire.epoch, wire.revision)?;
        let entries = wire.documents.into_iter().map(IndexEntry::try_from);
        Ok(Index { revision, entries: entries.collect::<Result<_, _>>()? })
    }
}

impl TryFrom<WireEntry> for IndexEntry {
    type Error = PlatformError;

    fn try_from(wire: WireEntry) -> Result<Self, PlatformError> {
        let revision = revision(wire.epoch, wire.revision)?;
        Ok(IndexEntry { key: wire.key.into(), revision, deleted: wire.deleted })
    }
}

/// Returns the revision that the platform counts as `number` in `epoch`.
pub(crate) fn revision(epoch: u64, number: u64) -> Result<Revision, PlatformError> {
    Revision::in_epoch(epoch, number).ok_or_else(|| {
        PlatformError::Malformed(format!("revision {number} of epoch {epoch} is out of range"))
    })
}

impl TryFrom<WireHosts> for Vec<ListedHost> {
    type Error = PlatformError;

    fn try_from(wire: WireHosts) -> Result<Self, PlatformError> {
        wire.hosts.into_iter().map(ListedHost::try_from).collect()
    }
}

impl TryFrom<WireHost> for ListedHost {
    type Error = PlatformError;

    fn try_from(wire: WireHost) -> Result<Self, PlatformError> {
        for name in [&wire.host, &wire.domain] {
            if !base::name::is_valid(name) {
                return Err(PlatformError::Malformed(format!("{name:?} is not a valid name")));
            }
        }
        Ok(ListedHost {
            host: wire.host.into(),
            domain: wire.domain.into(),
            address: wire.address,
            is_leaving: wire.state == WireState::Leaving,
        })
    }
}
