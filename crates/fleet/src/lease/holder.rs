//! Rights that this host claims and holds.

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

/// Number of sent messages whose send times are kept for matching answers.
const MAX_SENT_MESSAGES: usize = 64;

/// Claims due within this time are sent together with those due now.
const COALESCE_WINDOW: Duration = Duration::from_millis(100);

/// A shorter extension of a lease is not reported as a change.
const MIN_REPORTED_EXTENSION: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
pub(crate) struct Holder {
    rights: HashMap<Right, RightState>,
    last_seq: u64,
    /// Sequence number and send time of recent messages.
    sent: VecDeque<(u64, Time)>,
    has_changed: bool,
}

#[derive(Debug)]
struct RightState {
    voters: Arc<Voters>,
    /// Latest grant by voter.
    grants: HashMap<HostName, Grant>,
    /// End of the lease; in the past if there is none.
    until: Time,
    /// Time of each voter's last verdict, granted or not.
    last_answers: HashMap<HostName, Time>,
    /// Time since which the right is claimed from the current voters without
    /// interruption.
    claimed_since: Time,
    /// Verdicts on claims with a lower sequence number are ignored.
    min_valid_seq: u64,
    next_claim: Time,
    starts_cold: bool,
    /// When the right was found to be assigned to another host.
    draining_since: Option<Time>,
    /// Primary: end of the borrowed share.
    borrowed_until: Time,
    /// Standby: its slots are lent until this time.
    lent_until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    sent: Time,
    was_released: bool,
}

/// State of a held right, as needed to compute shares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) until: Time,
    pub(crate) starts_cold: bool,
    pub(crate) is_draining: bool,
    pub(crate) borrowed_until: Time,
    pub(crate) lent_until: Time,
}

/// Claims or rights to send, by receiving host.
pub(crate) type Batches<T> = HashMap<HostName, Vec<T>>;

impl Holder {
    pub(crate) fn next_wakeup(&self, now: Time) -> Option<Time> {
        self.rights.values().filter_map(|it| it.next_wakeup(now)).min()
    }

