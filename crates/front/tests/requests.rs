//! Answers that callers get, given the answers of targets, over loopback.

mod support;

use std::time::Duration;

use forward::{Destination, Repeat};
use support::{Reply, TestHost, body, header, ok, run, shed, status, target};
use tokio::time::Instant;

const RECORD_A: &str = "aaaaaaaaaaaaaaaa";
const RECORD_B: &str = "bbbbbbbbbbbbbbbb";
const RECORD_C: &str = "cccccccccccccccc";

fn always(text: String) -> Vec<Reply> {
    vec![Reply::Bytes(text)]
}

#[test]
fn the_answer_of_one_target_is_forwarded_byte_for_byte() {
    run(async {
        let one = target(always(ok("sig", "hello"))).await;
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &one);
        let request = "POST /one/x?y=%20z HTTP/1.1\r\nhost: h\r\nx-id: q7\r\nx-deadline: 500\r\n\
                       x-own: kept\r\nconnection: keep-alive, x-hop\r\nx-hop: dropped\r\n\
                       transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        let answer = host.exchange(request).await;
        assert_eq!(status(&answer), 200);
        assert_eq!(body(&answer), "hello");
        assert_eq!(header(&answer, "x-stamp").as_deref(), Some("sig"));
        let sent = one.received.borrow()[0].clone();
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
fn parts_are_merged_and_their_signatures_listed() {
    run(async {
        let targets = [
            target(always(ok("p0", &format!("{RECORD_A}{RECORD_C}")))).await,
            target(always(ok("p1", RECORD_B))).await,
            target(always(ok("p2", "short"))).await,
        ];
        let mut host = TestHost::start();
        host.gather(1.0);
        for (i, it) in targets.iter().enumerate() {
            host.list(&format!("s{i}"), &format!("t{i}"), it);
        }
        let answer = host.get("/all/q").await;
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
        let mut host = TestHost::start();
        // The host answers a part of the objective before its end; a longer one leaves a busy
        // machine more time for the same claim.
        host.objective = Duration::from_secs(2);
        host.gather(0.6);
        host.list("s0", "t0", &silent);
        host.list("s1", "t1", &fast);
        host.list("s2", "t2", &other);
        drop(host.connect().await);
        let started = Instant::now();
        let answer = host.get("/all/q").await;
        assert_eq!(status(&answer), 200);
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"));
        assert!(started.elapsed() < host.objective, "{:?}", started.elapsed());
    });
}

/// Answers that are truncated, unsigned, encoded, not HTTP or for another
/// request must not be forwarded; the second target answers the request.
#[test]
fn invalid_answers_are_not_forwarded() {
    let foreign = "HTTP/1.1 200 OK\r\nx-id: other\r\nx-stamp: no\r\ncontent-length: 2\r\n\r\nno";
    let truncated = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: no\r\ncontent-length: 9\r\n\r\nno";
    let truncated_chunks = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: no\r\ntransfer-encoding: chunked\
                     \r\n\r\n2\r\nno\r\n";
    let unsigned = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nno";
    let encoded = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: no\r\ncontent-encoding: gzip\r\n\
                   content-length: 2\r\n\r\nno";
    for invalid in
        [foreign, truncated, truncated_chunks, unsigned, encoded, "this is no HTTP\r\n\r\n"]
    {
        run(async {
            let reply = Reply::BytesThenClose(invalid.to_owned());
            let bad = target(vec![reply]).await;
            let good = target(always(ok("yes", "yes"))).await;
            let mut host = TestHost::start();
            host.single(Repeat::Idempotent);
            host.list("s", "bad", &bad);
            host.list("s", "good", &good);
            for _ in 0..4 {
                let answer = host.get("/one/x").await;
                assert_eq!((status(&answer), body(&answer)), (200, "yes"), "{invalid}");
            }
        });
    }
}

/// Guards against callers that get a status which is none of an answer, or which belongs to a
/// protocol that they didn't ask for.
#[test]
fn a_status_that_ends_no_request_is_not_forwarded() {
    for odd in ["000", "099", "100", "101", "199", "600", "999"] {
        for repeat in [Repeat::AtMostOnce, Repeat::Idempotent] {
            run(async {
                let answer = ok("s", "no").replace("200 OK", &format!("{odd} Odd"));
                let one = target(vec![Reply::BytesThenClose(answer)]).await;
                let mut host = TestHost::start();
                host.single(repeat);
                host.list("s", "t1", &one);
                let answer = host.get("/one/x").await;
                assert_eq!(status(&answer), 502, "{odd}: {answer}");
                assert_eq!(header(&answer, "x-stamp"), None, "{odd}");
            });
        }
    }
}

/// Guards against wrong bytes that reach a caller as a success: an answer that is not the
/// target's whole and signed body is no failure of the target either.
#[test]
fn a_spoilt_success_is_forwarded_neither_as_an_answer_nor_as_a_failure() {
    let spoilt = |fields: &str| {
        format!("HTTP/1.1 200 OK\r\nx-id: {{id}}\r\n{fields}content-length: 2\r\n\r\nno")
    };
    let cases = [
        spoilt("x-stamp: s\r\ncontent-encoding: gzip\r\n"),
        spoilt("x-stamp: s\r\ncontent-encoding: identity\r\n"),
        spoilt(""),
        spoilt("").replace("200 OK", "206 Partial"),
    ];
    for repeat in [Repeat::AtMostOnce, Repeat::Idempotent] {
        for case in &cases {
            run(async {
                let bad = target(always(case.clone())).await;
                let mut host = TestHost::start();
                host.single(repeat);
                host.list("s", "bad", &bad);
                host.list("s", "worse", &bad);
                let answer = host.get("/one/x").await;
                assert_eq!(status(&answer), 502, "{case}");
                assert!(!body(&answer).contains("no\""), "{answer}");
                assert!(header(&answer, "content-encoding").is_none(), "{answer}");
                let most = if repeat == Repeat::AtMostOnce { 1 } else { 2 };
                assert!(bad.requests() <= most, "{} requests", bad.requests());
            });
        }
    }
}

/// Guards against a status that no target gave: a failure that is not signed is none of
/// the target's.
#[test]
fn a_failure_without_a_signature_is_not_forwarded() {
    run(async {
        let failure = "HTTP/1.1 404 No\r\nx-id: {id}\r\ncontent-length: 3\r\n\r\nbad".to_owned();
        let one = target(always(failure)).await;
        let mut host = TestHost::start();
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &one);
        assert_eq!(status(&host.get("/one/x").await), 502);
        assert_eq!(one.requests(), 1);
    });
}

#[test]
fn a_request_that_may_have_run_is_not_sent_again() {
    for reply in [Reply::Close, Reply::BytesThenClose("HTTP/1.1 200 OK\r\n".to_owned())] {
        run(async {
            let first = target(vec![reply.clone()]).await;
            let mut host = TestHost::start();
            host.single(Repeat::AtMostOnce);
            host.list("s", "t1", &first);
            let answer = host.get("/one/x").await;
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
            let mut host = TestHost::start();
            host.single(repeat);
            host.list("s", "full", &full);
            let refused = host.get("/one/x").await;
            assert_eq!(status(&refused), 503);
            assert!(header(&refused, "retry-after").is_some());
            let free = target(always(ok("sig", "yes"))).await;
            host.list("s", "free", &free);
            let answer = host.get("/one/x").await;
            assert_eq!((status(&answer), body(&answer)), (200, "yes"));
        });
    }
}

/// A target's 503, 429 or 408 without the `not_run` header does not prove that
/// the request did not run. Forwarded, it would make callers retry a request
/// that may have run.
#[test]
fn a_targets_refusal_without_proof_is_not_forwarded() {
    for code in ["503 Busy", "429 Slow", "408 Late"] {
        run(async {
            let text = format!(
                "HTTP/1.1 {code}\r\nx-id: {{id}}\r\nx-stamp: s\r\ncontent-length: 0\r\n\r\n"
            );
            let one = target(always(text)).await;
            let mut host = TestHost::start();
            host.single(Repeat::AtMostOnce);
            host.list("s", "t1", &one);
            assert_eq!(status(&host.get("/one/x").await), 502);
        });
    }
}

#[test]
fn a_targets_failure_is_forwarded_with_its_signature() {
    run(async {
        let text = "HTTP/1.1 500 Oops\r\nx-id: {id}\r\nx-stamp: s\r\ncontent-length: 2\r\n\r\nno";
        let one = target(always(text.to_owned())).await;
        let mut host = TestHost::start();
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &one);
        let answer = host.get("/one/x").await;
        assert_eq!((status(&answer), body(&answer)), (500, "no"));
        assert_eq!(header(&answer, "x-stamp").as_deref(), Some("s"));
    });
}

/// Guards against connections that are cut without an answer: a route whose services all
/// have the weight 0 sends to none of them.
#[test]
fn a_route_whose_weights_are_all_zero_is_refused() {
    run(async {
        let one = target(always(ok("sig", "yes"))).await;
        let mut host = TestHost::start();
        let weights = ["s", "s2"].map(|it| (it.into(), 0.0));
        host.route("/none/", Repeat::Idempotent, Destination::Weighted(weights.into()));
        host.list("s", "t1", &one);
        host.list("s2", "t2", &one);
        assert_eq!(status(&host.get("/none/x").await), 503);
        assert_eq!(one.requests(), 0);
    });
}
