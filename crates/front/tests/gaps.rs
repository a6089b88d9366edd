//! Hosts that lose the source, or calls to it, while targets leave and configurations
//! change.

mod support;

use std::{
    cell::Cell,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use forward::{Configuration, Position, Repeat, budget::RetryLimits, placement::Limits};
use front::follow::{Batch, Feed, Source, SourceError, follow};
use support::{
    Reply, Target, TestHost, ok, own_address, report, run, source::ScriptedSource, status, target,
};
use tokio::{
    task::spawn_local,
    time::{sleep, sleep_until},
};

const LEAVING_FOR: Duration = Duration::from_secs(2);
const MARGIN: Duration = Duration::from_millis(50);

/// Time within which hosts follow a source again.
const RECOVERY: Duration = Duration::from_secs(1);

/// Longer than the pause between calls to the source, so that a call is made meanwhile.
const SILENCE: Duration = Duration::from_millis(1_200);

fn limits() -> Limits {
    Limits {
        retry: RetryLimits { ratio: 0.05, window: Duration::from_secs(10), slack: 10.0 },
        cold_ratio: 1.0,
        cold_slack: 0.0,
        cross_domain: Duration::from_millis(2),
        leaving_for: LEAVING_FOR,
    }
}

/// Has a host follow the source, and waits until it serves a request.
async fn serve_by(host: &mut TestHost, source: &Rc<ScriptedSource>) {
    host.cx.set_limits(limits());
    host.single(Repeat::Idempotent);
    host.follow_targets(source);
    while status(&host.get("/one/x").await) != 200 {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Gap in which an age of changes is known, and one that is too long for that.
const SHORT_GAP: Duration = Duration::from_millis(700);
const LONG_GAP: Duration = Duration::from_millis(3_500);

/// Loses the source for the time of `gap` at least, in which the targets `leaving` of
/// `t1` and `t2` leave, and returns the host and the time of the loss.
async fn lose_source(
    gap: Duration,
    limits: Limits,
    leaving: &[&str],
    loses_history: bool,
) -> (TestHost, Target, Instant) {
    let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
    let source = Rc::new(ScriptedSource::default());
    source.list(report("s", "t1", one.address));
    source.list(report("other", "t2", one.address));
    let mut host = TestHost::start();
    host.cx.set_limits(limits);
    host.single(Repeat::Idempotent);
    host.follow_targets(&source);
    while status(&host.get("/one/x").await) != 200 {
        sleep(Duration::from_millis(20)).await;
    }
    source.set_unreachable(true);
    leaving.iter().for_each(|it| source.remove(it));
    let lost = Instant::now();
    sleep(gap).await;
    if loses_history {
        source.drop_history();
    }
    let answers = source.answers();
    source.set_unreachable(false);
    while source.answers() == answers {
        sleep(Duration::from_millis(10)).await;
    }
    (host, one, lost)
}

/// The source may still have the changes when it is back, or not.
#[test]
fn a_target_that_left_during_a_gap_is_not_used_longer() {
    for loses_history in [false, true] {
        run(async {
            let (host, _target, lost) =
                lose_source(SHORT_GAP, limits(), &["t1"], loses_history).await;
            sleep_until((lost + LEAVING_FOR + MARGIN).into()).await;
            assert_ne!(status(&host.get("/one/x").await), 200, "{loses_history}");
        });
    }
}

/// Guards against requests to targets that left during a long gap: such a target is used
/// only until lapsed entries would be back, not as one that has left just now.
#[test]
fn a_target_that_left_during_a_long_gap_is_used_no_longer_than_a_lapsed_one() {
    run(async {
        let limits = Limits { leaving_for: LONG_GAP - MARGIN, ..limits() };
        let (host, _target, _) = lose_source(LONG_GAP, limits, &["t1"], false).await;
        assert_eq!(status(&host.get("/one/x").await), 200);
        sleep(Duration::from_secs(2) + MARGIN).await;
        assert_ne!(status(&host.get("/one/x").await), 200);
    });
}

/// If most entries are gone at once, they lapsed and will be back soon.
#[test]
fn entries_that_lapsed_during_a_gap_stay_a_fallback() {
    for loses_history in [false, true] {
        run(async {
            let (host, _target, lost) =
                lose_source(SHORT_GAP, limits(), &["t1", "t2"], loses_history).await;
            sleep_until((lost + LEAVING_FOR + MARGIN).into()).await;
            assert_eq!(status(&host.get("/one/x").await), 200, "{loses_history}");
        });
    }
}

/// Lets the source be silent while the host, which has just got a change, makes its next
/// call.
async fn lose_call(source: &ScriptedSource) {
    source.set_silent(true);
    sleep(SILENCE).await;
    source.set_silent(false);
    sleep(RECOVERY).await;
}

/// Guards against requests to targets that left: a call for changes that never gets an
/// answer must not hide later changes.
#[test]
fn a_target_that_left_after_a_silence_of_the_source_is_not_used_longer() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let source = Rc::new(ScriptedSource::default());
        source.list(report("s", "t1", one.address));
        source.list(report("other", "t2", one.address));
        let mut host =
            TestHost::start_with(own_address(), Vec::new(), |it| it.source_recovery(RECOVERY));
        serve_by(&mut host, &source).await;
        source.list(report("other", "t3", one.address));
        lose_call(&source).await;
        source.remove("t1");
        // The change may come in the pause between two calls.
        sleep(LEAVING_FOR + Duration::from_secs(1) + MARGIN).await;
        assert_ne!(status(&host.get("/one/x").await), 200);
    });
}

