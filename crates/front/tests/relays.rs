//! Requests that a host passes on to another one, a sender.

mod support;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use forward::{Configuration, Repeat};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use support::{
    Reply, Target, TestHost, announce, body, done, header, not_run, ok, own_address, relayed, run,
    source::ScriptedSource, status, target,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpStream, UdpSocket},
    task::spawn_local,
    time::sleep,
};

/// Capacity of a host that passes requests on.
const SMALL: u32 = 100;

/// Time in which a host chooses its senders anew.
const CHOICE_TIME: Duration = Duration::from_millis(700);

/// Returns a host that passes requests for the service `s` on to `senders`, which
/// are scripted.
async fn entry(repeat: Repeat, senders: &[&Target]) -> TestHost {
    let mut host = TestHost::start_with_capacity(own_address(), Vec::new(), SMALL);
    host.wait_for_hosts(1).await;
    for it in senders {
        announce(host.peers, it.address).await;
    }
    host.wait_for_hosts(1 + senders.len()).await;
    host.max_connections = 1;
    host.single(repeat);
    host
}

/// Waits until the host has chosen its senders, which takes longer on a busy machine.
async fn wait_for_senders(host: &TestHost) {
    sleep(CHOICE_TIME).await;
    while host.gauge("front_senders").await.is_none_or(|it| it == 0) {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a success with a part of the body over the hop between hosts: a sender
/// ends in the middle of its answer.
#[test]
fn a_senders_answer_that_breaks_off_is_no_success() {
    let whole = relayed("200 OK", "done", "relayed");
    for cut in [whole.len() / 2, whole.len() - 9, whole.len() - 1] {
        let cut = whole[..cut].to_owned();
        run(async move {
            let one = target(vec![Reply::BytesThenClose(cut.clone())]).await;
            let two = target(vec![Reply::BytesThenClose(cut)]).await;
            let leaf = target(vec![Reply::Bytes(ok("sig", "direct"))]).await;
            let host = entry(Repeat::AtMostOnce, &[&one, &two]).await;
            host.list("s", "t1", &leaf);
            wait_for_senders(&host).await;
            assert_eq!(status(&host.get("/one/x").await), 502);
            assert_eq!((one.requests() + two.requests(), leaf.requests()), (1, 0));
        });
    }
}

#[test]
fn a_request_goes_to_a_sender_in_one_message_and_its_answer_to_the_caller() {
    run(async {
        let leaf = target(vec![Reply::Bytes(ok("sig", "direct"))]).await;
        let sender = target(vec![done("relayed")]).await;
        let other = target(vec![done("relayed")]).await;
        let host = entry(Repeat::Idempotent, &[&sender, &other]).await;
        host.list("s", "t1", &leaf);
        wait_for_senders(&host).await;
        let answer = host.get("/one/x").await;
        assert_eq!((status(&answer), body(&answer)), (200, "relayed"));
        assert_eq!(header(&answer, "relay-outcome"), None);
        assert_eq!((leaf.requests(), sender.requests() + other.requests()), (0, 1));
        let received = [&sender, &other].map(|it| it.received.borrow().concat()).concat();
        assert_eq!(header(&received, "x-id").as_deref(), Some("q1"));
        assert_eq!(header(&received, "relay-version").as_deref(), Some("1"));
        assert!(header(&received, "relay-age-us").is_some());
        assert!(header(&received, "x-deadline").is_some());
    });
}

#[test]
fn a_request_that_a_sender_did_not_run_goes_to_the_next() {
    run(async {
        let (leaf, first) = leaf_and(not_run()).await;
        // Answers too slowly to be preferred to a sender that was not asked yet.
        let later = relayed("200 OK", "done", "relayed");
        let second = target(vec![Reply::Later(Duration::from_millis(40), later)]).await;
        let host = entry(Repeat::AtMostOnce, &[&first, &second]).await;
        host.list("s", "t1", &leaf);
        wait_for_senders(&host).await;
        for _ in 0..6 {
            let answer = host.get("/one/x").await;
            assert_eq!((status(&answer), body(&answer)), (200, "relayed"));
        }
        assert_eq!((leaf.requests(), second.requests()), (0, 6));
        assert!(first.requests() > 0);
    });
}

#[test]
fn the_refusal_of_all_senders_is_the_answer_with_its_retry_after() {
    run(async {
        let (leaf, first) = leaf_and(not_run()).await;
        let second = target(vec![not_run()]).await;
        let host = entry(Repeat::Idempotent, &[&first, &second]).await;
        host.list("s", "t1", &leaf);
        wait_for_senders(&host).await;
        let answer = host.get("/one/x").await;
        assert_eq!(status(&answer), 503);
        assert_eq!(header(&answer, "retry-after").as_deref(), Some("0.123"));
        assert_eq!((first.requests(), second.requests(), leaf.requests()), (1, 1, 0));
    });
}

/// Guards against a sender that is left alone for what it tells callers: only targets ask
/// for pauses.
#[test]
fn a_refusal_by_a_sender_is_no_pause() {
    run(async {
        let refusal = relayed("503 Service Unavailable", "not-run", "").replace("0.123", "30");
        let (leaf, first) = leaf_and(Reply::Bytes(refusal.clone())).await;
        let second = target(vec![Reply::Bytes(refusal)]).await;
        let host = entry(Repeat::Idempotent, &[&first, &second]).await;
        host.list("s", "t1", &leaf);
        wait_for_senders(&host).await;
        for sent in 1..=3 {
            assert_eq!(status(&host.get("/one/x").await), 503);
            let received = (first.requests(), second.requests(), leaf.requests());
            assert_eq!(received, (sent, sent, 0));
        }
    });
}

/// After an answer is lost, the request may have run: it is neither run again nor
/// called "not run", also if another sender refused it before.
#[test]
fn a_request_that_a_sender_may_have_run_is_not_passed_on_again() {
    let cut = relayed("200 OK", "done", "whole").replace("whole", "ha");
    let replies = [
        Reply::Close,
        Reply::BytesThenClose(cut),
        Reply::BytesThenClose("HTTP/1.1 200".to_owned()),
        // Another request's answer, as if it came late on a kept connection.
        Reply::Bytes(relayed("200 OK", "done", "other").replace("{id}", "q0")),
        // Nothing states what became of the request.
        Reply::Bytes(ok("sig", "unknown")),
        Reply::Bytes(relayed("200 OK", "probably", "unknown")),
        Reply::Bytes(relayed("502 Bad Gateway", "may-have-run", "")),
    ];
    for reply in replies {
        for repeat in [Repeat::AtMostOnce, Repeat::Idempotent] {
            let reply = reply.clone();
            run(async move {
                let (leaf, first) = leaf_and(reply).await;
                let second = target(vec![not_run()]).await;
                let host = entry(repeat, &[&first, &second]).await;
                host.list("s", "t1", &leaf);
                wait_for_senders(&host).await;
                while first.requests() == 0 {
                    let before = second.requests();
                    let answer = host.get("/one/x").await;
                    if first.requests() == 1 {
                        assert_eq!(status(&answer), 502, "{answer}");
                        assert!(second.requests() - before <= 1);
                    }
                }
                assert_eq!(leaf.requests(), 0);
            });
        }
    }
}

#[test]
fn without_a_sender_in_reach_a_host_sends_to_targets_itself() {
    run(async {
        let leaf = target(vec![Reply::Bytes(ok("sig", "direct"))]).await;
        let mut host = TestHost::start_with_capacity(own_address(), Vec::new(), SMALL);
        host.wait_for_hosts(1).await;
        // Nobody listens at these addresses.
        announce(host.peers, own_address()).await;
        announce(host.peers, own_address()).await;
        host.wait_for_hosts(3).await;
        host.max_connections = 1;
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &leaf);
        wait_for_senders(&host).await;
        let answer = host.get("/one/x").await;
        assert_eq!((status(&answer), body(&answer), leaf.requests()), (200, "direct", 1));
    });
}

/// Once its senders are known to be lost, a host does not wait for them.
#[test]
fn requests_do_not_wait_for_senders_that_are_known_to_be_lost() {
    run(async {
        let leaf = target(vec![Reply::Bytes(ok("sig", "direct"))]).await;
        let mut host = TestHost::start_with_capacity(own_address(), Vec::new(), SMALL);
        host.wait_for_hosts(1).await;
        let (to, lost) = (host.peers, [own_address(), own_address()]);
        spawn_local(async move {
            // Other hosts still take them for live.
            loop {
                for it in lost {
                    announce(to, it).await;
                }
                sleep(CHOICE_TIME).await;
            }
        });
        host.wait_for_hosts(3).await;
        host.max_connections = 1;
        // Longer than the test may take.
        host.objective = Duration::from_secs(20);
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &leaf);
        wait_for_senders(&host).await;
        for _ in 0..5 {
            let answer = host.get("/one/x").await;
            assert_eq!((status(&answer), body(&answer)), (200, "direct"));
        }
        assert_eq!(leaf.requests(), 5);
    });
}

