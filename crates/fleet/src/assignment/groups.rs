//! Partition of the targets into groups.
//!
//! A target's group depends only on its pool, domain and shard, so that adding
//! a target moves no other.

use std::sync::Arc;

use base::{DomainName, HashMap, TargetName};
use documents::{Configuration, Target};

use super::GroupId;
use crate::hash;

#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) domain: DomainName,
    pub(crate) targets: Vec<Arc<Target>>,
}

#[derive(Debug, Default)]
pub(crate) struct Groups {
    groups: HashMap<GroupId, Group>,
    of_target: HashMap<TargetName, GroupId>,
}

impl Groups {
    /// Groups the targets of `configuration` by `size` shards.
    pub(crate) fn new(configuration: &Configuration, size: u32) -> Groups {
        let mut out = Groups::default();
        for target in configuration.targets() {
            let id = group_of(target, size);
            out.of_target.insert(target.name.clone(), id);
            let new = || Group { domain: target.domain.clone(), targets: Vec::new() };
            out.groups.entry(id).or_insert_with(new).targets.push(Arc::clone(target));
        }
        out
    }

    pub(crate) fn get(&self, id: GroupId) -> Option<&Group> {
        self.groups.get(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (GroupId, &Group)> {
        self.groups.iter().map(|(&id, it)| (id, it))
    }

    pub(crate) fn of_target(&self, target: &TargetName) -> Option<GroupId> {
        self.of_target.get(target).copied()
    }
}

fn group_of(target: &Target, size: u32) -> GroupId {
    let base =
        hash::combine(hash::bytes(target.pool.as_bytes()), hash::bytes(target.domain.as_bytes()));
    GroupId(hash::combine(base, u64::from(target.shard.0 / size.max(1))))
}