/// Guards against requests that an old configuration handles: a call for changes that
/// never gets an answer must not hide later versions.
#[test]
fn a_configuration_is_put_in_force_after_a_silence_of_the_source() {
    run(async {
        let source = Rc::new(ScriptedSource::default());
        let version = |version| Configuration { version, ..Configuration::default() };
        source.publish(version(5));
        let host =
            TestHost::start_with(own_address(), Vec::new(), |it| it.source_recovery(RECOVERY));
        host.follow_configuration(&source);
        while host.cx.version() < 5 {
            sleep(Duration::from_millis(20)).await;
        }
        source.publish(version(6));
        lose_call(&source).await;
        source.publish(version(7));
        while host.cx.version() < 7 {
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Guards against hosts that read a source again and again without taking what it says, as it
/// fell back to an older state: a file that an older one replaced, or a source that states no
/// epoch.
#[test]
fn a_source_that_falls_back_without_saying_so_is_followed() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let source = Rc::new(ScriptedSource::default());
        source.list(report("s", "t1", one.address));
        source.list(report("other", "t2", one.address));
        source.list(report("other", "t3", one.address));
        for port in 1..9 {
            source.list(report("other", "t4", ([127, 0, 0, 1], port).into()));
        }
        let mut host = TestHost::start();
        serve_by(&mut host, &source).await;
        source.restore(8, false);
        source.remove("t1");
        sleep(LEAVING_FOR + RECOVERY + MARGIN).await;
        assert_ne!(status(&host.get("/one/x").await), 200);
    });
}

/// A source whose answers the host reads late, as it gets no processor meanwhile.
#[derive(Debug)]
#[derive(Default)]
struct ReadLate {
    source: ScriptedSource,
    delay: Cell<Duration>,
}

impl Source for ReadLate {
    async fn read(&self, feed: Feed) -> Result<Batch, SourceError> {
        self.source.read(feed).await
    }

    async fn changes(
        &self,
        feed: Feed,
        after: Position,
        wait: Duration,
    ) -> Result<Batch, SourceError> {
        let answer = self.source.changes(feed, after, wait).await;
        thread::sleep(self.delay.get());
        answer
    }
}

/// Guards against requests to targets that left, on a machine with too little processor: a
/// change that was made in the pause between two calls and is read late must not count as
/// made just now.
#[test]
fn a_target_that_left_is_not_used_longer_by_a_host_that_runs_late() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let it = Rc::new(ReadLate::default());
        it.source.list(report("s", "t1", one.address));
        it.source.list(report("other", "t2", one.address));
        let mut host = TestHost::start();
        host.cx.set_limits(limits());
        host.single(Repeat::Idempotent);
        spawn_local(follow(host.cx.clone(), it.clone(), Feed::Targets));
        while status(&host.get("/one/x").await) != 200 {
            sleep(Duration::from_millis(20)).await;
        }
        let answers = it.source.answers();
        it.source.list(report("other", "t3", one.address));
        while it.source.answers() == answers {
            sleep(Duration::from_millis(10)).await;
        }
        it.source.remove("t1");
        let left = Instant::now();
        it.delay.set(Duration::from_millis(600));
        sleep_until((left + LEAVING_FOR + MARGIN).into()).await;
        assert_ne!(status(&host.get("/one/x").await), 200);
    });
}

/// Guards against hosts that stay on an old configuration for as long as the source answers
/// each call later than the call may take.
#[test]
fn configurations_are_put_in_force_by_answers_that_come_late() {
    run(async {
        let source = Rc::new(ScriptedSource::default());
        let version = |version| Configuration { version, ..Configuration::default() };
        source.publish(version(5));
        let host =
            TestHost::start_with(own_address(), Vec::new(), |it| it.source_recovery(RECOVERY));
        host.follow_configuration(&source);
        while host.cx.version() < 5 {
            sleep(Duration::from_millis(20)).await;
        }
        source.set_delay(RECOVERY);
        for next in 6..9 {
            source.publish(version(next));
            while host.cx.version() < next {
                sleep(Duration::from_millis(20)).await;
            }
        }
    });
}

