//! UDP gossip by which hosts discover each other.

use std::{net::SocketAddr, time::Duration};

use base::Time;
use forward::{
    peers::{DIGEST_INTERVAL, Digest},
    suspects::Strike,
};
use serde::{Deserialize, Serialize};
use slog::{debug, info, warn};
use tokio::{
    net::UdpSocket,
    time::{MissedTickBehavior, interval},
};

use crate::SharedCx;

/// Size of the receive buffer; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 4 * 1024;

/// Wire format of a [`Digest`].
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireDigest {
    from: SocketAddr,
    domain: String,
    version: u64,
    /// Hosts, each with the milliseconds since the last update from it.
    hosts: Vec<(SocketAddr, u64)>,
    /// Fingerprints of requests that crashed a target, each with the
    /// milliseconds since the crash.
    strikes: Vec<(u64, u64)>,
}

impl From<&Digest> for WireDigest {
    fn from(digest: &Digest) -> Self {
        let hosts = digest.hosts.iter().map(|(host, age)| (*host, age.as_millis() as u64));
        let strikes = digest.strikes.iter().map(|it| (it.request, it.age.as_millis() as u64));
        WireDigest {
            from: digest.from,
            domain: digest.domain.as_str().to_owned(),
            version: digest.version,
            hosts: hosts.collect(),
            strikes: strikes.collect(),
        }
    }
}

impl From<WireDigest> for Digest {
    fn from(wire: WireDigest) -> Self {
        let hosts = wire.hosts.into_iter().map(|(host, ms)| (host, Duration::from_millis(ms)));
        let strikes = wire.strikes.into_iter();
        let strikes =
            strikes.map(|(request, ms)| Strike { request, age: Duration::from_millis(ms) });
        Digest {
            from: wire.from,
            domain: wire.domain.into(),
            version: wire.version,
            hosts: hosts.collect(),
            strikes: strikes.collect(),
        }
    }
}

pub(crate) async fn run(cx: SharedCx) {
    let socket = match UdpSocket::bind(cx.cfg.peers).await {
        Ok(socket) => socket,
        Err(err) => {
            warn!(cx.log, "front: cannot bind the gossip socket; no other host will be known";
                "error" => %err);
            return;
        }
    };
    let mut ticks = interval(DIGEST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut last_count = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => send(&cx, &socket).await,
            received = socket.recv_from(&mut buf) => match received {
                Ok((len, _)) => receive(&cx, &buf[..len]),
                Err(err) => debug!(cx.log, "front: cannot read a datagram"; "error" => %err),
            },
        }
        let now = cx.clock.now();
        let count = cx.peers.borrow().assumed_count(now, now.since(Time::ZERO));
        if count != last_count {
            last_count = count;
            cx.targets.borrow_mut().set_hosts(count);
            info!(cx.log, "front: number of hosts changed"; "hosts" => count);
        }
    }
}

async fn send(cx: &SharedCx, socket: &UdpSocket) {
    let now = cx.clock.now();
    let strikes = cx.suspects.borrow().recent_strikes(now);
    let (digest, to) = cx.peers.borrow_mut().next_digest(now, cx.version(), strikes);
    let bytes = match serde_json::to_vec(&WireDigest::from(&digest)) {
        Ok(bytes) => bytes,
        Err(err) => {
            warn!(cx.log, "front: cannot encode a digest"; "error" => %err);
            return;
        }
    };
    for peer in to {
        if let Err(err) = socket.send_to(&bytes, peer).await {
            debug!(cx.log, "front: cannot send a digest"; "peer" => %peer, "error" => %err);
        }
    }
}

fn receive(cx: &SharedCx, bytes: &[u8]) {
    match serde_json::from_slice::<WireDigest>(bytes) {
        Ok(wire) => {
            let (digest, now) = (Digest::from(wire), cx.clock.now());
            cx.suspects.borrow_mut().merge(&digest.strikes, now);
            cx.peers.borrow_mut().receive(&digest, now);
        }
        Err(err) => debug!(cx.log, "front: cannot decode a digest"; "error" => %err),
    }
}
