//! Hosts that lose the source while targets leave.

mod support;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use forward::{Repeat, budget::RetryLimits, placement::Limits};
use support::{Reply, TestHost, ok, report, run, source::ScriptedSource, status, target};
use tokio::time::{sleep, sleep_until};

const LEAVING_FOR: Duration = Duration::from_secs(2);

fn limits() -> Limits {
    Limits {
        retry: RetryLimits { ratio: 0.05, window: Duration::from_secs(10), slack: 10.0 },
        cold_ratio: 1.0,
        cold_slack: 0.0,
        cross_domain: Duration::from_millis(2),
        leaving_for: LEAVING_FOR,
    }
}

/// The source may still have the changes when it is back, or not.
#[test]
fn a_target_that_left_during_a_gap_is_not_used_longer() {
    for loses_history in [false, true] {
        run(async {
            let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
            let source = Rc::new(ScriptedSource::default());
            source.list(report("s", "t1", one.address));
            source.list(report("other", "t2", one.address));
            let mut host = TestHost::start();
            host.cx.set_limits(limits());
            host.single(Repeat::Idempotent);
            host.follow_targets(&source);
            while status(&host.get("/one/x").await) != 200 {
                sleep(Duration::from_millis(20)).await;
            }
            source.set_unreachable(true);
            source.remove("t1");
            let over = Instant::now() + LEAVING_FOR + Duration::from_millis(50);
            sleep(Duration::from_millis(700)).await;
            if loses_history {
                source.drop_history();
            }
            let answers = source.answers();
            source.set_unreachable(false);
            while source.answers() == answers {
                sleep(Duration::from_millis(10)).await;
            }
            sleep_until(over.into()).await;
            assert_ne!(status(&host.get("/one/x").await), 200, "{loses_history}");
        });
    }
}