/// Guards against targets that come back by an answer that was overtaken by a later one.
#[test]
fn a_late_answer_does_not_bring_back_a_target_that_left() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let source = Rc::new(ScriptedSource::default());
        source.list(report("s", "t1", one.address));
        source.list(report("other", "t2", one.address));
        source.list(report("other", "t3", one.address));
        let mut host =
            TestHost::start_with(own_address(), Vec::new(), |it| it.source_recovery(RECOVERY));
        serve_by(&mut host, &source).await;
        // Calls made now are answered after later ones, with what was true before.
        source.set_delay(RECOVERY * 3);
        sleep(RECOVERY * 2).await;
        source.remove("t1");
        source.set_delay(Duration::ZERO);
        sleep(LEAVING_FOR + RECOVERY + MARGIN).await;
        assert_ne!(status(&host.get("/one/x").await), 200);
        sleep(RECOVERY * 2).await;
        assert_ne!(status(&host.get("/one/x").await), 200);
    });
}

/// Guards against hosts that leave a source, and the readers of which are left, as it answers
/// calls later than they may take beyond the time for which it holds them.
#[test]
fn a_source_that_answers_late_is_followed_all_the_while() {
    run(async {
        let source = Rc::new(ScriptedSource::default());
        source.publish(Configuration { version: 5, ..Configuration::default() });
        let host = TestHost::start_with(own_address(), Vec::new(), |it| {
            it.source_recovery(Duration::from_secs(3))
        });
        source.set_delay(Duration::from_millis(700));
        host.follow_configuration(&source);
        host.follow_targets(&source);
        while host.gauge("front_follows_source").await != Some(1) {
            sleep(Duration::from_millis(20)).await;
        }
        for _ in 0..70 {
            sleep(Duration::from_millis(80)).await;
            assert_eq!(host.gauge("front_follows_source").await, Some(1));
        }
    });
}

/// Guards against requests to targets that left, as a late answer tells of it.
#[test]
fn a_target_that_left_is_not_used_longer_if_answers_come_late() {
    const DELAY: Duration = Duration::from_millis(700);
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let source = Rc::new(ScriptedSource::default());
        source.list(report("s", "t1", one.address));
        source.list(report("other", "t2", one.address));
        source.list(report("other", "t3", one.address));
        let mut host = TestHost::start_with(own_address(), Vec::new(), |it| {
            it.source_recovery(Duration::from_secs(4))
        });
        host.cx.set_limits(limits());
        host.single(Repeat::Idempotent);
        source.set_delay(DELAY);
        host.follow_targets(&source);
        while status(&host.get("/one/x").await) != 200 {
            sleep(Duration::from_millis(20)).await;
        }
        // A call is held that is made soon after this change.
        source.list(report("other", "t4", one.address));
        sleep(DELAY + Duration::from_millis(1_800)).await;
        source.remove("t1");
        sleep(LEAVING_FOR + MARGIN * 4).await;
        assert_ne!(status(&host.get("/one/x").await), 200);
    });
}

/// Guards against targets that come back by a list that was read before the changes in force.
#[test]
fn a_late_list_does_not_replace_later_changes() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let source = Rc::new(ScriptedSource::default());
        source.list(report("s", "t1", one.address));
        source.list(report("other", "t2", one.address));
        source.list(report("other", "t3", one.address));
        let mut host =
            TestHost::start_with(own_address(), Vec::new(), |it| it.source_recovery(RECOVERY));
        host.cx.set_limits(Limits { leaving_for: Duration::from_millis(100), ..limits() });
        host.single(Repeat::Idempotent);
        host.follow_targets(&source);
        while status(&host.get("/one/x").await) != 200 {
            sleep(Duration::from_millis(20)).await;
        }
        // The source works off the next call for changes only after a list, which then is
        // delayed.
        source.hold_changes(Duration::from_millis(1_150));
        let lists = source.lists();
        source.set_list_delay(Duration::from_millis(750));
        while source.lists() == lists {
            sleep(Duration::from_millis(5)).await;
        }
        source.remove("t1");
        source.set_list_delay(Duration::ZERO);
        let mut is_gone = false;
        let until = tokio::time::Instant::now() + RECOVERY * 5;
        while tokio::time::Instant::now() < until {
            let is_used = status(&host.get("/one/x").await) == 200;
            assert!(!(is_gone && is_used), "it came back");
            is_gone |= !is_used;
            sleep(Duration::from_millis(10)).await;
        }
        assert!(is_gone);
    });
}

/// Guards against targets that are used too long as the answer that tells of their leave was on
/// its way: it came within the limit of its call.
#[test]
fn a_target_is_used_no_longer_by_an_answer_that_was_long_on_its_way() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let source = Rc::new(ScriptedSource::default());
        source.list(report("s", "t1", one.address));
        source.list(report("other", "t2", one.address));
        source.list(report("other", "t3", one.address));
        let mut host =
            TestHost::start_with(own_address(), Vec::new(), |it| it.source_recovery(RECOVERY * 4));
        serve_by(&mut host, &source).await;
        // A call waits.
        sleep(Duration::from_millis(500)).await;
        source.set_delay(Duration::from_millis(1_700));
        source.remove("t1");
        let left = tokio::time::Instant::now();
        sleep_until(left + LEAVING_FOR + MARGIN).await;
        assert_ne!(status(&host.get("/one/x").await), 200);
    });
}
