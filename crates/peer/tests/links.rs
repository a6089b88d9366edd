//! Links over loopback sockets: round trips of calls, and the outcome reported
//! when the other end refuses, is unreachable or stops responding.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    time::Duration,
};

use assert_matches::assert_matches;
use base::{AttemptId, Incarnation, Missing, Outcome, PoolName, RequestId, ShardId, Snapshot};
use peer::{HostService, Identity, LinkError, Links, serve};
use policy::message::{
    Batch, Part, PartResult, Redemption, RedemptionReply, Subquery, TargetStatus, Ticket,
};
use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
};

/// Time limit of a wait in a test; reached only if the code hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between calls that is enough to detect a silent connection.
const IDLE_BETWEEN_CALLS: Duration = Duration::from_millis(900);

/// Time that a test waits for one batch before it sends the next.
const BATCH_TIMEOUT: Duration = Duration::from_millis(20);

/// Time after which an unreachable peer is tried again.
const AFTER_RECONNECT_BACKOFF: Duration = Duration::from_millis(250);

/// Source address of the links under test; not the one routing would choose.
const SOURCE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));

#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Answer,
    /// Answers each subquery twice, except that of shard 0, which gets no answer.
    Duplicate,
    NeverAnswer,
}

/// Forwards connections to a host. Each number sent on the watch channel stops
/// forwarding on the connections open then, without closing them.
async fn proxy(listener: tokio::net::TcpListener, to: SocketAddr, silenced: watch::Receiver<u32>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut silenced = silenced.clone();
        silenced.mark_unchanged();
        tokio::spawn(async move {
            let mut host = TcpStream::connect(to).await.unwrap();
            tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut stream, &mut host) => (),
                _ = silenced.changed() => std::future::pending().await,
            }
        });
    }
}

#[derive(Clone)]
struct FakeHostService {
    behaviour: Behaviour,
    held: Arc<Mutex<Vec<mpsc::Sender<Part>>>>,
    delivered: mpsc::UnboundedSender<(SocketAddr, Vec<u8>)>,
}

impl HostService for FakeHostService {
    fn run(&self, batch: Batch, parts: mpsc::Sender<Part>) {
        for subquery in &batch.subqueries {
            match self.behaviour {
                Behaviour::Answer => parts.try_send(answer(subquery)).unwrap(),
                Behaviour::Duplicate if subquery.shard == ShardId(0) => (),
                Behaviour::Duplicate => {
                    let parts = parts.clone();
                    let part = answer(subquery);
                    tokio::task::spawn_local(async move {
                        parts.send(part.clone()).await.unwrap();
                        parts.send(part).await.unwrap();
                    });
                }
                Behaviour::NeverAnswer => self.held.lock().unwrap().push(parts.clone()),
            }
        }
    }

    fn cancel(&self, _: RequestId, _: Vec<AttemptId>) {}

    async fn status(&self, _: PoolName) -> Vec<TargetStatus> {
        vec![status()]
    }

    async fn redeem(&self, redemption: Redemption) -> RedemptionReply {
        RedemptionReply { status: 200, body: redemption.body }
    }

    fn deliver(&self, from: SocketAddr, message: Vec<u8>) {
        self.delivered.send((from, message)).unwrap();
    }
}

struct Host {
    address: SocketAddr,
    delivered: mpsc::UnboundedReceiver<(SocketAddr, Vec<u8>)>,
}

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn identity(address: SocketAddr, fleet: &str, secret: Option<&str>) -> Identity {
    Identity {
        fleet: fleet.into(),
        host: "a-1".into(),
        address,
        incarnation: Incarnation(1),
        secret: secret.map(|it| it.as_bytes().into()),
    }
}

fn start(behaviour: Behaviour, secret: Option<&str>) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, delivered) = mpsc::unbounded_channel();
    let fake = FakeHostService { behaviour, held: Arc::default(), delivered: tx };
    serve(listener, identity(address, "test", secret), fake, log()).unwrap();
    Host { address, delivered }
}

fn links(fleet: &str, secret: Option<&str>) -> Links {
    let here = "127.0.0.1:1".parse().unwrap();
    Links::start(identity(here, fleet, secret), SOURCE, log()).unwrap()
}

fn batch(shards: u32) -> Batch {
    let subquery = |shard| Subquery {
        attempt: AttemptId(u128::from(shard) << 64 | 7),
        shard: ShardId(shard),
        target: format!("t-{shard}").into(),
    };
    Batch {
        request: RequestId(9),
        service: "s".into(),
        pool: "p".into(),
        snapshot: snapshot(),
        time_left: Duration::from_millis(200),
        is_idempotent: true,
        is_extra: false,
        fingerprint: 3,
        body: (*b"body").into(),
        subqueries: (0..shards).map(subquery).collect(),
    }
}

