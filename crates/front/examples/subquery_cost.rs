//! Prints the processor time of a host's thread for each subquery, for requests
//! to one target and to many shards. Targets and callers have a thread of their
//! own. Logging is off; the example `log_cost` of `telemetry` measures it.
//!
//! `cargo run --release -p godwityard-front --example subquery_cost [SHARDS ...]`

#![allow(clippy::print_stdout, reason = "a report for the terminal")]

#[path = "../tests/support/mod.rs"]
mod support;

use std::{env, net::SocketAddr, thread, time::Duration};

use rustix::time::{ClockId, clock_gettime};
use support::{Reply, TestHost, ok, read_message, target};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    runtime::Builder,
    sync::oneshot,
    task::{JoinSet, LocalSet},
    time::{Instant, sleep},
};

const DEFAULT_SHARDS: [usize; 3] = [1, 20, 90];

const TARGETS_PER_SHARD: usize = 2;
const CALLERS: usize = 6;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(50);

/// Time that a target works on a request.
const WORK: Duration = Duration::from_millis(5);

/// Until the host knows how many others there are, and connections are open.
const SETTLE_FOR: Duration = Duration::from_secs(2);
const MEASURE_FOR: Duration = Duration::from_secs(5);

/// Twelve records.
const PART: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\
                    0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\
                    0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

fn main() {
    let given: Vec<usize> = env::args().skip(1).filter_map(|it| it.parse().ok()).collect();
    let all = if given.is_empty() { DEFAULT_SHARDS.to_vec() } else { given };
    for shards in all {
        let (requests, spent) = measure(shards);
        let each = spent.as_secs_f64() * 1e6 / (requests * shards) as f64;
        println!("{shards} shards: {requests} requests, {each:.1} us a subquery");
    }
}

/// Requests answered in the time measured, and what they cost the host.
fn measure(shards: usize) -> (usize, Duration) {
    let (targets_tx, targets_rx) = oneshot::channel();
    let (callers_tx, callers_rx) = oneshot::channel();
    let (begun_tx, begun_rx) = oneshot::channel();
    let (ended_tx, ended_rx) = oneshot::channel();
    let world = thread::spawn(move || {
        block_on(async {
            let mut addresses = Vec::new();
            for _ in 0..shards * TARGETS_PER_SHARD {
                addresses.push(target(vec![Reply::Later(WORK, ok("sig", PART))]).await);
            }
            // The host is gone only if this program fails.
            let _ = targets_tx.send(addresses.iter().map(|it| it.address).collect::<Vec<_>>());
            let callers: SocketAddr = callers_rx.await.expect("the host starts");
            call(callers, SETTLE_FOR).await;
            let _ = begun_tx.send(());
            let requests = call(callers, MEASURE_FOR).await;
            let _ = ended_tx.send(requests);
        });
    });
    let measured = block_on(async {
        let addresses: Vec<SocketAddr> = targets_rx.await.expect("targets listen");
        let mut host = TestHost::start();
        host.gather_over(shards, 1.0);
        for (i, address) in addresses.into_iter().enumerate() {
            host.list_at(&format!("s{}", i % shards), &format!("t{i}"), address);
        }
        drop(host.connect().await);
        let _ = callers_tx.send(host.callers);
        begun_rx.await.expect("callers begin");
        let before = thread_time();
        let requests = ended_rx.await.expect("callers end");
        (requests, thread_time() - before)
    });
    world.join().expect("the other thread ends");
    measured
}

/// Calls for a while; returns how often.
async fn call(address: SocketAddr, time: Duration) -> usize {
    let mut all = JoinSet::new();
    for _ in 0..CALLERS {
        all.spawn_local(call_in_turn(address, time));
    }
    let mut count = 0;
    while let Some(ended) = all.join_next().await {
        count += ended.expect("a caller ends");
    }
    count
}

async fn call_in_turn(address: SocketAddr, time: Duration) -> usize {
    let mut stream = TcpStream::connect(address).await.expect("the host listens");
    let until = Instant::now() + time;
    let mut count = 0;
    while Instant::now() < until {
        let request = b"GET /all/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\nx-deadline: 800\r\n\r\n";
        stream.write_all(request).await.expect("written");
        read_message(&mut stream).await.expect("an answer");
        count += 1;
        sleep(PAUSE).await;
    }
    count
}

fn thread_time() -> Duration {
    let reading = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(reading.tv_sec as u64, reading.tv_nsec as u32)
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}
