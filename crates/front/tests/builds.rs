//! Hosts beside hosts of other builds, whose messages are recorded.

mod support;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use forward::{Provenance, Repeat};
use support::{
    Reply, Target, TestHost, announce, body, header, ok, own_address, read_message, relayed, run,
    source::ScriptedSource, status, target,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream, UdpSocket},
    task::spawn_local,
    time::sleep,
};

/// Address in the recorded digests.
const RECORDED_IP: [u8; 4] = [127, 1, 2, 3];

/// Capacity of a host that passes requests on.
const SMALL: u32 = 100;

/// Messages of a host of one build.
struct Recorded {
    build: &'static str,
    digest: &'static str,
    operations: &'static str,
    state: &'static str,
    request: &'static str,
    answer: &'static str,
    refusal: &'static str,
}

macro_rules! recorded {
    ($build:literal) => {
        Recorded {
            build: $build,
            digest: include_str!(concat!("recorded/", $build, "/digest.hex")),
            operations: include_str!(concat!("recorded/", $build, "/operations.hex")),
            state: include_str!(concat!("recorded/", $build, "/state.json")),
            request: include_str!(concat!("recorded/", $build, "/request.txt")),
            answer: include_str!(concat!("recorded/", $build, "/answer.txt")),
            refusal: include_str!(concat!("recorded/", $build, "/refusal.txt")),
        }
    };
}

const ALL: [Recorded; 3] = [recorded!("c916687"), recorded!("ffd147a"), recorded!("format-1")];

/// The beginning of a digest as all builds decode it, without its lists of other hosts.
type DigestBegin = ((SocketAddr, u16, u32, bool, bool), u64, Vec<String>);

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> = hex.chars().filter_map(|it| it.to_digit(16)).collect();
    digits.chunks(2).map(|it| it.iter().fold(0, |byte, digit| byte << 4 | *digit as u8)).collect()
}

/// Returns the recorded digest as if the host at `address` had sent it.
fn digest_from(recorded: &Recorded, address: SocketAddr) -> Vec<u8> {
    let SocketAddr::V4(address) = address else { panic!("the address is of version 4") };
    let mut digest = bytes(recorded.digest);
    // The kind of the address stands before it.
    assert_eq!(digest[1..5], RECORDED_IP);
    digest[1..5].copy_from_slice(&address.ip().octets());
    digest
}

/// Starts a host that answers calls for these paths, and all others with 503.
async fn scripted_host(address: SocketAddr, answers: Vec<(&'static str, Vec<u8>)>) {
    let listener = TcpListener::bind(address).await.expect("a free address");
    let answers = Rc::new(answers);
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answers = Rc::clone(&answers);
            spawn_local(async move {
                while let Some(call) = read_message(&mut stream).await {
                    let path = call.split(' ').nth(1).unwrap_or_default();
                    let found = answers.iter().find(|(it, _)| *it == path);
                    let (status, body) =
                        found.map_or(("503 No", &[][..]), |(_, body)| ("200 OK", body));
                    let head =
                        format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
                    let answer = [head.as_bytes(), body].concat();
                    stream.write_all(&answer).await.expect("written");
                }
            });
        }
    });
}

/// Guards against hosts that don't see each other, or learn nothing of each other, while a
/// fleet is upgraded.
#[test]
fn hosts_of_all_builds_find_each_other_and_give_their_state() {
    for recorded in ALL {
        run(async move {
            let (own, other) = (own_address(), own_address());
            let socket = UdpSocket::bind(other).await.expect("a free address");
            scripted_host(other, vec![("/", recorded.state.trim_end().into())]).await;
            let host = TestHost::start_with_seeds(own, Vec::new());
            host.wait_for_hosts(1).await;
            let digest = digest_from(&recorded, other);
            socket.send_to(&digest, own).await.expect("sent");
            // It asks for a reply, and names a third host.
            let mut buf = [0; 4_096];
            let (len, _) = socket.recv_from(&mut buf).await.expect("received");
            let reply: DigestBegin = postcard::from_bytes(&buf[..len]).expect("decoded");
            assert_eq!(reply.0.0, own, "{}", recorded.build);
            host.wait_for_hosts(3).await;
            while host.cx.version() < 7 {
                sleep(Duration::from_millis(20)).await;
                socket.send_to(&digest, own).await.expect("sent");
            }
            while host.gauge("front_targets").await != Some(2) {
                sleep(Duration::from_millis(20)).await;
            }
            assert_eq!(host.gauge("front_rejected_digests_total").await, None);
            assert_eq!(host.gauge("front_rejected_messages_total").await, None);
        });
    }
}

