//! What waits for targets: in which order, for how long, and what is turned
//! away.

use std::{sync::Arc, time::Duration};

use base::{DomainName, ServiceName, TargetName, Time};
use forward::{
    Lifecycle, Placement, Service, TargetReport, Targets,
    budget::RetryLimits,
    placement::{Admission, Arrival, Ask, ClassKey, Limits, Send, ServiceKey, Waiting},
    route::Configuration,
    target::{ReportedLoad, SendResult},
};

const SLOTS: u32 = 3;

struct Fixture {
    core: Targets<&'static str>,
    services: Vec<ServiceKey>,
    class: ClassKey,
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn report(service: &ServiceName) -> TargetReport {
    TargetReport {
        name: TargetName::new(&format!("t-{service}")),
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

impl Fixture {
    /// Services with one target each.
    fn new(services: usize) -> Fixture {
        let limits = Limits {
            retry: RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 10.0 },
            cold_ratio: 1.0,
            cold_slack: 0.0,
            cross_domain: Duration::ZERO,
            leaving_for: Duration::from_secs(1),
        };
        let mut core = Targets::new(limits, DomainName::new("a"), Default::default());
        core.set_hosts(1);
        let names: Vec<ServiceName> =
            (0..services).map(|it| ServiceName::new(&format!("s{it}"))).collect();
        let settings = Service {
            health_path: Arc::from("/health"),
            max_connections: 20,
            warmup: Duration::ZERO,
            warmup_rate: None,
        };
        let settings = names.iter().map(|it| (it.clone(), settings.clone())).collect();
        core.configure(&Configuration { version: 1, services: settings, ..Default::default() });
        for name in &names {
            core.reported(report(name), at(0));
        }
        let services = names.iter().map(|it| core.service(it)).collect();
        let class = core.class(&Arc::from("route"));
        Fixture { core, services, class }
    }

    fn place(&mut self, service: usize, now: Time) -> Placement {
        let service = self.services[service];
        let ask = Ask { service, class: self.class, tried: &[], regions: &[] };
        self.core.place(&ask, now)
    }

    fn send(&mut self, service: usize, now: Time) -> Send {
        match self.place(service, now) {
            Placement::Send(send) => send,
            other => panic!("not sent: {other:?}"),
        }
    }

    fn wait(&mut self, service: usize, who: &'static str, priority: u32, in_time_until: u64) {
        let (in_time_until, until) = (at(in_time_until), at(10_000));
        let waiting = Waiting { priority, in_time_until, until, who };
        assert!(self.core.wait(self.services[service], waiting));
    }

    fn next(&mut self, service: usize, now: Time) -> Option<&'static str> {
        self.core.next_waiting(self.services[service], now)
    }

    fn admit(&self, enough: usize, until: Time, now: Time) -> Admission {
        let (services, class) = (&*self.services, self.class);
        self.core.admit(&Arrival { services, enough, class, until }, now)
    }

    /// Ends a send of `service` every 20 ms from `from` on, while some wait.
    fn drain(&mut self, service: usize, from: u64, count: u64) {
        for i in 0..count {
            let send = self.send(service, at(from + i * 20));
            self.core.finished(&send, at(from + (i + 1) * 20), SendResult::Answered);
        }
    }
}

#[test]
fn the_most_urgent_goes_first_then_the_oldest() {
    let mut it = Fixture::new(1);
    it.wait(0, "late", 0, 50);
    it.wait(0, "first", 1, 500);
    it.wait(0, "second", 1, 500);
    it.wait(0, "urgent", 0, 500);
    let order: Vec<_> = std::iter::from_fn(|| it.next(0, at(100))).collect();
    assert_eq!(order, ["urgent", "first", "second", "late"]);
}

#[test]
fn what_is_over_leaves_the_queue() {
    let mut it = Fixture::new(1);
    it.wait(0, "over", 1, 500);
    it.wait(0, "stays", 1, 500);
    let service = it.services[0];
    it.core.withdraw(service, |who| *who == "over");
    assert_eq!(it.core.waiting_count(), 1);
    assert_eq!(it.next(0, at(1)), Some("stays"));
    it.wait(0, "expired", 1, 500);
    assert_eq!(it.next(0, at(20_000)), None);
}

/// Work waits here, where it can still be withdrawn or go elsewhere, and not
/// at a target that has a round of work waiting.
#[test]
fn a_target_with_a_full_queue_gets_nothing_more() {
    let mut it = Fixture::new(1);
    let load = |waiting, ms| ReportedLoad { running: SLOTS, waiting, at: at(ms) };
    let first = it.send(0, at(0));
    it.core.note_load(first.target, load(SLOTS - 1, 1));
    assert!(matches!(it.place(0, at(2)), Placement::Send(_)));
    it.core.note_load(first.target, load(SLOTS, 3));
    assert_eq!(it.place(0, at(4)), Placement::Busy);
    // An old word counts no more.
    it.core.finished(&first, at(250), SendResult::Answered);
    assert!(matches!(it.place(0, at(260)), Placement::Send(_)));
}

/// The last send of this host brings the target's next word, so that it is not
/// taken for full forever.
#[test]
fn a_full_target_without_a_send_of_this_host_is_tried() {
    let mut it = Fixture::new(1);
    let send = it.send(0, at(0));
    it.core.note_load(send.target, ReportedLoad { running: 3, waiting: 9, at: at(1) });
    it.core.finished(&send, at(2), SendResult::Answered);
    assert!(matches!(it.place(0, at(3)), Placement::Send(_)));
}

#[test]
fn a_query_that_would_be_late_is_refused_at_its_arrival() {
    let mut it = Fixture::new(2);
    for _ in 0..10 {
        it.wait(0, "one", 1, 10_000);
        it.wait(1, "two", 1, 10_000);
    }
    it.drain(0, 0, 12);
    it.drain(1, 0, 12);
    // Ten wait, and one leaves each 20 ms.
    let now = at(240);
    assert_eq!(it.admit(2, now + Duration::from_millis(500), now), Admission::Accept);
    let Admission::Refuse { wait } = it.admit(2, now + Duration::from_millis(150), now) else {
        panic!("taken on");
    };
    assert_eq!(wait, Duration::from_millis(200));
}

/// What waits for a shard that need not answer delays nobody.
#[test]
fn a_shard_that_may_be_missing_turns_nobody_away() {
    let mut it = Fixture::new(2);
    for _ in 0..10 {
        it.wait(0, "one", 1, 10_000);
    }
    it.drain(0, 0, 12);
    let now = at(240);
    let until = now + Duration::from_millis(100);
    assert_eq!(it.admit(1, until, now), Admission::Accept);
    assert!(matches!(it.admit(2, until, now), Admission::Refuse { .. }));
}

#[test]
fn nobody_is_refused_while_nothing_waits() {
    let mut it = Fixture::new(1);
    it.drain(0, 0, 3);
    assert_eq!(it.admit(1, at(60), at(60)), Admission::Accept);
}
