//! Targets that turn requests away and name a time for which they want none.

mod support;

use std::time::Duration;

use forward::Repeat;
use support::{Reply, TestHost, header, ok, run, shed, status, target};
use tokio::time::{Instant, sleep};

fn full(field: &str) -> Vec<Reply> {
    vec![Reply::Bytes(shed().replacen("x-id: ", &format!("{field}\r\nx-id: "), 1))]
}

/// Returns the time after which a refused caller is to come back, in seconds.
fn wait(answer: &str) -> f64 {
    header(answer, "retry-after").and_then(|it| it.parse().ok()).unwrap_or(f64::NAN)
}

/// Guards against requests to a target in its pause: others get them.
#[test]
fn a_target_in_its_pause_gets_no_requests() {
    for field in [
        "retry-after: 4.5",
        "retry-after: 0.2\r\nretry-after: 4.5",
        "retry-after: 4.5, 0.2",
        "retry-after: soon, 4.5",
        "retry-after: 1e300",
    ] {
        run(async move {
            let one = target(full(field)).await;
            let slow = Reply::Later(Duration::from_millis(150), ok("s", "yes"));
            let two = target(vec![slow]).await;
            let mut host = TestHost::start();
            host.single(Repeat::AtMostOnce);
            host.list("s", "t1", &one);
            host.list("s", "t2", &two);
            while one.requests() == 0 {
                assert_eq!(status(&host.get("/one/x").await), 200);
            }
            // The other target has much to do.
            for _ in 0..4 {
                let get = || host.get("/one/x");
                tokio::join!(get(), get(), get(), get(), get(), get(), get(), get());
            }
            assert_eq!(one.requests(), 1, "{field}");
            assert_eq!(host.gauge("front_targets_paused").await, Some(1));
        });
    }
}

/// Guards against callers that wait in vain: if all targets are in their pause, they are
/// refused at once, as not run, with a true time to retry.
#[test]
fn without_a_target_that_takes_requests_callers_are_refused_at_once() {
    run(async {
        let one = target(full("retry-after: 30")).await;
        let mut host = TestHost::start();
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &one);
        let first = host.get("/one/x").await;
        assert_eq!(status(&first), 503);
        assert!((25.0..=30.5).contains(&wait(&first)), "{first}");
        let asked = Instant::now();
        let refused = host.get("/one/x").await;
        assert_eq!((status(&refused), one.requests()), (503, 1));
        assert!(asked.elapsed() < Duration::from_millis(200), "{:?}", asked.elapsed());
        let wait = wait(&refused);
        assert!((25.0..=30.5).contains(&wait), "{wait}");
    });
}

#[test]
fn values_that_are_no_time_ask_for_no_pause() {
    for field in [
        "retry-after: 0",
        "retry-after: -5",
        "retry-after: Sat, 05 Dec 2026 06:00:00 GMT",
        "retry-after: nan",
        "retry-after: ",
        "retry-after: 0, -1, soon",
    ] {
        run(async move {
            let one = target(full(field)).await;
            let mut host = TestHost::start();
            host.single(Repeat::AtMostOnce);
            host.list("s", "t1", &one);
            for sent in 1..=3 {
                assert_eq!(status(&host.get("/one/x").await), 503);
                assert_eq!(one.requests(), sent, "{field}");
            }
        });
    }
}

/// Guards against a pause that is overlooked as the answer is of no use otherwise: it is not
/// signed, is encoded, breaks off, or is no proof that the request did not run.
#[test]
fn any_503_to_the_own_request_asks_for_a_pause() {
    let head = |further: &str, length: usize| {
        let field = "retry-after: 30\r\nx-id: {id}\r\n";
        format!("HTTP/1.1 503 Busy\r\n{field}{further}content-length: {length}\r\n\r\n")
    };
    for reply in [
        Reply::Bytes(head("", 0)),
        Reply::Bytes(head("x-stamp: s\r\n", 0)),
        Reply::Bytes(head("x-not-run: 1\r\ncontent-encoding: gzip\r\n", 0)),
        Reply::Bytes(head("content-encoding: gzip\r\n", 0)),
        Reply::BytesThenClose(head("x-not-run: 1\r\n", 9)),
    ] {
        run(async move {
            let one = target(vec![reply.clone()]).await;
            let mut host = TestHost::start();
            host.single(Repeat::AtMostOnce);
            host.list("s", "t1", &one);
            for _ in 0..3 {
                host.get("/one/x").await;
            }
            assert_eq!(one.requests(), 1, "{reply:?}");
        });
    }
}

