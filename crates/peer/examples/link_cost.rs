//! Measures the CPU time per call of a link over loopback, on both ends, for
//! calls with different numbers of subqueries. The results are used in
//! docs/CAPACITY.md.

#![allow(clippy::print_stdout)]

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use base::{AttemptId, Incarnation, PoolName, RequestId, ShardId, Snapshot};
use peer::{HostService, Identity, Links, serve};
use policy::message::{
    Batch, Part, PartResult, Redemption, RedemptionReply, Subquery, TargetStatus,
};
use tokio::sync::mpsc;

const CALLS: u32 = 4_000;
const CALLS_AT_ONCE: u32 = 16;
const BODY_BYTES: usize = 200;

/// Answers each subquery immediately.
#[derive(Clone)]
struct Echo;

impl HostService for Echo {
    fn run(&self, batch: Batch, parts: mpsc::Sender<Part>) {
        for subquery in &batch.subqueries {
            let part = Part {
                attempt: subquery.attempt,
                shard: subquery.shard,
                target: subquery.target.clone(),
                result: PartResult::Answer { snapshot: batch.snapshot, body: batch.body.clone() },
                queued: Duration::ZERO,
                service_time: Duration::from_millis(5),
                status: None,
            };
            // The channel has capacity for one part per subquery.
            let _ = parts.try_send(part);
        }
    }

    fn cancel(&self, _: RequestId, _: Vec<AttemptId>) {}

    async fn status(&self, _: PoolName) -> Vec<TargetStatus> {
        Vec::new()
    }

    async fn redeem(&self, redemption: Redemption) -> RedemptionReply {
        RedemptionReply { status: 200, body: redemption.body }
    }

    fn deliver(&self, _: SocketAddr, _: Vec<u8>) {}
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let identity = Identity {
        fleet: "cost".into(),
        host: "a-1".into(),
        address,
        incarnation: Incarnation(1),
        secret: None,
    };
    serve(listener, identity.clone(), Echo, log.clone())?;
    let links = Links::start(identity, address.ip(), log)?;
    println!("subqueries a call | calling side us a call | owning side us a call");
    for subqueries in [1, 4, 16, 64, 220] {
        measure(&links, address, subqueries).await;
    }
    Ok(())
}

async fn measure(links: &Links, to: SocketAddr, subqueries: u32) {
    run_calls(links, to, subqueries, CALLS_AT_ONCE).await;
    let before = (thread_cpu("peer-links"), thread_cpu("peer-server"));
    run_calls(links, to, subqueries, CALLS).await;
    let calling = thread_cpu("peer-links") - before.0;
    let owning = thread_cpu("peer-server") - before.1;
    let per_call = |cpu: Duration| cpu.as_secs_f64() * 1e6 / f64::from(CALLS);
    println!("{subqueries:17} | {:22.1} | {:21.1}", per_call(calling), per_call(owning));
}

async fn run_calls(links: &Links, to: SocketAddr, subqueries: u32, calls: u32) {
    for _ in 0..calls / CALLS_AT_ONCE {
        let (tx, mut rx) = mpsc::channel((subqueries * CALLS_AT_ONCE) as usize);
        for _ in 0..CALLS_AT_ONCE {
            links.run(to, batch(subqueries), tx.clone());
        }
        drop(tx);
        while rx.recv().await.is_some() {}
    }
}

fn batch(subqueries: u32) -> Batch {
    let subquery = |shard| Subquery {
        attempt: AttemptId(u128::from(shard)),
        shard: ShardId(shard),
        target: "pool-0001-a".into(),
    };
    Batch {
        request: RequestId(1),
        service: "service-01".into(),
        pool: "pool".into(),
        snapshot: Snapshot { map: 1, index: 1 },
        time_left: Duration::from_secs(5),
        is_idempotent: true,
        is_extra: false,
        fingerprint: 1,
        body: vec![b'x'; BODY_BYTES].into(),
        subqueries: (0..subqueries).map(subquery).collect(),
    }
}

/// Returns the CPU time used by the threads with this name.
fn thread_cpu(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let is_named = |dir: &fs::DirEntry| {
        fs::read_to_string(dir.path().join("comm")).is_ok_and(|it| it.trim() == name)
    };
    let nanos = |dir: fs::DirEntry| {
        let text = fs::read_to_string(dir.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    let nanos: u64 = tasks.flatten().filter(is_named).filter_map(nanos).sum();
    Duration::from_nanos(nanos)
}
