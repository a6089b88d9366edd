//! A host that loses all its targets while callers and other hosts still reach it.

mod support;

use std::{net::SocketAddr, time::Duration};

use forward::Repeat;
use socket2::{Domain, Protocol, Socket, Type};
use support::{Reply, Target, TestHost, announce, done, own_address, run, status, target};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

/// Connections to an address of a host's targets after the cut.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// Connections are refused.
    Refuses,
    /// Connections hang.
    Hangs,
}

/// Address that refuses connections, or at which they hang as long as the returned
/// sockets live.
fn unreachable(cut: Cut) -> (SocketAddr, Vec<Socket>) {
    let address = own_address();
    let mut sockets = Vec::new();
    if let Cut::Hangs = cut {
        let socket = || Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP));
        let listener = socket().expect("a socket");
        listener.bind(&address.into()).expect("a free address");
        listener.listen(0).expect("listening");
        sockets.push(listener);
        // Nobody accepts these, so those that come later hang.
        for _ in 0..4 {
            let filler = socket().expect("a socket");
            filler.set_nonblocking(true).expect("an option");
            // In progress.
            let _ = filler.connect(&address.into());
            sockets.push(filler);
        }
    }
    (address, sockets)
}

const SERVICES: [&str; 4] = ["s", "s0", "s1", "s2"];

/// Time in which a host that lost its targets may still fail requests.
const CONTACT: Duration = Duration::from_secs(4);

/// Time between two digests of a scripted host.
const DIGEST_INTERVAL: Duration = Duration::from_millis(300);

/// A host with a route to one target and one over three shards, none of which it
/// reaches, and another host, which is scripted.
struct Fleet {
    host: TestHost,
    other: Target,
    _sockets: Vec<Socket>,
}

async fn fleet(cut: Cut, repeat: Repeat, other: Reply) -> Fleet {
    let mut host = TestHost::start();
    host.wait_for_hosts(1).await;
    host.single(repeat);
    host.gather(1.0);
    let mut all_sockets = Vec::new();
    for service in SERVICES {
        let (address, sockets) = unreachable(cut);
        host.list_at(service, &format!("t-{service}"), address);
        all_sockets.extend(sockets);
    }
    let other = target(vec![other]).await;
    let (to, address) = (host.peers, other.address);
    spawn_local(async move {
        loop {
            announce(to, address).await;
            sleep(DIGEST_INTERVAL).await;
        }
    });
    host.wait_for_hosts(2).await;
    Fleet { host, other, _sockets: all_sockets }
}

/// Sends requests at the host, and returns the statuses of those from `CONTACT` on.
async fn later_statuses(host: &TestHost) -> Vec<u16> {
    let started = Instant::now();
    let mut statuses = Vec::new();
    while started.elapsed() < CONTACT + Duration::from_secs(1) {
        let (one, all) = tokio::join!(host.get("/one/x"), host.get("/all/x"));
        if started.elapsed() >= CONTACT {
            statuses.extend([status(&one), status(&all)]);
        }
        sleep(Duration::from_millis(20)).await;
    }
    statuses
}

#[test]
fn callers_of_a_host_that_lost_its_targets_are_refused() {
    for cut in [Cut::Refuses, Cut::Hangs] {
        run(async {
            let it = fleet(cut, Repeat::Idempotent, done("yes")).await;
            let statuses = later_statuses(&it.host).await;
            let served = statuses.iter().filter(|it| **it == 200).count();
            assert!(served > 10 && served * 3 >= statuses.len() * 2, "{cut:?}: {statuses:?}");
            assert!(it.other.requests() >= served);
        });
    }
}
