//! Hosts that find each other by digests.

use std::{net::SocketAddr, time::Duration};

use base::{DomainName, Time};
use forward::peers::{DIGEST_INTERVAL, Peers};
use rand::{Rng, SeedableRng, rngs::SmallRng};

fn addr(index: usize) -> SocketAddr {
    ([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 7_000).into()
}

fn domain(index: usize) -> DomainName {
    DomainName::new(["a", "b", "c"][index % 3])
}

/// Plays digests between hosts; `reaches` tells which get through.
fn play(peers: &mut [Peers], from: Time, rounds: u32, reaches: impl Fn(usize, usize) -> bool) {
    let mut rng = SmallRng::seed_from_u64(7);
    for round in 0..rounds {
        let now = from + DIGEST_INTERVAL * round;
        for sender in 0..peers.len() {
            let (digest, to) = peers[sender].next_digest(now, 1, Vec::new());
            for receiver in to {
                let Some(receiver) = (0..peers.len()).find(|it| addr(*it) == receiver) else {
                    continue;
                };
                if reaches(sender, receiver) && !rng.random_bool(0.05) {
                    peers[receiver].receive(&digest, now);
                }
            }
        }
    }
}

fn fleet(hosts: usize) -> Vec<Peers> {
    let seeds: Vec<SocketAddr> = (0..3.min(hosts)).map(addr).collect();
    (0..hosts).map(|it| Peers::new(addr(it), domain(it), seeds.clone())).collect()
}

#[test]
fn all_hosts_are_known_soon_after_a_start() {
    for hosts in [1, 2, 6, 8, 30, 60] {
        let mut peers = fleet(hosts);
        play(&mut peers, Time::ZERO, 20, |_, _| true);
        let now = Time::ZERO + DIGEST_INTERVAL * 20;
        for it in &peers {
            assert_eq!(it.count(now), hosts);
        }
    }
}

/// Limits are divided by the count, so it must not fall while hosts beyond a
/// cut are at work.
#[test]
fn the_count_does_not_fall_during_a_cut() {
    let mut peers = fleet(6);
    play(&mut peers, Time::ZERO, 20, |_, _| true);
    let cut_at = Time::ZERO + DIGEST_INTERVAL * 20;
    play(&mut peers, cut_at, 60, |a, b| domain(a) == domain(b));
    let now = cut_at + DIGEST_INTERVAL * 60;
    for it in &peers {
        assert_eq!(it.count(now), 6);
    }
}

#[test]
fn domains_beyond_a_cut_are_unheard_within_two_seconds_and_heard_again() {
    let mut peers = fleet(6);
    play(&mut peers, Time::ZERO, 20, |_, _| true);
    let cut_at = Time::ZERO + DIGEST_INTERVAL * 20;
    assert!(peers[0].other_domains(cut_at).1.is_empty());
    let is_beyond = |it: usize| domain(it) == DomainName::new("a");
    play(&mut peers, cut_at, 7, |a, b| is_beyond(a) == is_beyond(b));
    let now = cut_at + Duration::from_secs(2);
    let (others, unheard) = peers[0].other_domains(now);
    assert_eq!((others, unheard.len()), (2, 2));
    play(&mut peers, now, 4, |_, _| true);
    assert!(peers[0].other_domains(now + DIGEST_INTERVAL * 4).1.is_empty());
}

#[test]
fn soon_after_a_start_more_hosts_are_assumed_than_were_heard() {
    let peers = fleet(6);
    let ms = Duration::from_millis;
    assert!(peers[0].assumed_count(Time::from_millis(300), ms(300)) >= 6);
    assert_eq!(peers[0].assumed_count(Time::from_millis(5_000), ms(5_000)), 3);
}
