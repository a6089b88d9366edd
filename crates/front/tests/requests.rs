//! What callers and targets see of the front, over loopback.

mod stage;

use std::{rc::Rc, time::Duration};

use forward::Repeat;
use stage::{Reply, Stage, body, header, ok, read_message, run, shed, status, target};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    task::JoinSet,
    time::{Instant, sleep},
};

const RECORD_A: &str = "aaaaaaaaaaaaaaaa";
const RECORD_B: &str = "bbbbbbbbbbbbbbbb";
const RECORD_C: &str = "cccccccccccccccc";

fn always(text: String) -> Vec<Reply> {
    vec![Reply::Bytes(text)]
}

#[test]
fn an_answer_of_one_target_is_passed_on_byte_for_byte() {
    run(async {
        let one = target(always(ok("sig", "hello"))).await;
        let mut stage = Stage::start();
        stage.single(Repeat::Idempotent);
        stage.list("s", "t1", &one);
        let request = "POST /one/x?y=%20z HTTP/1.1\r\nhost: h\r\nx-id: q7\r\nx-deadline: 500\r\n\
                       x-own: kept\r\nconnection: keep-alive, x-hop\r\nx-hop: dropped\r\n\
                       transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        let answer = stage.exchange(request).await;
        assert_eq!(status(&answer), 200);
        assert_eq!(body(&answer), "hello");
        assert_eq!(header(&answer, "x-stamp").as_deref(), Some("sig"));
        let sent = one.heads.borrow()[0].clone();
        assert!(sent.starts_with("POST /one/x?y=%20z HTTP/1.1\r\n"), "{sent}");
        assert_eq!(body(&sent), "abcde");
        assert_eq!(header(&sent, "x-id").as_deref(), Some("q7"));
        assert_eq!(header(&sent, "x-own").as_deref(), Some("kept"));
        assert_eq!(header(&sent, "x-hop"), None);
        assert_eq!(header(&sent, "x-target").as_deref(), Some("t1"));
        let left: u64 = header(&sent, "x-deadline").and_then(|it| it.parse().ok()).unwrap_or(0);
        assert!((300..=500).contains(&left), "{left}");
    });
}

#[test]
fn parts_are_merged_and_named() {
    run(async {
        let targets = [
            target(always(ok("p0", &format!("{RECORD_A}{RECORD_C}")))).await,
            target(always(ok("p1", RECORD_B))).await,
            target(always(ok("p2", "short"))).await,
        ];
        let mut stage = Stage::start();
        stage.gather(1.0);
        for (i, it) in targets.iter().enumerate() {
            stage.list(&format!("s{i}"), &format!("t{i}"), it);
        }
        let answer = stage.get("/all/q").await;
        assert_eq!(status(&answer), 200);
        assert_eq!(body(&answer), format!("{RECORD_C}{RECORD_B}"));
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
        let mut stamps: Vec<String> = header(&answer, "x-stamps")
            .unwrap_or_default()
            .split(", ")
            .map(str::to_owned)
            .collect();
        stamps.sort();
        assert_eq!(stamps, ["p0", "p1", "p2"]);
    });
}

#[test]
fn a_silent_shard_is_left_out_before_the_objective() {
    run(async {
        let silent = target(vec![Reply::Silence]).await;
        let fast = target(always(ok("p", RECORD_A))).await;
        let other = target(always(ok("q", RECORD_B))).await;
        let mut stage = Stage::start();
        stage.gather(0.6);
        stage.list("s0", "t0", &silent);
        stage.list("s1", "t1", &fast);
        stage.list("s2", "t2", &other);
        drop(stage.connect().await);
        let started = Instant::now();
        let answer = stage.get("/all/q").await;
        assert_eq!(status(&answer), 200);
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"));
        assert!(started.elapsed() < Duration::from_millis(300), "{:?}", started.elapsed());
    });
}

