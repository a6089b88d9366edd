//! Who owns targets while hosts start, stop, die, pause or are cut off.

mod simulation;

use std::time::Duration;

use assert_matches::assert_matches;
use base::{HashMap, Share, TargetName, Time};
use fleet::{Input, NotReady};
use simulation::{Simulation, limits};

/// Long enough for a fresh fleet to own all of its targets.
const START: Duration = Duration::from_secs(10);

fn started(seed: u64, domains: &[usize]) -> Simulation {
    base::invariant::panic_when_broken();
    let mut sim = Simulation::new(seed, domains);
    sim.platform.publish_basics(domains.len());
    sim.start_all();
    sim.run_for(START);
    sim
}

fn shares(sim: &Simulation, at: usize) -> Vec<(TargetName, Share)> {
    let (_, _, node) = sim.running().find(|it| it.0 == at).expect("the host runs");
    node.shares(sim.local(at))
}

/// Shares of those targets that the host is primary for.
fn primaries(sim: &Simulation, at: usize) -> HashMap<TargetName, Share> {
    // A primary may use two fifths of the connections, a standby one.
    let is_primary = |it: &Share, all: u32| it.connections * 5 >= all * 2;
    let all = shares(sim, at).into_iter();
    all.filter(|(target, share)| is_primary(share, limits(target).1)).collect()
}

/// Targets of the domain whose slots are all in use.
fn fully_used(sim: &Simulation, domain: &str) -> usize {
    let used = sim.used();
    let (_, _, node) = sim.running().next().expect("a host runs");
    let configuration = node.configuration();
    let ours = configuration.targets().filter(|it| *it.domain == *domain);
    ours.filter(|it| used.get(&it.name).is_some_and(|used| used.slots == it.slots)).count()
}

/// Time until all three targets of the domain are in full use.
fn time_until_full(sim: &mut Simulation, domain: &str, limit: Duration) -> Duration {
    let begin = sim.now;
    while fully_used(sim, domain) < 3 {
        assert!(sim.now.since(begin) < limit, "not in full use after {limit:?}");
        sim.run_for(Duration::from_millis(20));
        sim.assert_within_limits();
    }
    sim.now.since(begin)
}

#[test]
#[allow(clippy::print_stdout)]
fn fresh_fleet_owns_all_targets_soon() {
    let mut sim = Simulation::new(1, &[2, 2, 2]);
    sim.platform.publish_basics(3);
    sim.start_all();
    sim.run_for(Duration::from_millis(1_500));
    for (_, host, node) in sim.running() {
        assert_eq!(node.readiness(), Ok(()), "{}", host.seed.host);
    }
    let time =
        (0..3).map(|it| time_until_full(&mut sim, &format!("d{it}"), START)).sum::<Duration>();
    println!("first shares {:?} after the start", time + Duration::from_millis(1_500));
}

#[test]
fn fleet_with_one_seed_comes_together_and_the_seed_restarts_alone() {
    base::invariant::panic_when_broken();
    let mut sim = Simulation::new(9, &[3, 2, 1]);
    sim.platform.publish_basics(3);
    sim.seeds = 1;
    sim.start_all();
    sim.run_for(START * 3);
    (0..3).for_each(|it| assert_eq!(fully_used(&sim, &format!("d{it}")), 3, "d{it}"));
    sim.hosts[0].side = 9;
    sim.kill(0);
    sim.start(0);
    for _ in 0..300 {
        sim.run_for(Duration::from_millis(100));
        sim.assert_within_limits();
    }
    sim.hosts[0].side = 0;
    time_until_full(&mut sim, "d0", START);
}

#[test]
fn fleet_restarted_during_an_outage_is_not_ready_and_says_why() {
    let mut sim = started(2, &[2, 2]);
    sim.platform.is_down = true;
    (0..4).for_each(|it| sim.kill(it));
    sim.start_all();
    sim.run_for(START * 2);
    for (at, _, node) in sim.running() {
        assert_matches!(node.readiness(), Err(NotReady::Unconfirmed));
        assert!(node.shares(sim.local(at)).is_empty());
    }
    sim.platform.is_down = false;
    sim.run_for(START * 2);
    assert!(sim.running().all(|(_, _, node)| node.readiness().is_ok()));
    assert_eq!(fully_used(&sim, "d0"), 3);
}

