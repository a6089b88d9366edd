//! Publishes the node's state: views for requests, shares for the owner.

use base::{HashMap, TargetName};
use documents::{Configuration, model::OwnerMode};
use entry::seams::{HostView, Route, State};
use fleet::{Member, MemberState};

use super::{Driver, PUBLISH_INTERVAL};
use crate::{clock, direct, view::View};

impl Driver {
    pub(super) fn publish_if_due(&mut self) {
        if clock::now().since(self.last_publish) >= PUBLISH_INTERVAL {
            self.publish();
        }
    }

    pub(super) fn publish(&mut self) {
        self.last_publish = clock::now();
        let configuration = self.node.configuration();
        let hosts: Vec<_> = self.node.members().map(host_view).collect();
        self.cx.metrics.members_alive.record(count_alive(&hosts), &[]);
        self.assign(&configuration, &hosts);
        self.cx.view.publish(View {
            routes: self.routes(&configuration),
            addresses: hosts.iter().map(|it| (it.host.clone(), it.address)).collect(),
            findings: self.node.findings().iter().map(ToString::to_string).collect(),
            not_ready: self.node.readiness().err().map(|it| it.to_string()),
            configuration,
            hosts,
        });
    }

    fn assign(&self, configuration: &Configuration, hosts: &[HostView]) {
        let shares = match self.cx.owner_mode {
            OwnerMode::Owners => self.node.shares(clock::now()),
            OwnerMode::Direct => direct::shares(configuration, hosts),
        };
        self.cx.owner.assign(shares);
    }

    fn routes(&self, configuration: &Configuration) -> HashMap<TargetName, Route> {
        if self.cx.owner_mode == OwnerMode::Direct {
            return direct::routes(configuration, self.cx.view.host());
        }
        let route = |target: &TargetName| {
            let (primary, standby) = self.node.owners(target)?;
            Some((target.clone(), Route { primary, standby }))
        };
        configuration.targets().filter_map(|it| route(&it.name)).collect()
    }
}

fn host_view(member: Member) -> HostView {
    HostView {
        is_alive: matches!(member.state, MemberState::Alive | MemberState::Suspect),
        host: member.host,
        domain: member.domain,
        address: member.address,
        incarnation: member.incarnation,
        is_leaving: member.is_leaving,
        revision: member.revision,
    }
}

fn count_alive(hosts: &[HostView]) -> u64 {
    hosts.iter().filter(|it| it.is_alive).count() as u64
}