/// Bytes that are no answer to the request, each of which must not be passed
/// on; the request is answered by the second target.
#[test]
fn spoilt_answers_are_not_passed_on() {
    let foreign = "HTTP/1.1 200 OK\r\nx-id: other\r\nx-stamp: no\r\ncontent-length: 2\r\n\r\nno";
    let cut = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: no\r\ncontent-length: 9\r\n\r\nno";
    let chunk_cut = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: no\r\ntransfer-encoding: chunked\
                     \r\n\r\n2\r\nno\r\n";
    let unstamped = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nno";
    let encoded = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: no\r\ncontent-encoding: gzip\r\n\
                   content-length: 2\r\n\r\nno";
    for spoilt in [foreign, cut, chunk_cut, unstamped, encoded, "this is no HTTP\r\n\r\n"] {
        run(async {
            let reply = Reply::BytesThenClose(spoilt.to_owned());
            let bad = target(vec![reply]).await;
            let good = target(always(ok("yes", "yes"))).await;
            let mut stage = Stage::start();
            stage.single(Repeat::Idempotent);
            stage.list("s", "bad", &bad);
            stage.list("s", "good", &good);
            for _ in 0..4 {
                let answer = stage.get("/one/x").await;
                assert_eq!((status(&answer), body(&answer)), (200, "yes"), "{spoilt}");
            }
        });
    }
}

#[test]
fn a_second_answer_on_a_connection_belongs_to_no_request() {
    run(async {
        let doubled = format!("{}{}", ok("one", "1"), ok("two", "2"));
        let bad = target(always(doubled)).await;
        let mut stage = Stage::start();
        stage.single(Repeat::Idempotent);
        stage.list("s", "bad", &bad);
        for i in 0..6 {
            let request = format!("GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q{i}\r\n\r\n");
            let answer = stage.exchange(&request).await;
            if status(&answer) == 200 {
                assert_eq!(body(&answer), "1");
                assert_eq!(header(&answer, "x-id"), Some(format!("q{i}")));
            }
        }
    });
}

#[test]
fn a_request_that_may_have_run_is_not_sent_again() {
    for reply in [Reply::Close, Reply::BytesThenClose("HTTP/1.1 200 OK\r\n".to_owned())] {
        run(async {
            let first = target(vec![reply.clone()]).await;
            let mut stage = Stage::start();
            stage.single(Repeat::AtMostOnce);
            stage.list("s", "t1", &first);
            let answer = stage.get("/one/x").await;
            assert_eq!(status(&answer), 502);
            assert_eq!(first.requests(), 1);
        });
    }
}

#[test]
fn a_request_that_a_target_did_not_run_goes_to_another() {
    for repeat in [Repeat::AtMostOnce, Repeat::Idempotent] {
        run(async {
            let full = target(always(shed())).await;
            let mut stage = Stage::start();
            stage.single(repeat);
            stage.list("s", "full", &full);
            let refused = stage.get("/one/x").await;
            assert_eq!(status(&refused), 503);
            assert!(header(&refused, "retry-after").is_some());
            let free = target(always(ok("sig", "yes"))).await;
            stage.list("s", "free", &free);
            let answer = stage.get("/one/x").await;
            assert_eq!((status(&answer), body(&answer)), (200, "yes"));
        });
    }
}

/// A target's 503 that does not say so is no promise that nothing ran.
#[test]
fn a_targets_unproved_refusal_is_not_passed_on_as_a_promise() {
    for code in ["503 Busy", "429 Slow", "408 Late"] {
        run(async {
            let text = format!(
                "HTTP/1.1 {code}\r\nx-id: {{id}}\r\nx-stamp: s\r\ncontent-length: 0\r\n\r\n"
            );
            let one = target(always(text)).await;
            let mut stage = Stage::start();
            stage.single(Repeat::AtMostOnce);
            stage.list("s", "t1", &one);
            assert_eq!(status(&stage.get("/one/x").await), 502);
        });
    }
}

