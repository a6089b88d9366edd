//! Simulates sends, and checks what callers and targets observe.

use std::time::Duration;

use base::Time;
use forward::{Verdict, placement::Send, target::SendResult};
use rand::Rng;

use super::{
    COLD_RATIO, COLD_SLACK, DRAIN, MAX_UPDATE_DELAY, RETRY, SERVICES, WARMUP, WARMUP_RATE, World,
    hosts::domain_of,
    queries::{ATTEMPTS, Running},
};

/// Time after its deadline within which a running host ends a query.
const END_SLACK: Duration = Duration::from_millis(2);

/// Time after which an unanswered send times out.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Requests that may arrive in a window at a target that states a limit: this
/// multiple of it, plus a slack.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_RATIO: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

impl World {
    /// Delivers a send; returns the target that it reaches, and when
    /// and how it ends.
    pub fn deliver(
        &mut self,
        host: usize,
        id: usize,
        index: usize,
        send: &Send,
    ) -> (Option<usize>, Duration, SendResult) {
        let (seed, now) = (self.seed, self.now);
        assert!(!self.records[id].is_over, "seed {seed} at {now:?}: sent for a query that is over");
        let report = &self.hosts[host].targets.target(send.target).expect("placed").report;
        let (name, address, expected_service) =
            (report.name.clone(), report.address, report.service.clone());
        let at_address =
            self.targets.iter().position(|it| it.report.address == address && !it.is_over);
        let reached = at_address.filter(|it| {
            let target = &self.targets[*it];
            target.is_up && self.is_connected(domain_of(host), &target.report.domain)
        });
        let Some(target) = reached else { return (None, SILENCE_TIMEOUT, SendResult::Silent) };
        if self.targets[target].report.name != name {
            return (None, Duration::from_millis(1), SendResult::Misdirected);
        }
        assert_eq!(self.targets[target].report.service, expected_service, "seed {seed} at {now:?}");
        let service = self.targets[target].service();
        self.record_arrival(id, index, service);
        self.check_target(host, target);
        self.check_limit(host, target);
        let (took, result) = self.run(id, index, target);
        (Some(target), took, result)
    }

    /// Delivers what an answer says of the target's limit.
    pub fn tell_limit(&mut self, host: usize, target: usize, send: &Send) {
        let now = self.now;
        let it = &mut self.targets[target];
        let targets = &mut self.hosts[host].targets;
        match it.stated_limit.filter(|(_, until)| *until > now) {
            Some((limit, _)) => {
                targets.record_limit(send.target, limit, now);
                let told = it.told.entry(host).or_insert(now);
                if *told <= self.hosts[host].started {
                    *told = now;
                }
            }
            None => {
                targets.record_no_limit(send, now);
            }
        }
    }

    /// Checks that the hosts that were told the target's limit keep it together.
    fn check_limit(&mut self, host: usize, index: usize) {
        let (seed, now) = (self.seed, self.now);
        let is_known = self.told_before(host, index);
        let target = &mut self.targets[index];
        let Some((limit, _)) = target.stated_limit.filter(|(_, until)| *until > now) else {
            return;
        };
        if !is_known {
            return;
        }
        target.limited_arrivals.push(now);
        let recent = target.limited_arrivals.iter().rev();
        let count = recent.take_while(|at| now.since(**at) < LIMIT_WINDOW).count() as f64;
        let bound = limit * LIMIT_RATIO * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
        assert!(count <= bound, "seed {seed} at {now:?}: {count} in 4 s, limit {limit}");
    }

    /// Returns whether the host was told the target's limit half a second ago or
    /// earlier. A host that restarted knows nothing of before.
    fn told_before(&self, host: usize, target: usize) -> bool {
        let told = self.targets[target].told.get(&host);
        let started = self.hosts[host].started;
        told.is_some_and(|at| *at > started && self.now.since(*at) >= Duration::from_millis(500))
    }

    fn record_arrival(&mut self, id: usize, index: usize, service: usize) {
        let record = &mut self.records[id];
        record.arrivals[index] += 1;
        if record.arrivals[index] > 1 {
            self.extra[service].push(self.now);
        }
    }

    /// Runs a delivered send, which the target answers, sheds, fails or breaks off.
    fn run(&mut self, id: usize, index: usize, target: usize) -> (Duration, SendResult) {
        let ms = Duration::from_millis;
        let kind = self.rng.random_range(0..100);
        if kind == 0 {
            return (ms(2), SendResult::Shed);
        }
        self.record_run(id, index);
        let work = ms(self.rng.random_range(5..20));
        match kind {
            1 => return (ms(5), SendResult::Broken),
            2 => return (ms(5), SendResult::Failed),
            // The request runs, but its answer is lost.
            3 => return (SILENCE_TIMEOUT, SendResult::Silent),
            4..8 => return (work * 12, SendResult::Answered),
            _ => {}
        }
        let pause = self.targets[target].pauses_until.until(self.now);
        let took = pause + work;
        if took > SILENCE_TIMEOUT {
            (SILENCE_TIMEOUT, SendResult::Silent)
        } else {
            (took, SendResult::Answered)
        }
    }

