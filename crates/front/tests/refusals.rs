//! Refusals: which requests are refused, how soon, and with which answer.

mod support;

use std::{rc::Rc, time::Duration};

use forward::Repeat;
use support::{Reply, TestHost, header, ok, read_message, run, status, target};
use tokio::{
    io::AsyncWriteExt,
    task::JoinSet,
    time::{Instant, sleep},
};

const RECORD_A: &str = "aaaaaaaaaaaaaaaa";

fn always(text: String) -> Vec<Reply> {
    vec![Reply::Bytes(text)]
}

#[test]
fn the_timeout_of_a_route_gets_a_final_answer() {
    run(async {
        let one = target(vec![Reply::Silence]).await;
        let mut host = TestHost::start();
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &one);
        drop(host.connect().await);
        let started = Instant::now();
        let answer = host.get("/one/x").await;
        assert_eq!(status(&answer), 504);
        let took = started.elapsed();
        assert!(took >= Duration::from_millis(850) && took < Duration::from_millis(1_300));
    });
}

#[test]
fn bad_requests_are_not_forwarded() {
    let long_header =
        format!("GET /one/x HTTP/1.1\r\nhost: h\r\nx-a: {}\r\n\r\n", "a".repeat(20_000));
    let long_body = format!(
        "POST /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\ncontent-length: 5000\r\n\r\n{}",
        "a".repeat(5_000)
    );
    let cases = [
        // Request smuggling: two statements of the body's length, and a second
        // request in the body.
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
        ("GET http://nobody/one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n", 404),
        ("GET http://h/none/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n", 404),
        ("GET http://me@h/one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n", 400),
        ("GET ftp://h/one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n", 400),
        ("GET one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n", 400),
        ("CONNECT h:80 HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n", 400),
        ("OPTIONS * HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n", 400),
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
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &one);
        for (request, expected) in &cases {
            let answer = host.exchange(request).await;
            assert_eq!(status(&answer), *expected, "{}", &request[..request.len().min(120)]);
        }
        assert_eq!(one.requests(), 0);
        let answer = host.get("/one/x").await;
        assert_eq!(status(&answer), 200);
    });
}

#[test]
fn without_a_configuration_callers_are_told_to_retry() {
    run(async {
        let host = TestHost::start();
        let answer = host.get("/one/x").await;
        assert_eq!(status(&answer), 503);
        assert!(header(&answer, "retry-after").is_some());
        let mut stream = tokio::net::TcpStream::connect(host.readiness).await.expect("connected");
        stream.write_all(b"GET /ready HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("written");
        let answer = read_message(&mut stream).await.unwrap_or_default();
        assert_eq!(status(&answer), 503);
    });
}

#[test]
fn a_host_is_ready_once_it_knows_a_configuration_and_targets() {
    run(async {
        let one = target(always(ok("s", "yes"))).await;
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        assert!(!host.cx.is_ready());
        host.list("s", "t1", &one);
        host.retain_targets(&["t1"]);
        assert!(host.cx.is_ready());
    });
}

#[test]
fn a_configuration_in_force_is_never_replaced_by_an_older_one() {
    run(async {
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.gather(1.0);
        assert_eq!(host.cx.version(), 2);
        let older = forward::Configuration { version: 1, ..Default::default() };
        host.cx.apply_configuration(&older);
        assert_eq!(host.cx.version(), 2);
    });
}

#[test]
fn a_route_that_cannot_be_served_is_refused_at_once() {
    run(async {
        let one = target(always(ok("p", RECORD_A))).await;
        let mut host = TestHost::start();
        host.gather(1.0);
        host.list("s0", "t0", &one);
        host.list("s1", "t1", &one);
        drop(host.connect().await);
        let started = Instant::now();
        let answer = host.get("/all/q").await;
        assert_eq!(status(&answer), 503);
        assert!(started.elapsed() < Duration::from_millis(100), "{:?}", started.elapsed());
        assert_eq!(one.requests(), 0);
    });
}

/// Under overload, requests must not queue until their deadlines pass: some
/// callers are refused at once with a time to retry, and the others are
/// answered in time.
#[test]
fn under_overload_some_callers_are_refused_at_once() {
    const CALLERS: usize = 120;
    run(async {
        let later = Reply::Later(Duration::from_millis(60), ok("sig", RECORD_A));
        let one = target(vec![later]).await;
        let mut host = TestHost::start();
        host.gather(1.0);
        for i in 0..3 {
            host.list(&format!("s{i}"), &format!("t{i}"), &one);
        }
        let host = Rc::new(host);
        let mut callers = JoinSet::new();
        for _ in 0..CALLERS {
            let host = host.clone();
            callers.spawn_local(async move {
                let started = Instant::now();
                (host.get("/all/q").await, started.elapsed())
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
                .expect("a time to retry");
            assert!(wait > 0.0 && wait <= 0.3, "{wait}");
            assert!(took < Duration::from_millis(300), "{took:?}");
        }
        assert!(refused > 0);
    });
}
