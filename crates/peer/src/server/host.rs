//! Capability of an authenticated peer: the calls it can make to this host.

use std::net::SocketAddr;

use capnp::capability::{Promise, Rc};
use futures::stream::{FuturesUnordered, StreamExt};
use policy::message::Part;
use tokio::sync::mpsc;

use super::HostService;
use crate::{
    generated::peer_capnp::{host, part_sink},
    wire,
};

/// Maximum number of parts sent in one call.
const MAX_PARTS_PER_CALL: usize = 64;

/// Maximum number of calls with parts that await a response at once.
const MAX_CALLS_IN_FLIGHT: usize = 16;

pub(super) struct HostServer<S> {
    service: S,
    peer: SocketAddr,
}

impl<S> HostServer<S> {
    pub(super) fn new(service: S, peer: SocketAddr) -> Self {
        HostServer { service, peer }
    }
}

impl<S: HostService> host::Server for HostServer<S> {
    async fn run(
        self: Rc<Self>,
        params: host::RunParams,
        _: host::RunResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let batch = wire::read_batch(params.get_batch()?)?;
        let sink = params.get_sink()?;
        let (tx, rx) = mpsc::channel(batch.subqueries.len().max(1));
        self.service.run(batch, tx);
        forward_parts(rx, sink).await
    }

    async fn cancel(
        self: Rc<Self>,
        params: host::CancelParams,
        _: host::CancelResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let request = wire::read_request_id(params.get_request()?);
        let attempts = params.get_attempts()?.iter().map(wire::read_attempt_id).collect();
        self.service.cancel(request, attempts);
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        params: host::StatusParams,
        mut results: host::StatusResults,
    ) -> Result<(), capnp::Error> {
        let pool = wire::name(params.get()?.get_pool()?)?;
        let targets = self.service.status(pool).await;
        let mut list = results.get().init_targets(targets.len() as u32);
        for (i, status) in targets.iter().enumerate() {
            wire::write_status(list.reborrow().get(i as u32), status);
        }
        Ok(())
    }

    async fn redeem(
        self: Rc<Self>,
        params: host::RedeemParams,
        mut results: host::RedeemResults,
    ) -> Result<(), capnp::Error> {
        let redemption = wire::read_redemption(params.get()?.get_redemption()?)?;
        let reply = self.service.redeem(redemption).await;
        let mut results = results.get();
        results.set_status(reply.status);
        results.set_body(&reply.body);
        Ok(())
    }

    async fn deliver(
        self: Rc<Self>,
        params: host::DeliverParams,
        _: host::DeliverResults,
    ) -> Result<(), capnp::Error> {
        self.service.deliver(self.peer, params.get()?.get_message()?.to_vec());
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _: host::PingParams,
        _: host::PingResults,
    ) -> Result<(), capnp::Error> {
        Ok(())
    }
}

/// Forwards parts to the peer as they arrive. Parts that are ready at the same
/// time are sent in one call, and calls are pipelined.
async fn forward_parts(
    mut parts: mpsc::Receiver<Part>,
    sink: part_sink::Client,
) -> Result<(), capnp::Error> {
    let mut calls: FuturesUnordered<Promise<_, capnp::Error>> = FuturesUnordered::new();
    let mut buf = Vec::with_capacity(MAX_PARTS_PER_CALL);
    while parts.recv_many(&mut buf, MAX_PARTS_PER_CALL).await > 0 {
        if calls.len() >= MAX_CALLS_IN_FLIGHT
            && let Some(result) = calls.next().await
        {
            let _: capnp::capability::Response<_> = result?;
        }
        calls.push(send_parts(&sink, &buf));
        buf.clear();
    }
    while let Some(result) = calls.next().await {
        result?;
    }
    Ok(())
}

fn send_parts(
    sink: &part_sink::Client,
    parts: &[Part],
) -> Promise<capnp::capability::Response<part_sink::parts_results::Owned>, capnp::Error> {
    let mut req = sink.parts_request();
    let mut list = req.get().init_parts(parts.len() as u32);
    for (i, part) in parts.iter().enumerate() {
        wire::write_part(list.reborrow().get(i as u32), part);
    }
    req.send().promise
}
