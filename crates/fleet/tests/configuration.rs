//! Tests of the configuration in force while the platform fails or serves stale
//! or invalid documents.

mod simulation;

use std::time::Duration;

use base::{Revision, ServiceName};
use fleet::Node;
use simulation::Simulation;

const SETTLE_TIME: Duration = Duration::from_secs(6);

fn started(seed: u64, domains: &[usize]) -> Simulation {
    base::invariant::panic_when_broken();
    let mut sim = Simulation::new(seed, domains);
    sim.platform.publish_basics(domains.len());
    sim.start_all();
    sim.run_for(SETTLE_TIME);
    for (_, host, node) in sim.running() {
        assert_eq!(node.findings(), [], "at {}", host.seed.host);
    }
    sim
}

fn weight(node: &Node) -> Option<u32> {
    node.configuration().services.get(&ServiceName::new("s")).map(|it| it.weight)
}

#[track_caller]
fn assert_weights(sim: &Simulation, expected: Option<u32>) {
    for (_, host, node) in sim.running() {
        assert_eq!(weight(node), expected, "at {}", host.seed.host);
    }
}

#[test]
#[allow(clippy::print_stdout)]
fn change_is_soon_in_force_everywhere() {
    let mut sim = started(1, &[20, 20, 20]);
    sim.platform.publish_service(7);
    let begin = sim.now;
    while sim.running().any(|(_, _, node)| weight(node) != Some(7)) {
        sim.run_for(Duration::from_millis(5));
        assert!(
            sim.now.since(begin) < SETTLE_TIME,
            "not in force everywhere after {SETTLE_TIME:?}"
        );
    }
    println!("in force on 60 hosts after {:?}", sim.now.since(begin));
}

#[test]
fn configuration_comes_into_force_whole() {
    let mut sim = Simulation::new(9, &[2, 2]);
    sim.platform.publish_basics(2);
    sim.start_all();
    sim.run_for(SETTLE_TIME);
    let newest = sim.platform.newest();
    assert!(!sim.in_force.is_empty());
    for revision in &sim.in_force {
        assert_eq!(*revision, newest, "an incomplete configuration was in force");
    }
}

#[test]
fn invalid_document_leaves_the_former_in_force() {
    let mut sim = started(2, &[3, 3]);
    sim.platform.publish("service/s", Some("kind: service\nname: s\nweight: none\n"));
    sim.run_for(SETTLE_TIME);
    assert_weights(&sim, Some(1));
    for (_, host, node) in sim.running() {
        assert!(!node.findings().is_empty(), "no findings at {}", host.seed.host);
    }
    // A host that starts now receives the former revision from its peers.
    sim.kill(0);
    sim.start(0);
    sim.run_for(SETTLE_TIME);
    assert_weights(&sim, Some(1));
    sim.platform.publish_service(3);
    sim.run_for(SETTLE_TIME);
    assert_weights(&sim, Some(3));
    assert!(sim.running().all(|(_, _, node)| node.findings().is_empty()));
}

#[test]
fn deleted_document_stays_deleted() {
    let mut sim = started(3, &[2, 2]);
    let before = sim.platform.newest();
    sim.platform.publish("service/s", None);
    sim.run_for(SETTLE_TIME);
    assert_weights(&sim, None);
    // A stale replica that still has the document does not bring it back,
    // neither on running hosts nor on one that starts.
    sim.platform.stale_at = Some(before);
    sim.kill(1);
    sim.start(1);
    sim.run_for(SETTLE_TIME);
    assert_weights(&sim, None);
}

