//! Assignment of targets to hosts by rendezvous hashing of groups of targets
//! over the running hosts of the targets' domain.
//!
//! Every host computes the assignment from its own view, so two hosts may
//! differ for a while. The host that ranks first only claims the right; whether
//! it may use the targets is decided by [`crate::lease`].

mod groups;
mod voters;

use base::{DomainName, HashMap, HashSet, HostName, TargetName};

pub(crate) use self::{
    groups::{Group, Groups},
    voters::{ADMISSION_GROUP, VoterSets, Voters, admission_voters},
};
pub use crate::message::GroupId;
use crate::{
    hash,
    membership::{Table, host_hash},
};

/// Hosts that a group is assigned to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    pub(crate) primary: HostName,
    pub(crate) standby: Option<HostName>,
}

/// Rendezvous weight of a host for a group; the highest ranks first.
pub(crate) fn weight(host: u64, group: GroupId) -> u64 {
    hash::combine(host, group.0)
}

/// Routes of all groups, updated as membership and configuration change.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    groups: Groups,
    routes: HashMap<GroupId, Route>,
}

impl Routes {
    pub(crate) fn groups(&self) -> &Groups {
        &self.groups
    }

    pub(crate) fn set_groups(&mut self, groups: Groups, table: &Table) {
        self.groups = groups;
        self.routes.clear();
        let domains: HashSet<_> = self.groups.iter().map(|(_, it)| it.domain.clone()).collect();
        self.refresh(&domains, table);
    }

    /// Recomputes the routes of the groups in `domains`.
    pub(crate) fn refresh(&mut self, domains: &HashSet<DomainName>, table: &Table) {
        let mut candidates: HashMap<&DomainName, Vec<(u64, &HostName)>> = HashMap::default();
        for domain in domains {
            let hosts = table.up(domain).filter(|it| it.is_serving && !it.is_leaving);
            let hashed = hosts.map(|it| (host_hash(&it.host), &it.host));
            candidates.insert(domain, hashed.collect());
        }
        for (id, group) in self.groups.iter() {
            let Some(hosts) = candidates.get(&group.domain) else { continue };
            match rank(hosts, id) {
                Some(route) => self.routes.insert(id, route),
                None => self.routes.remove(&id),
            };
        }
    }

    pub(crate) fn route(&self, group: GroupId) -> Option<&Route> {
        self.routes.get(&group)
    }

    pub(crate) fn of_target(&self, target: &TargetName) -> Option<&Route> {
        self.route(self.groups.of_target(target)?)
    }
}

fn rank(hosts: &[(u64, &HostName)], group: GroupId) -> Option<Route> {
    let mut first: Option<(u64, &HostName)> = None;
    let mut second: Option<(u64, &HostName)> = None;
    for &(hash, host) in hosts {
        let entry = (weight(hash, group), host);
        if first.is_none_or(|it| entry > it) {
            second = first;
            first = Some(entry);
        } else if second.is_none_or(|it| entry > it) {
            second = Some(entry);
        }
    }
    let (_, primary) = first?;
    Some(Route { primary: primary.clone(), standby: second.map(|(_, it)| it.clone()) })
}