/// Guards against a target that is left alone for what it told somebody else.
#[test]
fn a_503_to_another_request_asks_for_no_pause() {
    run(async {
        let other = full("retry-after: 30").remove(0);
        let Reply::Bytes(other) = other else { panic!("no bytes") };
        let other = Reply::Bytes(other.replace("{id}", "q0"));
        let one = target(vec![other, Reply::Bytes(ok("s", "yes"))]).await;
        let mut host = TestHost::start();
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &one);
        host.get("/one/x").await;
        assert_eq!(status(&host.get("/one/x").await), 200);
    });
}

/// Guards against health checks in a pause, and against one that a health check is told
/// of and that is overlooked.
#[test]
fn a_health_check_is_told_of_a_pause_and_there_is_none_in_it() {
    run(async {
        let paused = "HTTP/1.1 503 Busy\r\nretry-after: 30\r\ncontent-length: 0\r\n\r\n";
        let one = target(vec![Reply::Bytes(ok("s", "yes")), Reply::Bytes(paused.into())]).await;
        let mut host = TestHost::start();
        host.warmup_rate = Some(100.0);
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &one);
        assert_eq!(status(&host.get("/one/x").await), 200);
        while one.requests() < 2 {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(status(&host.get("/one/x").await), 503);
        assert_eq!(one.requests(), 2, "{:?}", one.received.borrow());
    });
}

/// Guards against queries over many shards that are sent in vain or told to come back too
/// early: too few shards have a target that takes requests, or has one at all.
#[test]
fn a_query_over_many_shards_is_refused_until_enough_of_them_are_back() {
    for has_third in [true, false] {
        run(async move {
            let one = target(full("retry-after: 40")).await;
            let two = target(full("retry-after: 20")).await;
            let three = target(vec![Reply::Bytes(ok("s", "yes"))]).await;
            let mut host = TestHost::start();
            host.gather(0.6);
            host.list("s0", "t0", &one);
            host.list("s1", "t1", if has_third { &two } else { &three });
            if has_third {
                host.list("s2", "t2", &three);
            }
            host.get("/all/x").await;
            let sent = three.requests();
            let refused = host.get("/all/x").await;
            assert_eq!((status(&refused), one.requests(), three.requests()), (503, 1, sent));
            let end = if has_third { 20.0 } else { 40.0 };
            assert!((end - 5.0..=end + 0.5).contains(&wait(&refused)), "{refused}");
        });
    }
}

/// Guards against callers that wait for a target that asks for a pause meanwhile, until
/// their time is over.
#[test]
fn callers_that_wait_for_a_connection_are_refused_once_there_is_a_pause() {
    run(async {
        let paused = shed().replacen("x-id: ", "retry-after: 30\r\nx-id: ", 1);
        let one = target(vec![Reply::Later(Duration::from_millis(300), paused)]).await;
        let mut host = TestHost::start();
        host.max_connections = 1;
        host.objective = Duration::from_secs(4);
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &one);
        let asked = Instant::now();
        let get = || host.get("/one/x");
        let answers: [String; 4] = tokio::join!(get(), get(), get(), get()).into();
        for it in &answers {
            assert!(status(it) == 503 && (25.0..=30.5).contains(&wait(it)), "{it}");
        }
        assert_eq!(one.requests(), 1);
        assert!(asked.elapsed() < host.objective / 2, "{:?}", asked.elapsed());
    });
}
