//! JSON format of the platform's responses, described in `docs/PROTOCOLS.md`.

use base::Revision;
use serde::Deserialize;

use crate::{Index, IndexEntry, ListedHost, PlatformError};

#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct WireIndex {
    revision: u64,
    documents: Vec<WireEntry>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireEntry {
    key: String,
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

impl From<WireIndex> for Index {
    fn from(wire: WireIndex) -> Self {
        let entries = wire.documents.into_iter().map(IndexEntry::from).collect();
        Index { revision: Revision(wire.revision), entries }
    }
}

impl From<WireEntry> for IndexEntry {
    fn from(wire: WireEntry) -> Self {
        IndexEntry {
            key: wire.key.into(),
            revision: Revision(wire.revision),
            deleted: wire.deleted,
        }
    }
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
