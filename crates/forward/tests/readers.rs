//! Which hosts read the source, and which follow another host.

use std::{net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use base::DomainName;
use forward::{
    peers::Host,
    readers::{Origin, ReaderView},
};

fn hosts(count: u8) -> Vec<Host> {
    let host = |it: u8| Host {
        address: ([10, 0, 0, it + 1], 7_000).into(),
        domain: DomainName::new("a"),
        capacity: if it < 3 { 500 } else { 120 },
        reads_source: false,
        has_lost_targets: false,
    };
    (0..count).map(host).collect()
}

fn choose(local: &[Host], own: usize, lost: &[SocketAddr], waited_ms: u64) -> Origin {
    let waited = Duration::from_millis(waited_ms);
    let view = ReaderView { own: &local[own], local, lost, is_source_lost: false, waited };
    view.choose()
}

/// Lets all hosts choose until their choices are stable; the choices of hosts in
/// `rejected` to read the source fail.
fn settle(local: &mut [Host], rejected: &[usize], waited_ms: u64) -> Vec<Origin> {
    for _ in 0..local.len() {
        let choices: Vec<Origin> =
            (0..local.len()).map(|it| choose(local, it, &[], waited_ms)).collect();
        for (index, choice) in choices.iter().enumerate() {
            local[index].reads_source = *choice == Origin::Source && !rejected.contains(&index);
        }
    }
    (0..local.len()).map(|it| choose(local, it, &[], waited_ms)).collect()
}

fn readers(local: &[Host]) -> usize {
    local.iter().filter(|it| it.reads_source).count()
}

#[test]
fn two_hosts_of_a_large_domain_read_the_source_and_the_others_follow_them() {
    let mut local = hosts(50);
    let choices = settle(&mut local, &[], 10_000);
    assert_eq!(readers(&local), 2);
    let reader_addresses: Vec<SocketAddr> =
        local.iter().filter(|it| it.reads_source).map(|it| it.address).collect();
    for (host, choice) in local.iter().zip(&choices) {
        let expected = |it| *choice == Origin::Host(it);
        assert!(host.reads_source || reader_addresses.iter().copied().any(expected));
        // The strongest hosts send to targets.
        assert!(host.capacity < 500 || !host.reads_source);
    }
}

#[test]
fn in_a_small_domain_each_host_reads_the_source() {
    let local = hosts(4);
    for it in 0..4 {
        assert_eq!(choose(&local, it, &[], 0), Origin::Source);
    }
}

/// All hosts start at once: a few read, the others wait for them to be known.
#[test]
fn without_a_known_reader_hosts_become_readers_pair_by_pair() {
    let local = hosts(40);
    let reading =
        |waited| (0..40).filter(|it| choose(&local, *it, &[], waited) == Origin::Source).count();
    assert_eq!([0, 250, 450, 2_000].map(reading), [2, 4, 6, 40]);
}

/// The readers of a domain do not answer: their followers take others, and within
/// half a second a few of them read the source.
#[test]
fn lost_readers_are_replaced() {
    let mut local = hosts(40);
    settle(&mut local, &[], 0);
    let lost: Vec<SocketAddr> =
        local.iter().filter(|it| it.reads_source).map(|it| it.address).collect();
    let others: Vec<usize> = (0..40).filter(|it| !local[*it].reads_source).collect();
    assert_matches!(choose(&local, others[0], &lost[..1], 0), Origin::Host(it) if it == lost[1]);
    let reading = |it: &usize| choose(&local, *it, &lost, 500) == Origin::Source;
    let count = others.iter().filter(|it| reading(it)).count();
    assert!((1..=6).contains(&count), "{count} read the source");
}

/// The source rejects the hosts that should read it and serves others: these read
/// it instead, and only as many as needed.
#[test]
fn hosts_that_the_source_serves_read_it_in_place_of_rejected_ones() {
    let mut local = hosts(40);
    settle(&mut local, &[], 0);
    let rejected: Vec<usize> = (0..40).filter(|it| local[*it].reads_source).collect();
    for it in &rejected {
        local[*it].reads_source = false;
    }
    let is_rejected = |it: usize| rejected.contains(&it);
    for _ in 0..20 {
        for own in 0..40 {
            let view = ReaderView {
                own: &local[own],
                local: &local,
                lost: &[],
                is_source_lost: is_rejected(own),
                waited: Duration::from_secs(2),
            };
            let reads = view.choose() == Origin::Source && !is_rejected(own);
            local[own].reads_source = reads;
        }
    }
    assert!((1..=2).contains(&readers(&local)), "{} readers", readers(&local));
}
