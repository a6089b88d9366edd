//! All machines of a zone are partitioned from all leafs, while each gets few requests.

#[path = "../standins-2/lib.rs"]
mod lib;
#[path = "../standins-2/partition.rs"]
mod partition;

fn main() {
    partition::run(&partition::Day {
        machines: [4, 4, 16],
        max_conns: 96,
        gap_ms: 4_000,
        attempts: 2,
    })
}