#[test]
fn a_targets_own_failure_is_passed_on_with_its_stamp() {
    run(async {
        let text = "HTTP/1.1 500 Oops\r\nx-id: {id}\r\nx-stamp: s\r\ncontent-length: 2\r\n\r\nno";
        let one = target(always(text.to_owned())).await;
        let mut stage = Stage::start();
        stage.single(Repeat::AtMostOnce);
        stage.list("s", "t1", &one);
        let answer = stage.get("/one/x").await;
        assert_eq!((status(&answer), body(&answer)), (500, "no"));
        assert_eq!(header(&answer, "x-stamp").as_deref(), Some("s"));
    });
}

#[test]
fn the_timeout_of_a_route_gets_a_final_answer() {
    run(async {
        let one = target(vec![Reply::Silence]).await;
        let mut stage = Stage::start();
        stage.single(Repeat::AtMostOnce);
        stage.list("s", "t1", &one);
        drop(stage.connect().await);
        let started = Instant::now();
        let answer = stage.get("/one/x").await;
        assert_eq!(status(&answer), 504);
        let took = started.elapsed();
        assert!(took >= Duration::from_millis(850) && took < Duration::from_millis(1_300));
    });
}

#[test]
fn a_caller_that_leaves_ends_the_work_at_targets() {
    run(async {
        let slow = target(vec![Reply::Later(Duration::from_secs(5), ok("s", "late"))]).await;
        let mut stage = Stage::start();
        stage.single(Repeat::Idempotent);
        stage.list("s", "t1", &slow);
        let mut caller = stage.connect().await;
        let request = "GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q1\r\n\r\n";
        caller.write_all(request.as_bytes()).await.expect("written");
        while slow.requests() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        drop(caller);
        let left_at = Instant::now();
        while *slow.left.borrow() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        assert!(left_at.elapsed() < Duration::from_millis(500), "{:?}", left_at.elapsed());
        sleep(Duration::from_millis(300)).await;
        assert_eq!(slow.requests(), 1);
    });
}

#[test]
fn nothing_is_sent_on_for_bad_requests() {
    let long_header =
        format!("GET /one/x HTTP/1.1\r\nhost: h\r\nx-a: {}\r\n\r\n", "a".repeat(20_000));
    let long_body = format!(
        "POST /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\ncontent-length: 5000\r\n\r\n{}",
        "a".repeat(5_000)
    );
    let cases = [
        // Both ways of giving a length, and a request hidden behind.
        (
            "POST /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\ncontent-length: 4\r\n\
          transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /one/y HTTP/1.1\r\nhost: h\r\n\r\n",
            400,
        ),
        (
            "POST /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\ntransfer-encoding: chunked\r\n\
          content-length: 4\r\n\r\n0\r\n\r\n",
            400,
        ),
        ("GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\nx-deadline: soon\r\n\r\n", 400),
        ("GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\nx-deadline: -5\r\n\r\n", 400),
        ("GET /one/x HTTP/1.1\r\nhost: h\r\n\r\n", 400),
        ("GET /one/x HTTP/1.1\r\nx-id: q\r\n\r\n", 400),
        ("GET http://h/one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n", 400),
        ("GET /one/x HTTP/1.1\r\nhost: nobody\r\nx-id: q\r\n\r\n", 404),
        ("GET /none/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n", 404),
        (
            "POST /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\ncontent-length: 4\r\n\
          content-length: 5\r\n\r\nabcde",
            400,
        ),
        ("GARBAGE\r\n\r\n", 400),
        (&long_header, 431),
        (&long_body, 413),
    ];
    run(async {
        let one = target(always(ok("s", "yes"))).await;
        let mut stage = Stage::start();
        stage.single(Repeat::Idempotent);
        stage.list("s", "t1", &one);
        for (request, expected) in &cases {
            let answer = stage.exchange(request).await;
            assert_eq!(status(&answer), *expected, "{}", &request[..request.len().min(120)]);
        }
        assert_eq!(one.requests(), 0);
        let answer = stage.get("/one/x").await;
        assert_eq!(status(&answer), 200);
    });
}

