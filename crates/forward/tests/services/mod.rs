#![allow(dead_code, reason = "each test file uses a part of this module")]

//! One host's view of several services with the same number of targets each.

use std::{sync::Arc, time::Duration};

use base::{DomainName, ServiceName, TargetName, Time};
use forward::{
    Lifecycle, Placement, Query, QueryPlan, Service, TargetReport, Targets,
    budget::RetryLimits,
    gather::Schedule,
    placement::{ClassKey, Limits, PlacementRequest, Send, ServiceKey, TargetKey},
    route::Configuration,
    target::SendResult,
};

pub const SLOTS: u32 = 3;
pub const ATTEMPTS: u32 = 2;

const OBJECTIVE: Duration = Duration::from_millis(200);

pub struct ServicesFixture {
    pub targets: Targets<&'static str>,
    pub services: Vec<ServiceKey>,
    pub class: ClassKey,
    target_keys: Vec<TargetKey>,
}

pub fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

impl ServicesFixture {
    pub fn new(services: usize, targets_per_service: usize) -> ServicesFixture {
        base::invariant::panic_when_broken();
        let limits = Limits {
            retry: RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 10.0 },
            cold_ratio: 1.0,
            cold_slack: 0.0,
            cross_domain: Duration::ZERO,
            leaving_for: Duration::from_secs(1),
        };
        let mut targets = Targets::new(limits, DomainName::new("a"), Default::default());
        targets.set_hosts(1);
        let names: Vec<ServiceName> =
            (0..services).map(|it| ServiceName::new(&format!("s{it}"))).collect();
        let settings = Service {
            health_path: Arc::from("/health"),
            max_connections: 20,
            warmup: Duration::ZERO,
            warmup_rate: None,
        };
        let settings = names.iter().map(|it| (it.clone(), settings.clone())).collect();
        targets.configure(&Configuration { version: 1, services: settings, ..Default::default() });
        let reports = names
            .iter()
            .flat_map(|name| (0..targets_per_service).map(move |target| report(name, target)));
        let target_keys = reports.map(|it| targets.apply_report(it, at(0))).collect();
        let services = names.iter().map(|it| targets.service(it)).collect();
        let class = targets.class(&Arc::from("route"));
        ServicesFixture { targets, services, class, target_keys }
    }

    pub fn query(
        &mut self,
        min_shards: usize,
        is_idempotent: bool,
        timeout_ms: u64,
        now: Time,
    ) -> Query {
        let deadline = now + Duration::from_millis(timeout_ms);
        let plan = QueryPlan {
            shards: self.services.clone(),
            min_shards,
            class: self.class,
            regions: Vec::new(),
            attempts: ATTEMPTS,
            priority: 1,
            customer: None,
            is_idempotent,
            spares_overloaded: false,
            schedule: Schedule { received: now, objective: OBJECTIVE, deadline },
        };
        Query::new(plan, &mut self.targets, now)
    }

    pub fn place(&mut self, service: usize, now: Time) -> Placement {
        let service = self.services[service];
        let req = PlacementRequest { service, class: self.class, tried: &[], regions: &[] };
        self.targets.place(&req, now)
    }

    pub fn send(&mut self, service: usize, now: Time) -> Send {
        match self.place(service, now) {
            Placement::Send(send) => send,
            other => panic!("not sent: {other:?}"),
        }
    }

    /// Places a send on a group of hosts.
    pub fn send_to_group(&mut self, group: ServiceKey, now: Time) -> Send {
        let req = PlacementRequest { service: group, class: self.class, tried: &[], regions: &[] };
        match self.targets.place(&req, now) {
            Placement::Send(send) => send,
            other => panic!("not sent: {other:?}"),
        }
    }

    /// Places a send of the first service on `target`.
    pub fn send_to(&mut self, target: TargetKey, now: Time) -> Send {
        let others: Vec<TargetKey> =
            self.target_keys.iter().copied().filter(|it| *it != target).collect();
        let req = PlacementRequest {
            service: self.services[0],
            class: self.class,
            tried: &others,
            regions: &[],
        };
        match self.targets.place(&req, now) {
            Placement::Send(send) => send,
            other => panic!("not sent: {other:?}"),
        }
    }

    pub fn target_keys(&self) -> &[TargetKey] {
        &self.target_keys
    }

    pub fn other_target(&self, target: TargetKey) -> TargetKey {
        *self.target_keys.iter().find(|it| **it != target).expect("two targets")
    }

    /// Records answers that took `latency`, which sets the hedge delay.
    pub fn record_latencies(&mut self, latency: Duration) {
        for i in 0..40 {
            let send = self.send(0, at(i * 20));
            self.targets.finish_send(&send, at(i * 20) + latency, SendResult::Answered);
        }
    }
}

fn report(service: &ServiceName, target: usize) -> TargetReport {
    TargetReport {
        name: TargetName::new(&format!("t-{service}-{target}")),
        born: Some(1),
        sequence: 1,
        service: service.clone(),
        address: ([127, 0, 0, 1], 1_000).into(),
        domain: DomainName::new("a"),
        slots: SLOTS,
        lifecycle: Lifecycle::Ready,
        cold_for: Duration::ZERO,
    }
}