fn redemption() -> Redemption {
    Redemption {
        ticket: Ticket { minter: "a-1".into(), incarnation: Incarnation(1), secret: 1 << 100 | 5 },
        service: "s".into(),
        time_left: Duration::from_secs(1),
        shard: Some(ShardId(3)),
        body: (*b"order").into(),
    }
}

fn snapshot() -> Snapshot {
    Snapshot { map: 2, index: 5 }
}

fn status() -> TargetStatus {
    TargetStatus {
        target: "t-1".into(),
        incarnation: Incarnation(4),
        is_leaving: true,
        is_up: true,
        limit: 3,
        in_flight: 2,
        wait: Duration::from_micros(1_234),
        snapshots: vec![snapshot()],
    }
}

fn answer(subquery: &Subquery) -> Part {
    Part {
        attempt: subquery.attempt,
        shard: subquery.shard,
        target: subquery.target.clone(),
        result: PartResult::Answer { snapshot: snapshot(), body: (*b"answer").into() },
        queued: Duration::from_micros(10),
        service_time: Duration::from_micros(20),
        status: Some(status()),
    }
}

async fn collect(links: &Links, to: SocketAddr, batch: Batch) -> Vec<Part> {
    let (tx, mut rx) = mpsc::channel(batch.subqueries.len());
    links.run(to, batch, tx);
    let mut parts = Vec::new();
    let all = async {
        while let Some(part) = rx.recv().await {
            parts.push(part);
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, all).await.expect("parts end");
    parts.sort_by_key(|it| it.shard);
    parts
}

fn check_lost(parts: &[Part], shards: u32, expected: Outcome) {
    assert_eq!(parts.len(), shards as usize);
    for part in parts {
        assert_matches!(
            part.result,
            PartResult::Failed { missing: Missing::OwnerUnreachable, outcome } if outcome == expected
        );
    }
}

#[tokio::test]
async fn batch_and_parts_round_trip() {
    let host = start(Behaviour::Answer, Some("secret"));
    let batch = batch(220);
    let parts = collect(&links("test", Some("secret")), host.address, batch.clone()).await;
    let expected: Vec<_> = batch.subqueries.iter().map(answer).collect();
    assert_eq!(parts, expected);
}

#[tokio::test]
async fn duplicate_part_is_dropped_and_missing_part_may_have_run() {
    let host = start(Behaviour::Duplicate, None);
    let parts = collect(&links("test", None), host.address, batch(3)).await;
    assert_eq!(parts.len(), 3);
    check_lost(&parts[..1], 1, Outcome::MayHaveRun);
    assert_matches!(parts[1].result, PartResult::Answer { .. });
    assert_matches!(parts[2].result, PartResult::Answer { .. });
}

#[tokio::test]
async fn unreachable_host_means_not_run() {
    let unbound = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let parts = collect(&links("test", None), unbound, batch(4)).await;
    check_lost(&parts, 4, Outcome::NotRun);
}

#[tokio::test]
async fn silent_host_means_may_have_run() {
    let host = start(Behaviour::NeverAnswer, None);
    let parts = collect(&links("test", None), host.address, batch(4)).await;
    check_lost(&parts, 4, Outcome::MayHaveRun);
}

#[tokio::test]
async fn other_fleet_and_wrong_secret_are_rejected() {
    let host = start(Behaviour::Answer, Some("secret"));
    for links in [links("other", Some("secret")), links("test", Some("wrong")), links("test", None)]
    {
        let parts = collect(&links, host.address, batch(1)).await;
        check_lost(&parts, 1, Outcome::NotRun);
    }
}

#[tokio::test]
async fn status_redeem_and_deliver_round_trip() {
    let mut host = start(Behaviour::Answer, None);
    let links = links("test", None);
    assert_eq!(links.status(host.address, "p".into()).await, [status()]);
    let redeemed = links.redeem(host.address, redemption()).await;
    assert_matches!(redeemed, Ok(RedemptionReply { status: 200, body }) if *body == *b"order");
    links.deliver(host.address, b"digest".to_vec());
    let (from, message) = host.delivered.recv().await.unwrap();
    assert_eq!((from.to_string().as_str(), &*message), ("127.0.0.1:1", &b"digest"[..]));

    let unbound = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_matches!(links.redeem(unbound, redemption()).await, Err(LinkError::NotSent));
    assert!(links.status(unbound, "p".into()).await.is_empty());
}

/// Guards against calls that wait past the time limit for opening a link: the
/// other end accepts the connection and never sends anything.
#[tokio::test]
async fn host_without_handshake_means_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let parts = collect(&links("test", None), listener.local_addr().unwrap(), batch(2)).await;
    check_lost(&parts, 2, Outcome::NotRun);
}

