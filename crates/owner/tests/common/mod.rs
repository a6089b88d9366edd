//! A scripted target over raw TCP, and an owner to which it is assigned.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::{AttemptId, RequestId, Revision, ShardId, Share, Snapshot, TargetName, Time};
use documents::{Configuration, Pool, Target, model::PolicySettings};
use owner::{OwnerCx, OwnerHandle};
use policy::message::{Batch, Part, Subquery};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

/// Maximum time these tests wait for a result.
pub const RESULT_TIMEOUT: Duration = Duration::from_secs(10);

pub const SNAPSHOT: Snapshot = Snapshot { map: 1, index: 5 };

/// What the target does with a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Script {
    Answer,
    WrongId,
    WrongSnapshot,
    Truncated,
    Shed,
    /// Closes the connection without an answer.
    Crash,
    /// Stops answering on this connection.
    Silent,
    /// Answers only after a cancellation.
    UntilCancelled,
    /// Answers, then closes the connection.
    AnswerAndClose,
}

/// Counters of what the target received.
#[derive(Debug, Default)]
pub struct Counters {
    pub connections: AtomicUsize,
    pub queries: AtomicUsize,
    pub cancelled: AtomicU64,
}

pub struct FakeTarget {
    pub address: SocketAddr,
    pub counters: Arc<Counters>,
}

impl FakeTarget {
    /// Starts a target that follows `scripts`, one for each query, and then
    /// repeats the last one.
    pub async fn start(scripts: &'static [Script]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let counters = Arc::new(Counters::default());
        let shared = Arc::clone(&counters);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(stream, Arc::clone(&shared), scripts));
            }
        });
        FakeTarget { address, counters }
    }
}

/// Starts an owner with one target at `address`, named `t`.
pub fn owner_of(address: SocketAddr, share: Share) -> OwnerHandle {
    base::invariant::panic_when_broken();
    let cx = OwnerCx {
        host: "host-1".into(),
        policy: PolicySettings::default(),
        log: slog::Logger::root(slog::Discard, slog::o!()),
        metrics: telemetry::Metrics::new().unwrap(),
        clock: now,
        seed: 1,
    };
    let owner = OwnerHandle::start(cx);
    owner.configure(Arc::new(configuration(address)));
    owner.assign(vec![(TargetName::new("t"), share)]);
    owner
}

pub fn share() -> Share {
    Share { slots: 3, connections: 10, valid_until: None, starts_cold: false }
}

pub fn batch(attempts: impl IntoIterator<Item = u128>) -> Batch {
    let subquery =
        |id| Subquery { attempt: AttemptId(id), shard: ShardId(0), target: TargetName::new("t") };
    Batch {
        request: RequestId(1),
        service: "s".into(),
        pool: "p".into(),
        snapshot: SNAPSHOT,
        time_left: Duration::from_secs(5),
        is_idempotent: true,
        is_extra: false,
        fingerprint: 1,
        body: b"question".as_slice().into(),
        subqueries: attempts.into_iter().map(subquery).collect(),
    }
}

/// Runs a batch and waits for all its parts.
pub async fn run(owner: &OwnerHandle, batch: Batch) -> Vec<Part> {
    let expected = batch.subqueries.len();
    let (tx, mut rx) = mpsc::channel(expected.max(1));
    owner.run(batch, tx);
    let mut parts = Vec::new();
    while let Some(part) =
        tokio::time::timeout(RESULT_TIMEOUT, rx.recv()).await.expect("parts hang")
    {
        parts.push(part);
    }
    assert_eq!(parts.len(), expected);
    parts
}

/// Returns the time since the first call, plus one second.
pub fn now() -> Time {
    static START: OnceLock<std::time::Instant> = OnceLock::new();
    let start = START.get_or_init(std::time::Instant::now);
    Time::ZERO + start.elapsed() + Duration::from_secs(1)
}

fn configuration(address: SocketAddr) -> Configuration {
    let target = Target {
        name: "t".into(),
        pool: "p".into(),
        shard: ShardId(0),
        domain: "d".into(),
        address,
        slots: 3,
        connections: 10,
        cold_slots: 1,
        leaving: false,
    };
    let pool = Pool {
        name: "p".into(),
        team: "team".into(),
        map: 1,
        shards: 1,
        targets: vec![Arc::new(target)],
    };
    Configuration::new(Revision(1), [], [pool], [])
}

async fn serve(stream: TcpStream, counters: Arc<Counters>, scripts: &'static [Script]) {
    let mut stream = BufReader::new(stream);
    while let Some((line, headers)) = read_head(&mut stream).await {
        let answer = if line.starts_with("GET") {
            let body = r#"{"incarnation":1,"state":"serving","snapshots":["1.5"],"healthy":true}"#;
            format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
        } else if line.starts_with("DELETE") {
            counters.cancelled.fetch_add(1, Ordering::Relaxed);
            "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
        } else {
            let index = counters.queries.fetch_add(1, Ordering::Relaxed);
            let script = scripts[index.min(scripts.len() - 1)];
            let Some(answer) = answer(script, &headers, &counters).await else { return };
            answer
        };
        let is_last = answer.contains("connection: close");
        let is_written = stream.get_mut().write_all(answer.as_bytes()).await.is_ok();
        if !is_written || is_last {
            return;
        }
    }
}

async fn answer(
    script: Script,
    headers: &HashMap<String, String>,
    counters: &Counters,
) -> Option<String> {
    match script {
        Script::Crash => return None,
        Script::Silent => tokio::time::sleep(RESULT_TIMEOUT * 6).await,
        Script::UntilCancelled => {
            while counters.cancelled.load(Ordering::Relaxed) == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        _ => {}
    }
    let attempt = if script == Script::WrongId { "0".repeat(32) } else { headers[ATTEMPT].clone() };
    let index = if script == Script::WrongSnapshot { 4 } else { 5 };
    let length = if script == Script::Truncated { 60 } else { 6 };
    let status = match script {
        Script::Shed => "503 Service Unavailable\r\ngodwityard-outcome: not_run",
        Script::UntilCancelled => "499 Cancelled\r\ngodwityard-outcome: may_have_run",
        _ => "200 OK",
    };
    let is_last = matches!(script, Script::Truncated | Script::AnswerAndClose);
    let close = if is_last { "connection: close\r\n" } else { "" };
    Some(format!(
        "HTTP/1.1 {status}\r\n{ATTEMPT}: {attempt}\r\ngodwityard-shard: 0\r\n\
         godwityard-snapshot: 1.{index}\r\ngodwityard-snapshots: 1.4,1.5\r\n\
         godwityard-incarnation: 1\r\ngodwityard-state: serving\r\n{close}\
         content-length: {length}\r\n\r\nanswer"
    ))
}

const ATTEMPT: &str = "godwityard-attempt";

async fn read_head(stream: &mut BufReader<TcpStream>) -> Option<(String, HashMap<String, String>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let headers = lines.iter().skip(1).filter_map(|it| it.split_once(": "));
    let headers = headers.map(|(k, v)| (k.to_lowercase(), v.to_owned()));
    let headers = headers.collect::<HashMap<_, _>>();
    let length = headers.get("content-length").map_or(0, |it| it.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some((lines[0].clone(), headers))
}
