//! Hosts of a domain that follow readers which the source no longer reaches.

mod support;

use std::{rc::Rc, time::Duration};

use forward::{Configuration, Provenance, Repeat, budget::RetryLimits, placement::Limits};
use support::{
    Reply, TestHost, ok, own_address, report, run, source::ScriptedSource, status, target,
};
use tokio::time::{Instant, sleep, sleep_until};

/// A domain of so many hosts has two readers.
const HOSTS: usize = 6;
const READERS: usize = 2;

const LEAVING_FOR: Duration = Duration::from_millis(3_200);
const RECOVERY: Duration = Duration::from_secs(4);
const MARGIN: Duration = Duration::from_millis(100);

/// A host with the source as it sees it.
struct Member {
    host: TestHost,
    source: Rc<ScriptedSource>,
}

impl Member {
    async fn reads_source(&self) -> bool {
        self.host.gauge("front_reads_source").await == Some(1)
    }
}

fn version(version: u64) -> Configuration {
    Configuration { version, ..Configuration::default() }
}

async fn domain(targets: &[(&str, &str, std::net::SocketAddr)]) -> Vec<Member> {
    let limits = Limits {
        retry: RetryLimits { ratio: 0.05, window: Duration::from_secs(10), slack: 10.0 },
        cold_ratio: 1.0,
        cold_slack: 0.0,
        cross_domain: Duration::from_millis(2),
        leaving_for: LEAVING_FOR,
    };
    let addresses: Vec<_> = (0..HOSTS).map(|_| own_address()).collect();
    let mut members = Vec::new();
    for address in &addresses {
        let source = Rc::new(ScriptedSource::default());
        source.publish(version(1));
        for (service, name, at) in targets {
            source.list(report(service, name, *at));
        }
        let mut host =
            TestHost::start_with(*address, addresses.clone(), |it| it.source_recovery(RECOVERY));
        host.cx.set_limits(limits.clone());
        host.single(Repeat::Idempotent);
        members.push(Member { host, source });
    }
    for it in &members {
        it.host.wait_for_hosts(HOSTS).await;
        it.host.follow_targets(&it.source);
        it.host.follow_configuration(&it.source);
    }
    members
}

/// Waits until there are as many readers as wanted; returns which hosts they are.
async fn wait_for_readers(members: &[Member]) -> Vec<bool> {
    loop {
        let mut readers = Vec::new();
        for it in members {
            readers.push(it.reads_source().await);
        }
        if readers.iter().filter(|it| **it).count() == READERS {
            return readers;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against requests to targets that left while the readers were cut off from the
/// source: a follower must not take what its reader doesn't know for never having
/// happened.
#[test]
fn followers_of_readers_that_are_cut_off_use_a_target_that_left_no_longer() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let targets =
            [("s", "t1", one.address), ("other", "t2", one.address), ("other", "t3", one.address)];
        let mut members = domain(&targets).await;
        let readers = wait_for_readers(&members).await;
        for it in &members {
            while status(&it.host.get("/one/x").await) != 200 {
                sleep(Duration::from_millis(20)).await;
            }
        }
        // Followers call their readers soon after the target has left, and get no change.
        sleep(Duration::from_millis(800)).await;
        let cut = members.iter().zip(&readers).filter(|(_, is_reader)| **is_reader);
        cut.for_each(|(it, _)| it.source.cut_off());
        let left = Instant::now();
        members.iter().for_each(|it| it.source.remove("t1"));
        sleep_until(left + LEAVING_FOR + MARGIN).await;
        // A host that can't serve a request passes it on, also to one that is cut off.
        for (it, _) in members.iter_mut().zip(&readers).filter(|(_, is_reader)| **is_reader) {
            it.host.stop();
        }
        for (it, _) in members.iter().zip(&readers).filter(|(_, is_reader)| !**is_reader) {
            assert_ne!(status(&it.host.get("/one/x").await), 200);
        }
    });
}

/// On-call engineers have to see from where a host has its configuration, and since when it
/// is known to be the newest one.
#[test]
fn hosts_know_who_proved_their_configuration_and_when() {
    run(async {
        let members = domain(&[]).await;
        // While a domain settles, hosts change between the source and readers.
        for next in 9.. {
            let readers = wait_for_readers(&members).await;
            members.iter().for_each(|it| it.source.publish(version(next)));
            for it in &members {
                while it.host.cx.version() < next {
                    sleep(Duration::from_millis(20)).await;
                }
            }
            let is_as_read = |(it, is_reader): (&Member, &bool)| {
                let cx = &it.host.cx;
                let is_recent =
                    cx.configuration_age(cx.clock.now()).is_some_and(|it| it < RECOVERY);
                let is_right = match cx.configuration_provenance() {
                    Provenance::Source => *is_reader,
                    Provenance::Reader(_) => !is_reader,
                    Provenance::Local | Provenance::Peer(_) | Provenance::Unknown => false,
                };
                is_recent && is_right
            };
            if members.iter().zip(&readers).all(is_as_read) {
                return;
            }
        }
    });
}

/// Guards against hosts that leave the readers of their domain, as these proved somewhat
/// earlier what the host knows itself, and then follow nothing.
#[test]
fn a_reader_that_the_source_rejects_follows_the_other_one() {
    run(async {
        let members = domain(&[]).await;
        let readers = wait_for_readers(&members).await;
        let readers = members.iter().zip(readers).filter(|(_, is_reader)| *is_reader);
        let readers: Vec<&Member> = readers.map(|(it, _)| it).collect();
        let age = |it: &Member| it.host.cx.configuration_age(it.host.cx.clock.now());
        // The source's answers come to one of them somewhat later.
        readers[1].source.set_delay(Duration::from_millis(200));
        while age(readers[0]).map(|it| it + Duration::from_millis(200)) >= age(readers[1]) {
            sleep(Duration::from_millis(20)).await;
        }
        readers[0].source.set_unreachable(true);
        let left = Instant::now();
        // Calls for targets fail after the pause between them. Whenever the host tries the
        // source again, it follows nothing for a moment.
        sleep(Duration::from_millis(1_800)).await;
        let host = &readers[0].host;
        let follows_reader = async || {
            let provenance = host.cx.configuration_provenance();
            let is_following = host.gauge("front_follows_source").await == Some(1);
            is_following && matches!(provenance, Provenance::Reader(_))
        };
        while !follows_reader().await {
            assert!(left.elapsed() < RECOVERY, "{:?}", host.cx.configuration_provenance());
            sleep(Duration::from_millis(20)).await;
        }
    });
}
