//! Measures request latency with hedging off, at a fixed delay and at a live
//! quantile while some replicas are slow, and the time that the decisions for a
//! request take.
//!
//! `cargo run --release -p godwityard-policy --example request_bench`

#![allow(clippy::print_stdout, reason = "a report for the terminal")]

#[path = "../tests/request_fleet/mod.rs"]
mod request_fleet;

use std::time::{Duration, Instant};

use documents::model::{Hedging, PolicySettings};
use policy::request::Verdict;
use rand::Rng;

use crate::request_fleet::{Faults, Fleet};

const SEED: u64 = 1;
const SHARDS: u32 = 60;
const HOSTS: usize = 8;
const QUERIES: u64 = 6_000;

fn main() {
    println!("60 shards by 3 replicas, 8 hosts, seed 1; 1 replica in 50 is 20 times slower");
    println!("hedging         p50 ms  p99 ms p99.9 ms  answered  extra load");
    let modes = [
        ("off", Hedging::Off),
        ("fixed 20 ms", Hedging::Fixed(Duration::from_millis(20))),
        ("live quantile", Hedging::LiveQuantile),
    ];
    report("no stragglers", Hedging::Off, Faults::default());
    for (name, hedging) in modes {
        report(name, hedging, Faults { slow_replicas: true, ..Faults::default() });
    }
    println!();
    println!("shards  µs of decisions a query  ns a shard");
    for shards in [2, 9, 60, 220] {
        cost(shards);
    }
}

fn report(name: &str, hedging: Hedging, faults: Faults) {
    let mut fleet = fleet(SHARDS, hedging, faults);
    for i in 0..QUERIES {
        let host = fleet.rng.random_range(0..HOSTS);
        fleet.start_query(host, i, true);
        let pause = Duration::from_micros(fleet.rng.random_range(0..4_000));
        fleet.run_until(fleet.now + pause);
    }
    fleet.run_until(fleet.now + Duration::from_secs(1));
    let mut latencies = fleet.latencies.clone();
    latencies.sort_unstable();
    let quantile = |q: f64| latencies[(latencies.len() as f64 * q) as usize].as_secs_f64() * 1e3;
    let answered = fleet.verdicts.iter().filter(|it| matches!(it.3, Verdict::Answer(_))).count();
    let count = |kind| fleet.sends.get(kind).copied().unwrap_or(0) as f64;
    let extra = (count("hedge") + count("retry") + count("restart")) / count("first");
    println!(
        "{name:<14} {:>7.1} {:>7.1} {:>8.1} {:>9.4} {:>11.4}",
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        answered as f64 / fleet.verdicts.len() as f64,
        extra
    );
}

/// Prints the time spent in the decisions for a query with `shards` shards.
fn cost(shards: u32) {
    let mut fleet = fleet(shards, Hedging::LiveQuantile, Faults::default());
    let queries = 200_000 / u64::from(shards);
    let began = Instant::now();
    for i in 0..queries {
        fleet.start_query(i as usize % HOSTS, i, true);
        fleet.run_until(fleet.now + Duration::from_millis(2));
    }
    let whole = began.elapsed();
    let decisions = fleet.decision_time.min(whole);
    let a_query = decisions.as_secs_f64() * 1e6 / queries as f64;
    println!("{shards:>6} {a_query:>24.1} {:>11.0}", a_query * 1e3 / f64::from(shards));
}

fn fleet(shards: u32, hedging: Hedging, faults: Faults) -> Fleet {
    let settings = PolicySettings { hedging, ..PolicySettings::default() };
    Fleet::with_settings(SEED, shards, HOSTS, faults, &settings)
}
