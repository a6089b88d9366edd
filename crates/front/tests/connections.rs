//! Connections from callers and to targets: when they are closed, and which
//! bytes belong to which request.

mod support;

use std::time::Duration;

use forward::Repeat;
use support::{Reply, TestHost, body, header, ok, read_message, run, status, target};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::{Instant, sleep},
};

fn always(text: String) -> Vec<Reply> {
    vec![Reply::Bytes(text)]
}

/// Bytes that a target sends after a complete answer must not be taken for the
/// answer to the next request on the connection.
#[test]
fn a_second_answer_on_a_connection_belongs_to_no_request() {
    run(async {
        let doubled = format!("{}{}", ok("one", "1"), ok("two", "2"));
        let bad = target(always(doubled)).await;
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.list("s", "bad", &bad);
        for i in 0..6 {
            let request = format!("GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q{i}\r\n\r\n");
            let answer = host.exchange(&request).await;
            if status(&answer) == 200 {
                assert_eq!(body(&answer), "1");
                assert_eq!(header(&answer, "x-id"), Some(format!("q{i}")));
            }
        }
    });
}

/// Guards against a request that runs twice: an answer without the request's id, such
/// as a late one to a health request, must not say that the request did not run.
#[test]
fn an_answer_without_the_requests_id_does_not_say_that_it_did_not_run() {
    run(async {
        let rejected = "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        let (one, two) =
            (target(always(rejected.to_owned())).await, target(always(rejected.to_owned())).await);
        let mut host = TestHost::start();
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &one);
        host.list("s", "t2", &two);
        assert_eq!(status(&host.get("/one/x").await), 502);
        assert_eq!(one.requests() + two.requests(), 1);
    });
}

/// Guards against a success that is another request's answer: neither the answer to a
/// health request nor one that names two requests is the caller's.
#[test]
fn an_answer_that_names_no_request_or_two_is_not_forwarded() {
    let own = ok("s", "yes");
    let health = own.replace("x-id: {id}\r\n", "");
    let ambiguous = own.replace("x-id: {id}\r\n", "x-id: {id}\r\nx-id: other\r\n");
    for reply in [health, ambiguous] {
        run(async {
            let one = target(always(reply)).await;
            let mut host = TestHost::start();
            host.single(Repeat::AtMostOnce);
            host.list("s", "t1", &one);
            assert_eq!(status(&host.get("/one/x").await), 502);
        });
    }
}

/// Guards against answers that are one request behind on a connection: a late copy of
/// an answer must not pass for that to a health request.
#[test]
fn a_late_copy_of_an_answer_does_not_answer_a_health_request() {
    run(async {
        let one = target(always(ok("s", "yes").replace("{id}", "q1"))).await;
        let mut host = TestHost::start();
        host.warmup_rate = Some(1_000.0);
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &one);
        assert_eq!(status(&host.get("/one/x").await), 200);
        assert_eq!(one.opened.get(), 1);
        while !one.received.borrow().iter().any(|it| it.starts_with("GET /health ")) {
            sleep(Duration::from_millis(10)).await;
        }
        // The connection that is out of sync is replaced by another one, apart from those that
        // the host opens to check its reach.
        loop {
            let opened = one.opened.get() as u64;
            let checks = host.gauge("front_reach_checks_total").await.unwrap_or(0);
            if opened >= 2 + checks {
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
    });
}

#[test]
fn a_caller_that_leaves_ends_the_work_at_targets() {
    run(async {
        let slow = target(vec![Reply::Later(Duration::from_secs(5), ok("s", "late"))]).await;
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &slow);
        let mut caller = host.connect().await;
        let request = "GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q1\r\n\r\n";
        caller.write_all(request.as_bytes()).await.expect("written");
        while slow.requests() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        drop(caller);
        let left_at = Instant::now();
        while *slow.abandoned.borrow() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        assert!(left_at.elapsed() < Duration::from_millis(500), "{:?}", left_at.elapsed());
        sleep(Duration::from_millis(300)).await;
        assert_eq!(slow.requests(), 1);
    });
}

#[test]
fn half_a_head_and_an_idle_connection_are_closed_in_time() {
    run(async {
        let one = target(always(ok("s", "yes"))).await;
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &one);
        let mut half = host.connect().await;
        half.write_all(b"GET /one/x HTTP/1.1\r\nho").await.expect("written");
        let mut kept = host.connect().await;
        let started = Instant::now();
        let mut buf = [0; 64];
        assert_eq!(half.read(&mut buf).await.unwrap_or(0), 0);
        assert!(started.elapsed() < Duration::from_millis(700), "{:?}", started.elapsed());
        let request = b"GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q1\r\n\r\n";
        for _ in 0..2 {
            kept.write_all(request).await.expect("written");
            assert_eq!(status(&read_message(&mut kept).await.unwrap_or_default()), 200);
            // Callers reuse connections that were idle for up to 80 % of the limit.
            sleep(Duration::from_millis(640)).await;
        }
        assert_eq!(kept.read(&mut buf).await.unwrap_or(0), 0);
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    run(async {
        let one = target(always(ok("s", "yes"))).await;
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &one);
        let mut caller = host.connect().await;
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

/// While the source is lost, only the targets themselves report that they turned
/// cold.
#[test]
fn targets_are_asked_for_their_health_while_the_source_is_lost() {
    run(async {
        let cold = "HTTP/1.1 200 OK\r\nx-cold: 60000\r\nx-id: {id}\r\nx-stamp: s\r\n\
                    content-length: 0\r\n\r\n";
        let one = target(always(cold.to_owned())).await;
        let mut host = TestHost::start();
        host.warmup_rate = Some(4.0);
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &one);
        while !one.received.borrow().iter().any(|it| it.starts_with("GET /health ")) {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_millis(50)).await;
        let requests_before = one.requests();
        let get = || host.get("/one/x");
        tokio::join!(get(), get(), get(), get(), get(), get());
        let received = one.received.borrow();
        let sent =
            received[requests_before..].iter().filter(|it| !it.starts_with("GET /health ")).count();
        // Six requests at once; the target's limit is four a second, of which
        // this host has a share.
        assert!((1..=2).contains(&sent), "{sent} sent");
    });
}

/// The limit is forty connections; beyond it, the one that has been idle longest
/// is closed.
#[test]
fn beyond_the_limit_the_longest_idle_connection_is_closed() {
    run(async {
        let one = target(always(ok("s", "yes"))).await;
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &one);
        let mut first = host.connect().await;
        sleep(Duration::from_millis(20)).await;
        let mut rest = Vec::new();
        for _ in 0..40 {
            rest.push(host.connect().await);
        }
        let mut buf = [0; 8];
        assert_eq!(first.read(&mut buf).await.unwrap_or(0), 0);
        let mut last = rest.pop().expect("a connection");
        let request = b"GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q1\r\n\r\n";
        last.write_all(request).await.expect("written");
        assert_eq!(status(&read_message(&mut last).await.unwrap_or_default()), 200);
    });
}

/// A connection that was idle too long for a non-idempotent request must be
/// closed: otherwise it would count against the target's limit without being
/// used.
#[test]
fn a_connection_that_is_not_used_again_is_closed() {
    run(async {
        let one = target(always(ok("sig", "yes"))).await;
        let mut host = TestHost::start();
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &one);
        assert_eq!(status(&host.get("/one/x").await), 200);
        sleep(Duration::from_millis(1_200)).await;
        assert_eq!(status(&host.get("/one/x").await), 200);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(one.open.get(), 1);
    });
}