#[test]
#[allow(clippy::print_stdout)]
fn killed_host_is_replaced() {
    for domains in [&[2, 2, 2][..], &[3, 3]] {
        let mut sim = started(3, domains);
        let owner = (0..domains[0]).find(|&it| !primaries(&sim, it).is_empty());
        sim.kill(owner.expect("a primary"));
        sim.run_for(Duration::from_secs(1));
        let time = time_until_full(&mut sim, "d0", Duration::from_secs(15));
        println!("{domains:?}: full use {:?} after the kill", time + Duration::from_secs(1));
    }
}

#[test]
#[allow(clippy::print_stdout)]
fn leaving_host_hands_over_warm_targets() {
    let mut sim = started(4, &[3, 2]);
    let leaver = (0..3).find(|&it| !primaries(&sim, it).is_empty()).expect("a primary");
    let held = primaries(&sim, leaver);
    let mut before: HashMap<(usize, TargetName), Share> = HashMap::default();
    for at in 0..3 {
        before.extend(primaries(&sim, at).into_iter().map(|(it, share)| ((at, it), share)));
    }
    sim.input(leaver, Input::Leave);
    let mut longest = Duration::ZERO;
    let mut without: Option<Time> = None;
    for _ in 0..200 {
        sim.run_for(Duration::from_millis(10));
        sim.assert_within_limits();
        let used = sim.used();
        let is_served = |it: &TargetName| used.get(it).is_some_and(|it| it.slots > 0);
        if held.keys().all(is_served) {
            without = None;
            continue;
        }
        let gap = sim.now.since(*without.get_or_insert(sim.now));
        longest = longest.max(gap);
    }
    println!("longest time without an owner: {longest:?}");
    assert_eq!(sim.left, [leaver]);
    assert_eq!(fully_used(&sim, "d0"), 3);
    for at in (0..3).filter(|it| *it != leaver) {
        for (target, share) in primaries(&sim, at) {
            let former = before.get(&(at, target.clone()));
            let was_cold = former.is_some_and(|it| it.starts_cold);
            assert_eq!(share.starts_cold, was_cold, "{target}");
            assert!(former.is_some() || held.contains_key(&target), "{target} moved");
        }
    }
}

#[test]
fn paused_host_holds_nothing_until_it_heard_again() {
    let mut sim = started(5, &[2, 2]);
    assert!(!shares(&sim, 0).is_empty());
    sim.hosts[0].side = 9;
    sim.hosts[0].paused_until = sim.now + Duration::from_secs(5);
    sim.run_for(Duration::from_millis(5_500));
    assert!(shares(&sim, 0).is_empty());
    sim.run_for(Duration::from_secs(1));
    let (_, _, node) = sim.running().next().expect("a host runs");
    assert_matches!(node.readiness(), Err(NotReady::Paused));
    sim.hosts[0].side = 0;
    sim.run_for(START);
    assert_eq!(fully_used(&sim, "d0"), 3);
    assert!(sim.running().all(|(_, _, node)| node.readiness().is_ok()));
}

#[test]
fn last_host_of_a_cut_off_pair_serves_a_little() {
    let mut sim = started(6, &[2, 2]);
    sim.kill(1);
    sim.hosts[0].side = 9;
    sim.run_for(Duration::from_secs(20));
    let left = shares(&sim, 0);
    assert_eq!(left.len(), 3);
    for (target, share) in left {
        assert_eq!((share.slots, share.connections), (1, 1), "{target}");
        assert!(share.starts_cold);
    }
    // With the witness in reach again, two of three voters make a right.
    sim.hosts[0].side = 0;
    time_until_full(&mut sim, "d0", Duration::from_secs(15));
}

#[test]
fn split_domain_is_never_served_twice() {
    let mut sim = started(7, &[4, 2]);
    for at in [0, 1] {
        sim.hosts[at].side = 1;
    }
    for _ in 0..400 {
        sim.run_for(Duration::from_millis(100));
        sim.assert_within_limits();
    }
    (0..6).for_each(|it| sim.hosts[it].side = 0);
    time_until_full(&mut sim, "d0", Duration::from_secs(30));
}

#[test]
fn only_the_targets_of_a_lost_host_move() {
    let mut sim = started(8, &[5, 2]);
    let owners = |sim: &Simulation| -> HashMap<TargetName, String> {
        let (_, _, node) = sim.running().last().expect("a host runs");
        let targets = node.configuration();
        let owner = |it: &TargetName| node.owners(it).expect("an owner").0.to_string();
        targets.targets().map(|it| (it.name.clone(), owner(&it.name))).collect()
    };
    let before = owners(&sim);
    sim.kill(2);
    sim.run_for(START);
    for (target, owner) in owners(&sim) {
        let former = &before[&target];
        assert!(owner == *former || former == "h0-2", "{target} moved from {former} to {owner}");
    }
}
