//! A graceful shutdown as callers see it.

mod stage;

use std::time::Duration;

use forward::Repeat;
use stage::{Reply, Stage, header, ok, read_message, run, status, target};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

const REQUEST: &[u8] = b"GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q1\r\n\r\n";

/// Longest that the stage's settings let a stop take.
const STOP_WITHIN: Duration = Duration::from_secs(6);

#[test]
fn a_stop_fails_no_request() {
    run(async {
        let one = target(vec![
            Reply::Bytes(ok("s", "yes")),
            Reply::Later(Duration::from_millis(600), ok("s", "slow")),
            Reply::Bytes(ok("s", "yes")),
        ])
        .await;
        let mut stage = Stage::start();
        stage.single(Repeat::Idempotent);
        stage.list("s", "t1", &one);
        stage.targets_are_listed(&["t1"]);
        let mut kept = stage.connect().await;
        kept.write_all(REQUEST).await.expect("written");
        let before = read_message(&mut kept).await.unwrap_or_default();
        assert_eq!((status(&before), header(&before, "connection")), (200, None));
        let mut slow = stage.connect().await;
        slow.write_all(REQUEST).await.expect("written");
        while one.requests() < 2 {
            sleep(Duration::from_millis(5)).await;
        }

        let started = Instant::now();
        stage.stop();
        sleep(Duration::from_millis(20)).await;
        assert!(!stage.cx.is_ready());
        // What was in progress, a kept connection and a new one are served.
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
        assert_eq!(status(&stage.get("/one/x").await), 200);

        let ended = timeout(STOP_WITHIN, &mut stage.ended).await;
        assert!(ended.is_ok(), "still running after {:?}", started.elapsed());
        assert!(TcpStream::connect(stage.callers).await.is_err());
    });
}

#[test]
fn a_caller_that_never_ends_does_not_hold_up_the_stop() {
    run(async {
        let mut stage = Stage::start();
        let idle = stage.connect().await;
        stage.stop();
        assert!(timeout(STOP_WITHIN, &mut stage.ended).await.is_ok());
        drop(idle);
    });
}
