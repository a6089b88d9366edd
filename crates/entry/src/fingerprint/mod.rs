//! Fingerprints of requests. A request must have the same fingerprint on every
//! host and in every version, so a truncated cryptographic hash is used.

use base::{ServiceName, ShardId};
use policy::message::Redemption;
use sha2::{Digest, Sha256};

/// Returns the fingerprint of a request's service and body.
pub(crate) fn request_fingerprint(service: &ServiceName, body: &[u8]) -> u64 {
    hash(service, None, body)
}

/// Returns the fingerprint of a redemption's service, shard and body.
pub(crate) fn redemption_fingerprint(redemption: &Redemption) -> u64 {
    hash(&redemption.service, redemption.shard, &redemption.body)
}

fn hash(service: &ServiceName, shard: Option<ShardId>, body: &[u8]) -> u64 {
    let shard = shard.map_or(u64::MAX, |it| u64::from(it.0));
    let digest = Sha256::new()
        .chain_update(service.as_bytes())
        .chain_update([0])
        .chain_update(shard.to_be_bytes())
        .chain_update(body)
        .finalize();
    digest.iter().take(8).fold(0, |hash, &byte| (hash << 8) | u64::from(byte))
}
