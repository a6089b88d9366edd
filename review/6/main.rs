//! All machines of a zone are partitioned from all leafs, which take fewer connections than
//! there are machines.

#[path = "../standins-2/lib.rs"]
mod lib;
#[path = "../standins-2/partition.rs"]
mod partition;

fn main() {
    partition::run(&partition::Day {
        machines: [4, 4, 32],
        max_conns: 20,
        gap_ms: 5_000,
        attempts: 3,
    })
}
