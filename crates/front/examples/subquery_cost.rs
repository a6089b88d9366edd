//! Prints the CPU time of a host's thread per subquery, for requests to one
//! shard and to many. Targets and callers run on another thread. Logging is
//! off; the example `log_cost` of `telemetry` measures it.
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
const CALLER_PAUSE: Duration = Duration::from_millis(50);

/// Time that a target takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Time until the number of hosts counts as settled and connections are open.
const WARMUP_TIME: Duration = Duration::from_secs(2);
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);

/// Answer of a shard: twelve records.
const PART: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\
                    0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\
                    0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

fn main() {
    let args: Vec<usize> = env::args().skip(1).filter_map(|it| it.parse().ok()).collect();
    let shard_counts = if args.is_empty() { DEFAULT_SHARDS.to_vec() } else { args };
    for shards in shard_counts {
        let (requests, cpu_time) = measure(shards);
        let micros = cpu_time.as_secs_f64() * 1e6 / (requests * shards) as f64;
        println!("{shards} shards: {requests} requests, {micros:.1} us a subquery");
    }
}

/// Returns the number of requests answered during the measurement, and the CPU
/// time that the host's thread spent.
fn measure(shards: usize) -> (usize, Duration) {
    let (targets_tx, targets_rx) = oneshot::channel();
    let (callers_tx, callers_rx) = oneshot::channel();
    let (started_tx, started_rx) = oneshot::channel();
    let (ended_tx, ended_rx) = oneshot::channel();
    let load_thread = thread::spawn(move || {
        block_on(async {
            let mut addresses = Vec::new();
            for _ in 0..shards * TARGETS_PER_SHARD {
                addresses.push(target(vec![Reply::Later(SERVICE_TIME, ok("sig", PART))]).await);
            }
            // The receiver is dropped only if this program fails.
            let _ = targets_tx.send(addresses.iter().map(|it| it.address).collect::<Vec<_>>());
            let callers: SocketAddr = callers_rx.await.expect("the host starts");
            call(callers, WARMUP_TIME).await;
            let _ = started_tx.send(());
            let requests = call(callers, MEASUREMENT_TIME).await;
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
        started_rx.await.expect("callers start");
        let before = thread_time();
        let requests = ended_rx.await.expect("callers end");
        (requests, thread_time() - before)
    });
    load_thread.join().expect("the load thread ends");
    measured
}

/// Runs all callers for `time`; returns the number of answered requests.
async fn call(address: SocketAddr, time: Duration) -> usize {
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn_local(run_caller(address, time));
    }
    let mut count = 0;
    while let Some(ended) = callers.join_next().await {
        count += ended.expect("a caller ends");
    }
    count
}

async fn run_caller(address: SocketAddr, time: Duration) -> usize {
    let mut stream = TcpStream::connect(address).await.expect("the host listens");
    let until = Instant::now() + time;
    let mut count = 0;
    while Instant::now() < until {
        let request = b"GET /all/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\nx-deadline: 800\r\n\r\n";
        stream.write_all(request).await.expect("written");
        read_message(&mut stream).await.expect("an answer");
        count += 1;
        sleep(CALLER_PAUSE).await;
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
