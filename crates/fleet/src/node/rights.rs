//! Claims, promises and shares of this host.

use std::net::SocketAddr;

use base::{HashMap, HashSet, HostName, Incarnation, Share, TargetName, Time, always};
use documents::Target;

use super::{Action, Node, admission::ADMISSION_RIGHT};
use crate::{
    assignment::{Group, GroupId, Groups, VoterSets},
    lease::{
        Allowance, BORROW_INTERVAL, Claimant, FALLBACK_DURATION, FALLBACK_SLOTS, Holder, Lease,
        Voter, allowance,
    },
    message::{Answer, Body, Claim, Right, Role, Verdict},
};

/// Most rights in one datagram.
const MAX_RIGHTS_PER_DATAGRAM: usize = 32;

#[derive(Debug)]
pub(super) struct Rights {
    holder: Holder,
    voter: Voter,
    sets: VoterSets,
    next_borrow: Time,
    /// Routes or voters changed since the rights were worked out.
    is_stale: bool,
}

impl Rights {
    pub(super) fn new(now: Time) -> Rights {
        Rights {
            holder: Holder::default(),
            voter: Voter::new(now),
            sets: VoterSets::default(),
            next_borrow: now,
            is_stale: false,
        }
    }

    pub(super) fn set_stale(&mut self) {
        self.is_stale = true;
    }

    pub(super) fn is_empty(&self) -> bool {
        self.holder.is_empty()
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.voter.expire(now);
    }

    pub(super) fn next_seq(&mut self, now: Time) -> u64 {
        self.holder.next_seq(now)
    }

    pub(super) fn suspend(&mut self, now: Time) {
        self.holder.suspend(now);
    }

    pub(super) fn next_wakeup(&self, now: Time) -> Option<Time> {
        let borrow = self.holder.borrowing(now).next().map(|_| self.next_borrow);
        [self.holder.next_wakeup(now), borrow].into_iter().flatten().min()
    }

    pub(super) fn shares(&self, now: Time, groups: &Groups) -> Vec<(TargetName, Share)> {
        let mut ids: Vec<_> = self.holder.rights().map(|it| it.group).collect();
        ids.sort_unstable();
        ids.dedup();
        let mut shares = Vec::new();
        for id in ids {
            let Some(group) = groups.get(id) else { continue };
            self.group_shares(now, id, group, &mut shares);
        }
        shares
    }

    fn group_shares(
        &self,
        now: Time,
        id: GroupId,
        group: &Group,
        shares: &mut Vec<(TargetName, Share)>,
    ) {
        let right = Right { group: id, role: Role::Primary };
        let primary = self.holder.lease(now, right);
        let standby = self.holder.lease(now, Right { group: id, role: Role::Standby });
        let is_last_resort = standby.is_none() && self.holder.is_last_resort(now, right);
        for target in &group.targets {
            if is_last_resort {
                shares.push((target.name.clone(), last_resort(now, target)));
                continue;
            }
            if let Some(share) = target_share(now, target, primary, standby) {
                shares.push((target.name.clone(), share));
            }
        }
    }
}

/// What the leases allow of one target together.
fn target_share(
    now: Time,
    target: &Target,
    primary: Option<Lease>,
    standby: Option<Lease>,
) -> Option<Share> {
    let until = [primary, standby].into_iter().flatten().map(|it| it.until).min()?;
    let mut share = Share {
        slots: 0,
        connections: 0,
        valid_until: Some(until),
        starts_cold: primary.is_none_or(|it| it.starts_cold),
    };
    let reserve = allowance(target, Role::Standby);
    if let Some(lease) = primary {
        add(&mut share, allowance(target, Role::Primary), !lease.is_draining);
        if lease.borrowed_until > now && standby.is_none() && !lease.is_draining {
            share.slots += reserve.slots;
            share.valid_until = Some(until.min(lease.borrowed_until));
        }
    }
    if let Some(lease) = standby {
        add(&mut share, reserve, !lease.is_draining && lease.lent_until <= now);
    }
    let fits = share.slots <= target.slots && share.connections <= target.connections;
    always!(fits, "share-within-target-limits", "{}: {share:?}", target.name);
    Some(share)
}

