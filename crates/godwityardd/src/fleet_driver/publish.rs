//! Publishes the node's state: views for the entry, shares for the owner.

use std::{sync::Arc, time::Duration};

use base::{HashMap, Share, TargetName, Time};
use documents::model::OwnerMode;
use entry::interfaces::{HostView, Route, State};
use fleet::{Member, MemberState};

use super::Driver;
use crate::{clock, direct, view::View};

/// Longest time between two publications of a view.
const VIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time between two assignments of shares to the owner; renewed leases
/// extend the shares' validity in the meantime.
const ASSIGN_INTERVAL: Duration = Duration::from_millis(200);

impl Driver {
    /// Publishes the view or the shares if they have changed or are due.
    pub(super) fn publish_if_due(&mut self) {
        let now = clock::now();
        if self.is_changed {
            self.is_changed = false;
            self.routes = Arc::new(self.compute_routes());
            self.publish(now);
        } else if now.since(self.published_at) >= VIEW_INTERVAL || self.has_readiness_changed() {
            self.publish(now);
        } else if now.since(self.assigned_at) >= ASSIGN_INTERVAL {
            self.assign(now);
        }
    }

    fn publish(&mut self, now: Time) {
        self.published_at = now;
        let hosts: Vec<_> = self.node.members().map(host_view).collect();
        self.cx.metrics.members_alive.record(count_alive(&hosts), &[]);
        self.cx.view.publish(View {
            routes: Arc::clone(&self.routes),
            addresses: hosts.iter().map(|it| (it.host.clone(), it.address)).collect(),
            findings: self.node.findings().iter().map(ToString::to_string).collect(),
            not_ready: self.node.readiness().err().map(|it| it.to_string()),
            configuration: self.node.configuration(),
            hosts,
        });
        self.assign(now);
    }

    fn has_readiness_changed(&self) -> bool {
        self.node.readiness().is_err() != self.cx.view.not_ready().is_some()
    }

    fn assign(&mut self, now: Time) {
        self.assigned_at = now;
        let shares = match self.cx.owner_mode {
            OwnerMode::Owners => self.node.shares(now),
            OwnerMode::Direct => direct::shares(&self.node.configuration(), &self.cx.view.hosts()),
        };
        self.record_shares(now, &shares);
        self.cx.owner.assign(shares);
    }

    fn record_shares(&self, now: Time, shares: &[(TargetName, Share)]) {
        let ends = shares.iter().filter_map(|(_, share)| share.valid_until);
        let left = ends.min().map_or(Duration::ZERO, |it| it.until(now));
        self.cx.metrics.shares_held.record(shares.len() as u64, &[]);
        self.cx.metrics.lease_left.record(left.as_millis() as u64, &[]);
    }

    fn compute_routes(&self) -> HashMap<TargetName, Route> {
        let configuration = &self.node.configuration();
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
