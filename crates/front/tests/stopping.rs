//! Graceful shutdown, as seen by callers.

mod support;

use std::time::Duration;

use forward::Repeat;
use support::{Reply, TestHost, header, ok, read_message, run, status, target};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

const REQUEST: &[u8] = b"GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q1\r\n\r\n";

/// Default of the setting `shutdown_timeout`.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(6);

#[test]
fn a_graceful_shutdown_fails_no_request() {
    run(async {
        let one = target(vec![
            Reply::Bytes(ok("s", "yes")),
            Reply::Later(Duration::from_millis(600), ok("s", "slow")),
            Reply::Bytes(ok("s", "yes")),
        ])
        .await;
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &one);
        host.retain_targets(&["t1"]);
        let mut kept = host.connect().await;
        kept.write_all(REQUEST).await.expect("written");
        let before = read_message(&mut kept).await.unwrap_or_default();
        assert_eq!((status(&before), header(&before, "connection")), (200, None));
        let mut slow = host.connect().await;
        slow.write_all(REQUEST).await.expect("written");
        while one.requests() < 2 {
            sleep(Duration::from_millis(5)).await;
        }

        let started = Instant::now();
        host.stop();
        sleep(Duration::from_millis(20)).await;
        assert!(!host.cx.is_ready());
        // A request in progress, an idle connection and a new one are served.
        let answer = read_message(&mut slow).await.unwrap_or_default();
        assert_eq!(
            (status(&answer), header(&answer, "connection").as_deref()),
            (200, Some("close"))
        );
        kept.write_all(REQUEST).await.expect("written");
        let answer = read_message(&mut kept).await.unwrap_or_default();
        assert_eq!(
            (status(&answer), header(&answer, "connection").as_deref()),
            (200, Some("close"))
        );
        assert_eq!(status(&host.get("/one/x").await), 200);

        let ended = timeout(SHUTDOWN_TIMEOUT, &mut host.ended).await;
        assert!(ended.is_ok(), "still running after {:?}", started.elapsed());
        assert!(TcpStream::connect(host.callers).await.is_err());
    });
}

#[test]
fn an_idle_connection_does_not_delay_the_shutdown() {
    run(async {
        let mut host = TestHost::start();
        let idle = host.connect().await;
        host.stop();
        assert!(timeout(SHUTDOWN_TIMEOUT, &mut host.ended).await.is_ok());
        drop(idle);
    });
}
