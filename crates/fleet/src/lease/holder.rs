//! The rights this host claims and holds.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use base::{HashMap, HostName, Time, always};
use rand::{Rng, rngs::SmallRng};

use super::{
    BORROW_DURATION, CLAIM_INTERVAL, DRAIN_DURATION, FALLBACK_AFTER, LEASE_DURATION, LEND_DURATION,
    RENEW_INTERVAL,
};
use crate::{
    assignment::{GroupId, Voters},
    message::{Answer, Claim, Right, Role, Verdict},
};

/// Claims remembered for their answers.
const CLAIMS_KEPT: usize = 64;

/// Claims due this soon go along with those due now.
const COALESCE: Duration = Duration::from_millis(100);

/// An extension by less than this is not worth a report.
const NOTABLE_EXTENSION: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
pub(crate) struct Holder {
    held: HashMap<Right, Held>,
    last_seq: u64,
    /// When each recent claim was sent.
    sent: VecDeque<(u64, Time)>,
    has_changed: bool,
}

#[derive(Debug)]
struct Held {
    voters: Arc<Voters>,
    /// When the granted claims were sent, by voter.
    grants: HashMap<HostName, Grant>,
    /// End of the lease; past if there is none.
    until: Time,
    /// When each voter last answered, whatever it said.
    heard: HashMap<HostName, Time>,
    /// Claimed without pause since then.
    claimed_since: Time,
    /// Answers to earlier claims are void.
    first_seq: u64,
    next_claim: Time,
    starts_cold: bool,
    /// When another was found to be entitled.
    draining: Option<Time>,
    /// Primary: until when the standby's slots may be used.
    borrowed_until: Time,
    /// Standby: until when its slots may not be used.
    lent_until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    sent: Time,
    was_released: bool,
}

/// A right as the shares need it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) until: Time,
    pub(crate) starts_cold: bool,
    pub(crate) is_draining: bool,
    pub(crate) borrowed_until: Time,
    pub(crate) lent_until: Time,
}

/// Claims to send to one voter.
pub(crate) type Batches<T> = HashMap<HostName, Vec<T>>;

impl Holder {
    pub(crate) fn next_wakeup(&self, now: Time) -> Option<Time> {
        self.held.values().filter_map(|it| it.next_wakeup(now)).min()
    }

