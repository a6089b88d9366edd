//! Tests faults of the simulated targets as a client sees them on a TCP connection.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use assert_matches::assert_matches;
use documents::{Pool, Target};
use serde_json::json;
use standins::targets::{TargetChange, TargetCommand, TargetSet};

/// Read timeout, so that a missing response does not block a test.
const TIMEOUT: Duration = Duration::from_secs(10);
const ATTEMPT: &str = "000000000000000000000000000000aa";

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn start() -> (TargetSet, SocketAddr) {
    let address = free_address();
    let target = Target {
        name: "planeador-0-a".into(),
        pool: "planeador".into(),
        shard: base::ShardId(0),
        domain: "bajio-a".into(),
        address,
        slots: 2,
        connections: 4,
        cold_slots: 1,
        leaving: false,
    };
    let pool = Pool {
        name: "planeador".into(),
        team: "planeacion".into(),
        map: 1,
        shards: 1,
        targets: vec![Arc::new(target)],
    };
    let set = TargetSet::new(&[pool], 7);
    set_knobs(&set, json!({"service-ms": 1.0, "distribution": "constant"}));
    set.spawn();
    (set, address)
}

fn set_knobs(set: &TargetSet, knobs: serde_json::Value) {
    set.apply(&TargetChange { set: Some(knobs), ..TargetChange::default() }).unwrap();
}

fn command(set: &TargetSet, command: TargetCommand) {
    set.apply(&TargetChange { commands: vec![command], ..TargetChange::default() }).unwrap();
}

