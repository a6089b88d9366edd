//! Ticket redemptions on the wire.

use std::time::Duration;

use base::{Incarnation, ShardId};
use policy::message::{Redemption, Ticket};

use super::{Result, body, micros, name};
use crate::generated::peer_capnp::redemption;

pub(crate) fn write_redemption(mut to: redemption::Builder<'_>, it: &Redemption) {
    to.set_minter(it.ticket.minter.as_str());
    to.set_incarnation(it.ticket.incarnation.0);
    let mut secret = to.reborrow().init_secret();
    secret.set_high((it.ticket.secret >> 64) as u64);
    secret.set_low(it.ticket.secret as u64);
    to.set_service(it.service.as_str());
    to.set_time_left_micros(micros(it.time_left));
    to.set_has_shard(it.shard.is_some());
    to.set_shard(it.shard.unwrap_or_default().0);
    to.set_body(&it.body);
}

pub(crate) fn read_redemption(from: redemption::Reader<'_>) -> Result<Redemption> {
    let secret = from.get_secret()?;
    let ticket = Ticket {
        minter: name(from.get_minter()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        secret: (u128::from(secret.get_high()) << 64) | u128::from(secret.get_low()),
    };
    Ok(Redemption {
        ticket,
        service: name(from.get_service()?)?,
        time_left: Duration::from_micros(from.get_time_left_micros()),
        shard: from.get_has_shard().then(|| ShardId(from.get_shard())),
        body: body(from.get_body()?)?,
    })
}