    fn record_run(&mut self, id: usize, index: usize) {
        let (seed, now) = (self.seed, self.now);
        let record = &mut self.records[id];
        record.runs[index] += 1;
        let allowed = if record.is_idempotent { ATTEMPTS } else { 1 };
        assert!(record.runs[index] <= allowed, "seed {seed} at {now:?}: query {id} ran too often");
        assert!(!record.is_reported_not_run, "seed {seed} at {now:?}: query {id} runs after all");
    }

    /// Checks that the host may send to the target now.
    fn check_target(&mut self, host: usize, index: usize) {
        let (seed, now) = (self.seed, self.now);
        let is_up_to_date = self.is_up_to_date(host);
        let target = &mut self.targets[index];
        target.arrivals.push(now);
        if is_up_to_date {
            let left_ago = target.leaves_at.map(|at| now.since(at));
            assert!(
                left_ago.is_none_or(|it| it <= DRAIN),
                "seed {seed} at {now:?}: sent to a target that left {left_ago:?} ago"
            );
            let evacuated_ago = self.evacuated.get(&target.report.domain).map(|at| now.since(*at));
            assert!(
                evacuated_ago.is_none_or(|it| it <= MAX_UPDATE_DELAY),
                "seed {seed} at {now:?}: sent to a domain evacuated {evacuated_ago:?} ago"
            );
        }
        if now < target.cold_until {
            let second = target.arrivals.iter().rev();
            let count = second.take_while(|at| now.since(**at) < Duration::from_secs(1)).count();
            // Checked only once hosts have had time to learn that the target is cold.
            let bound = WARMUP_RATE * COLD_RATIO + COLD_SLACK;
            let is_known = target.cold_until.until(now) + Duration::from_millis(1_500) < WARMUP;
            assert!(
                !is_known || !is_up_to_date || count as f64 <= bound,
                "seed {seed} at {now:?}: {count} in a second to a cold target"
            );
        }
    }

    /// Checks that the query ended in time and that its caller got a true answer.
    pub fn check_end(
        &mut self,
        host: usize,
        id: usize,
        running: &Running,
        verdict: Option<Verdict>,
    ) {
        let (seed, now) = (self.seed, self.now);
        let query = &running.query;
        let schedule = query.plan().schedule;
        let resumed_at = self.hosts[host].frozen_until;
        let until = schedule.deadline.max(resumed_at) + END_SLACK;
        assert!(now <= until, "seed {seed} at {now:?}: query {id} ended too late");
        if verdict == Some(Verdict::Answer) {
            let done = query.done();
            assert!(done >= query.plan().min_shards, "seed {seed} at {now:?}: {done} parts");
            let record = &self.records[id];
            let answered = record.answers.iter().filter(|it| **it > 0).count();
            assert_eq!(done, answered, "seed {seed} at {now:?}: parts of query {id}");
            let is_run = |(answers, runs): (&u32, &u32)| answers <= runs;
            let all_ran = record.answers.iter().zip(&record.runs).all(is_run);
            assert!(all_ran, "seed {seed} at {now:?}: query {id} has an answer of no run");
            return;
        }
        let is_reported_not_run = verdict.is_some() && !query.may_have_run();
        let record = &mut self.records[id];
        record.is_reported_not_run = is_reported_not_run;
        let runs: u32 = record.runs.iter().sum();
        assert!(!is_reported_not_run || runs == 0, "seed {seed} at {now:?}: query {id} did run");
    }

    /// Checks that all overdue queries ended, and that extra sends to each service
    /// stay within the budget in each window.
    pub fn check(&self) {
        for host in &self.hosts {
            let resumed_at = host.frozen_until;
            let is_late = |it: &&Running| {
                let until = it.query.plan().schedule.deadline.max(resumed_at);
                self.now > until + END_SLACK
            };
            let late = host.queries.values().filter(is_late).count();
            assert_eq!(late, 0, "seed {}: queries that never ended", self.seed);
        }
        let end_ms = self.now.as_micros() / 1_000;
        for service in 0..SERVICES {
            for start in (0..end_ms).step_by(500) {
                self.check_window(service, Time::from_millis(start));
            }
        }
    }

    fn check_window(&self, service: usize, from: Time) {
        let count = |of: &[Time]| {
            let before = |end: Time| of.partition_point(|at| *at < end);
            before(from + RETRY.window) - before(from)
        };
        let requests = count(&self.requests[service]);
        let allowed = RETRY.ratio * requests as f64 + RETRY.slack;
        let extra = count(&self.extra[service]) as f64;
        assert!(
            extra <= allowed,
            "seed {} service {service} from {from:?}: {extra} of {allowed}",
            self.seed
        );
    }
}