fn connect(address: SocketAddr) -> TcpStream {
    let mut tries = 0;
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => {
                stream.set_read_timeout(Some(TIMEOUT)).unwrap();
                return stream;
            }
            Err(err) if tries > 500 => panic!("no listener: {err}"),
            Err(_) => tries += 1,
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn send(stream: &mut TcpStream, snapshot: &str, deadline_ms: u64, body: &str) {
    try_send(stream, snapshot, deadline_ms, body).unwrap();
}

fn try_send(
    stream: &mut TcpStream,
    snapshot: &str,
    deadline_ms: u64,
    body: &str,
) -> io::Result<()> {
    let text = format!(
        "POST /v1/query HTTP/1.1\r\ngodwityard-attempt: {ATTEMPT}\r\ngodwityard-service: s\r\n\
         godwityard-shard: 0\r\ngodwityard-snapshot: {snapshot}\r\n\
         godwityard-deadline-ms: {deadline_ms}\r\ngodwityard-idempotent: true\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Reads one complete response. Returns a partial one if the connection closes or
/// the read times out.
fn receive(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buf = [0; 4096];
    loop {
        let read = stream.read(&mut buf).unwrap_or(0);
        text.push_str(std::str::from_utf8(&buf[..read]).unwrap());
        if read == 0 || is_complete(&text) {
            return text;
        }
    }
}

fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let len = head.lines().find_map(|it| it.strip_prefix("content-length: "));
    len.is_some_and(|it| it.parse::<usize>().unwrap() == body.len())
}

/// Returns the response, an empty one if the connection is reset before the request
/// is written.
fn query(address: SocketAddr, body: &str) -> String {
    let mut stream = connect(address);
    try_send(&mut stream, "1.1", 5_000, body)
        .map_or_else(|_| String::new(), |()| receive(&mut stream))
}

/// Sends queries until one is answered. The first connections after a restart may
/// still reach the listener of the previous incarnation, which resets them.
fn query_until_answered(address: SocketAddr, body: &str) {
    while !query(address, body).starts_with("HTTP/1.1 200") {}
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_contains_attempt_snapshot_and_key() {
    let (set, address) = start();
    let text = tokio::task::spawn_blocking(move || query(address, "k1 body")).await.unwrap();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(text.contains(&format!("godwityard-attempt: {ATTEMPT}")), "{text}");
    assert!(text.contains("godwityard-snapshot: 1.1"), "{text}");
    assert!(text.contains("\"key\":\"k1\""), "{text}");
    let runs = set.runs();
    assert_matches!(runs.as_slice(), [run] if run.key == "k1" && run.count == 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn snapshot_not_held_is_refused_as_not_run() {
    let (set, address) = start();
    let text = tokio::task::spawn_blocking(move || {
        let mut stream = connect(address);
        send(&mut stream, "1.9", 5_000, "k");
        receive(&mut stream)
    });
    let text = text.await.unwrap();
    assert!(text.starts_with("HTTP/1.1 409"), "{text}");
    assert!(text.contains("godwityard-outcome: not_run"), "{text}");
    assert_eq!(set.records()[0].started, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn overloaded_cold_target_crashes() {
    let (set, address) = start();
    command(&set, TargetCommand::Down);
    command(&set, TargetCommand::Up);
    let client_set = set.clone();
    let texts = tokio::task::spawn_blocking(move || {
        query_until_answered(address, "k0");
        set_knobs(&client_set, json!({"service-ms": 500.0, "fall-ms": 100}));
        let mut first = connect(address);
        let mut second = connect(address);
        send(&mut first, "1.1", 5_000, "k1");
        send(&mut second, "1.1", 5_000, "k2");
        let texts = [receive(&mut first), receive(&mut second)];
        connect(address);
        texts
    });
    let texts = texts.await.unwrap();
    assert_eq!(texts, ["", ""]);
    let record = &set.records()[0];
    assert_eq!(record.cold_overload_events, 1);
    assert_eq!(record.incarnation, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn overload_after_turn_cold_is_counted_separately() {
    let (set, address) = start();
    set_knobs(&set, json!({"service-ms": 500.0, "fall-ms": 100}));
    command(&set, TargetCommand::TurnCold);
    let task = tokio::task::spawn_blocking(move || {
        let mut first = connect(address);
        let mut second = connect(address);
        send(&mut first, "1.1", 5_000, "k1");
        send(&mut second, "1.1", 5_000, "k2");
        [receive(&mut first), receive(&mut second)]
    });
    assert_eq!(task.await.unwrap(), ["", ""]);
    let record = &set.records()[0];
    assert_eq!((record.cold_overload_events, record.turned_cold_overload_events), (0, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_query_kills_the_target() {
    let (set, address) = start();
    set_knobs(&set, json!({"fall-ms": 50}));
    let text = tokio::task::spawn_blocking(move || {
        let text = query(address, "CRASH-1");
        query_until_answered(address, "k");
        text
    });
    assert_eq!(text.await.unwrap(), "");
    assert_eq!(set.records()[0].crashes, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_hang_while_new_ones_work() {
    let (set, address) = start();
    let client_set = set.clone();
    let task = tokio::task::spawn_blocking(move || {
        let mut old = connect(address);
        send(&mut old, "1.1", 5_000, "k1");
        receive(&mut old);
        command(&client_set, TargetCommand::Silence);
        send(&mut old, "1.1", 5_000, "k2");
        let fresh = query(address, "k3");
        old.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        (receive(&mut old), fresh)
    });
    let (old, fresh) = task.await.unwrap();
    assert_eq!(old, "");
    assert!(fresh.starts_with("HTTP/1.1 200"), "{fresh}");
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_ends_a_run() {
    let (set, address) = start();
    set_knobs(&set, json!({"service-ms": 60_000.0}));
    let text = tokio::task::spawn_blocking(move || {
        let mut stream = connect(address);
        send(&mut stream, "1.1", 30, "k");
        receive(&mut stream)
    });
    let text = text.await.unwrap();
    assert!(text.starts_with("HTTP/1.1 504"), "{text}");
    assert!(text.contains("godwityard-outcome: may_have_run"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_and_crossed_answers() {
    let (set, address) = start();
    set_knobs(&set, json!({"truncated-probability": 1.0}));
    let text = tokio::task::spawn_blocking(move || query(address, "k1")).await.unwrap();
    assert!(text.starts_with("HTTP/1.1 200") && !is_complete(&text), "{text}");
    set_knobs(&set, json!({"truncated-probability": 0.0, "crossed-probability": 1.0}));
    let text = tokio::task::spawn_blocking(move || query(address, "k2")).await.unwrap();
    assert!(text.contains("\"key\":\"k1\""), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_the_limit_are_closed_and_counted() {
    let (set, address) = start();
    let task = tokio::task::spawn_blocking(move || {
        let held: Vec<_> = (0..4).map(|_| connect(address)).collect();
        let mut fifth = connect(address);
        send(&mut fifth, "1.1", 5_000, "k");
        (receive(&mut fifth), held.len())
    });
    assert_eq!(task.await.unwrap(), (String::new(), 4));
    assert_eq!(set.records()[0].connections_over_limit, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn work_after_leaving_is_recorded() {
    let (set, address) = start();
    set_knobs(&set, json!({"leaving": true}));
    tokio::time::sleep(Duration::from_millis(30)).await;
    let text = tokio::task::spawn_blocking(move || query(address, "k")).await.unwrap();
    assert!(text.contains("godwityard-state: leaving"), "{text}");
    assert!(text.contains("godwityard-leaving: 1"), "{text}");
    assert!(set.records()[0].work_after_leaving_ms_max >= 30);
}

#[test]
fn unknown_knob_is_refused() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _guard = runtime.enter();
    let (set, _) = start();
    let change = TargetChange { set: Some(json!({"slotz": 1})), ..TargetChange::default() };
    assert_matches!(set.apply(&change), Err(detail) if detail.contains("slotz"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_turns_a_request_away_names_a_time_if_told_to() {
    let (set, address) = start();
    for (retry_after_ms, wanted) in [(0, None), (4_500, Some("retry-after: 4.5"))] {
        set_knobs(&set, json!({"shed-probability": 1.0, "retry-after-ms": retry_after_ms}));
        let asked = tokio::task::spawn_blocking(move || {
            let mut stream = connect(address);
            send(&mut stream, "1.0", 1_000, "x");
            receive(&mut stream)
        });
        let response = asked.await.unwrap();
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert_eq!(response.lines().find(|it| it.starts_with("retry-after")), wanted);
    }
}
