//! Detection that no target answers a host, and the choice of hosts that help it.

mod services;

use std::{net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use base::{DomainName, HashMap};
use forward::{
    Verdict, helpers,
    peers::Host,
    placement::{Send, TargetKey},
    senders::Senders,
    target::SendResult,
};

use services::{ServicesFixture, at};

/// A host whose targets answered until 1 s, with sends in flight since then.
fn waiting_host() -> (ServicesFixture, Vec<Send>) {
    let mut it = ServicesFixture::new(4, 2);
    for service in 0..4 {
        let send = it.send(service, at(1_000));
        it.targets.finish_send(&send, at(1_000), SendResult::Answered);
    }
    let sends = (0..4).map(|service| it.send(service, at(1_001))).collect();
    (it, sends)
}

/// Evaluates reach each 100 ms; returns whether the targets are lost at the end.
fn is_lost(it: &mut ServicesFixture, from: u64, until: u64) -> bool {
    (from..=until).step_by(100).for_each(|ms| {
        it.targets.update_reach(at(ms));
    });
    it.targets.has_lost_targets()
}

#[test]
fn a_host_whose_targets_all_fall_silent_knows_within_a_second() {
    let (mut it, _) = waiting_host();
    assert!(!is_lost(&mut it, 1_000, 1_300));
    assert!(is_lost(&mut it, 1_400, 2_000));
}

#[test]
fn a_host_whose_connections_are_refused_knows_too() {
    let (mut it, sends) = waiting_host();
    for send in sends {
        it.targets.finish_send(&send, at(1_010), SendResult::Unreachable);
    }
    assert!(is_lost(&mut it, 1_100, 2_000));
}

#[test]
fn a_host_with_a_single_target_knows_too() {
    let mut it = ServicesFixture::new(1, 1);
    it.send(0, at(1_000));
    assert!(is_lost(&mut it, 1_100, 2_000));
}

#[test]
fn one_answer_shows_that_targets_are_in_reach() {
    for result in
        [SendResult::Answered, SendResult::Shed, SendResult::Failed, SendResult::Misdirected]
    {
        let (mut it, sends) = waiting_host();
        assert!(!is_lost(&mut it, 1_000, 1_400));
        it.targets.finish_send(&sends[0], at(1_450), result);
        assert!(!is_lost(&mut it, 1_500, 1_800));
        assert!(is_lost(&mut it, 1_900, 2_400), "the others are silent still");
    }
}

/// After a freeze all answers are old until they are read.
#[test]
fn a_host_that_wakes_from_a_freeze_has_not_lost_its_targets() {
    let (mut it, sends) = waiting_host();
    assert!(!it.targets.update_reach(at(5_000)));
    for send in sends {
        it.targets.finish_send(&send, at(5_001), SendResult::Answered);
    }
    assert!(!is_lost(&mut it, 5_100, 5_900));
}

#[test]
fn an_idle_host_has_not_lost_its_targets() {
    let mut it = ServicesFixture::new(4, 2);
    assert!(!is_lost(&mut it, 0, 60_000));
}

/// Evaluates checks of reach and reach each 100 ms, as a host does. A connection to a target
/// is made if `connects`. Returns the number of connections that were opened.
fn check_reach(
    it: &mut ServicesFixture,
    from: u64,
    until: u64,
    connects: impl Fn(TargetKey) -> bool,
) -> usize {
    let mut opened = 0;
    for ms in (from..=until).step_by(100) {
        let due = it.targets.due_reach_checks(at(ms));
        opened += due.len();
        for key in due.into_iter().filter(|it| connects(*it)) {
            it.targets.probe_succeeded(key, at(ms));
        }
        it.targets.update_reach(at(ms));
    }
    opened
}

/// RECOVER: a host with few requests or none took it that it reaches its targets, as it had not
/// heard otherwise, until requests of its own hung at three of them.
#[test]
fn a_host_without_requests_learns_that_its_targets_are_cut_off() {
    for (services, targets) in [(1, 1), (1, 9), (4, 2), (60, 3)] {
        let mut it = ServicesFixture::new(services, targets);
        check_reach(&mut it, 0, 5_000, |_| true);
        assert!(!it.targets.has_lost_targets());
        check_reach(&mut it, 5_100, 7_100, |_| false);
        assert!(it.targets.has_lost_targets(), "{services} services, {targets} targets each");
        check_reach(&mut it, 7_200, 7_800, |_| true);
        assert!(!it.targets.has_lost_targets());
    }
}

/// RECOVER: same as above, for a host with one request in flight.
#[test]
fn a_host_with_a_single_request_in_flight_learns_of_a_cut_sooner() {
    let mut it = ServicesFixture::new(4, 2);
    check_reach(&mut it, 0, 5_000, |_| true);
    it.send(0, at(5_050));
    check_reach(&mut it, 5_100, 6_300, |_| false);
    assert!(it.targets.has_lost_targets());
}

#[test]
fn targets_that_hang_are_not_taken_for_a_cut() {
    let mut it = ServicesFixture::new(4, 2);
    for ms in (0..20_000).step_by(500) {
        for service in 0..4 {
            it.place(service, at(ms));
        }
        check_reach(&mut it, ms, ms + 400, |_| true);
        assert!(!it.targets.has_lost_targets(), "at {ms} ms");
    }
}

#[test]
fn some_targets_that_are_lost_are_not_taken_for_a_cut() {
    let mut it = ServicesFixture::new(4, 5);
    let keys: Vec<TargetKey> = it.target_keys().to_vec();
    for left in 0..keys.len() {
        let in_reach =
            |it| keys.iter().position(|key| *key == it).is_some_and(|i| i % 3 == left % 3);
        check_reach(&mut it, left as u64 * 10_000, left as u64 * 10_000 + 9_900, in_reach);
        assert!(!it.targets.has_lost_targets());
    }
}

/// Guards against a quiet host that takes targets in trouble for a cut of its own: it counted
/// those that are down as silent, and did not ask enough of the others.
#[test]
fn targets_that_are_down_are_not_taken_for_a_cut_while_others_are_in_reach() {
    let mut it = ServicesFixture::new(1, 9);
    check_reach(&mut it, 0, 5_000, |_| true);
    let keys: Vec<TargetKey> = it.target_keys().to_vec();
    // The sixth target is lost too, which this host does not know yet.
    let (down, lost) = (&keys[..5], &keys[..6]);
    for key in down {
        let send = it.send_to(*key, at(5_050));
        it.targets.finish_send(&send, at(5_060), SendResult::Unreachable);
    }
    for ms in (5_100..20_000).step_by(100) {
        check_reach(&mut it, ms, ms, |key| !lost.contains(&key));
        assert!(!it.targets.has_lost_targets(), "at {ms} ms");
    }
}

/// Connections of checks cost the targets of a quiet fleet something, so they are few.
#[test]
fn an_idle_host_opens_one_connection_a_second_and_a_busy_one_none() {
    let mut it = ServicesFixture::new(4, 2);
    let opened = check_reach(&mut it, 0, 60_000, |_| true);
    assert!((50..=60).contains(&opened), "{opened} in a minute");
    let opened: usize = (60_100..120_000)
        .step_by(300)
        .map(|ms| {
            let send = it.send(0, at(ms));
            it.targets.finish_send(&send, at(ms), SendResult::Answered);
            check_reach(&mut it, ms, ms + 200, |_| true)
        })
        .sum();
    assert_eq!(opened, 0);
}

/// Connections of a check may have been made before the host was frozen.
#[test]
fn a_host_that_was_frozen_in_a_check_has_not_lost_its_targets() {
    for frozen_at in (5_000..6_800).step_by(100) {
        let mut it = ServicesFixture::new(4, 2);
        check_reach(&mut it, 0, 5_000, |_| true);
        check_reach(&mut it, 5_100, frozen_at, |_| false);
        if it.targets.has_lost_targets() {
            continue;
        }
        let woken = frozen_at + 3_000;
        it.targets.update_reach(at(woken));
        let due = it.targets.due_reach_checks(at(woken));
        let made = due.first().copied().unwrap_or(it.target_keys()[0]);
        it.targets.probe_succeeded(made, at(woken + 10));
        assert!(!is_lost(&mut it, woken + 100, woken + 400), "frozen at {frozen_at} ms");
    }
}

#[test]
fn lost_targets_are_probed_and_the_first_that_is_reached_ends_the_loss() {
    let (mut it, _) = waiting_host();
    assert!(is_lost(&mut it, 1_100, 2_000));
    let due: Vec<_> = (2_000..4_000).flat_map(|ms| it.targets.due_probes(at(ms))).collect();
    assert!(due.len() >= 4, "{due:?}");
    it.targets.probe_succeeded(due[0], at(4_000));
    assert!(!it.targets.has_lost_targets());
}

fn host(index: u16, domain: &str, has_lost_targets: bool) -> Host {
    let [high, low] = index.to_be_bytes();
    let address = ([10, 0, high, low], 7_000).into();
    let domain = DomainName::new(domain);
    Host { address, domain, capacity: 1_000, reads_source: false, has_lost_targets }
}

#[test]
fn helpers_have_not_lost_their_targets_and_some_are_of_other_domains() {
    let local = (0..6).map(|it| host(it, "a", it < 3));
    let remote = (6..30).map(|it| host(it, "b", it < 9));
    let hosts: Vec<Host> = local.chain(remote).collect();
    let chosen = helpers::choose(&hosts[0], &hosts);
    assert!(chosen.iter().all(|it| !it.has_lost_targets));
    let count = |name: &str| chosen.iter().filter(|it| it.domain.as_str() == name).count();
    assert_eq!((count("a"), count("b")), (3, 4));
    let all_lost: Vec<Host> = (0..6).map(|it| host(it, "a", true)).collect();
    assert!(helpers::choose(&all_lost[0], &all_lost).is_empty());
}

#[test]
fn a_whole_domain_that_is_cut_off_spreads_its_requests() {
    let lost = (0..50).map(|it| host(it, "a", true));
    let hosts: Vec<Host> = lost.chain((50..100).map(|it| host(it, "b", false))).collect();
    let mut load: HashMap<SocketAddr, usize> = HashMap::default();
    for own in hosts.iter().filter(|it| it.has_lost_targets) {
        let chosen = helpers::choose(own, &hosts);
        assert_eq!(chosen.len(), 4);
        chosen.iter().for_each(|it| *load.entry(it.address).or_default() += 1);
    }
    // Evenly spread, each of the 50 would help four hosts.
    let most = load.values().max().copied().unwrap_or(0);
    assert!(load.len() >= 20 && most <= 30, "{} hosts, at most {most}", load.len());
}

#[test]
fn senders_that_lost_their_targets_are_replaced_unless_all_did() {
    let domains = [DomainName::new("a"), DomainName::new("b")];
    let choose = |hosts: &[Host]| Senders::choose(hosts, &domains, 100.0);
    let well: Vec<Host> =
        (0..20).map(|it| host(it, ["a", "b"][usize::from(it % 2)], false)).collect();
    let first = choose(&well).of_domain(&domains[0])[0].clone();
    let lose = |is_lost: &dyn Fn(&Host) -> bool| -> Vec<Host> {
        well.iter().map(|it| Host { has_lost_targets: is_lost(it), ..it.clone() }).collect()
    };
    let one_lost = choose(&lose(&|it| it.address == first.address));
    assert!(one_lost.of_domain(&domains[0]).iter().all(|it| it.address != first.address));
    assert_eq!(one_lost.count(), choose(&well).count());
    let domain_lost = choose(&lose(&|it| it.domain == domains[0]));
    assert!(domain_lost.of_domain(&domains[0]).is_empty());
    assert!(!domain_lost.of_domain(&domains[1]).is_empty());
    let all_lost = choose(&lose(&|_| true));
    assert_eq!(all_lost.count(), choose(&well).count());
}

/// A request that is sent when the targets fall silent.
fn verdict_of_silent_request(is_idempotent: bool, has_helper: bool, until: u64) -> Verdict {
    let mut it = ServicesFixture::new(1, 2);
    let (own, other) = (host(1, "a", false), host(2, "a", !has_helper));
    it.targets.update_senders(&own, &[own.clone(), other], &[], at(0));
    let mut query = it.query(1, is_idempotent, 10_000, at(1_000));
    query.place(&mut it.targets, 0, at(1_000));
    it.send(0, at(1_000));
    let mut verdict = Verdict::Wait(at(1_000));
    for ms in (1_000..=until).step_by(100) {
        it.targets.update_reach(at(ms));
        verdict = query.poll(&mut it.targets, at(ms)).1;
    }
    verdict
}

#[test]
fn requests_in_flight_end_when_their_answers_are_lost_and_callers_are_served_elsewhere() {
    assert_eq!(verdict_of_silent_request(true, true, 4_000), Verdict::GiveUp);
    // Others may have lost their targets too, and have not said so yet.
    assert_matches!(verdict_of_silent_request(true, true, 2_000), Verdict::Wait(_));
    assert_matches!(verdict_of_silent_request(true, false, 4_000), Verdict::Wait(_));
    assert_matches!(verdict_of_silent_request(false, true, 4_000), Verdict::Wait(_));
}

/// Answers of hosts that help say nothing about targets.
#[test]
fn answers_of_other_hosts_are_no_sign_of_targets() {
    let (mut it, _) = waiting_host();
    let (own, other) = (host(1, "a", false), host(2, "a", false));
    it.targets.update_senders(&own, &[own.clone(), other], &[], at(1_000));
    let helpers = it.targets.helpers().expect("a group");
    for ms in (1_100..2_500).step_by(100) {
        let send = it.send_to_group(helpers, at(ms));
        it.targets.finish_send(&send, at(ms) + Duration::from_millis(5), SendResult::Answered);
        it.targets.update_reach(at(ms));
    }
    assert!(it.targets.has_lost_targets());
}

/// RECOVER: a host that was cut off took a connection to another host for one to a target, so that
/// its loss ended and its requests went to targets in vain.
#[test]
fn connections_to_other_hosts_are_no_sign_of_targets() {
    let (mut it, _) = waiting_host();
    let (own, other) = (host(1, "a", false), host(2, "a", false));
    it.targets.update_senders(&own, &[own.clone(), other], &[], at(1_000));
    assert!(is_lost(&mut it, 1_100, 2_000));
    let helpers = it.targets.helpers().expect("a group");
    let send = it.send_to_group(helpers, at(2_000));
    it.targets.finish_send(&send, at(2_050), SendResult::Unreachable);
    let due: Vec<TargetKey> = (2_100..4_000).flat_map(|ms| it.targets.due_probes(at(ms))).collect();
    assert!(due.contains(&send.target));
    it.targets.probe_succeeded(send.target, at(4_000));
    assert!(it.targets.has_lost_targets());
    let down = it.targets.target(send.target).map(|it| it.is_down());
    assert_eq!(down, Some(false), "the host is asked again");
}
