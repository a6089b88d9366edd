//! Which configuration is in force while the platform fails or lies.

mod bag;

use std::time::Duration;

use bag::Bag;
use base::{Revision, ServiceName};
use fleet::Node;

const SETTLE: Duration = Duration::from_secs(6);

fn started(seed: u64, domains: &[usize]) -> Bag {
    base::invariant::panic_when_broken();
    let mut bag = Bag::new(seed, domains);
    bag.platform.publish_basics(domains.len());
    bag.start_all();
    bag.run_for(SETTLE);
    for (_, host, node) in bag.running() {
        assert_eq!(node.findings(), [], "at {}", host.seed.host);
    }
    bag
}

fn weight(node: &Node) -> Option<u32> {
    node.configuration().services.get(&ServiceName::new("s")).map(|it| it.weight)
}

#[track_caller]
fn assert_weights(bag: &Bag, expected: Option<u32>) {
    for (_, host, node) in bag.running() {
        assert_eq!(weight(node), expected, "at {}", host.seed.host);
    }
}

#[test]
#[allow(clippy::print_stdout)]
fn change_is_soon_in_force_everywhere() {
    let mut bag = started(1, &[20, 20, 20]);
    bag.platform.publish_service(7);
    let begin = bag.now;
    while bag.running().any(|(_, _, node)| weight(node) != Some(7)) {
        bag.run_for(Duration::from_millis(5));
        assert!(bag.now.since(begin) < SETTLE, "not in force everywhere after {SETTLE:?}");
    }
    println!("in force on 60 hosts after {:?}", bag.now.since(begin));
}

#[test]
fn configuration_comes_into_force_whole() {
    let mut bag = Bag::new(9, &[2, 2]);
    bag.platform.publish_basics(2);
    bag.start_all();
    bag.run_for(SETTLE);
    let newest = bag.platform.newest();
    assert!(!bag.in_force.is_empty());
    for revision in &bag.in_force {
        assert_eq!(*revision, newest, "a part was in force");
    }
}

#[test]
fn invalid_document_leaves_the_former_in_force() {
    let mut bag = started(2, &[3, 3]);
    bag.platform.publish("service/s", Some("kind: service\nname: s\nweight: none\n"));
    bag.run_for(SETTLE);
    assert_weights(&bag, Some(1));
    for (_, host, node) in bag.running() {
        assert!(!node.findings().is_empty(), "no findings at {}", host.seed.host);
    }
    // A host that starts now learns the former from its peers.
    bag.kill(0);
    bag.start(0);
    bag.run_for(SETTLE);
    assert_weights(&bag, Some(1));
    bag.platform.publish_service(3);
    bag.run_for(SETTLE);
    assert_weights(&bag, Some(3));
    assert!(bag.running().all(|(_, _, node)| node.findings().is_empty()));
}

#[test]
fn deletion_is_a_revision() {
    let mut bag = started(3, &[2, 2]);
    let before = bag.platform.newest();
    bag.platform.publish("service/s", None);
    bag.run_for(SETTLE);
    assert_weights(&bag, None);
    // A replica that still has the document does not bring it back, neither
    // to those that know nor to one that starts.
    bag.platform.stale_at = Some(before);
    bag.kill(1);
    bag.start(1);
    bag.run_for(SETTLE);
    assert_weights(&bag, None);
}

#[test]
fn document_of_another_key_or_an_unknown_pool_stays_out() {
    let mut bag = started(4, &[2]);
    let text = "kind: service\nname: other\nteam: t\npool: p\ndeadline-ms: 100\nprefer: latency\n";
    bag.platform.publish("service/s", Some(text));
    let text =
        "kind: service\nname: lost\nteam: t\npool: nowhere\ndeadline-ms: 100\nprefer: latency\n";
    bag.platform.publish("service/lost", Some(text));
    bag.run_for(SETTLE);
    assert_weights(&bag, Some(1));
    let (_, _, node) = bag.running().next().expect("a host runs");
    assert_eq!(node.configuration().services.len(), 1);
    assert_eq!(node.findings().len(), 2);
}

#[test]
fn host_started_during_an_outage_learns_from_peers() {
    let mut bag = started(5, &[2, 2]);
    bag.platform.publish_service(4);
    bag.run_for(SETTLE);
    bag.platform.is_down = true;
    bag.kill(3);
    bag.start(3);
    bag.run_for(SETTLE);
    assert_weights(&bag, Some(4));
    assert!(bag.running().all(|(_, _, node)| node.readiness().is_ok()));
}

#[test]
fn restored_older_platform_changes_nothing_and_is_reported() {
    let mut bag = started(6, &[2, 2]);
    bag.platform.publish_service(6);
    bag.run_for(SETTLE);
    bag.platform.stale_at = Some(Revision(2));
    bag.run_for(SETTLE);
    assert_weights(&bag, Some(6));
    let findings = bag.running().flat_map(|(_, _, node)| node.findings());
    assert!(findings.into_iter().any(|it| it.to_string().contains("newest revision 2 is below")));
}

#[test]
fn domain_cut_from_the_platform_hears_from_the_others() {
    let mut bag = started(7, &[3, 3, 3]);
    for at in 0..3 {
        bag.hosts[at].reaches_platform = false;
    }
    bag.platform.publish_service(8);
    bag.run_for(SETTLE);
    assert_weights(&bag, Some(8));
}

#[test]
fn cut_off_hosts_together_stay_within_the_platforms_rate() {
    let mut bag = started(8, &[10, 10]);
    for at in 0..20 {
        bag.hosts[at].side = at as u32 + 1;
    }
    bag.run_for(Duration::from_secs(30));
    let before = bag.platform.calls;
    bag.run_for(Duration::from_secs(10));
    let calls = bag.platform.calls - before;
    assert!(calls < 2_000 * 10, "{calls} calls in 10 s");
}