#[test]
fn document_of_another_key_or_an_unknown_pool_stays_out() {
    let mut sim = started(4, &[2]);
    let text = "kind: service\nname: other\nteam: t\npool: p\ndeadline-ms: 100\nprefer: latency\n";
    sim.platform.publish("service/s", Some(text));
    let text =
        "kind: service\nname: lost\nteam: t\npool: nowhere\ndeadline-ms: 100\nprefer: latency\n";
    sim.platform.publish("service/lost", Some(text));
    sim.run_for(SETTLE_TIME);
    assert_weights(&sim, Some(1));
    let (_, _, node) = sim.running().next().expect("a host runs");
    assert_eq!(node.configuration().services.len(), 1);
    assert_eq!(node.findings().len(), 2);
}

#[test]
fn host_started_during_an_outage_learns_from_peers() {
    let mut sim = started(5, &[2, 2]);
    sim.platform.publish_service(4);
    sim.run_for(SETTLE_TIME);
    sim.platform.is_down = true;
    sim.kill(3);
    sim.start(3);
    sim.run_for(SETTLE_TIME);
    assert_weights(&sim, Some(4));
    assert!(sim.running().all(|(_, _, node)| node.readiness().is_ok()));
}

#[test]
fn restored_older_platform_changes_nothing_and_is_reported() {
    let mut sim = started(6, &[2, 2]);
    sim.platform.publish_service(6);
    sim.run_for(SETTLE_TIME);
    sim.platform.stale_at = Some(Revision(2));
    sim.run_for(SETTLE_TIME);
    assert_weights(&sim, Some(6));
    let findings = sim.running().flat_map(|(_, _, node)| node.findings());
    assert!(findings.into_iter().any(|it| it.to_string().contains("newest revision 2 is below")));
}

/// Guards against hosts that take no change of a restored platform until it has numbered
/// above what they hold, and then miss all below.
#[test]
fn changes_of_a_restored_platform_come_into_force() {
    let mut sim = started(6, &[2, 2]);
    for weight in 6..16 {
        sim.platform.publish_service(weight);
    }
    sim.run_for(SETTLE_TIME);
    assert_weights(&sim, Some(15));
    sim.platform.restore(9);
    sim.run_for(SETTLE_TIME);
    // What was in force doesn't revert by itself.
    assert_weights(&sim, Some(15));
    sim.platform.publish_service(20);
    sim.run_for(SETTLE_TIME);
    assert_weights(&sim, Some(20));
    let findings: Vec<_> = sim.running().flat_map(|(_, _, node)| node.findings()).collect();
    assert!(findings.is_empty(), "{findings:?}");
}

/// Same as above, if the platform is as far as before when hosts read it again.
#[test]
fn changes_of_a_restored_platform_are_not_missed_once_it_is_as_far_as_before() {
    let mut sim = started(7, &[2, 2]);
    for weight in 6..16 {
        sim.platform.publish_service(weight);
    }
    sim.run_for(SETTLE_TIME);
    sim.platform.is_down = true;
    sim.run_for(SETTLE_TIME);
    sim.platform.restore(9);
    sim.platform.publish_service(20);
    let domain = "kind: domain\nname: d0\nregion: r0\nstate: in\n";
    for _ in 0..12 {
        sim.platform.publish("domain/d0", Some(domain));
    }
    sim.platform.is_down = false;
    sim.run_for(SETTLE_TIME);
    assert_weights(&sim, Some(20));
}

#[test]
fn domain_without_the_platform_learns_from_other_domains() {
    let mut sim = started(7, &[3, 3, 3]);
    for at in 0..3 {
        sim.hosts[at].reaches_platform = false;
    }
    sim.platform.publish_service(8);
    sim.run_for(SETTLE_TIME);
    assert_weights(&sim, Some(8));
}

#[test]
fn cut_off_hosts_together_stay_within_the_platforms_rate() {
    let mut sim = started(8, &[10, 10]);
    for at in 0..20 {
        sim.hosts[at].partition = at as u32 + 1;
    }
    sim.run_for(Duration::from_secs(30));
    let before = sim.platform.calls;
    sim.run_for(Duration::from_secs(10));
    let calls = sim.platform.calls - before;
    assert!(calls < 2_000 * 10, "{calls} calls in 10 s");
}
