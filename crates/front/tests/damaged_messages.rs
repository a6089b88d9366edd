//! Damaged requests of callers and damaged answers of targets, over loopback: each caller
//! gets one whole answer or none, and the host serves the next one.

#[path = "support/mutation.rs"]
mod mutation;
mod support;

use std::{
    future::Future,
    panic,
    sync::atomic::{AtomicUsize, Ordering::Relaxed},
    time::Duration,
};

use forward::{Destination, Repeat};
use mutation::{Mutation, fixed_seed, mutated, mutations};
use proptest::{
    strategy::{Strategy, ValueTree},
    test_runner::TestRunner,
};
use support::{Reply, TestHost, header, ok, status, target};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    task::{JoinSet, LocalSet},
    time::timeout,
};

/// Requests sent at a time, fewer than the connections that a host takes.
const AT_ONCE: usize = 30;

/// Time after which a host has answered a request or closed its connection.
const CASE_TIMEOUT: Duration = Duration::from_secs(20);

/// Panics of any task. The runtime ends the task alone.
static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Runs a test on one thread, for as long as its cases take; none of its tasks may panic.
fn run(test: impl Future<Output = ()>) {
    let before = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Relaxed);
        before(info);
    }));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
    assert_eq!(PANICS.load(Relaxed), 0);
}

fn cases() -> Vec<Vec<Mutation>> {
    let mut runner = TestRunner::new(fixed_seed());
    let cases = runner.config().cases;
    let next = |_| mutations().new_tree(&mut runner).expect("a case").current();
    (0..cases).map(next).collect()
}

fn requests() -> [&'static str; 3] {
    [
        "GET /one/x?y=1 HTTP/1.1\r\nhost: h\r\nx-id: q7\r\nx-deadline: 500\r\n\r\n",
        "POST http://h:80/one/x HTTP/1.1\r\nhost: h\r\nx-id: q7\r\ncontent-length: 5\r\n\
         expect: 100-continue\r\n\r\nabcde",
        "POST /one/x HTTP/1.1\r\nhost: h\r\nx-id: q7\r\nconnection: x-hop, keep-alive\r\n\
         transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2;a=b\r\nde\r\n0\r\nx-t: 1\r\n\r\n",
    ]
}

/// Sends bytes, then ends the connection's own side, and returns what comes back.
async fn send(host: &TestHost, bytes: Vec<u8>) -> impl Future<Output = Vec<u8>> + use<> {
    let mut stream = host.connect().await;
    async move {
        let mut answer = Vec::new();
        // The host may have refused the rest.
        let _ = stream.write_all(&bytes).await;
        let read = timeout(CASE_TIMEOUT, stream.read_to_end(&mut answer)).await;
        assert!(read.is_ok(), "neither answered nor closed: {}", bytes.escape_ascii());
        answer
    }
}

#[test]
fn damaged_requests_are_answered_or_closed() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &one);
        let cases = cases();
        for batch in cases.chunks(AT_ONCE) {
            let mut sent = JoinSet::new();
            for (index, mutations) in batch.iter().enumerate() {
                let request = requests()[index % requests().len()];
                sent.spawn_local(send(&host, mutated(request.as_bytes(), mutations)).await);
            }
            while let Some(answer) = sent.join_next().await {
                let answer = answer.expect("not ended by a panic");
                let text = String::from_utf8_lossy(&answer);
                let is_answer = text.starts_with("HTTP/1.1 ") && status(&text) >= 100;
                assert!(text.is_empty() || is_answer, "{text}");
            }
        }
        assert_eq!(status(&host.get("/one/x").await), 200);
        assert!(!host.ended.is_finished());
    });
}

#[test]
fn damaged_answers_reach_no_caller_in_part() {
    run(async {
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        let sound = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        host.list("s", "sound", &sound);
        let answer = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: sig\r\nx-load: 1,2\r\nx-cold: 5\r\n\
                      x-limit: 50.5\r\nx-leaving: 0\r\nretry-after: 0.5\r\ncontent-length: 3\r\n\r\nyes";
        for (index, mutations) in cases().iter().enumerate() {
            let bytes = mutated(answer.as_bytes(), mutations);
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let odd = target(vec![Reply::BytesThenClose(text.clone())]).await;
            let (service, path) = (format!("odd{index}"), format!("/odd{index}/"));
            let destination = Destination::Service(service.as_str().into());
            host.route(&path, Repeat::AtMostOnce, destination);
            host.list(&service, &service, &odd);
            let request =
                format!("GET {path} HTTP/1.1\r\nhost: h\r\nx-id: q\r\nconnection: close\r\n\r\n");
            let answer = send(&host, request.into_bytes()).await.await;
            let head = String::from_utf8_lossy(&answer);
            assert!(status(&head) >= 200, "{text:?}: {head:?}");
            // The whole body, by its own length.
            let end = answer.windows(4).position(|it| it == b"\r\n\r\n").expect("a head") + 4;
            let length = header(&head, "content-length").and_then(|it| it.parse().ok());
            assert_eq!(length, Some(answer.len() - end), "{text:?}: {head:?}");
        }
        assert_eq!(status(&host.get("/one/x").await), 200);
        assert!(!host.ended.is_finished());
    });
}