/// What a host uses of a target when it hears no majority of voters.
fn last_resort(now: Time, target: &Target) -> Share {
    Share {
        slots: FALLBACK_SLOTS.min(target.slots),
        connections: FALLBACK_SLOTS.min(target.connections),
        valid_until: Some(now + FALLBACK_DURATION),
        starts_cold: true,
    }
}

fn add(share: &mut Share, allowance: Allowance, has_slots: bool) {
    share.connections += allowance.connections;
    if has_slots {
        share.slots += allowance.slots;
    }
}

impl Node {
    /// Claims, renews and gives up what is due.
    pub(super) fn update_rights(&mut self, now: Time) {
        if std::mem::take(&mut self.rights.is_stale) {
            self.work_out_rights(now);
            self.out.push(Action::SharesChanged);
        }
        self.send_releases(now);
        self.send_claims(now);
        self.borrow_slots(now);
        let has_changed = self.rights.holder.take_changed();
        if has_changed && self.out.last() != Some(&Action::SharesChanged) {
            self.out.push(Action::SharesChanged);
        }
    }

    /// Compares what this host should hold with what it claims.
    fn work_out_rights(&mut self, now: Time) {
        let own = &self.cfg.host;
        let mut wanted = Vec::new();
        for (group, it) in
            self.routes.groups().iter().filter(|(_, it)| it.domain == self.cfg.domain)
        {
            let Some(route) = self.routes.route(group) else { continue };
            always!(it.domain == self.cfg.domain, "assignment-own-domain");
            let is_primary = route.primary == *own;
            // Without another host, one holds both rights.
            let is_standby = route.standby.as_ref().map_or(is_primary, |it| it == own);
            wanted.extend(is_primary.then_some(Right { group, role: Role::Primary }));
            wanted.extend(is_standby.then_some(Right { group, role: Role::Standby }));
        }
        wanted.sort_unstable();
        let held: Vec<_> = self.rights.holder.rights().collect();
        for right in held.into_iter().filter(|it| wanted.binary_search(it).is_err()) {
            self.rights.holder.unwant(now, right);
        }
        for right in wanted {
            let voters = self.rights.sets.get(&self.table, &self.cfg.domain, right.group);
            self.rights.holder.want(now, right, voters);
        }
    }

    fn send_claims(&mut self, now: Time) {
        let batches = self.rights.holder.due_claims(now, &mut self.rng);
        if batches.is_empty() {
            return;
        }
        let seq = self.rights.holder.next_seq(now);
        for (voter, claims) in batches {
            if voter == self.cfg.host {
                let (host, incarnation) = (self.cfg.host.clone(), self.cfg.incarnation);
                let claimant = Claimant { host: &host, incarnation, seq };
                let verdicts = self.decide(now, claimant, &claims);
                self.rights.holder.answered(now, &host, seq, &verdicts);
                continue;
            }
            let Some(to) = self.table.record(&voter).map(|it| it.address) else { continue };
            for chunk in claims.chunks(MAX_RIGHTS_PER_DATAGRAM) {
                self.send(to, Body::Claim { seq, claims: chunk.to_vec() });
            }
        }
    }

    fn send_releases(&mut self, now: Time) {
        let mut batches = self.rights.holder.due_releases(now);
        if batches.is_empty() {
            return;
        }
        let seq = self.rights.holder.next_seq(now);
        let rights: HashSet<Right> = batches.values().flatten().copied().collect();
        for right in rights {
            self.tell_successors(right, &mut batches);
        }
        for (voter, rights) in batches {
            if voter == self.cfg.host {
                let host = self.cfg.host.clone();
                let holder = Claimant { host: &host, incarnation: self.cfg.incarnation, seq };
                self.rights.voter.release(now, holder, &rights);
                continue;
            }
            let Some(to) = self.table.record(&voter).map(|it| it.address) else { continue };
            for chunk in rights.chunks(MAX_RIGHTS_PER_DATAGRAM) {
                self.send(to, Body::Release { seq, rights: chunk.to_vec() });
            }
        }
    }

