//! A host that cannot reach the source learns from another.

mod stage;

use std::time::Duration;

use forward::Repeat;
use stage::{Reply, Stage, body, free_port, ok, run, status, target};
use tokio::time::sleep;

#[test]
fn a_host_without_a_source_learns_the_configuration_and_targets_from_a_peer() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let (first, second) = (free_port(), free_port());
        let mut knowing = Stage::start_among(first, vec![second]);
        knowing.single(Repeat::Idempotent);
        knowing.list("s", "t1", &one);
        knowing.targets_are_listed(&["t1"]);
        let learning = Stage::start_among(second, vec![first]);
        while !learning.cx.is_ready() {
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(learning.cx.version(), 1);
        let answer = learning.get("/one/x").await;
        assert_eq!((status(&answer), body(&answer)), (200, "yes"));
        // A later version follows.
        knowing.gather(1.0);
        while learning.cx.version() < 2 {
            sleep(Duration::from_millis(20)).await;
        }
    });
}
