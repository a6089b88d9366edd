//! Parses and checks the headers of a caller's request.

use std::time::Duration;

use base::{Reason, ShardId};
use documents::Service;
use policy::{message::Refusal, request::PoolView};

use super::{Head, refuse};

/// Shortest deadline that a caller may set.
const MIN_DEADLINE: Duration = Duration::from_millis(5);
/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(60);

pub(super) fn deadline(service: &Service, head: &Head) -> Result<Duration, Refusal> {
    let Some(text) = &head.deadline_ms else { return Ok(service.deadline) };
    let millis = text.parse().map_err(|_| {
        refuse(Reason::BadRequest, "godwityard-deadline-ms is not a whole number of milliseconds")
    })?;
    let deadline = Duration::from_millis(millis);
    check_deadline(deadline)?;
    Ok(deadline)
}

pub(super) fn check_deadline(deadline: Duration) -> Result<(), Refusal> {
    if deadline < MIN_DEADLINE {
        let detail = format!("the time left is shorter than {} ms", MIN_DEADLINE.as_millis());
        return Err(refuse(Reason::DeadlineTooShort, detail));
    }
    if deadline > MAX_DEADLINE {
        let detail = format!("the deadline is longer than {} ms", MAX_DEADLINE.as_millis());
        return Err(refuse(Reason::BadRequest, detail));
    }
    Ok(())
}

pub(super) fn min_coverage(service: &Service, head: &Head) -> Result<f64, Refusal> {
    let Some(text) = &head.min_coverage else { return Ok(service.min_coverage) };
    let coverage: f64 = text.parse().unwrap_or(f64::NAN);
    if !(0.0..=1.0).contains(&coverage) {
        let detail = "godwityard-min-coverage is not a number from 0 to 1";
        return Err(refuse(Reason::BadRequest, detail));
    }
    Ok(coverage)
}

pub(super) fn shard(view: &PoolView, head: &Head) -> Result<Option<ShardId>, Refusal> {
    let Some(text) = &head.shard else { return Ok(None) };
    let shard = text
        .parse()
        .map_err(|_| refuse(Reason::BadRequest, "godwityard-shard is not a shard's number"))?;
    check_shard(view, Some(shard))?;
    Ok(Some(shard))
}

pub(super) fn check_shard(view: &PoolView, shard: Option<ShardId>) -> Result<(), Refusal> {
    let shards = view.pool.shards;
    match shard {
        Some(shard) if shard.0 >= shards => {
            Err(refuse(Reason::BadRequest, format!("the pool has {shards} shards, from 0")))
        }
        _ => Ok(()),
    }
}
