//! Views of the state of this host.

use base::TargetName;
use documents::{Configuration, Target, model::DomainState};
use policy::message::TargetStatus;

use crate::{
    cx::EntryCx,
    interfaces::{HostView, Owners, State},
    wire::{DomainBody, HostBody, ServiceBody, StatusBody, TargetBody, TargetStatusBody},
};

pub(super) fn status<S: State, O: Owners>(cx: &EntryCx<S, O>) -> StatusBody {
    let not_ready_reason = cx.not_ready();
    let state = cx.state();
    StatusBody {
        host: state.host().to_string(),
        domain: state.domain().to_string(),
        incarnation: state.incarnation().0,
        ready: not_ready_reason.is_none(),
        not_ready_reason,
        revision: state.configuration().revision.0,
        findings: state.findings(),
        hosts: state.hosts().iter().map(HostBody::from).collect(),
        invariants_broken: base::invariant::broken_count(),
        tickets: cx.tickets().len(),
        suspects: cx.shared().quarantine.len(),
    }
}

pub(super) fn domains<S: State, O: Owners>(cx: &EntryCx<S, O>) -> Vec<DomainBody> {
    let cfg = cx.state().configuration();
    let hosts = cx.state().hosts();
    let mut names: Vec<_> = cfg.targets().map(|it| it.domain.clone()).collect();
    names.extend(cfg.domains.keys().cloned());
    names.sort();
    names.dedup();
    let shared = cx.shared();
    let usable = |it: &Target| is_usable(&cfg, it, shared.table.status(&it.name));
    let body = |name: base::DomainName| {
        let document = cfg.domains.get(&name);
        let is_in = cfg.is_domain_in(&name);
        DomainBody {
            region: document.map(|it| it.region.to_string()),
            state: state_text(if is_in { DomainState::In } else { DomainState::Out }),
            targets: cfg.targets().filter(|it| it.domain == name).count(),
            targets_usable: cfg.targets().filter(|it| it.domain == name && usable(it)).count(),
            hosts_alive: hosts.iter().filter(|it| it.domain == name && it.is_alive).count(),
            domain: name.to_string(),
        }
    };
    names.into_iter().map(body).collect()
}

pub(super) fn targets<S: State, O: Owners>(cx: &EntryCx<S, O>) -> Vec<TargetBody> {
    let cfg = cx.state().configuration();
    let mut targets: Vec<_> = cfg.targets().cloned().collect();
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    targets.iter().map(|it| target(cx, it)).collect()
}

pub(super) fn services<S: State, O: Owners>(cx: &EntryCx<S, O>) -> Vec<ServiceBody> {
    let cfg = cx.state().configuration();
    let now = cx.now();
    let recent = &cx.inner.recent;
    let mut services: Vec<_> = cfg.services.values().collect();
    services.sort_by(|a, b| a.name.cmp(&b.name));
    let body = |it: &&std::sync::Arc<documents::Service>| {
        let of_pool = || cfg.services.values().filter(|other| other.pool == it.pool);
        let pool_work: f64 = of_pool().map(|other| recent.work(now, &other.name)).sum();
        let pool_weight: f64 = of_pool().map(|other| f64::from(other.weight)).sum();
        ServiceBody {
            service: it.name.to_string(),
            team: it.team.to_string(),
            pool: it.pool.to_string(),
            weight: it.weight,
            in_flight: cx.inner.in_flight.of(&it.name),
            max_in_flight: it.max_in_flight,
            share_of_work: part(recent.work(now, &it.name), pool_work),
            fair_share: part(f64::from(it.weight), pool_weight),
        }
    };
    services.iter().map(body).collect()
}

fn target<S: State, O: Owners>(cx: &EntryCx<S, O>, it: &Target) -> TargetBody {
    let route = cx.state().route(&it.name);
    let status = learned(cx, &it.name);
    TargetBody {
        target: it.name.to_string(),
        pool: it.pool.to_string(),
        shard: it.shard.0,
        domain: it.domain.to_string(),
        slots: it.slots,
        owner: route.as_ref().map(|it| it.primary.to_string()),
        standby: route.and_then(|it| it.standby).map(|it| it.to_string()),
        leaving: it.leaving || status.as_ref().is_some_and(|it| it.is_leaving),
        status: status.as_ref().map(TargetStatusBody::from),
    }
}

fn learned<S: State, O: Owners>(cx: &EntryCx<S, O>, target: &TargetName) -> Option<TargetStatus> {
    cx.shared().table.status(target).cloned()
}

fn is_usable(cfg: &Configuration, target: &Target, status: Option<&TargetStatus>) -> bool {
    !target.leaving
        && cfg.is_domain_in(&target.domain)
        && status.is_some_and(|it| it.is_up && !it.is_leaving)
}

fn state_text(state: DomainState) -> &'static str {
    match state {
        DomainState::In => "in",
        DomainState::Out => "out",
    }
}

fn part(value: f64, whole: f64) -> f64 {
    if whole > 0.0 { value / whole } else { 0.0 }
}

impl From<&HostView> for HostBody {
    fn from(view: &HostView) -> Self {
        HostBody {
            host: view.host.to_string(),
            domain: view.domain.to_string(),
            address: view.address.to_string(),
            incarnation: view.incarnation.0,
            alive: view.is_alive,
            leaving: view.is_leaving,
            revision: view.revision.0,
        }
    }
}

impl From<&TargetStatus> for TargetStatusBody {
    fn from(status: &TargetStatus) -> Self {
        TargetStatusBody {
            incarnation: status.incarnation.0,
            up: status.is_up,
            limit: status.limit,
            in_flight: status.in_flight,
            wait_ms: status.wait.as_secs_f64() * 1_000.0,
            snapshots: status.snapshots.iter().map(ToString::to_string).collect(),
        }
    }
}