    /// Returns whether shares may have changed since the last call, and clears
    /// the flag.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rights.is_empty()
    }

    pub(crate) fn rights(&self) -> impl Iterator<Item = Right> {
        self.rights.keys().copied()
    }

    pub(crate) fn next_seq(&mut self, now: Time) -> u64 {
        self.last_seq += 1;
        self.sent.push_back((self.last_seq, now));
        if self.sent.len() > MAX_SENT_MESSAGES {
            self.sent.pop_front();
        }
        self.last_seq
    }

    /// Returns the lease of a right if it is valid at `now`.
    pub(crate) fn lease(&self, now: Time, right: Right) -> Option<Lease> {
        let state = self.rights.get(&right)?;
        let lease = Lease {
            until: state.until,
            starts_cold: state.starts_cold,
            is_draining: state.draining_since.is_some(),
            borrowed_until: state.borrowed_until,
            lent_until: state.lent_until,
        };
        (state.until > now).then_some(lease)
    }

    /// Whether the fallback applies: a primary right could not be acquired for
    /// [`FALLBACK_AFTER`] because fewer than a majority of the voters answer.
    pub(crate) fn can_use_fallback(&self, now: Time, right: Right) -> bool {
        let is_primary = right.role == Role::Primary;
        is_primary && self.rights.get(&right).is_some_and(|it| it.can_use_fallback(now))
    }

    /// Starts or continues to claim `right` from `voters`.
    pub(crate) fn acquire(&mut self, now: Time, right: Right, voters: Arc<Voters>) {
        let Some(state) = self.rights.get_mut(&right) else {
            self.rights.insert(right, RightState::new(now, voters, self.last_seq + 1));
            return;
        };
        if state.draining_since.take().is_some() {
            self.has_changed = true;
        }
        if *state.voters != *voters {
            // A lease granted by the former voters stays valid until it expires.
            state.voters = voters;
            state.grants.clear();
            state.last_answers.clear();
            state.claimed_since = now;
            state.next_claim = now;
        }
    }

    /// Stops claiming `right`, which is released after draining if it is held.
    pub(crate) fn drain(&mut self, now: Time, right: Right) {
        let Some(state) = self.rights.get_mut(&right) else { return };
        if state.draining_since.is_none() {
            state.draining_since = Some(now);
            self.has_changed = true;
        }
    }

    /// Discards all leases after a pause of this process; they must be claimed
    /// again before use.
    pub(crate) fn reset(&mut self, now: Time) {
        for state in self.rights.values_mut() {
            state.grants.clear();
            state.until = Time::ZERO;
            state.borrowed_until = Time::ZERO;
            state.min_valid_seq = self.last_seq + 1;
            state.last_answers.clear();
            state.claimed_since = now;
            state.next_claim = now;
        }
        self.has_changed = true;
    }

    /// Makes claims of those `rights` that are not held due at once, for example
    /// after their holder released them.
    pub(crate) fn claim_now(&mut self, now: Time, rights: &[Right]) {
        for right in rights {
            let Some(state) = self.rights.get_mut(right) else { continue };
            if state.until <= now {
                state.next_claim = now;
            }
        }
    }

    /// Returns the claims that are due, by voter.
    pub(crate) fn due_claims(&mut self, now: Time, rng: &mut SmallRng) -> Batches<Claim> {
        let mut batches: Batches<Claim> = HashMap::default();
        for (&right, state) in &mut self.rights {
            if state.draining_since.is_some() || state.next_claim > now + COALESCE_WINDOW {
                continue;
            }
            let can_use_fallback = right.role == Role::Primary && state.can_use_fallback(now);
            self.has_changed |= can_use_fallback;
            // A lease is longer than two renewal intervals, so that it is renewed
            // in time even if one round of claims is lost.
            let interval = if state.until > now { RENEW_INTERVAL } else { CLAIM_INTERVAL };
            state.next_claim = now + interval.mul_f64(0.8 + 0.2 * rng.random::<f64>());
            for voter in &state.voters.hosts {
                let claim = Claim { right, voters: state.voters.hash };
                batches.entry(voter.clone()).or_default().push(claim);
            }
        }
        batches
    }

    /// Removes drained rights and returns those to release, by voter. An expired
    /// lease needs no release: the promises for it expire as well.
    pub(crate) fn due_releases(&mut self, now: Time) -> Batches<Right> {
        let mut batches: Batches<Right> = HashMap::default();
        let is_due = |state: &RightState| state.release_at(now).is_some_and(|at| at <= now);
        let due: Vec<_> = self
            .rights
            .iter()
            .filter(|(_, state)| is_due(state))
            .map(|(&right, _)| right)
            .collect();
        for right in due {
            let Some(state) = self.rights.remove(&right) else { continue };
            self.has_changed = true;
            if state.until <= now {
                continue;
            }
            for voter in &state.voters.hosts {
                batches.entry(voter.clone()).or_default().push(right);
            }
        }
        batches
    }

    /// Handles a voter's verdicts on the claims sent as `seq`.
    pub(crate) fn handle_verdicts(
        &mut self,
        now: Time,
        voter: &HostName,
        seq: u64,
        answers: &[Verdict],
    ) {
        let Some(&(_, sent)) = self.sent.iter().find(|(it, _)| *it == seq) else { return };
        for verdict in answers {
            let Some(state) = self.rights.get_mut(&verdict.right) else { continue };
            state.last_answers.insert(voter.clone(), now);
            let Answer::Granted { was_released } = verdict.answer else { continue };
            let is_void = seq < state.min_valid_seq || verdict.voters != state.voters.hash;
            if is_void || state.draining_since.is_some() || !state.voters.hosts.contains(voter) {
                continue;
            }
            self.has_changed |= state.add_grant(now, voter, Grant { sent, was_released });
        }
    }

    /// Primary: records that the standby lends its slots of `groups`.
    pub(crate) fn record_borrowed(&mut self, seq: u64, groups: &[GroupId]) {
        let Some(&(_, sent)) = self.sent.iter().find(|(it, _)| *it == seq) else { return };
        for &group in groups {
            let right = Right { group, role: Role::Primary };
            let Some(state) = self.rights.get_mut(&right) else { continue };
            if seq < state.min_valid_seq {
                continue;
            }
            state.borrowed_until = state.borrowed_until.max(sent + BORROW_DURATION);
            self.has_changed = true;
        }
    }

    /// Standby: lends the slots of those `groups` whose lease lasts for at least
    /// [`LEND_DURATION`], and returns these groups.
    pub(crate) fn lend(&mut self, now: Time, groups: Vec<GroupId>) -> Vec<GroupId> {
        let until = now + LEND_DURATION;
        let mut lent = groups;
        lent.retain(|&group| {
            let right = Right { group, role: Role::Standby };
            let Some(state) = self.rights.get_mut(&right) else { return false };
            let can_lend = state.until >= until && state.draining_since.is_none();
            if can_lend {
                self.has_changed |= state.lent_until <= now;
                state.lent_until = until;
            }
            can_lend
        });
        lent
    }

    /// Returns the groups whose primary right is held and not draining.
    pub(crate) fn active_primary_groups(&self, now: Time) -> impl Iterator<Item = GroupId> {
        let is_active = move |right: &Right, state: &RightState| {
            right.role == Role::Primary && state.until > now && state.draining_since.is_none()
        };
        let active = self.rights.iter().filter(move |(right, state)| is_active(right, state));
        active.map(|(right, _)| right.group)
    }
}

impl RightState {
    fn new(now: Time, voters: Arc<Voters>, min_valid_seq: u64) -> RightState {
        RightState {
            voters,
            grants: HashMap::default(),
            until: Time::ZERO,
            last_answers: HashMap::default(),
            claimed_since: now,
            min_valid_seq,
            next_claim: now,
            starts_cold: true,
            draining_since: None,
            borrowed_until: Time::ZERO,
            lent_until: Time::ZERO,
        }
    }

    fn can_use_fallback(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) < FALLBACK_AFTER;
        if self.draining_since.is_some() || is_recent(self.until.max(self.claimed_since)) {
            return false;
        }
        let has_answered =
            |it: &&HostName| self.last_answers.get(*it).is_some_and(|&at| is_recent(at));
        let answering = self.voters.hosts.iter().filter(has_answered).count();
        answering < self.voters.quorum()
    }

    fn next_wakeup(&self, now: Time) -> Option<Time> {
        let next_action = match self.release_at(now) {
            Some(at) => at,
            None => self.next_claim,
        };
        let ends = [self.until, self.lent_until, self.borrowed_until];
        ends.into_iter().filter(|&it| it > now).chain([next_action]).min()
    }

    /// Returns when the right may be released; `None` if it is not draining.
    fn release_at(&self, now: Time) -> Option<Time> {
        let draining_since = self.draining_since?;
        if self.until <= now {
            return Some(now);
        }
        Some((draining_since + DRAIN_DURATION).max(self.lent_until))
    }

    /// Records a grant. Returns whether the lease began or was extended by at
    /// least [`MIN_REPORTED_EXTENSION`].
    fn add_grant(&mut self, now: Time, voter: &HostName, grant: Grant) -> bool {
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
        let is_notable = is_new || until.since(self.until) >= MIN_REPORTED_EXTENSION;
        self.until = until;
        is_notable
    }
}
