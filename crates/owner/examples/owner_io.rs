//! Measures the CPU time of a subquery through the owner's actor and one HTTP
//! call, with a scripted target in the same process.
//!
//! `cargo run --release -p godwityard-owner --example owner_io [SUBQUERIES]`

// A benchmark prints its figures.
#![allow(clippy::print_stdout)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{FakeTarget, Script, batch, owner_of, run, share};

const BATCH: u128 = 20;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let rounds = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(20_000) / BATCH;
    let target = FakeTarget::start(&[Script::Answer]).await;
    let owner = owner_of(target.address, share());
    // Warm up until the limit has risen to all slots.
    let warm = Instant::now();
    let mut id = 0;
    while warm.elapsed() < Duration::from_secs(2) {
        run(&owner, batch(id + 1..=id + BATCH)).await;
        id += BATCH;
    }
    let start = Instant::now();
    let cpu = cpu_time();
    for _ in 0..rounds {
        run(&owner, batch(id + 1..=id + BATCH)).await;
        id += BATCH;
    }
    let all = u32::try_from(rounds * BATCH).unwrap_or(u32::MAX);
    let cpu = cpu_time().saturating_sub(cpu) / all;
    let wall = start.elapsed() / all;
    println!(
        "a subquery: {} us of processor time, {} us passed",
        cpu.as_micros(),
        wall.as_micros()
    );
}

/// Returns the CPU time of this process from the kernel's accounting.
fn cpu_time() -> Duration {
    const TICK: Duration = Duration::from_millis(10);
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // User and system time are the 12th and 13th fields after the name, which
    // may contain spaces.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks = fields.skip(11).take(2).filter_map(|it| it.parse::<u32>().ok()).sum::<u32>();
    TICK * ticks
}
