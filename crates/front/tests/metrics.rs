//! The metrics page, compared with the documentation of metrics.

mod support;

use std::{rc::Rc, time::Duration};

use forward::{Configuration, Repeat};
use support::{Reply, TestHost, body, ok, read_message, run, source::ScriptedSource, target};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

#[test]
fn each_metric_is_served_and_documented() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &one);
        host.get("/one/x").await;
        // No targets of these shards are known.
        host.gather(1.0);
        host.get("/all/x").await;
        let mut stream = TcpStream::connect(host.metrics).await.expect("connected");
        stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("written");
        let answer = read_message(&mut stream).await.unwrap_or_default();
        let text = body(&answer);
        assert!(text.contains("result=\"answered\""), "{text}");
        assert!(text.contains("kind=\"single\",outcome=\"answered\""), "{text}");
        let reason = "front_refusals_total{reason=\"too few targets can be reached\"";
        assert!(text.contains(reason), "{text}");
        let page = include_str!("../../../docs/METRICS.md");
        for line in text.lines().filter(|it| it.starts_with("# TYPE front_")) {
            let name = line.split(' ').nth(2).unwrap_or_default();
            let name = name.trim_end_matches("_total");
            assert!(page.contains(&format!("`{name}`")), "{name} is not documented");
        }
    });
}

/// Guards against hosts on an old configuration that look like all others.
#[test]
fn the_age_of_the_configuration_grows_while_the_source_is_silent() {
    const SILENCE: Duration = Duration::from_millis(700);
    run(async {
        let source = Rc::new(ScriptedSource::default());
        source.publish(Configuration { version: 1, ..Configuration::default() });
        let host = TestHost::start();
        host.follow_configuration(&source);
        while host.gauge("front_configuration_version").await != Some(1) {
            sleep(Duration::from_millis(20)).await;
        }
        source.cut_off();
        sleep(SILENCE).await;
        let age = host.gauge("front_configuration_age_ms").await;
        assert!(age >= Some(SILENCE.as_millis() as u64), "{age:?}");
    });
}