    /// Whether a right began, ended or was extended since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub(crate) fn rights(&self) -> impl Iterator<Item = Right> {
        self.held.keys().copied()
    }

    pub(crate) fn next_seq(&mut self, now: Time) -> u64 {
        self.last_seq += 1;
        self.sent.push_back((self.last_seq, now));
        if self.sent.len() > CLAIMS_KEPT {
            self.sent.pop_front();
        }
        self.last_seq
    }

    /// The lease of a right, if it lasts.
    pub(crate) fn lease(&self, now: Time, right: Right) -> Option<Lease> {
        let held = self.held.get(&right)?;
        let lease = Lease {
            until: held.until,
            starts_cold: held.starts_cold,
            is_draining: held.draining.is_some(),
            borrowed_until: held.borrowed_until,
            lent_until: held.lent_until,
        };
        (held.until > now).then_some(lease)
    }

    /// Whether a primary right has been out of reach for so long, for want of
    /// voters that answer at all, that a little may be used without it.
    pub(crate) fn is_last_resort(&self, now: Time, right: Right) -> bool {
        let is_primary = right.role == Role::Primary;
        is_primary && self.held.get(&right).is_some_and(|it| it.is_last_resort(now))
    }

    /// Wants `right`, which `voters` grant.
    pub(crate) fn want(&mut self, now: Time, right: Right, voters: Arc<Voters>) {
        let Some(held) = self.held.get_mut(&right) else {
            self.held.insert(right, Held::new(now, voters, self.last_seq + 1));
            return;
        };
        if held.draining.take().is_some() {
            self.has_changed = true;
        }
        if *held.voters != *voters {
            // What the former voters granted lasts out its time.
            held.voters = voters;
            held.grants.clear();
            held.heard.clear();
            held.claimed_since = now;
            held.next_claim = now;
        }
    }

    /// No longer wants `right`; it drains if it is held.
    pub(crate) fn unwant(&mut self, now: Time, right: Right) {
        let Some(held) = self.held.get_mut(&right) else { return };
        if held.draining.is_none() {
            held.draining = Some(now);
            self.has_changed = true;
        }
    }

    /// Forgets all leases after a pause of this process; they must be claimed
    /// anew before use.
    pub(crate) fn suspend(&mut self, now: Time) {
        for held in self.held.values_mut() {
            held.grants.clear();
            held.until = Time::ZERO;
            held.borrowed_until = Time::ZERO;
            held.first_seq = self.last_seq + 1;
            held.heard.clear();
            held.claimed_since = now;
            held.next_claim = now;
        }
        self.has_changed = true;
    }

    /// Claims at once, for instance after the holder gave a right up.
    pub(crate) fn hurry(&mut self, now: Time, rights: &[Right]) {
        for right in rights {
            let Some(held) = self.held.get_mut(right) else { continue };
            if held.until <= now {
                held.next_claim = now;
            }
        }
    }

    /// Claims that are due, by voter.
    pub(crate) fn due_claims(&mut self, now: Time, rng: &mut SmallRng) -> Batches<Claim> {
        let mut batches: Batches<Claim> = HashMap::default();
        for (&right, held) in &mut self.held {
            if held.draining.is_some() || held.next_claim > now + COALESCE {
                continue;
            }
            let is_last_resort = right.role == Role::Primary && held.is_last_resort(now);
            self.has_changed |= is_last_resort;
            // A claim in time is renewed in time even if one round is lost.
            let interval = if held.until > now { RENEW_INTERVAL } else { CLAIM_INTERVAL };
            held.next_claim = now + interval.mul_f64(0.8 + 0.2 * rng.random::<f64>());
            for voter in &held.voters.hosts {
                let claim = Claim { right, voters: held.voters.hash };
                batches.entry(voter.clone()).or_default().push(claim);
            }
        }
        batches
    }

    /// Rights whose use has ended, to be given up now, by voter. One that
    /// lapsed needs no release: the promises lapse likewise.
    pub(crate) fn due_releases(&mut self, now: Time) -> Batches<Right> {
        let mut batches: Batches<Right> = HashMap::default();
        let is_due = |held: &Held| held.release_at(now).is_some_and(|at| at <= now);
        let due: Vec<_> =
            self.held.iter().filter(|(_, held)| is_due(held)).map(|(&right, _)| right).collect();
        for right in due {
            let Some(held) = self.held.remove(&right) else { continue };
            self.has_changed = true;
            if held.until <= now {
                continue;
            }
            for voter in &held.voters.hosts {
                batches.entry(voter.clone()).or_default().push(right);
            }
        }
        batches
    }

    /// Takes a voter's answers to the claim `seq`.
    pub(crate) fn answered(&mut self, now: Time, voter: &HostName, seq: u64, answers: &[Verdict]) {
        let Some(&(_, sent)) = self.sent.iter().find(|(it, _)| *it == seq) else { return };
        for verdict in answers {
            let Some(held) = self.held.get_mut(&verdict.right) else { continue };
            held.heard.insert(voter.clone(), now);
            let Answer::Granted { was_released } = verdict.answer else { continue };
            let is_void = seq < held.first_seq || verdict.voters != held.voters.hash;
            if is_void || held.draining.is_some() || !held.voters.hosts.contains(voter) {
                continue;
            }
            self.has_changed |= held.grant(now, voter, Grant { sent, was_released });
        }
    }

    /// Primary: the standby lends its slots of `groups`.
    pub(crate) fn borrowed(&mut self, seq: u64, groups: &[GroupId]) {
        let Some(&(_, sent)) = self.sent.iter().find(|(it, _)| *it == seq) else { return };
        for &group in groups {
            let right = Right { group, role: Role::Primary };
            let Some(held) = self.held.get_mut(&right) else { continue };
            if seq < held.first_seq {
                continue;
            }
            held.borrowed_until = held.borrowed_until.max(sent + BORROW_DURATION);
            self.has_changed = true;
        }
    }

    /// Standby: lends its slots of those of `groups` whose lease outlasts the
    /// loan.
    pub(crate) fn lend(&mut self, now: Time, groups: Vec<GroupId>) -> Vec<GroupId> {
        let until = now + LEND_DURATION;
        let mut lent = groups;
        lent.retain(|&group| {
            let right = Right { group, role: Role::Standby };
            let Some(held) = self.held.get_mut(&right) else { return false };
            let can_lend = held.until >= until && held.draining.is_none();
            if can_lend {
                self.has_changed |= held.lent_until <= now;
                held.lent_until = until;
            }
            can_lend
        });
        lent
    }

    /// Groups whose primary right lasts and whose standby right is elsewhere.
    pub(crate) fn borrowing(&self, now: Time) -> impl Iterator<Item = GroupId> {
        let is_primary = move |right: &Right, held: &Held| {
            right.role == Role::Primary && held.until > now && held.draining.is_none()
        };
        let lasting = self.held.iter().filter(move |(right, held)| is_primary(right, held));
        lasting.map(|(right, _)| right.group)
    }
}

