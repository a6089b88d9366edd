//! Limits of requests that targets name in their answers.

mod support;

use std::time::{Duration, Instant};

use forward::Repeat;
use support::{Reply, TestHost, header, ok, run, status, target};

/// Returns a complete answer that names a limit.
fn limited(value: &str) -> String {
    ok("sig", "yes").replacen("\r\n", &format!("\r\nx-limit: {value}\r\n"), 1)
}

#[test]
fn requests_beyond_a_stated_limit_are_refused_at_once() {
    run(async {
        let one = target(vec![Reply::Bytes(limited("1.0"))]).await;
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &one);
        assert_eq!(status(&host.get("/one/x").await), 200);
        let started = Instant::now();
        let mut refused = 0;
        for _ in 0..10 {
            let answer = host.get("/one/x").await;
            if status(&answer) == 503 {
                refused += 1;
                let wait = header(&answer, "retry-after").and_then(|it| it.parse().ok());
                assert!(wait.is_some_and(|it: f64| it > 0.0 && it <= 1.0), "{answer}");
            }
        }
        assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
        assert!(refused >= 8, "{refused} refused");
        assert!(one.requests() <= 3, "{} requests", one.requests());
    });
}

#[test]
fn a_limit_that_an_answer_names_no_more_ends() {
    run(async {
        let replies = vec![Reply::Bytes(limited("20")), Reply::Bytes(ok("sig", "yes"))];
        let one = target(replies).await;
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &one);
        host.get("/one/x").await;
        assert_eq!(host.gauge("front_targets_limited").await, Some(1));
        let started = Instant::now();
        while host.gauge("front_targets_limited").await != Some(0) {
            host.get("/one/x").await;
            assert!(started.elapsed() < Duration::from_secs(8));
        }
    });
}

#[test]
fn a_limit_that_is_no_number_limits_nothing() {
    run(async {
        for value in ["-1", "many", "inf", "NaN", ""] {
            let one = target(vec![Reply::Bytes(limited(value))]).await;
            let mut host = TestHost::start();
            host.single(Repeat::Idempotent);
            host.list("s", "t1", &one);
            for _ in 0..5 {
                assert_eq!(status(&host.get("/one/x").await), 200, "{value:?}");
            }
        }
    });
}
