//! A host that loses all its targets while callers and other hosts still reach it.

mod support;

use std::{net::SocketAddr, time::Duration};

use base::DomainName;
use forward::{Repeat, peers::Host, senders::Senders};
use socket2::{Domain, Protocol, Socket, Type};
use support::{
    Reply, Target, TestHost, announce_as, done, header, not_run, ok, own_address, read_message,
    relayed, run, status, target, target_at,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
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
    fleet_with(cut, repeat, other, false).await
}

/// Same as `fleet`, with another host that may have lost its targets too.
async fn fleet_with(cut: Cut, repeat: Repeat, other: Reply, has_lost_targets: bool) -> Fleet {
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
            announce_as(to, address, has_lost_targets).await;
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

/// RECOVER: a host without requests did not learn of a cut, so that its first callers after it
/// waited in vain.
#[test]
fn a_host_without_requests_passes_on_the_first_one_after_a_cut() {
    for cut in [Cut::Refuses, Cut::Hangs] {
        run(async {
            let it = fleet(cut, Repeat::AtMostOnce, done("yes")).await;
            sleep(CONTACT).await;
            let (one, all) = tokio::join!(it.host.get("/one/x"), it.host.get("/all/x"));
            assert_eq!([status(&one), status(&all)], [200, 200], "{cut:?}");
        });
    }
}

#[test]
fn targets_that_hang_are_not_taken_for_a_cut() {
    run(async {
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        for name in ["t-1", "t-2", "t-3", "t-4"] {
            host.list("s", name, &target(vec![Reply::Silence]).await);
        }
        let started = Instant::now();
        while started.elapsed() < CONTACT {
            host.get("/one/x").await;
            assert_ne!(host.gauge("front_has_lost_targets").await, Some(1));
        }
    });
}

/// RECOVER: a host that was cut off sent to its targets in vain where the senders of other hosts
/// were lost too.
#[test]
fn a_host_that_lost_its_targets_asks_others_if_no_sender_is_left() {
    run(async {
        let mut host = TestHost::start();
        host.max_connections = 1;
        host.wait_for_hosts(1).await;
        host.single(Repeat::AtMostOnce);
        let (address, _sockets) = unreachable(Cut::Hangs);
        host.list_at("s", "t-s", address);
        // Nobody listens where the senders are.
        let others = [own_address(), own_address(), own_address()];
        let helper = target_at(no_sender(&others), vec![done("yes")]).await;
        let to = host.peers;
        spawn_local(async move {
            loop {
                for it in others {
                    announce_as(to, it, false).await;
                }
                sleep(DIGEST_INTERVAL).await;
            }
        });
        host.wait_for_hosts(4).await;
        while host.gauge("front_has_lost_targets").await != Some(1) {
            sleep(Duration::from_millis(20)).await;
        }
        for _ in 0..3 {
            assert_eq!(status(&host.get("/one/x").await), 200);
        }
        assert_eq!(helper.requests(), 3);
    });
}

/// Returns the host that is no sender.
fn no_sender(addresses: &[SocketAddr]) -> SocketAddr {
    let domain = DomainName::new("local");
    let host = |address: &SocketAddr| Host {
        address: *address,
        domain: domain.clone(),
        capacity: 1_000,
        reads_source: false,
        has_lost_targets: false,
    };
    let hosts: Vec<Host> = addresses.iter().map(host).collect();
    let senders = Senders::choose(&hosts, &[domain], 1.0);
    let found = hosts.iter().find(|it| !senders.contains(it));
    found.expect("two senders of three hosts").address
}

/// Sends requests until the host knows that it lost its targets.
async fn lose_targets(it: &Fleet) {
    while it.host.gauge("front_has_lost_targets").await != Some(1) {
        it.host.get("/all/x").await;
        it.host.get("/one/x").await;
        sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn a_request_that_another_host_may_have_run_is_not_run_again() {
    run(async {
        let lost = Reply::Bytes(relayed("502 Bad Gateway", "may-have-run", ""));
        let it = fleet(Cut::Refuses, Repeat::AtMostOnce, lost).await;
        lose_targets(&it).await;
        let before = it.other.requests();
        assert_eq!(status(&it.host.get("/one/x").await), 502);
        assert_eq!(it.other.requests(), before + 1);
    });
}

#[test]
fn a_request_that_no_host_can_serve_is_refused_at_once() {
    run(async {
        let it = fleet_with(Cut::Refuses, Repeat::Idempotent, done("yes"), true).await;
        lose_targets(&it).await;
        let (before, started) = (it.other.requests(), Instant::now());
        for path in ["/one/x", "/all/x"] {
            let answer = it.host.get(path).await;
            assert_eq!(status(&answer), 503);
            assert!(header(&answer, "retry-after").is_some());
        }
        assert!(started.elapsed() < Duration::from_millis(200), "{:?}", started.elapsed());
        assert_eq!(it.other.requests(), before, "it was not asked");
    });
}

/// Targets in trouble cost other hosts one request a second of each route.
#[test]
fn hosts_that_cannot_serve_a_request_either_are_not_asked_each_time() {
    run(async {
        let it = fleet(Cut::Refuses, Repeat::Idempotent, not_run()).await;
        // Another target answers, so this host has not lost its targets.
        let well = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        it.host.list("s", "t-well", &well);
        let started = Instant::now();
        let mut sent = 0;
        while started.elapsed() < Duration::from_millis(1_500) {
            it.host.get("/one/x").await;
            assert_eq!(status(&it.host.get("/all/x").await), 503);
            sent += 1;
            sleep(Duration::from_millis(10)).await;
        }
        let asked = it.other.received.borrow().iter().filter(|it| it.contains("/all/x")).count();
        assert!(sent > 20 && (1..=3).contains(&asked), "{asked} of {sent}");
    });
}

#[test]
fn a_host_serves_requests_itself_again_once_a_target_is_in_reach() {
    run(async {
        let it = fleet(Cut::Refuses, Repeat::Idempotent, done("passed on")).await;
        lose_targets(&it).await;
        assert_eq!(status(&it.host.get("/one/x").await), 200);
        let back = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        it.host.list("s", "t-s", &back);
        while back.requests() == 0 {
            assert_eq!(status(&it.host.get("/one/x").await), 200);
            sleep(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn a_host_that_lost_its_targets_refuses_requests_of_other_hosts_as_not_run() {
    run(async {
        let it = fleet(Cut::Refuses, Repeat::Idempotent, done("yes")).await;
        lose_targets(&it).await;
        let mut stream = TcpStream::connect(it.host.peers).await.expect("connected");
        let request = "GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q1\r\nrelay-age-us: 0\r\n\
                       relay-version: 1\r\n\r\n";
        stream.write_all(request.as_bytes()).await.expect("written");
        let answer = read_message(&mut stream).await.unwrap_or_default();
        assert_eq!(status(&answer), 503);
        assert_eq!(header(&answer, "relay-outcome").as_deref(), Some("not-run"));
    });
}
