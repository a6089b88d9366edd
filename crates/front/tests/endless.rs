//! Targets that send bytes without end: the request ends as a failure, and the
//! connection is closed.

mod support;

use std::time::Duration;

use forward::Repeat;
use support::{Reply, TestHost, run, status, target};
use tokio::time::sleep;

/// Size of each piece that a target writes.
const PIECE_BYTES: usize = 16 * 1024;

fn endless_answers() -> Vec<Reply> {
    let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\n";
    let piece = "a".repeat(PIECE_BYTES);
    vec![
        // No answer at all.
        Reply::Endless(String::new(), piece.clone()),
        Reply::Endless(String::new(), "\r\n".repeat(PIECE_BYTES)),
        // A field, and a head, that do not end.
        Reply::Endless(format!("{head}x-long: "), piece.clone()),
        Reply::Endless(head.to_owned(), "x-more: yes\r\n".repeat(1_000)),
        // Bodies without a length, with chunks, and with a length beyond all limits.
        Reply::Endless(format!("{head}\r\n"), piece.clone()),
        Reply::Endless(
            format!("{head}transfer-encoding: chunked\r\n\r\n"),
            format!("{PIECE_BYTES:x}\r\n{piece}\r\n"),
        ),
        // Chunks of one byte, which cost more than it.
        Reply::Endless(
            format!("{head}transfer-encoding: chunked\r\n\r\n"),
            format!("{:032x}\r\na\r\n", 1).repeat(1_000),
        ),
        Reply::Endless(format!("{head}content-length: 999999999999\r\n\r\n"), piece.clone()),
        // Interim answers one after the other, a chunk's extension, and fields behind a body.
        Reply::Endless(String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000)),
        Reply::Endless(format!("{head}transfer-encoding: chunked\r\n\r\n1;x="), piece),
        Reply::Endless(
            format!("{head}transfer-encoding: chunked\r\n\r\n0\r\n"),
            "x-more: yes\r\n".repeat(1_000),
        ),
    ]
}

#[test]
fn an_answer_without_end_is_no_answer_and_its_connection_is_closed() {
    for repeat in [Repeat::AtMostOnce, Repeat::Idempotent] {
        for reply in endless_answers() {
            run(async move {
                let one = target(vec![reply]).await;
                let mut host = TestHost::start();
                host.single(repeat);
                host.list("s", "t1", &one);
                let answer = host.get("/one/x").await;
                assert!(matches!(status(&answer), 502 | 504), "{answer}");
                assert_eq!(one.requests(), 1);
                while *one.abandoned.borrow() < 1 {
                    sleep(Duration::from_millis(10)).await;
                }
            });
        }
    }
}

/// Extra bytes behind a complete answer, without end: the answer is the caller's, and
/// the connection is not used again.
#[test]
fn bytes_without_end_behind_an_answer_belong_to_no_request() {
    run(async {
        let piece = "HTTP/1.1 200 OK\r\nx-id: q0\r\nx-stamp: s\r\ncontent-length: 5\r\n\r\nother";
        let first = support::ok("s", "right");
        let one = target(vec![Reply::Endless(first, piece.repeat(200))]).await;
        let mut host = TestHost::start();
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &one);
        for _ in 0..3 {
            let answer = host.get("/one/x").await;
            assert_eq!((status(&answer), support::body(&answer)), (200, "right"));
        }
        while *one.abandoned.borrow() < 3 {
            sleep(Duration::from_millis(10)).await;
        }
    });
}
