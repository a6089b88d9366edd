//! Calls over links. If a batch or a redemption gets no answer, the result
//! tells whether it was not sent or may have run.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use base::{AttemptId, Outcome, PoolName, RequestId};
use policy::message::{Batch, Part, Redemption, RedemptionReply, TargetStatus};
use tokio::{sync::mpsc, time::timeout};

use super::{
    LinkError,
    pending::{PartSink, Pending},
    table::LinkTable,
};
use crate::wire;

/// Time past the deadline of a batch or a redemption at which its call is
/// abandoned.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

/// Time limit of status, cancel and deliver calls.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_millis(500);

pub(super) async fn run(
    table: &LinkTable,
    to: SocketAddr,
    batch: Batch,
    parts: mpsc::Sender<Part>,
) {
    let pending = Rc::new(Pending::new(&batch.subqueries, parts));
    // Another owner or replica can do the work, so the batch does not wait for
    // a peer that is probably unreachable.
    let Some(link) = table.link_fail_fast(to).await else {
        pending.fail_rest(Outcome::NotRun).await;
        return;
    };
    let (host, _guard) = link.begin_call();
    let mut req = host.run_request();
    wire::write_batch(req.get().init_batch(), &batch);
    req.get().set_sink(capnp_rpc::new_client(PartSink(Rc::clone(&pending))));
    let is_idempotent = batch.is_idempotent;
    let limit = batch.time_left + DEADLINE_MARGIN;
    drop(batch);
    let call = req.send().promise;
    tokio::select! {
        _ = call => (),
        () = link.closed() => link.warn_call_lost(table.log(), "run"),
        () = tokio::time::sleep(limit) => (),
        // Dropping the call would cancel the work, and work that is not
        // idempotent must not be interrupted.
        () = pending.receiver_closed(), if is_idempotent => (),
    }
    pending.fail_rest(Outcome::MayHaveRun).await;
}

pub(super) async fn cancel(
    table: &LinkTable,
    to: SocketAddr,
    request: RequestId,
    attempts: &[AttemptId],
) {
    let Some(link) = table.link(to).await else { return };
    let (host, _guard) = link.begin_call();
    let mut req = host.cancel_request();
    wire::write_request_id(req.get().init_request(), request);
    let mut list = req.get().init_attempts(attempts.len() as u32);
    for (i, &attempt) in attempts.iter().enumerate() {
        wire::write_attempt_id(list.reborrow().get(i as u32), attempt);
    }
    let _ = timeout(CONTROL_CALL_TIMEOUT, req.send().promise).await;
}

pub(super) async fn status(
    table: &LinkTable,
    to: SocketAddr,
    pool: &PoolName,
) -> Option<Vec<TargetStatus>> {
    let link = table.link(to).await?;
    let (host, _guard) = link.begin_call();
    let mut req = host.status_request();
    req.get().set_pool(pool.as_str());
    let answer = timeout(CONTROL_CALL_TIMEOUT, req.send().promise).await.ok()?.ok()?;
    let targets = answer.get().ok()?.get_targets().ok()?;
    targets.iter().map(|it| wire::read_status(it).ok()).collect()
}

pub(super) async fn redeem(
    table: &LinkTable,
    to: SocketAddr,
    redemption: &Redemption,
) -> Result<RedemptionReply, LinkError> {
    let link = table.link(to).await.ok_or(LinkError::NotSent)?;
    let (host, _guard) = link.begin_call();
    let mut req = host.redeem_request();
    wire::write_redemption(req.get().init_redemption(), redemption);
    let call = req.send().promise;
    let answer = tokio::select! {
        answer = call => answer.map_err(|_| LinkError::NoAnswer)?,
        () = link.closed() => return Err(LinkError::NoAnswer),
        () = tokio::time::sleep(redemption.time_left + DEADLINE_MARGIN) => {
            return Err(LinkError::NoAnswer);
        }
    };
    let answer = answer.get().map_err(|_| LinkError::NoAnswer)?;
    let body = answer.get_body().map_err(|_| LinkError::NoAnswer)?;
    Ok(RedemptionReply { status: answer.get_status(), body: body.into() })
}

pub(super) async fn deliver(table: &LinkTable, to: SocketAddr, message: &[u8]) {
    let Some(link) = table.link(to).await else { return };
    let (host, _guard) = link.begin_call();
    let mut req = host.deliver_request();
    req.get().set_message(message);
    let _ = timeout(CONTROL_CALL_TIMEOUT, req.send().promise).await;
}
