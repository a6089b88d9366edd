//! Targets that say in their answers that they leave.

mod support;

use std::time::Duration;

use forward::{Destination, Repeat, TargetReport, budget::RetryLimits, placement::Limits};
use support::{
    Reply, Target, TestHost, announce, header, not_run, ok, own_address, read_message, relayed,
    report, run, shed, status, target,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep, sleep_until},
};

const LEAVING_FOR: Duration = Duration::from_millis(1_000);
const MARGIN: Duration = Duration::from_millis(50);

fn says(answer: &str, field: &str) -> Vec<Reply> {
    vec![Reply::Bytes(answer.replacen("x-id: ", &format!("{field}\r\nx-id: "), 1))]
}

fn leaving() -> Vec<Reply> {
    says(&ok("s", "yes"), "x-leaving: 1")
}

fn host() -> TestHost {
    let mut host = TestHost::start();
    host.cx.set_limits(limits());
    host.single(Repeat::AtMostOnce);
    host
}

fn limits() -> Limits {
    Limits {
        retry: RetryLimits { ratio: 0.05, window: Duration::from_secs(10), slack: 10.0 },
        cold_ratio: 1.0,
        cold_slack: 0.0,
        cross_domain: Duration::from_millis(2),
        leaving_for: LEAVING_FOR,
    }
}

async fn get(host: &TestHost, times: usize) {
    for _ in 0..times {
        assert_eq!(status(&host.get("/one/x").await), 200);
    }
}

/// Guards against requests to a target that said in an answer that it leaves, though the
/// source lists it as sound: others get them at once.
#[test]
fn a_target_that_says_that_it_leaves_gets_nothing_more_while_others_serve() {
    for answer in [ok("s", "yes"), shed()] {
        run(async move {
            let one = target(says(&answer, "x-leaving: 1")).await;
            let two = target(vec![Reply::Bytes(ok("s", "yes"))]).await;
            let host = host();
            host.list("s", "t1", &one);
            host.list("s", "t2", &two);
            while one.requests() == 0 {
                get(&host, 1).await;
            }
            let listed = TargetReport { sequence: 2, ..report("s", "t1", one.address) };
            host.cx.update_target(listed, Duration::ZERO);
            get(&host, 6).await;
            assert_eq!(one.requests(), 1);
        });
    }
}

/// Guards against requests that a target gets after the time for which a leaving one may be
/// used: then they are refused at once.
#[test]
fn a_service_whose_only_target_leaves_is_served_as_long_as_allowed_and_then_refused() {
    run(async {
        let one = target(leaving()).await;
        let host = host();
        host.list("s", "t1", &one);
        get(&host, 1).await;
        let said = Instant::now();
        sleep(LEAVING_FOR / 2).await;
        get(&host, 1).await;
        let listed = TargetReport { sequence: 2, ..report("s", "t1", one.address) };
        host.cx.update_target(listed, Duration::ZERO);
        sleep_until(said + LEAVING_FOR + MARGIN).await;
        let (asked, sent) = (Instant::now(), one.requests());
        assert_eq!(status(&host.get("/one/x").await), 503);
        assert!(asked.elapsed() < Duration::from_millis(200), "{:?}", asked.elapsed());
        assert_eq!(one.requests(), sent);
    });
}

/// A target that starts again under the same name is another incarnation.
#[test]
fn a_new_incarnation_is_used_again() {
    run(async {
        let (one, again): (Target, Target) =
            (target(leaving()).await, target(vec![Reply::Bytes(ok("s", "yes"))]).await);
        let host = host();
        host.list("s", "t1", &one);
        get(&host, 1).await;
        let born = TargetReport { born: Some(9), ..report("s", "t1", again.address) };
        host.cx.update_target(born, Duration::ZERO);
        sleep(LEAVING_FOR + MARGIN).await;
        get(&host, 1).await;
        assert_eq!(again.requests(), 1);
    });
}

#[test]
fn a_value_that_is_not_understood_says_nothing() {
    for field in ["x-leaving: 0", "x-leaving: soon", "x-leaving: "] {
        run(async move {
            let one = target(says(&ok("s", "yes"), field)).await;
            let host = host();
            host.list("s", "t1", &one);
            get(&host, 1).await;
            sleep(LEAVING_FOR + MARGIN).await;
            get(&host, 1).await;
        });
    }
}