/// Guards against followers that leave a reader of another build, and then read the source.
#[test]
fn a_host_follows_readers_of_all_builds() {
    for recorded in ALL {
        run(async move {
            let (own, reader) = (own_address(), own_address());
            let answers = vec![("/items/operations", bytes(recorded.operations))];
            scripted_host(reader, answers).await;
            let host = TestHost::start_with_seeds(own, Vec::new());
            host.wait_for_hosts(1).await;
            let source = Rc::new(ScriptedSource::default());
            source.set_unreachable(true);
            host.follow_configuration(&source);
            follow(&host, &recorded, reader).await;
            assert_eq!(host.cx.version(), 7, "{}", recorded.build);
        });
    }
}

/// Guards against a 404 by the table of a reader that may be cut off from the source, and is
/// of a build that doesn't say how long it has been.
#[test]
fn a_host_that_follows_a_reader_which_states_no_lag_calls_no_route_unknown() {
    for (recorded, expected) in ALL.iter().zip([503, 404, 404]) {
        run(async move {
            let (own, reader) = (own_address(), own_address());
            let answers = vec![("/items/operations", bytes(recorded.operations))];
            scripted_host(reader, answers).await;
            let host = TestHost::start_with(own, Vec::new(), |it| {
                it.configuration_due(Duration::from_secs(20))
            });
            host.wait_for_hosts(1).await;
            let source = Rc::new(ScriptedSource::default());
            source.set_unreachable(true);
            host.follow_configuration(&source);
            follow(&host, recorded, reader).await;
            assert_eq!(status(&host.get("/never/x").await), expected, "{}", recorded.build);
        });
    }
}

/// Guards against requests that are lost, or run twice, between hosts of two builds.
#[test]
fn a_sender_serves_requests_of_hosts_of_all_builds() {
    for recorded in ALL {
        run(async move {
            let leaf = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
            let sender = sender(&leaf).await;
            let answer = ask(sender.peers, recorded.request).await;
            assert_eq!((status(&answer), body(&answer)), (200, "yes"), "{}", recorded.build);
            assert_eq!(header(&answer, "relay-outcome").as_deref(), Some("done"));
            assert_eq!(header(&answer, "relay-version").as_deref(), Some("1"));
            assert_eq!(header(&answer, "connection").as_deref(), Some("relay-version"));
            let received = leaf.received.borrow();
            assert!(!received[0].contains("relay-"), "{}", received[0]);
            assert_eq!(header(&received[0], "connection"), None);
        });
    }
}

/// An answer that closes its connection names its headers for the hop as well.
#[test]
fn an_answer_that_closes_the_connection_names_what_hosts_of_earlier_builds_drop() {
    run(async {
        let leaf = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let sender = sender(&leaf).await;
        let request = "POST /one/x HTTP/1.1\r\nhost: h\r\nx-id: q7\r\nx-deadline: 500\r\n\
                       relay-age-us: 0\r\nrelay-version: 1\r\ncontent-length: 100000\r\n\r\n";
        let answer = ask(sender.peers, request).await;
        assert_eq!(status(&answer), 413, "{answer}");
        let lines: Vec<&str> = answer.lines().filter(|it| it.starts_with("connection:")).collect();
        assert!(lines.iter().any(|it| it.contains("close")), "{answer}");
        assert!(lines.iter().any(|it| it.contains("relay-version")), "{answer}");
    });
}

#[test]
fn callers_get_the_answers_of_senders_of_all_builds_without_their_headers() {
    for recorded in ALL {
        run(async move {
            let answer = recorded.answer.replace("q7", "{id}");
            let sender = target(vec![Reply::Bytes(answer)]).await;
            let refuses = target(vec![Reply::Bytes(recorded.refusal.replace("q7", "{id}"))]).await;
            let host = entry(&sender, &refuses).await;
            for _ in 0..4 {
                let answer = host.get("/one/x").await;
                assert_eq!((status(&answer), body(&answer)), (200, "yes"), "{}", recorded.build);
                assert!(!answer.contains("relay-"), "{answer}");
            }
        });
    }
}

#[test]
fn headers_that_a_sender_of_a_later_build_adds_reach_no_caller() {
    run(async {
        let later = "connection: relay-later\r\nrelay-later: 1\r\nrelay-outcome";
        let answer = relayed("200 OK", "done", "yes").replace("relay-outcome", later);
        let one = target(vec![Reply::Bytes(answer.clone())]).await;
        let other = target(vec![Reply::Bytes(answer)]).await;
        let host = entry(&one, &other).await;
        let answer = host.get("/one/x").await;
        assert_eq!((status(&answer), body(&answer)), (200, "yes"));
        assert!(!answer.contains("relay-"), "{answer}");
        let skipped = host.gauge("front_skipped_fields_total").await;
        assert!(skipped >= Some(1), "{skipped:?}");
    });
}

