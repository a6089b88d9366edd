//! Batches of subqueries on the wire.

use std::time::Duration;

use base::ShardId;
use policy::message::{Batch, Subquery};

use super::{
    Result, body, micros, name, read_attempt_id, read_request_id, read_snapshot, write_attempt_id,
    write_request_id, write_snapshot,
};
use crate::generated::peer_capnp::{batch, subquery};

pub(crate) fn write_batch(mut to: batch::Builder<'_>, it: &Batch) {
    write_request_id(to.reborrow().init_request(), it.request);
    to.set_service(it.service.as_str());
    to.set_pool(it.pool.as_str());
    write_snapshot(to.reborrow().init_snapshot(), it.snapshot);
    to.set_time_left_micros(micros(it.time_left));
    to.set_is_idempotent(it.is_idempotent);
    to.set_is_extra(it.is_extra);
    to.set_fingerprint(it.fingerprint);
    to.set_body(&it.body);
    let mut list = to.init_subqueries(it.subqueries.len() as u32);
    for (i, subquery) in it.subqueries.iter().enumerate() {
        let mut to = list.reborrow().get(i as u32);
        write_attempt_id(to.reborrow().init_attempt(), subquery.attempt);
        to.set_shard(subquery.shard.0);
        to.set_target(subquery.target.as_str());
    }
}

pub(crate) fn read_batch(from: batch::Reader<'_>) -> Result<Batch> {
    Ok(Batch {
        request: read_request_id(from.get_request()?),
        service: name(from.get_service()?)?,
        pool: name(from.get_pool()?)?,
        snapshot: read_snapshot(from.get_snapshot()?),
        time_left: Duration::from_micros(from.get_time_left_micros()),
        is_idempotent: from.get_is_idempotent(),
        is_extra: from.get_is_extra(),
        fingerprint: from.get_fingerprint(),
        body: body(from.get_body()?)?,
        subqueries: from.get_subqueries()?.iter().map(read_subquery).collect::<Result<_>>()?,
    })
}

fn read_subquery(from: subquery::Reader<'_>) -> Result<Subquery> {
    Ok(Subquery {
        attempt: read_attempt_id(from.get_attempt()?),
        shard: ShardId(from.get_shard()),
        target: name(from.get_target()?)?,
    })
}