    /// Lets those who claim next know at once, voters or not.
    fn tell_successors(&self, right: Right, batches: &mut HashMap<HostName, Vec<Right>>) {
        let Some(route) = self.routes.route(right.group) else { return };
        for host in [Some(&route.primary), route.standby.as_ref()].into_iter().flatten() {
            let batch = batches.entry(host.clone()).or_default();
            if !batch.contains(&right) {
                batch.push(right);
            }
        }
    }

    /// Asks each standby for the slots it holds back.
    fn borrow_slots(&mut self, now: Time) {
        if now < self.rights.next_borrow {
            return;
        }
        self.rights.next_borrow = now + BORROW_INTERVAL;
        let mut batches: HashMap<HostName, Vec<GroupId>> = HashMap::default();
        for group in self.rights.holder.borrowing(now) {
            let standby = self.routes.route(group).and_then(|it| it.standby.as_ref());
            let Some(standby) = standby.filter(|it| **it != self.cfg.host) else { continue };
            batches.entry(standby.clone()).or_default().push(group);
        }
        if batches.is_empty() {
            return;
        }
        let seq = self.rights.holder.next_seq(now);
        for (standby, groups) in batches {
            let Some(to) = self.table.record(&standby).map(|it| it.address) else { continue };
            for chunk in groups.chunks(MAX_RIGHTS_PER_DATAGRAM) {
                self.send(to, Body::Borrow { seq, groups: chunk.to_vec() });
            }
        }
    }

    pub(super) fn take_rights(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: &HostName,
        incarnation: Incarnation,
        body: Body,
    ) {
        match body {
            Body::Claim { seq, claims } => {
                let claimant = Claimant { host: sender, incarnation, seq };
                let verdicts = self.decide(now, claimant, &claims);
                if verdicts.iter().any(|it| it.answer == Answer::OtherVoters) {
                    self.compare_members(now, from);
                }
                if !verdicts.is_empty() {
                    self.send(from, Body::Verdict { seq, verdicts });
                }
            }
            Body::Verdict { seq, verdicts } => {
                self.rights.holder.answered(now, sender, seq, &verdicts);
                self.take_admission(now, sender, &verdicts);
                if verdicts.iter().any(|it| it.answer == Answer::OtherVoters) {
                    self.compare_members(now, from);
                }
            }
            Body::Release { seq, rights } => {
                let holder = Claimant { host: sender, incarnation, seq };
                self.rights.voter.release(now, holder, &rights);
                self.rights.holder.hurry(now, &rights);
            }
            Body::Borrow { seq, groups } => {
                let groups = self.rights.holder.lend(now, groups);
                self.send(from, Body::Loan { seq, groups });
            }
            Body::Loan { seq, groups } => self.rights.holder.borrowed(seq, &groups),
            _ => {}
        }
    }

    fn decide(&mut self, now: Time, claimant: Claimant<'_>, claims: &[Claim]) -> Vec<Verdict> {
        let record = self.table.record(claimant.host);
        let record = record.filter(|it| it.incarnation == claimant.incarnation);
        let Some(domain) = record.map(|it| it.domain.clone()) else { return Vec::new() };
        let mut verdicts = Vec::new();
        for claim in claims {
            if claim.right == ADMISSION_RIGHT {
                verdicts.push(self.admit(now, claimant.host, &domain, claim));
                continue;
            }
            let set = self.rights.sets.get(&self.table, &domain, claim.right.group);
            let voters = set.hosts.contains(&self.cfg.host).then_some(set.hash);
            let (_, changed) = self.electorate;
            let answer = self.rights.voter.decide(now, claimant, claim, voters, changed);
            verdicts.push(Verdict { right: claim.right, voters: claim.voters, answer });
        }
        verdicts
    }
}