#[test]
fn half_a_head_and_an_idle_connection_are_closed_in_time() {
    run(async {
        let one = target(always(ok("s", "yes"))).await;
        let mut stage = Stage::start();
        stage.single(Repeat::Idempotent);
        stage.list("s", "t1", &one);
        let mut half = stage.connect().await;
        half.write_all(b"GET /one/x HTTP/1.1\r\nho").await.expect("written");
        let mut kept = stage.connect().await;
        let started = Instant::now();
        let mut buf = [0; 64];
        assert_eq!(half.read(&mut buf).await.unwrap_or(0), 0);
        assert!(started.elapsed() < Duration::from_millis(700), "{:?}", started.elapsed());
        let request = b"GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q1\r\n\r\n";
        for _ in 0..2 {
            kept.write_all(request).await.expect("written");
            assert_eq!(status(&read_message(&mut kept).await.unwrap_or_default()), 200);
            // Callers reuse connections that idled for four fifths of the limit.
            sleep(Duration::from_millis(640)).await;
        }
        assert_eq!(kept.read(&mut buf).await.unwrap_or(0), 0);
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    run(async {
        let one = target(always(ok("s", "yes"))).await;
        let mut stage = Stage::start();
        stage.single(Repeat::Idempotent);
        stage.list("s", "t1", &one);
        let mut caller = stage.connect().await;
        let request = |id| format!("GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: {id}\r\n\r\n");
        let both = format!("{}{}", request("q1"), request("q2"));
        caller.write_all(both.as_bytes()).await.expect("written");
        let mut seen = String::new();
        let mut buf = [0; 4096];
        while seen.matches("yes").count() < 2 {
            let count = caller.read(&mut buf).await.expect("read");
            assert!(count > 0, "closed after {seen}");
            seen.push_str(&String::from_utf8_lossy(&buf[..count]));
        }
        let (first, second) = (seen.find("x-id: q1"), seen.find("x-id: q2"));
        assert!(first < second, "{seen}");
    });
}

#[test]
fn without_a_configuration_callers_are_told_to_come_back() {
    run(async {
        let stage = Stage::start();
        let answer = stage.get("/one/x").await;
        assert_eq!(status(&answer), 503);
        assert!(header(&answer, "retry-after").is_some());
        let mut asker = tokio::net::TcpStream::connect(stage.readiness).await.expect("connected");
        asker.write_all(b"GET /ready HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("written");
        let answer = read_message(&mut asker).await.unwrap_or_default();
        assert_eq!(status(&answer), 503);
    });
}

#[test]
fn readiness_follows_what_is_known() {
    run(async {
        let one = target(always(ok("s", "yes"))).await;
        let mut stage = Stage::start();
        stage.single(Repeat::Idempotent);
        assert!(!stage.cx.is_ready());
        stage.list("s", "t1", &one);
        stage.targets_are_listed(&["t1"]);
        assert!(stage.cx.is_ready());
    });
}

#[test]
fn a_configuration_in_force_is_never_replaced_by_an_older_one() {
    run(async {
        let mut stage = Stage::start();
        stage.single(Repeat::Idempotent);
        stage.gather(1.0);
        assert_eq!(stage.cx.version(), 2);
        let older = forward::Configuration { version: 1, ..Default::default() };
        stage.cx.apply(&older);
        assert_eq!(stage.cx.version(), 2);
    });
}

#[test]
fn what_cannot_be_served_is_refused_at_once() {
    run(async {
        let one = target(always(ok("p", RECORD_A))).await;
        let mut stage = Stage::start();
        stage.gather(1.0);
        stage.list("s0", "t0", &one);
        stage.list("s1", "t1", &one);
        drop(stage.connect().await);
        let started = Instant::now();
        let answer = stage.get("/all/q").await;
        assert_eq!(status(&answer), 503);
        assert!(started.elapsed() < Duration::from_millis(100), "{:?}", started.elapsed());
        assert_eq!(one.requests(), 0);
    });
}

/// Without a source, only the targets themselves tell that they turned cold.
#[test]
fn targets_are_asked_for_their_health_while_the_source_is_lost() {
    run(async {
        let cold = "HTTP/1.1 200 OK\r\nx-cold: 60000\r\nx-id: {id}\r\nx-stamp: s\r\n\
                    content-length: 0\r\n\r\n";
        let one = target(always(cold.to_owned())).await;
        let mut stage = Stage::start();
        stage.warmup_rate = Some(4.0);
        stage.single(Repeat::Idempotent);
        stage.list("s", "t1", &one);
        while !one.heads.borrow().iter().any(|it| it.starts_with("GET /health ")) {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_millis(50)).await;
        let before = one.requests();
        let get = || stage.get("/one/x");
        tokio::join!(get(), get(), get(), get(), get(), get());
        let heads = one.heads.borrow();
        let sent = heads[before..].iter().filter(|it| !it.starts_with("GET /health ")).count();
        // Six within a second; it bears four, of which this host has a part.
        assert!((1..=2).contains(&sent), "{sent} sent");
    });
}

/// The stage takes forty connections: the one that idles longest makes room.
#[test]
fn more_callers_than_fit_end_the_connection_that_idles_longest() {
    run(async {
        let one = target(always(ok("s", "yes"))).await;
        let mut stage = Stage::start();
        stage.single(Repeat::Idempotent);
        stage.list("s", "t1", &one);
        let mut first = stage.connect().await;
        sleep(Duration::from_millis(20)).await;
        let mut rest = Vec::new();
        for _ in 0..40 {
            rest.push(stage.connect().await);
        }
        let mut buf = [0; 8];
        assert_eq!(first.read(&mut buf).await.unwrap_or(0), 0);
        let mut last = rest.pop().expect("a connection");
        let request = b"GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q1\r\n\r\n";
        last.write_all(request).await.expect("written");
        assert_eq!(status(&read_message(&mut last).await.unwrap_or_default()), 200);
    });
}

/// A connection that idled too long for a request that may run once only is
/// closed: it would count against the target's limit for nothing.
#[test]
fn a_connection_that_is_not_used_again_is_closed() {
    run(async {
        let one = target(always(ok("sig", "yes"))).await;
        let mut stage = Stage::start();
        stage.single(Repeat::AtMostOnce);
        stage.list("s", "t1", &one);
        assert_eq!(status(&stage.get("/one/x").await), 200);
        sleep(Duration::from_millis(1_200)).await;
        assert_eq!(status(&stage.get("/one/x").await), 200);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(one.open.get(), 1);
    });
}

/// More comes than the targets take in time: some callers are told at once
/// when to come back, and the others are answered in time.
#[test]
fn under_more_work_than_targets_take_some_callers_are_refused_at_once() {
    const CALLERS: usize = 120;
    run(async {
        let later = Reply::Later(Duration::from_millis(60), ok("sig", RECORD_A));
        let one = target(vec![later]).await;
        let mut stage = Stage::start();
        stage.gather(1.0);
        for i in 0..3 {
            stage.list(&format!("s{i}"), &format!("t{i}"), &one);
        }
        let stage = Rc::new(stage);
        let mut callers = JoinSet::new();
        for _ in 0..CALLERS {
            let stage = stage.clone();
            callers.spawn_local(async move {
                let started = Instant::now();
                (stage.get("/all/q").await, started.elapsed())
            });
            sleep(Duration::from_millis(2)).await;
        }
        let mut refused = 0;
        while let Some(answer) = callers.join_next().await {
            let (answer, took) = answer.expect("the caller ends");
            if status(&answer) == 200 {
                continue;
            }
            refused += 1;
            assert_eq!(status(&answer), 503, "{answer}");
            let wait: f64 = header(&answer, "retry-after")
                .and_then(|it| it.parse().ok())
                .expect("when to come back");
            assert!(wait > 0.0 && wait <= 0.3, "{wait}");
            assert!(took < Duration::from_millis(300), "{took:?}");
        }
        assert!(refused > 0);
    });
}
