//! Hosts that learn of state and of each other through peers.

mod support;

use std::{io::ErrorKind, rc::Rc, time::Duration};

use forward::{Configuration, Repeat};
use support::{
    Reply, TestHost, body, ok, own_address, read_message, report, run, source::ScriptedSource,
    status, target,
};
use tokio::{io::AsyncWriteExt, task::JoinSet, time::sleep};

#[test]
fn a_host_without_a_source_learns_the_configuration_and_targets_from_a_peer() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let (first, second) = (own_address(), own_address());
        let mut informed = TestHost::start_with_seeds(first, vec![second]);
        informed.single(Repeat::Idempotent);
        informed.list("s", "t1", &one);
        informed.retain_targets(&["t1"]);
        let learner = TestHost::start_with_seeds(second, vec![first]);
        while !learner.cx.is_ready() {
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(learner.cx.version(), 1);
        // The peer has never heard of it from the source.
        assert_eq!(learner.cx.configuration_age(learner.cx.clock.now()), None);
        let answer = learner.get("/one/x").await;
        assert_eq!((status(&answer), body(&answer)), (200, "yes"));
        // A later version is learned too.
        informed.gather(1.0);
        wait_for_version(&learner, 2).await;
    });
}

/// A target that left is used for a second. Where a host learns of it from a peer, that
/// second counts from when the peer got to know it.
#[test]
fn a_target_that_left_is_not_used_longer_by_a_host_that_learns_it_late() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let (first, second) = (own_address(), own_address());
        let mut informed = TestHost::start_with_seeds(first, vec![second]);
        informed.single(Repeat::Idempotent);
        let source = Rc::new(ScriptedSource::default());
        source.list(report("s", "t1", one.address));
        source.list(report("other", "t2", one.address));
        informed.follow_targets(&source);
        let learner = TestHost::start_with_seeds(second, vec![first]);
        wait_for_version(&learner, 1).await;
        assert_eq!(status(&learner.get("/one/x").await), 200);
        // The learner has just asked, so it asks again after a second, or for a later
        // version.
        source.remove("t1");
        sleep(Duration::from_millis(950)).await;
        informed.gather(1.0);
        wait_for_version(&learner, 2).await;
        sleep(Duration::from_millis(100)).await;
        assert_ne!(status(&learner.get("/one/x").await), 200);
    });
}

/// Guards against a target that left and is used again by the word of a peer that is behind.
#[test]
fn a_target_that_left_does_not_come_back_by_a_peer_that_is_behind() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let (first, second) = (own_address(), own_address());
        let sources = [first, second].map(|_| Rc::new(ScriptedSource::default()));
        let mut hosts = [(first, second), (second, first)]
            .map(|(own, seed)| TestHost::start_with_seeds(own, vec![seed]));
        for (host, source) in hosts.iter_mut().zip(&sources) {
            source.list(report("s", "t1", one.address));
            source.list(report("other", "t2", one.address));
            source.list(report("other", "t3", one.address));
            host.single(Repeat::Idempotent);
            host.follow_targets(source);
        }
        for host in &hosts {
            while status(&host.get("/one/x").await) != 200 {
                sleep(Duration::from_millis(20)).await;
            }
            host.wait_for_hosts(2).await;
        }
        let [behind, learner] = &mut hosts;
        sources[0].cut_off();
        sources[1].remove("t1");
        // Until the target that left is no fallback any more.
        sleep(Duration::from_millis(2_200)).await;
        sources[1].set_unreachable(true);
        // Both ask each other each second, once the other one has noticed its loss as well.
        sleep(Duration::from_millis(4_000)).await;
        // It would pass requests on to the other host.
        behind.stop();
        assert_ne!(status(&learner.get("/one/x").await), 200);
    });
}

/// Guards against requests that an old configuration handles, while the host waits for
/// changes of an origin that has fallen silent: peers have the next one.
#[test]
fn a_configuration_that_peers_have_is_put_in_force_while_the_origin_is_silent() {
    run(async {
        let (first, second) = (own_address(), own_address());
        let sources = [first, second].map(|_| Rc::new(ScriptedSource::default()));
        // The call for changes waits for longer than the test takes.
        let hosts = [(first, second), (second, first)].map(|(own, seed)| {
            TestHost::start_with(own, vec![seed], |it| it.source_recovery(Duration::from_secs(56)))
        });
        let version = |version| Configuration { version, ..Configuration::default() };
        for (host, source) in hosts.iter().zip(&sources) {
            source.publish(version(5));
            host.follow_configuration(source);
            host.follow_targets(source);
        }
        for host in &hosts {
            wait_for_version(host, 5).await;
            host.wait_for_hosts(2).await;
        }
        sources[0].cut_off();
        for next in [6, 9] {
            sources.iter().for_each(|it| it.publish(version(next)));
            for host in &hosts {
                wait_for_version(host, next).await;
            }
        }
    });
}

async fn wait_for_version(host: &TestHost, version: u64) {
    while host.cx.version() < version {
        sleep(Duration::from_millis(10)).await;
    }
}

/// When another host appears, this host's share of a target's connections
/// shrinks. Connections beyond the share must be closed as they become idle.
#[test]
fn connections_beyond_the_share_are_closed() {
    const REQUESTS: usize = 10;
    run(async {
        let later = Reply::Later(Duration::from_millis(100), ok("sig", "yes"));
        let one = target(vec![later]).await;
        let mut host = TestHost::start();
        host.single(Repeat::Idempotent);
        host.list("s", "t1", &one);
        // Waits until the number of hosts counts as settled.
        sleep(Duration::from_millis(1_600)).await;
        send_requests(&host, REQUESTS).await;
        assert_eq!(one.open.get(), REQUESTS);
        let _second = TestHost::start_with_seeds(own_address(), vec![host.peers]);
        host.wait_for_hosts(2).await;
        sleep(Duration::from_millis(50)).await;
        send_requests(&host, REQUESTS).await;
        sleep(Duration::from_millis(50)).await;
        // Half of the target's limit of 16 connections.
        assert!(one.open.get() <= 8, "{} connections", one.open.get());
        assert!(one.open.get() >= 1);
    });
}

/// Sends `count` requests at once and awaits their answers.
async fn send_requests(host: &TestHost, count: usize) {
    let mut all = JoinSet::new();
    for _ in 0..count {
        let mut stream = host.connect().await;
        all.spawn_local(async move {
            stream.write_all(b"GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n").await?;
            read_message(&mut stream).await.ok_or(ErrorKind::UnexpectedEof.into())
        });
    }
    while let Some(answer) = all.join_next().await {
        let answer: std::io::Result<String> = answer.expect("the task ends");
        assert_eq!(status(&answer.expect("an answer")), 200);
    }
}