/// Guards against one peer disturbing others: bytes that are not a capnp message
/// must close only the link on which they arrive.
#[tokio::test]
async fn garbage_from_a_peer_closes_only_its_link() {
    use std::io::Write;

    let host = start(Behaviour::Answer, None);
    let mut stream = std::net::TcpStream::connect(host.address).unwrap();
    stream.write_all(&[0xff; 4_096]).unwrap();
    let parts = collect(&links("test", None), host.address, batch(2)).await;
    assert_matches!(parts[0].result, PartResult::Answer { .. });
}

#[tokio::test]
async fn links_connect_from_the_given_address() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let links = links("test", None);
    links.deliver(listener.local_addr().unwrap(), b"message".to_vec());
    let accepted = tokio::time::timeout(TEST_TIMEOUT, listener.accept()).await.unwrap();
    assert_eq!(accepted.unwrap().1.ip(), SOURCE);
}

#[tokio::test]
async fn subqueries_do_not_wait_for_an_unreachable_peer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    let links = links("test", None);
    let mut failed_fast = false;
    // A test thread without CPU time may miss the moment in some rounds, but not
    // in all.
    for _ in 0..10 {
        // Waits until opening the link fails, so that the next attempt is a retry.
        assert_matches!(links.redeem(to, redemption()).await, Err(LinkError::NotSent));
        tokio::time::sleep(AFTER_RECONNECT_BACKOFF).await;
        let mut waiting = std::pin::pin!(links.redeem(to, redemption()));
        assert!(futures::poll!(waiting.as_mut()).is_pending());
        for is_idempotent in [true, false] {
            let batch = Batch { is_idempotent, ..batch(1) };
            check_lost(&collect(&links, to, batch).await, 1, Outcome::NotRun);
        }
        failed_fast |= futures::poll!(waiting.as_mut()).is_pending();
        if failed_fast {
            break;
        }
    }
    assert!(failed_fast);
}

/// Starts a proxy to the host. Returns its address and a sender that silences the
/// connections open through it.
async fn start_proxy(host: &Host) -> (SocketAddr, watch::Sender<u32>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let (silence, silenced) = watch::channel(0);
    tokio::spawn(proxy(listener, host.address, silenced));
    (to, silence)
}

#[tokio::test]
async fn silent_connection_is_replaced_before_it_is_closed() {
    let host = start(Behaviour::Answer, None);
    let (to, silence) = start_proxy(&host).await;
    let links = links("test", None);
    let mut is_replaced = false;
    // On a busy machine the old link may be closed first in some rounds, but not
    // in all.
    for round in 0..10 {
        collect(&links, to, batch(1)).await;
        silence.send(round).unwrap();
        let (tx, mut lost) = mpsc::channel(1);
        links.run(to, batch(1), tx);
        loop {
            let parts = tokio::time::timeout(BATCH_TIMEOUT, collect(&links, to, batch(1))).await;
            let is_answered =
                parts.is_ok_and(|it| matches!(it[0].result, PartResult::Answer { .. }));
            is_replaced |= is_answered && lost.is_empty();
            if is_answered || !lost.is_empty() {
                break;
            }
        }
        check_lost(&[lost.recv().await.unwrap()], 1, Outcome::MayHaveRun);
        if is_replaced {
            break;
        }
    }
    assert!(is_replaced);
}

#[tokio::test]
async fn connection_that_goes_silent_between_calls_loses_no_call() {
    let host = start(Behaviour::Answer, None);
    let (to, silence) = start_proxy(&host).await;
    let links = links("test", None);
    let mut is_answered = false;
    // On a busy machine the silence may be detected too late in some rounds, but
    // not in all.
    for round in 0..10 {
        collect(&links, to, batch(1)).await;
        silence.send(round).unwrap();
        tokio::time::sleep(IDLE_BETWEEN_CALLS).await;
        let parts = collect(&links, to, batch(1)).await;
        is_answered |= matches!(parts[0].result, PartResult::Answer { .. });
        if is_answered {
            break;
        }
    }
    assert!(is_answered);
}