/// Guards against a request that is taken for a call for state, whose answer says nothing of
/// the request, so that it counts as one that may have run.
#[test]
fn a_request_of_a_later_build_that_cannot_be_read_is_refused_as_not_run() {
    run(async {
        let leaf = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let sender = sender(&leaf).await;
        for fields in [
            "relay-age-us: soon\r\nrelay-version: 1\r\n",
            "relay-age-us: 0\r\nrelay-version: 99999999999999999999\r\n",
            "relay-age-us: 0\r\n",
            "relay-age-us: 0\r\nrelay-version: 1\r\nconnection: relay-format\r\nrelay-format: 9\r\n",
        ] {
            let request = format!(
                "GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q7\r\nx-deadline: 500\r\n{fields}\r\n"
            );
            let answer = ask(sender.peers, &request).await;
            assert_eq!(status(&answer), 503, "{answer}");
            assert_eq!(header(&answer, "relay-outcome").as_deref(), Some("not-run"));
            assert_eq!(header(&answer, "x-id").as_deref(), Some("q7"));
        }
        assert_eq!(leaf.requests(), 0);
        assert!(sender.gauge("front_rejected_messages_total").await.is_some());
    });
}

/// Guards against a call of a later build that gets something else than it asks for.
#[test]
fn a_call_of_a_later_build_for_what_is_unknown_is_not_found() {
    run(async {
        let leaf = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let host = sender(&leaf).await;
        for path in ["/later", "/items/later", "/changes/targets/x/0"] {
            let call = format!("GET {path} HTTP/1.1\r\nhost: peer\r\n\r\n");
            assert_eq!(status(&ask(host.peers, &call).await), 404, "{path}");
        }
        assert_eq!(host.gauge("front_rejected_messages_total").await, Some(3));
    });
}

#[test]
fn digests_of_a_later_build_are_read_and_those_of_another_format_counted() {
    run(async {
        let host = TestHost::start();
        host.wait_for_hosts(1).await;
        let [c916687, ..] = ALL;
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let digest = digest_from(&c916687, own_address());
        socket.send_to(&[&digest[..], &[9]].concat(), host.peers).await.expect("sent");
        while host.gauge("front_rejected_digests_total").await != Some(1) {
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(host.gauge("front_hosts").await, Some(1));
        let field = [1, 1, 200, 1, 2, 7, 8];
        socket.send_to(&[&digest[..], &field].concat(), host.peers).await.expect("sent");
        host.wait_for_hosts(3).await;
        assert_eq!(host.gauge("front_skipped_fields_total").await, Some(1));
    });
}

/// Tells the host of a domain with this reader until it has its configuration from there.
async fn follow(host: &TestHost, recorded: &Recorded, reader: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let others: Vec<SocketAddr> = (0..4).map(|_| own_address()).collect();
    let digest = digest_from(recorded, reader);
    while host.cx.configuration_provenance() != Provenance::Reader(reader) {
        socket.send_to(&digest, host.peers).await.expect("sent");
        for it in &others {
            announce(host.peers, *it).await;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Returns a host that serves requests for the service `s`, and listens.
async fn sender(leaf: &Target) -> TestHost {
    let mut sender = TestHost::start();
    sender.single(Repeat::AtMostOnce);
    sender.list("s", "t1", leaf);
    while TcpStream::connect(sender.peers).await.is_err() {
        sleep(Duration::from_millis(10)).await;
    }
    sender
}

/// Returns a host that passes requests for the service `s` on to these senders.
async fn entry(one: &Target, other: &Target) -> TestHost {
    let leaf = target(vec![Reply::Close]).await;
    let mut host = TestHost::start_with_capacity(own_address(), Vec::new(), SMALL);
    host.wait_for_hosts(1).await;
    announce(host.peers, one.address).await;
    announce(host.peers, other.address).await;
    host.max_connections = 1;
    host.single(Repeat::Idempotent);
    host.list("s", "t1", &leaf);
    while host.gauge("front_senders").await.is_none_or(|it| it == 0) {
        sleep(Duration::from_millis(20)).await;
    }
    host
}

async fn ask(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("listening");
    stream.write_all(request.as_bytes()).await.expect("written");
    read_message(&mut stream).await.expect("an answer")
}