/// The sender is a real host. Its refusals are true and its answer is the caller's.
#[test]
fn a_sender_serves_requests_of_other_hosts() {
    run(async {
        let leaf = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let mut sender = TestHost::start();
        sender.single(Repeat::AtMostOnce);
        sender.list("s", "t1", &leaf);
        let ask = async |version: u64| {
            let mut stream = TcpStream::connect(sender.peers).await.expect("listening");
            let head = format!(
                "GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q7\r\nx-deadline: 500\r\n\
                 relay-age-us: 2000\r\nrelay-version: {version}\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.expect("written");
            support::read_message(&mut stream).await.expect("an answer")
        };
        wait_until_listening(sender.peers).await;
        let answer = ask(1).await;
        assert_eq!((status(&answer), body(&answer)), (200, "yes"));
        assert_eq!(header(&answer, "relay-outcome").as_deref(), Some("done"));
        assert_eq!(header(&answer, "x-id").as_deref(), Some("q7"));
        assert_eq!(header(&leaf.received.borrow()[0], "relay-age-us"), None);
        // The sender does not know the version by which the request was passed on.
        let answer = ask(2).await;
        assert_eq!(status(&answer), 503);
        assert_eq!(header(&answer, "relay-outcome").as_deref(), Some("not-run"));
        assert_eq!(leaf.requests(), 1);
    });
}

/// An answer has to be back at the host that passed the request on within the
/// objective, so the sender answers earlier by the time on the way. The route's
/// objective is 300 ms.
#[test]
fn a_sender_answers_in_part_before_the_time_on_the_way_begins() {
    run(async {
        let first = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let second = target(vec![Reply::Later(Duration::from_millis(200), ok("sig2", "no"))]).await;
        let mut sender = TestHost::start();
        sender.gather_over(2, 0.5);
        sender.list("s0", "t1", &first);
        sender.list("s1", "t2", &second);
        wait_until_listening(sender.peers).await;
        for (transit_us, missing) in [(0, "0"), (190_000, "1")] {
            let mut stream = TcpStream::connect(sender.peers).await.expect("listening");
            let head = format!(
                "GET /all/x HTTP/1.1\r\nhost: h\r\nx-id: q7\r\nx-deadline: 800\r\n\
                 relay-age-us: 0\r\nrelay-version: 1\r\nrelay-transit-us: {transit_us}\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.expect("written");
            let answer = support::read_message(&mut stream).await.expect("an answer");
            assert_eq!(header(&answer, "x-missing").as_deref(), Some(missing), "{answer}");
        }
    });
}

/// A planned stop refuses what is passed on from then on, and finishes what was
/// accepted before.
#[test]
fn a_stopping_sender_finishes_what_it_accepted_and_refuses_the_rest() {
    run(async {
        let later = Reply::Later(Duration::from_millis(400), ok("sig", "yes"));
        let leaf = target(vec![later]).await;
        let mut sender = TestHost::start();
        sender.single(Repeat::AtMostOnce);
        sender.list("s", "t1", &leaf);
        wait_until_listening(sender.peers).await;
        let head = "GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q7\r\nx-deadline: 900\r\n\
                    relay-age-us: 0\r\nrelay-version: 1\r\n\r\n";
        let mut accepted = TcpStream::connect(sender.peers).await.expect("listening");
        accepted.write_all(head.as_bytes()).await.expect("written");
        while leaf.requests() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        sender.stop();
        sleep(Duration::from_millis(50)).await;
        let mut late = TcpStream::connect(sender.peers).await.expect("listening");
        late.write_all(head.as_bytes()).await.expect("written");
        let refused = support::read_message(&mut late).await.expect("an answer");
        assert_eq!(header(&refused, "relay-outcome").as_deref(), Some("not-run"));
        let answer = support::read_message(&mut accepted).await.expect("an answer");
        assert_eq!((status(&answer), body(&answer)), (200, "yes"));
        assert_eq!(leaf.requests(), 1);
    });
}

/// The caller's leave ends the work at the target, over both hosts.
#[test]
fn a_caller_that_leaves_ends_the_work_behind_the_sender() {
    run(async {
        let leaf = target(vec![Reply::Silence]).await;
        let (address, seed) = (own_address(), own_address());
        let mut sender = TestHost::start_with_seeds(address, vec![seed]);
        let second = TestHost::start_with_seeds(own_address(), vec![seed]);
        let mut host = TestHost::start_with_capacity(seed, vec![address, second.peers], SMALL);
        for it in [&mut sender, &mut host] {
            it.max_connections = 1;
            it.single(Repeat::Idempotent);
            it.list("s", "t1", &leaf);
            it.wait_for_hosts(3).await;
        }
        sleep(CHOICE_TIME).await;
        while leaf.requests() == 0 {
            let mut caller = host.connect().await;
            let request = b"GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q1\r\n\r\n";
            caller.write_all(request).await.expect("written");
            sleep(Duration::from_millis(100)).await;
        }
        while *leaf.abandoned.borrow() == 0 {
            sleep(Duration::from_millis(10)).await;
        }
    });
}

/// Datagrams that no host sent neither end the process nor change what it knows.
#[test]
fn malformed_datagrams_are_ignored() {
    run(async {
        let host = TestHost::start();
        host.wait_for_hosts(1).await;
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let mut rng = SmallRng::seed_from_u64(11);
        for round in 0..400 {
            let mut bytes = vec![0; rng.random_range(0..600)];
            rng.fill(&mut bytes[..]);
            // Half of them begin like a digest.
            if round % 2 == 0 && bytes.len() > 8 {
                bytes[..8].copy_from_slice(&[0, 127, 0, 0, 1, 9, 0, 1]);
            }
            socket.send_to(&bytes, host.peers).await.expect("sent");
        }
        sleep(Duration::from_millis(100)).await;
        announce(host.peers, own_address()).await;
        host.wait_for_hosts(2).await;
    });
}

/// Guards against hosts that go back to an old configuration, as callers see it: a request is
/// passed on and handled by a later version, and the next one is not.
#[test]
fn a_host_learns_the_version_by_which_another_one_handled_its_request() {
    run(async {
        let source = Rc::new(ScriptedSource::default());
        let version = |version| Configuration { version, ..Configuration::default() };
        source.publish(version(1));
        let answer = relayed("200 OK", "done", "later");
        let answer = answer.replace("relay-outcome", "relay-version: 2\r\nrelay-outcome");
        let sender = target(vec![Reply::Bytes(answer)]).await;
        let other = target(vec![not_run()]).await;
        let mut host = TestHost::start_with(own_address(), Vec::new(), |it| {
            // Without the answer, no peer would be asked for a long time.
            it.capacity(SMALL).configuration_due(Duration::from_secs(120))
        });
        host.wait_for_hosts(1).await;
        announce(host.peers, sender.address).await;
        announce(host.peers, other.address).await;
        host.wait_for_hosts(3).await;
        host.follow_configuration(&source);
        host.follow_targets(&source);
        host.max_connections = 1;
        host.single(Repeat::Idempotent);
        sleep(CHOICE_TIME).await;
        while sender.requests() == 0 {
            let answer = host.get("/one/x").await;
            assert_eq!(header(&answer, "relay-version"), None);
        }
        let is_question = |it: &String| it.starts_with("GET /configuration ");
        while !sender.received.borrow().iter().any(is_question) {
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// The sender names the version, and gives its configuration to a host that asks for it.
#[test]
fn a_sender_names_its_version_and_gives_its_configuration() {
    run(async {
        let leaf = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let mut sender = TestHost::start();
        sender.single(Repeat::AtMostOnce);
        sender.list("s", "t1", &leaf);
        wait_until_listening(sender.peers).await;
        let ask = async |head: &str| {
            let mut stream = TcpStream::connect(sender.peers).await.expect("listening");
            stream.write_all(head.as_bytes()).await.expect("written");
            support::read_message(&mut stream).await.expect("an answer")
        };
        let relayed = "GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q7\r\nx-deadline: 500\r\n\
                       relay-age-us: 0\r\nrelay-version: 1\r\n\r\n";
        assert_eq!(header(&ask(relayed).await, "relay-version").as_deref(), Some("1"));
        let answer = ask("GET /configuration HTTP/1.1\r\nhost: h\r\n\r\n").await;
        assert!(body(&answer).contains("/one/"), "{answer}");
        assert!(!body(&answer).contains("t1"), "{answer}");
        let answer = ask("GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
        assert!(body(&answer).contains("t1"), "{answer}");
    });
}

async fn leaf_and(reply: Reply) -> (Target, Target) {
    (target(vec![Reply::Bytes(ok("sig", "direct"))]).await, target(vec![reply]).await)
}

async fn wait_until_listening(address: SocketAddr) {
    while TcpStream::connect(address).await.is_err() {
        sleep(Duration::from_millis(10)).await;
    }
}