/// Passes a request on to a sender as another host does.
async fn pass_on(sender: &TestHost, path: &str) -> String {
    let mut stream = loop {
        match TcpStream::connect(sender.peers).await {
            Ok(stream) => break stream,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    };
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: h\r\nx-id: q7\r\nx-deadline: 500\r\n\
         relay-age-us: 0\r\nrelay-version: 1\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("written");
    read_message(&mut stream).await.expect("an answer")
}

/// Guards against hosts that pass an answer of a leaving target on and cannot tell which one
/// it is.
#[test]
fn a_sender_names_the_targets_that_said_that_they_leave() {
    run(async {
        let one = target(leaving()).await;
        let two = target(vec![Reply::Bytes(ok("t", "yes"))]).await;
        let mut sender = TestHost::start();
        sender.gather_over(2, 1.0);
        let born = TargetReport { born: Some(7), ..report("s0", "t, \"1\"", one.address) };
        sender.cx.update_target(born, Duration::ZERO);
        sender.list("s1", "t2", &two);
        let answer = pass_on(&sender, "/all/x").await;
        assert_eq!(status(&answer), 200);
        let named = header(&answer, "relay-leaving").expect("named");
        assert!(named.starts_with(r#"[{"name":"t, \"1\"","born":7,"age_ms":"#), "{named}");
        assert!(!named.contains("t2"), "{named}");
        // Hosts that don't know the field remove it for this.
        assert!(answer.contains("connection: relay-leaving\r\n"), "{answer}");
    });
}

/// Returns a host that has passed on an answer in which a sender names targets that leave.
async fn host_with_answer(named: &str) -> TestHost {
    let answer = relayed("200 OK", "done", "relayed");
    let field = format!("connection: relay-leaving\r\nrelay-leaving: {named}\r\nrelay-outcome");
    let sender = target(vec![Reply::Bytes(answer.replace("relay-outcome", &field))]).await;
    let other = target(vec![not_run()]).await;
    let mut host = TestHost::start_with_capacity(own_address(), Vec::new(), 100);
    host.cx.set_limits(limits());
    host.wait_for_hosts(1).await;
    announce(host.peers, sender.address).await;
    announce(host.peers, other.address).await;
    host.wait_for_hosts(3).await;
    host.max_connections = 1;
    host.single(Repeat::Idempotent);
    while sender.requests() == 0 {
        let answer = host.get("/one/x").await;
        assert_eq!(header(&answer, "relay-leaving"), None, "{answer}");
    }
    // From now on it sends to targets itself.
    host.max_connections = 16;
    host.route("/two/", Repeat::Idempotent, Destination::Service("s".to_owned().into()));
    while host.gauge("front_senders").await != Some(0) {
        sleep(Duration::from_millis(20)).await;
    }
    host
}

/// Guards against requests that a host sends itself to a target of which it has passed on an
/// answer, through a sender, that says that the target leaves.
#[test]
fn a_host_learns_from_a_sender_which_targets_leave() {
    let cases = [
        (r#"[{"name":"t1","born":7,"age_ms":0,"later":1}]"#, false),
        (r#"[{"name":"t0","born":1,"age_ms":0},{"name":"t1","born":7,"age_ms":99999}]"#, false),
        (r#"[{"name":"t1","born":6,"age_ms":0}]"#, true),
        (r#"[{"name":"t1","born":null,"age_ms":0}]"#, true),
        (r#"[{"name":"t1"}]"#, true),
        ("soon", true),
    ];
    for (named, is_used) in cases {
        run(async move {
            let leaf = target(vec![Reply::Bytes(ok("sig", "direct"))]).await;
            let host = host_with_answer(named).await;
            let listed = TargetReport { born: Some(7), ..report("s", "t1", leaf.address) };
            host.cx.update_target(listed, Duration::ZERO);
            sleep(LEAVING_FOR + MARGIN).await;
            host.get("/two/x").await;
            assert_eq!(leaf.requests(), usize::from(is_used), "{named}");
        });
    }
}
