//! Limits of requests that targets state in their answers, over all hosts.

mod fixture;

use forward::{
    Placement,
    placement::{Send, TargetKey},
    target::SendResult,
};

use fixture::{Fixture, at, report};

/// Time that a target takes to answer.
const WORK_MS: u64 = 30;

/// Target that states a limit, and hosts that send as much as they may.
struct World {
    hosts: Vec<Fixture>,
    target: Vec<TargetKey>,
    in_flight: Vec<(u64, usize, Send)>,
    /// Time of each request that arrived at the target, with the host.
    arrivals: Vec<(u64, usize)>,
    /// Time of the first answer to each host that named the limit.
    told: Vec<Option<u64>>,
}

impl World {
    fn new(hosts: usize) -> World {
        let mut world = World {
            hosts: Vec::new(),
            target: Vec::new(),
            in_flight: Vec::new(),
            arrivals: Vec::new(),
            told: vec![None; hosts],
        };
        for _ in 0..hosts {
            let mut it = Fixture::new(None);
            it.targets.set_hosts(hosts);
            world.target.push(it.targets.apply_report(report("one", "a"), at(0)));
            world.hosts.push(it);
        }
        world
    }

    /// Sends a request from `host` if it may.
    fn send(&mut self, ms: u64, host: usize) -> bool {
        let Placement::Send(send) = self.hosts[host].place(at(ms)) else { return false };
        self.arrivals.push((ms, host));
        self.in_flight.push((ms + WORK_MS, host, send));
        true
    }

    /// Delivers the answers that are due, which name `limit`.
    fn answer(&mut self, ms: u64, limit: Option<f64>) {
        for (_, host, send) in self.in_flight.extract_if(.., |it| it.0 <= ms) {
            let targets = &mut self.hosts[host].targets;
            targets.record_limit(&send, limit);
            targets.finish_send(&send, at(ms), SendResult::Answered);
            if limit.is_some() {
                self.told[host].get_or_insert(ms);
            }
        }
    }

    /// Returns the most requests in four seconds of hosts that were told the limit
    /// half a second before or earlier.
    fn most_in_four_seconds(&self) -> usize {
        let is_told = |(ms, host): (u64, usize)| self.told[host].is_some_and(|it| it + 500 <= ms);
        let told: Vec<u64> =
            self.arrivals.iter().filter(|it| is_told(**it)).map(|it| it.0).collect();
        let end_of_window = |from: u64| told.partition_point(|it| *it < from + 4_000);
        told.iter().enumerate().map(|(i, from)| end_of_window(*from) - i).max().unwrap_or(0)
    }
}

/// All hosts together may use a target's limit, not each of them.
#[test]
fn hosts_exceed_the_limit_that_a_target_states() {
    for (hosts, limit) in [(1, 4.0), (3, 1.0), (6, 1.0), (6, 21.3), (8, 5.5), (91, 5.0)] {
        let mut world = World::new(hosts);
        for ms in 0..30_000 {
            world.answer(ms, Some(limit));
            // The first hosts have most of the callers.
            for host in 0..hosts {
                if (ms + host as u64).is_multiple_of(7 * (host as u64 + 1)) {
                    world.send(ms, host);
                }
            }
        }
        let allowed = limit * 1.5 * 4.0 + 5.0;
        let most = world.most_in_four_seconds() as f64;
        assert!(most <= allowed, "{hosts} hosts: {most} in 4 s of {allowed}");
        // The limit is used.
        let all = world.arrivals.iter().filter(|(ms, _)| *ms >= 10_000).count() as f64;
        assert!(all >= limit * 20.0 * 0.7, "{hosts} hosts, limit {limit}: {all} in 20 s");
    }
}
