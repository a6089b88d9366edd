//! Parts and target statuses on the wire.

use std::time::Duration;

use base::{Incarnation, Missing, Outcome, ShardId};
use policy::message::{Part, PartResult, TargetStatus};

use super::{
    Result, body, malformed, micros, name, read_attempt_id, read_snapshot, text, write_attempt_id,
    write_snapshot,
};
use crate::generated::peer_capnp::{part, target_status};

pub(crate) fn write_part(mut to: part::Builder<'_>, it: &Part) {
    write_attempt_id(to.reborrow().init_attempt(), it.attempt);
    to.set_shard(it.shard.0);
    to.set_target(it.target.as_str());
    to.set_queued_micros(micros(it.queued));
    to.set_service_micros(micros(it.service_time));
    if let Some(status) = &it.status {
        write_status(to.reborrow().init_status(), status);
    }
    let result = to.init_result();
    match &it.result {
        PartResult::Answer { snapshot, body } => {
            let mut to = result.init_answer();
            write_snapshot(to.reborrow().init_snapshot(), *snapshot);
            to.set_body(body);
        }
        PartResult::Failed { missing, outcome } => {
            let mut to = result.init_failed();
            to.set_missing(missing.as_str());
            to.set_outcome(outcome.as_str());
        }
    }
}

pub(crate) fn read_part(from: part::Reader<'_>) -> Result<Part> {
    let status = match from.has_status() {
        true => Some(read_status(from.get_status()?)?),
        false => None,
    };
    Ok(Part {
        attempt: read_attempt_id(from.get_attempt()?),
        shard: ShardId(from.get_shard()),
        target: name(from.get_target()?)?,
        result: read_result(from)?,
        queued: Duration::from_micros(from.get_queued_micros()),
        service_time: Duration::from_micros(from.get_service_micros()),
        status,
    })
}

fn read_result(from: part::Reader<'_>) -> Result<PartResult> {
    match from.get_result().which()? {
        part::result::Answer(answer) => Ok(PartResult::Answer {
            snapshot: read_snapshot(answer.get_snapshot()?),
            body: body(answer.get_body()?)?,
        }),
        part::result::Failed(failed) => {
            // A reason added in a newer version still counts as a failure.
            let missing = text(failed.get_missing()?)?.parse().unwrap_or(Missing::TargetError);
            let outcome = text(failed.get_outcome()?)?;
            let outcome: Outcome = outcome.parse().map_err(|_| malformed("unknown outcome"))?;
            Ok(PartResult::Failed { missing, outcome })
        }
    }
}

pub(crate) fn write_status(mut to: target_status::Builder<'_>, it: &TargetStatus) {
    to.set_target(it.target.as_str());
    to.set_incarnation(it.incarnation.0);
    to.set_is_leaving(it.is_leaving);
    to.set_is_up(it.is_up);
    to.set_limit(it.limit);
    to.set_in_flight(it.in_flight);
    to.set_wait_micros(micros(it.wait));
    let mut list = to.init_snapshots(it.snapshots.len() as u32);
    for (i, snapshot) in it.snapshots.iter().enumerate() {
        write_snapshot(list.reborrow().get(i as u32), *snapshot);
    }
}

pub(crate) fn read_status(from: target_status::Reader<'_>) -> Result<TargetStatus> {
    Ok(TargetStatus {
        target: name(from.get_target()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        is_leaving: from.get_is_leaving(),
        is_up: from.get_is_up(),
        limit: from.get_limit(),
        in_flight: from.get_in_flight(),
        wait: Duration::from_micros(from.get_wait_micros()),
        snapshots: from.get_snapshots()?.iter().map(read_snapshot).collect(),
    })
}
