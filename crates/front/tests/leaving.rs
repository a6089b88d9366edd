//! Targets that say in their answers that they leave.

mod support;

use std::{rc::Rc, time::Duration};

use forward::{Destination, Repeat, TargetReport, budget::RetryLimits, placement::Limits};
use support::{
    Reply, Target, TestHost, announce, header, not_run, ok, own_address, read_message, relayed,
    report, run, shed, source::ScriptedSource, status, target,
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
            assert_eq!(host.gauge("front_targets_leaving").await, Some(1));
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

/// Guards against requests to a target that said that it leaves, and whose entry is back as it
/// was before, as the source was restored after the host had forgotten the entry.
#[test]
fn a_restored_source_does_not_take_back_what_a_target_said() {
    run(async {
        let one = target(leaving()).await;
        let source = Rc::new(ScriptedSource::default());
        source.list(report("s", "t1", one.address));
        for (name, port) in [("t2", 1), ("t3", 2)] {
            source.list(report("other", name, ([127, 0, 0, 1], port).into()));
        }
        let host = host();
        host.follow_targets(&source);
        while status(&host.get("/one/x").await) != 200 {
            sleep(Duration::from_millis(20)).await;
        }
        source.remove("t1");
        while host.gauge("front_targets").await != Some(2) {
            sleep(Duration::from_millis(50)).await;
        }
        let sent = one.requests();
        source.restore(1, true);
        // The entry of the first target is dropped again soon; this one stays.
        source.list(report("other", "t4", ([127, 0, 0, 1], 3).into()));
        while host.gauge("front_targets").await < Some(3) {
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(status(&host.get("/one/x").await), 503);
        assert_eq!(one.requests(), sent);
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
        let for_hop = header(&answer, "connection").expect("named");
        assert!(for_hop.split(", ").any(|it| it == "relay-leaving"), "{answer}");
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
        (r#"[{"name":"t1","born":null,"age_ms":0}]"#, false),
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

/// Returns whether a target still gets requests long after it gave its first reply to one,
/// and then sound ones.
async fn is_used_after(reply: Reply) -> bool {
    let one = target(vec![reply, Reply::Bytes(ok("s", "yes"))]).await;
    let host = host();
    host.list("s", "t1", &one);
    host.get("/one/x").await;
    assert_eq!(one.requests(), 1);
    sleep(LEAVING_FOR + MARGIN).await;
    host.get("/one/x").await;
    one.requests() == 2
}

/// Guards against targets whose word that they leave is lost with an answer that no caller
/// gets.
#[test]
fn answers_that_cannot_be_used_say_that_their_target_leaves() {
    let whole = ok("s", "yes").replacen("x-id: ", "x-leaving: 1\r\nx-id: ", 1);
    let half = whole.replace("yes", "y");
    let replies = [
        Reply::Bytes(whole.replace("x-stamp", "content-encoding: gzip\r\nx-stamp")),
        Reply::Bytes(whole.replace("x-stamp", "x-other")),
        Reply::Bytes(whole.replace("200 OK", "500 Error")),
        Reply::Bytes(whole.replace("x-leaving", "x-leaving: 0\r\nx-leaving")),
        Reply::Bytes(whole.replace("200 OK", "429 Many").replace("x-stamp", "x-not-run")),
        Reply::BytesThenClose(half.clone()),
        Reply::BytesThenReset(half.clone()),
        // The rest never comes.
        Reply::Bytes(half),
    ];
    for reply in replies {
        run(async move { assert!(!is_used_after(reply.clone()).await, "{reply:?}") });
    }
}

/// Guards against targets that are left out for the word of others: an answer to another
/// request may be anyone's.
#[test]
fn an_answer_to_another_request_does_not_say_that_the_target_leaves() {
    let whole = ok("s", "yes").replacen("x-id: ", "x-leaving: 1\r\nx-id: ", 1);
    for other in [whole.replace("{id}", "q0"), whole.replace("x-id: {id}\r\n", "")] {
        run(async move { assert!(is_used_after(Reply::Bytes(other)).await) });
    }
}

/// Guards against a target that is left out as another one has its address, and leaves.
#[test]
fn a_target_at_a_reused_address_does_not_speak_for_the_one_before() {
    run(async {
        let other = shed().replace("503 Service Unavailable", "421 Misdirected Request");
        let one = target(says(&other, "x-leaving: 1")).await;
        let moved = target(vec![Reply::Bytes(ok("s", "yes"))]).await;
        let host = host();
        let listed = TargetReport { born: Some(7), ..report("s", "t1", one.address) };
        host.cx.update_target(listed.clone(), Duration::ZERO);
        assert_eq!(status(&host.get("/one/x").await), 503);
        let listed = TargetReport { address: moved.address, sequence: 2, ..listed };
        host.cx.update_target(listed, Duration::ZERO);
        sleep(LEAVING_FOR + MARGIN).await;
        get(&host, 1).await;
        assert_eq!((one.requests(), moved.requests()), (1, 1));
    });
}

/// The caller left before the answer came.
#[test]
fn a_late_answer_says_that_its_target_leaves() {
    run(async {
        let whole = ok("s", "yes").replacen("x-id: ", "x-leaving: 1\r\nx-id: ", 1);
        let one = target(vec![Reply::Later(Duration::from_millis(150), whole)]).await;
        let mut host = host();
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &one);
        let mut caller = host.connect().await;
        let request = b"GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q1\r\n\r\n";
        caller.write_all(request).await.expect("written");
        while one.requests() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        drop(caller);
        sleep(LEAVING_FOR + MARGIN * 5).await;
        assert_eq!((status(&host.get("/one/x").await), one.requests()), (503, 1));
    });
}

#[test]
fn the_answer_to_a_health_request_says_that_its_target_leaves() {
    run(async {
        let mut replies = says(&ok("s", "yes"), "x-other: 1");
        replies.extend(says(&ok("s", "yes").replace("200 OK", "503 Unwell"), "x-leaving: 1"));
        let one = target(replies).await;
        let mut host = host();
        host.warmup_rate = Some(100.0);
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &one);
        get(&host, 1).await;
        while one.requests() == 1 {
            sleep(Duration::from_millis(20)).await;
        }
        assert!(one.received.borrow()[1].starts_with("GET /health "));
        sleep(LEAVING_FOR + MARGIN).await;
        assert_eq!(status(&host.get("/one/x").await), 503);
        assert!(one.received.borrow()[1..].iter().all(|it| it.starts_with("GET /health ")));
    });
}

/// Guards against requests that wait for a connection to targets that get no more requests:
/// one was refused with each sweep.
#[test]
fn requests_that_wait_are_refused_at_once_when_their_last_target_has_left() {
    const WAITING: usize = 30;
    run(async {
        // Such requests take long, so the target is not silent before it has left.
        let whole = ok("s", "yes").replacen("x-id: ", "x-leaving: 1\r\nx-id: ", 1);
        let later = |times| Reply::Later(LEAVING_FOR * times, whole.clone());
        let one = target(vec![later(1), later(4)]).await;
        let mut host = TestHost::start();
        host.cx.set_limits(limits());
        host.max_connections = 1;
        host.objective = LEAVING_FOR * 6;
        host.single(Repeat::AtMostOnce);
        host.list("s", "t1", &one);
        get(&host, 1).await;
        let said = Instant::now();
        let mut callers = Vec::new();
        for _ in 0..=WAITING {
            let mut caller = host.connect().await;
            let request = b"GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q1\r\n\r\n";
            caller.write_all(request).await.expect("written");
            callers.push(caller);
            sleep(Duration::from_millis(2)).await;
        }
        for caller in &mut callers[1..] {
            let answer = read_message(caller).await.expect("an answer");
            assert_eq!(status(&answer), 503);
            assert!(header(&answer, "retry-after").is_some(), "{answer}");
        }
        assert!(said.elapsed() > LEAVING_FOR, "{:?}", said.elapsed());
        assert!(said.elapsed() < LEAVING_FOR * 2, "{:?}", said.elapsed());
        assert_eq!(one.requests(), 2);
    });
}

/// Guards against hosts that learn of a leave from their own requests alone: others, and one
/// that starts later, send to a target that the source lists as sound.
#[test]
fn hosts_tell_each_other_of_targets_that_leave() {
    run(async {
        let one = target(leaving()).await;
        let first = host();
        let second = TestHost::start_with_seeds(own_address(), vec![first.peers]);
        let mut hosts = vec![first, second];
        for host in &mut hosts[1..] {
            host.cx.set_limits(limits());
            host.single(Repeat::AtMostOnce);
        }
        for host in &hosts {
            host.wait_for_hosts(2).await;
            host.list("s", "t1", &one);
        }
        get(&hosts[0], 1).await;
        sleep(LEAVING_FOR * 2).await;
        let mut later = TestHost::start_with_seeds(own_address(), vec![hosts[0].peers]);
        later.cx.set_limits(limits());
        later.single(Repeat::AtMostOnce);
        later.wait_for_hosts(3).await;
        later.list("s", "t1", &one);
        for host in [&hosts[1], &later] {
            assert_eq!(status(&host.get("/one/x").await), 503);
        }
        assert_eq!(one.requests(), 1);
    });
}
