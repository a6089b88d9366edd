//! Settings of one node.

use std::net::SocketAddr;

use base::{DomainName, HostName, Incarnation, RegionName};
use documents::model::SeedHost;

/// Identity of the host, and the hosts it contacts first.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub host: HostName,
    pub domain: DomainName,
    pub region: RegionName,
    /// Name of the fleet, the same on all of its hosts; checked by the driver.
    pub fleet: String,
    /// Address at which other hosts reach this one.
    pub address: SocketAddr,
    /// Increases with each start of the host.
    pub incarnation: Incarnation,
    pub seeds: Vec<SeedHost>,
    /// Seed of the node's random number generator.
    pub seed: u64,
    /// Consecutive shards of a pool and domain that form one group.
    pub group_size: u32,
}

#[derive(Clone, Debug)]
pub struct NodeSettingsBuilder(NodeSettings);

/// Default number of shards per group.
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

    /// Shards per group, at least 1; must be the same on all hosts of a fleet.
    pub fn group_size(mut self, group_size: u32) -> Self {
        self.0.group_size = group_size.max(1);
        self
    }

    pub fn build(self) -> NodeSettings {
        self.0
    }
}
