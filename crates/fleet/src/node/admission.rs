//! Admission of a host with a new name as a voter of its domain.

use std::time::Duration;

use base::{DomainName, HashMap, HostName, Time};
use rand::Rng;

use super::{Node, Phase};
use crate::{
    assignment::{ADMISSION_GROUP, admission_voters},
    lease::CLAIM_INTERVAL,
    membership::MemberState,
    message::{Answer, Body, Claim, Right, Role, Verdict},
};

/// Right that a joining host claims from the voters of its domain.
pub(super) const ADMISSION_RIGHT: Right = Right { group: ADMISSION_GROUP, role: Role::Primary };

/// Time for which a grant counts towards a majority.
const GRANT_VALIDITY: Duration = Duration::from_secs(2);

/// Number of claims after which a joining host pauses to let others be admitted,
/// for at least [`MIN_PAUSE`].
const TRIES_BEFORE_PAUSE: u32 = 20;
const MIN_PAUSE: Duration = Duration::from_secs(11);

/// Time after its start when a host that knows no other host of its domain can
/// assume that it is the first.
const ALONE_AFTER: Duration = Duration::from_secs(2);

/// Progress of this host's own admission.
#[derive(Debug, Default)]
pub(super) struct Admission {
    next_claim: Time,
    /// Claims since the last pause.
    tries: u32,
    /// Hash of the voter set from which admission is claimed.
    voters: u64,
    grants: HashMap<HostName, Time>,
}

impl Node {
    pub(super) fn admission_wakeup(&self) -> Option<Time> {
        (!self.table.own().is_voter).then_some(self.admission.next_claim)
    }

    /// Claims admission from the voters of this domain.
    pub(super) fn request_admission(&mut self, now: Time) {
        if self.table.own().is_voter || now < self.admission.next_claim {
            return;
        }
        self.admission.next_claim = self.next_claim_time(now);
        let own = self.cfg.host.clone();
        let voters = admission_voters(&self.table, &self.cfg.domain, &own);
        if voters.hosts.is_empty() {
            self.admit_self_if_alone(now);
            return;
        }
        if self.admission.voters != voters.hash {
            self.admission.voters = voters.hash;
            self.admission.grants.clear();
        }
        let seq = self.rights.next_seq(now);
        for host in &voters.hosts {
            let Some(to) = self.table.record(host).map(|it| it.address) else { continue };
            let claim = Claim { right: ADMISSION_RIGHT, voters: voters.hash };
            self.send(to, Body::Claim { seq, claims: vec![claim] });
        }
    }

    /// Returns the time of the next claim. Hosts that join at the same time may
    /// split the voters so that none gains a majority; each of them therefore
    /// pauses for a random time after some claims.
    fn next_claim_time(&mut self, now: Time) -> Time {
        let admission = &mut self.admission;
        admission.tries += 1;
        if admission.tries < TRIES_BEFORE_PAUSE {
            return now + CLAIM_INTERVAL;
        }
        admission.tries = 0;
        admission.grants.clear();
        now + MIN_PAUSE.mul_f64(1.0 + self.rng.random::<f64>())
    }

    /// Makes this host the first voter of its domain if it can assume to be alone.
    fn admit_self_if_alone(&mut self, now: Time) {
        if self.can_assume_alone(now) {
            self.table.become_voter(self.table.next_seniority(), now);
        }
    }

    /// Whether this host can assume that it is the only one of its domain. It
    /// cannot before the platform's list was read, nor while the list or a peer
    /// names others, which may be unreachable.
    pub(super) fn can_assume_alone(&self, now: Time) -> bool {
        let has_waited = now.since(self.started) >= ALONE_AFTER;
        let others = self.table.domain(&self.cfg.domain).filter(|it| it.host != self.cfg.host);
        let known = others.filter(|it| it.state < MemberState::Forgotten).count();
        self.phase == Phase::Ready && has_waited && self.table.has_list() && known == 0
    }

    /// Decides another host's claim for admission. Once granted, the joining host
    /// counts in the electorate here.
    pub(super) fn admit(
        &mut self,
        now: Time,
        joining: &HostName,
        domain: &DomainName,
        claim: &Claim,
    ) -> Verdict {
        let voters = admission_voters(&self.table, domain, joining);
        let agrees = voters.hash == claim.voters && voters.hosts.contains(&self.cfg.host);
        let answer = match agrees {
            false => Answer::OtherVoters,
            true if self.table.admit(joining, now) => Answer::Granted { was_released: false },
            true => Answer::Held,
        };
        Verdict { right: claim.right, voters: claim.voters, answer }
    }

    /// Counts the grants of this host's own admission, and makes it a voter once a
    /// majority granted it.
    pub(super) fn handle_admission_verdicts(
        &mut self,
        now: Time,
        voter: &HostName,
        verdicts: &[Verdict],
    ) {
        let is_grant = |it: &Verdict| {
            it.right == ADMISSION_RIGHT
                && it.voters == self.admission.voters
                && matches!(it.answer, Answer::Granted { .. })
        };
        if self.table.own().is_voter || !verdicts.iter().any(is_grant) {
            return;
        }
        let grants = &mut self.admission.grants;
        grants.insert(voter.clone(), now);
        grants.retain(|_, at| now.since(*at) < GRANT_VALIDITY);
        let voters = admission_voters(&self.table, &self.cfg.domain, &self.cfg.host);
        let is_current = voters.hash == self.admission.voters;
        if !is_current || self.admission.grants.len() < voters.quorum() {
            return;
        }
        self.table.become_voter(self.table.next_seniority(), now);
        self.broadcast_own();
    }
}
