//! Targets that send bytes without end in answer to calls beside queries: the call fails, and
//! what came is not kept.

use std::time::Duration;

use assert_matches::assert_matches;
use base::AttemptId;
use owner::{HttpProtocol, ProtocolError, TargetProtocol};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::timeout,
};

/// Limit on the time until a call gives up, far longer than it takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

const PIECE: &[u8] = &[b' '; 16 * 1024];

/// Number of pieces after which the target closes, so that a caller that keeps them all doesn't
/// take the machine's memory.
const MAX_PIECES: usize = 4_096;

/// Starts a target that answers each call with `head` and then with blanks, nearly without end,
/// and returns a connection to it.
async fn connect(head: &'static str) -> <HttpProtocol as TargetProtocol>::Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4_096];
            let _ = stream.read(&mut buf).await;
            let mut sent = stream.write_all(head.as_bytes()).await;
            for _ in 0..MAX_PIECES {
                if sent.is_err() {
                    break;
                }
                sent = stream.write_all(PIECE).await;
            }
        }
    });
    HttpProtocol.connection(address).expect("a connection")
}

const HEADS: [&str; 2] =
    ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n"];

/// Guards against processes that keep what a faulty target sends until memory runs out.
#[tokio::test]
async fn a_load_report_without_end_is_an_error() {
    for head in HEADS {
        let connection = connect(head).await;
        let report = timeout(CALL_TIMEOUT, HttpProtocol.report(&connection)).await;
        assert_matches!(report, Ok(Err(ProtocolError::TooLong(_))));
    }
}

#[tokio::test]
async fn an_answer_without_end_to_a_cancellation_is_an_error() {
    for head in HEADS {
        let connection = connect(head).await;
        let attempt = AttemptId(1);
        let cancelled = timeout(CALL_TIMEOUT, HttpProtocol.cancel(&connection, attempt)).await;
        assert_matches!(cancelled, Ok(Err(ProtocolError::TooLong(_))));
    }
}
