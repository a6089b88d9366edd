//! UDP gossip by which hosts discover each other.

#[cfg(test)]
mod tests;
mod wire;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use base::Time;
use forward::peers::{DIGEST_INTERVAL, Digest};
use slog::{debug, info, warn};
use tokio::{
    net::UdpSocket,
    time::{MissedTickBehavior, interval},
};

use crate::{MessageKind, SharedCx, leaving, quota};

/// Size of the receive buffer; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 4 * 1024;

/// Minimum time between two log lines on the number of hosts.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) async fn run(cx: SharedCx) {
    let socket = match UdpSocket::bind(cx.cfg.peers).await {
        Ok(socket) => Rc::new(socket),
        Err(err) => {
            warn!(cx.log, "front: cannot bind the gossip socket; no other host will be known";
                "error" => %err);
            return;
        }
    };
    cx.quota.set_socket(socket.clone());
    let mut ticks = interval(DIGEST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut last_count = 0;
    let mut logged_at: Option<Time> = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => send(&cx, &socket).await,
            received = socket.recv_from(&mut buf) => match received {
                Ok((len, from)) if quota::is_quota_message(&buf[..len]) => {
                    quota::receive(&cx, &buf[..len], from);
                    continue;
                }
                Ok((len, _)) => {
                    if let Some((reply, peer)) = receive(&cx, &buf[..len]) {
                        send_digest(&cx, &socket, &reply, peer).await;
                    }
                }
                Err(err) => debug!(cx.log, "front: cannot read a datagram"; "error" => %err),
            },
        }
        let now = cx.clock.now();
        let count = cx.peers.borrow().assumed_count(now, cx.clock.uptime());
        if count != last_count {
            last_count = count;
            cx.targets.borrow_mut().set_hosts(count);
            // While many hosts start, the number changes with each datagram.
            if logged_at.is_none_or(|at| now.since(at) >= LOG_INTERVAL) {
                logged_at = Some(now);
                info!(cx.log, "front: number of hosts changed"; "hosts" => count);
            }
        }
    }
}

async fn send(cx: &SharedCx, socket: &UdpSocket) {
    let now = cx.clock.now();
    let strikes = cx.suspects.borrow().recent_strikes(now);
    let (mut digest, to) = cx.peers.borrow_mut().next_digest(now, cx.version(), strikes);
    digest.leaving = cx.targets.borrow_mut().next_shared_leaving(now);
    digest.proof_age = cx.stated_proof().map(|it| it.age);
    cx.quota.update_fleet(&cx.peers.borrow(), now);
    for peer in to {
        send_digest(cx, socket, &digest, peer).await;
    }
}

async fn send_digest(cx: &SharedCx, socket: &UdpSocket, digest: &Digest, peer: SocketAddr) {
    let sent = match wire::encode(digest) {
        Ok(mut bytes) => {
            cx.cfg.peer_keys.sign(MessageKind::Digest, &mut bytes);
            socket.send_to(&bytes, peer).await.map(|_| ()).map_err(|it| it.to_string())
        }
        Err(err) => Err(err.to_string()),
    };
    if let Err(err) = sent {
        debug!(cx.log, "front: cannot send a digest"; "peer" => %peer, "error" => err);
    }
}

/// Learns from a datagram; returns the reply if it asks for one.
fn receive(cx: &SharedCx, bytes: &[u8]) -> Option<(Digest, SocketAddr)> {
    let Some(bytes) = cx.cfg.peer_keys.verify(MessageKind::Digest, bytes) else {
        cx.metrics.record_rejected_digest("not authentic");
        debug!(cx.log, "front: no key made the MAC of a digest");
        return None;
    };
    let (digest, tail) = match wire::decode(bytes) {
        Ok(decoded) => decoded,
        Err(err) => {
            cx.metrics.record_rejected_digest(err.reason());
            debug!(cx.log, "front: cannot decode a digest"; "error" => %err);
            return None;
        }
    };
    for kind in tail.unknown_kinds() {
        cx.metrics.record_skipped_field("digest");
        debug!(cx.log, "front: skipped a field of a digest"; "kind" => kind,
            "peer" => %digest.from.address);
    }
    let now = cx.clock.now();
    cx.suspects.borrow_mut().merge(&digest.strikes, now);
    leaving::learn(cx, &digest.leaving);
    let mut peers = cx.peers.borrow_mut();
    peers.receive(&digest, now);
    digest.asks_for_reply.then(|| {
        let leaving = cx.targets.borrow_mut().next_shared_leaving(now);
        let proof_age = cx.stated_proof().map(|it| it.age);
        let reply = Digest { leaving, proof_age, ..peers.reply(now, cx.version()) };
        (reply, digest.from.address)
    })
}