impl Held {
    fn new(now: Time, voters: Arc<Voters>, first_seq: u64) -> Held {
        Held {
            voters,
            grants: HashMap::default(),
            until: Time::ZERO,
            heard: HashMap::default(),
            claimed_since: now,
            first_seq,
            next_claim: now,
            starts_cold: true,
            draining: None,
            borrowed_until: Time::ZERO,
            lent_until: Time::ZERO,
        }
    }

    fn is_last_resort(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) < FALLBACK_AFTER;
        if self.draining.is_some() || is_recent(self.until.max(self.claimed_since)) {
            return false;
        }
        let is_heard = |it: &&HostName| self.heard.get(*it).is_some_and(|&at| is_recent(at));
        let heard = self.voters.hosts.iter().filter(is_heard).count();
        heard < self.voters.quorum()
    }

    fn next_wakeup(&self, now: Time) -> Option<Time> {
        let own = match self.release_at(now) {
            Some(at) => at,
            None => self.next_claim,
        };
        let ends = [self.until, self.lent_until, self.borrowed_until];
        ends.into_iter().filter(|&it| it > now).chain([own]).min()
    }

    /// When the right may be given up; None while it is wanted.
    fn release_at(&self, now: Time) -> Option<Time> {
        let draining = self.draining?;
        if self.until <= now {
            return Some(now);
        }
        Some((draining + DRAIN_DURATION).max(self.lent_until))
    }

    /// Counts a grant; tells whether the lease changed.
    fn grant(&mut self, now: Time, voter: &HostName, grant: Grant) -> bool {
        let known = self.grants.entry(voter.clone()).or_insert(grant);
        if known.sent < grant.sent {
            *known = grant;
        }
        let mut grants: Vec<_> = self.grants.values().copied().collect();
        grants.sort_by_key(|it| std::cmp::Reverse(it.sent));
        let quorum = self.voters.quorum();
        let Some(oldest) = grants.get(quorum - 1) else { return false };
        let until = oldest.sent + LEASE_DURATION;
        if until <= self.until.max(now) {
            return false;
        }
        always!(quorum * 2 > self.voters.hosts.len(), "lease-quorum-is-majority");
        let is_new = self.until <= now;
        if is_new {
            self.starts_cold = !grants[..quorum].iter().all(|it| it.was_released);
        }
        let is_notable = is_new || until.since(self.until) >= NOTABLE_EXTENSION;
        self.until = until;
        is_notable
    }
}
