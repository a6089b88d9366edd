//! Settings of one node.

use std::net::SocketAddr;

use base::{DomainName, HostName, Incarnation, RegionName};
use documents::model::SeedHost;

/// Who this host is and whom it asks first.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub host: HostName,
    pub domain: DomainName,
    pub region: RegionName,
    /// Name that all hosts of the fleet share; the driver checks it.
    pub fleet: String,
    /// Where other hosts reach this one.
    pub address: SocketAddr,
    /// Higher at each start of the host.
    pub incarnation: Incarnation,
    pub seeds: Vec<SeedHost>,
    /// Seed of the node's random choices.
    pub seed: u64,
    /// Shards of a pool that one owner takes together.
    pub group_size: u32,
}

#[derive(Clone, Debug)]
pub struct NodeSettingsBuilder(NodeSettings);

/// Shards to a group unless set otherwise.
pub const DEFAULT_GROUP_SIZE: u32 = 4;

impl NodeSettings {
    pub fn builder(
        host: HostName,
        domain: DomainName,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> NodeSettingsBuilder {
        NodeSettingsBuilder(NodeSettings {
            host,
            domain,
            region: RegionName::new("default"),
            fleet: "default".to_owned(),
            address,
            incarnation,
            seeds: Vec::new(),
            seed: incarnation.0,
            group_size: DEFAULT_GROUP_SIZE,
        })
    }
}

impl NodeSettingsBuilder {
    pub fn region(mut self, region: RegionName) -> Self {
        self.0.region = region;
        self
    }

    pub fn fleet(mut self, fleet: impl Into<String>) -> Self {
        self.0.fleet = fleet.into();
        self
    }

    pub fn seeds(mut self, seeds: Vec<SeedHost>) -> Self {
        self.0.seeds = seeds;
        self
    }

    pub fn seed(mut self, seed: u64) -> Self {
        self.0.seed = seed;
        self
    }

    /// Shards to a group, at least 1; the same on all hosts of a fleet.
    pub fn group_size(mut self, group_size: u32) -> Self {
        self.0.group_size = group_size.max(1);
        self
    }

    pub fn build(self) -> NodeSettings {
        self.0
    }
}
