//! What a voter and a holder refuse, message by message.

use std::{sync::Arc, time::Duration};

use assert_matches::assert_matches;
use base::{HostName, Incarnation, Time};
use rand::{SeedableRng, rngs::SmallRng};

use super::{Claimant, Holder, LEASE_DURATION, PROMISE_DURATION, VOTER_CHANGE_WAIT, Voter};
use crate::{
    assignment::{GroupId, Voters},
    message::{Answer, Claim, Right, Role, Verdict},
};

const VOTERS: u64 = 7;
const RIGHT: Right = Right { group: GroupId(1), role: Role::Primary };
const CLAIM: Claim = Claim { right: RIGHT, voters: VOTERS };

/// When a voter that started at zero has waited long enough.
const READY: Time = Time::from_millis(10_000);

fn claim(voter: &mut Voter, now: Time, host: &str, seq: u64) -> Answer {
    let host = HostName::new(host);
    let claimant = Claimant { host: &host, incarnation: Incarnation(1), seq };
    voter.decide(now, claimant, &CLAIM, Some(VOTERS), Time::ZERO)
}

fn release(voter: &mut Voter, now: Time, host: &str, seq: u64) {
    let host = HostName::new(host);
    voter.release(now, Claimant { host: &host, incarnation: Incarnation(1), seq }, &[RIGHT]);
}

#[test]
fn promise_is_to_one_host_until_it_ends() {
    let mut voter = Voter::new(Time::ZERO);
    assert_matches!(claim(&mut voter, READY, "a", 1), Answer::Granted { was_released: false });
    assert_matches!(claim(&mut voter, READY, "b", 1), Answer::Held);
    assert_matches!(claim(&mut voter, READY + PROMISE_DURATION, "b", 2), Answer::Granted { .. });
}

#[test]
fn another_life_of_the_holder_is_another_host() {
    let mut voter = Voter::new(Time::ZERO);
    claim(&mut voter, READY, "a", 1);
    let host = HostName::new("a");
    let again = Claimant { host: &host, incarnation: Incarnation(2), seq: 1 };
    let answer = voter.decide(READY, again, &CLAIM, Some(VOTERS), Time::ZERO);
    assert_matches!(answer, Answer::Held);
}

#[test]
fn late_release_does_not_end_a_newer_promise() {
    let mut voter = Voter::new(Time::ZERO);
    claim(&mut voter, READY, "a", 1);
    claim(&mut voter, READY, "a", 3);
    release(&mut voter, READY, "a", 2);
    assert_matches!(claim(&mut voter, READY, "b", 1), Answer::Held);
}

#[test]
fn late_claim_does_not_undo_a_release() {
    let mut voter = Voter::new(Time::ZERO);
    claim(&mut voter, READY, "a", 1);
    release(&mut voter, READY, "a", 2);
    assert_matches!(claim(&mut voter, READY, "a", 1), Answer::Held);
    assert_matches!(claim(&mut voter, READY, "b", 1), Answer::Granted { was_released: true });
}

#[test]
fn voter_that_sees_other_voters_refuses() {
    let mut voter = Voter::new(Time::ZERO);
    let host = HostName::new("a");
    let claimant = Claimant { host: &host, incarnation: Incarnation(1), seq: 1 };
    for voters in [None, Some(VOTERS + 1)] {
        let answer = voter.decide(READY, claimant, &CLAIM, voters, Time::ZERO);
        assert_matches!(answer, Answer::OtherVoters);
    }
}

#[test]
fn voter_waits_after_a_change_of_voters_but_renews() {
    let mut voter = Voter::new(Time::ZERO);
    claim(&mut voter, READY, "a", 1);
    let host = HostName::new("a");
    let claimant = Claimant { host: &host, incarnation: Incarnation(1), seq: 2 };
    let other = Claim { right: RIGHT, voters: VOTERS + 1 };
    let answer = voter.decide(READY, claimant, &other, Some(VOTERS + 1), READY);
    assert_matches!(answer, Answer::Granted { .. });
    release(&mut voter, READY, "a", 3);
    let host = HostName::new("b");
    let claimant = Claimant { host: &host, incarnation: Incarnation(1), seq: 1 };
    let answer = voter.decide(READY, claimant, &other, Some(VOTERS + 1), READY);
    assert_matches!(answer, Answer::Waiting);
    let later = READY + VOTER_CHANGE_WAIT;
    let answer = voter.decide(later, claimant, &other, Some(VOTERS + 1), READY);
    assert_matches!(answer, Answer::Granted { .. });
}

struct Claims {
    holder: Holder,
    rng: SmallRng,
    names: Vec<HostName>,
}

impl Claims {
    fn new() -> Claims {
        let names: Vec<_> = ["a", "b", "c"].into_iter().map(HostName::new).collect();
        let voters = Arc::new(Voters { hosts: names.clone(), hash: VOTERS });
        let mut holder = Holder::default();
        holder.want(READY, RIGHT, voters);
        Claims { holder, rng: SmallRng::seed_from_u64(1), names }
    }

    fn send(&mut self, now: Time) -> u64 {
        assert!(!self.holder.due_claims(now, &mut self.rng).is_empty());
        self.holder.next_seq(now)
    }

    fn grant(&mut self, now: Time, voter: usize, seq: u64, voters: u64) {
        let answer = Answer::Granted { was_released: false };
        let verdict = Verdict { right: RIGHT, voters, answer };
        self.holder.answered(now, &self.names[voter], seq, &[verdict]);
    }
}

#[test]
fn lease_counts_from_the_send_and_needs_a_majority() {
    let mut claims = Claims::new();
    let seq = claims.send(READY);
    let later = READY + Duration::from_secs(1);
    claims.grant(later, 0, seq, VOTERS);
    claims.grant(later, 0, seq, VOTERS);
    assert!(claims.holder.lease(later, RIGHT).is_none());
    claims.grant(later, 1, seq, VOTERS + 1);
    assert!(claims.holder.lease(later, RIGHT).is_none());
    claims.grant(later, 1, seq, VOTERS);
    assert_eq!(claims.holder.lease(later, RIGHT).map(|it| it.until), Some(READY + LEASE_DURATION));
}

#[test]
fn answers_from_before_a_pause_are_void() {
    let mut claims = Claims::new();
    let seq = claims.send(READY);
    claims.holder.suspend(READY);
    (0..3).for_each(|it| claims.grant(READY, it, seq, VOTERS));
    assert!(claims.holder.lease(READY, RIGHT).is_none());
}
