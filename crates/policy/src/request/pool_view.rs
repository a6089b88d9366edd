//! A pool with its targets grouped by shard, built once per configuration.

use std::sync::Arc;

use base::ShardId;
use documents::{Pool, Target};

#[derive(Clone, Debug)]
pub struct PoolView {
    pub pool: Arc<Pool>,
    by_shard: Vec<Vec<Arc<Target>>>,
}

impl PoolView {
    pub fn new(pool: Arc<Pool>) -> Self {
        let mut by_shard = vec![Vec::new(); pool.shards as usize];
        for target in &pool.targets {
            let Some(replicas) = by_shard.get_mut(target.shard.0 as usize) else { continue };
            replicas.push(Arc::clone(target));
        }
        PoolView { pool, by_shard }
    }

    /// Returns the targets that hold `shard`; none if the map has no such
    /// shard.
    pub fn replicas(&self, shard: ShardId) -> &[Arc<Target>] {
        self.by_shard.get(shard.0 as usize).map_or(&[], Vec::as_slice)
    }

    pub fn shards(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..self.pool.shards).map(ShardId)
    }
}
