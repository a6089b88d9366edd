//! Measures the effect of each mechanism of the owner in virtual time, against
//! the model target of the tests, and the CPU time of a subquery.
//!
//! `cargo run --release -p godwityard-policy --example owner_bench [SEED]`

// A benchmark prints its table.
#![allow(clippy::print_stdout)]

#[path = "../tests/owner_world/mod.rs"]
mod owner_world;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{AttemptId, Incarnation, Missing, RequestId, ServiceName, ShardId, TargetName, Time};
use documents::model::{EarlyRefusal, FairTurns, PolicySettings, WarmUp};
use owner_world::{
    SNAPSHOT, World,
    load::{Completion, Demand, jain, quantile, satisfaction},
};
use policy::{
    message::{Batch, Subquery},
    owner::{Action, AnswerHead, AttemptResult, Input, LoadReport, RequesterId},
};

const MINUTE: Duration = Duration::from_secs(60);
const SERVICES: usize = 20;
/// Three slots at 10 ms a subquery.
const CAPACITY: f64 = 300.0;
const FAIR_SHARE: f64 = CAPACITY / SERVICES as f64;

fn main() {
    let seed = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(1);
    println!("seed {seed}; one target, 3 slots, 10 ms exponential, deadline 100 ms, 60 s\n");
    fairness(seed);
    warm_up(seed);
    early_refusal(seed);
    cost();
}

fn fairness(seed: u64) {
    println!("one of {SERVICES} services at 10 times its share, the others at 0.8 of theirs");
    println!(
        "{:<28}{:>8}{:>12}{:>14}{:>14}",
        "", "Jain", "others p99", "others alone", "others ok"
    );
    for fair_turns in [FairTurns::DeficitRoundRobin, FairTurns::FirstComeFirstServed] {
        let settings = PolicySettings { fair_turns, ..PolicySettings::default() };
        let alone = run(seed, &settings, &others());
        let mut demands = others();
        demands.push(Demand::new("greedy", 10.0 * FAIR_SHARE));
        let completions = run(seed, &settings, &demands);
        let fair = FAIR_SHARE * MINUTE.as_secs_f64();
        let each = demands.iter().map(|it| satisfaction(&completions, &it.service, fair));
        let index = jain(&each.collect::<Vec<_>>());
        let others = |it: &Completion| &*it.service != "greedy";
        let p99 = quantile(&completions, 0.99, |it| others(it) && it.missing.is_none());
        let p99_alone = quantile(&alone, 0.99, |it| it.missing.is_none());
        let ok = ratio(&completions, others, |it| it.missing.is_none());
        println!(
            "{:<28}{index:>8.3}{:>9.1} ms{:>11.1} ms{:>13.1}%",
            format!("{fair_turns:?}"),
            millis(p99),
            millis(p99_alone),
            100.0 * ok
        );
    }
    println!();
}

fn warm_up(seed: u64) {
    println!(
        "a target that starts cold (handles 1, warm after 50 answers) under full demand, 15 s"
    );
    println!("{:<28}{:>12}{:>12}{:>12}", "", "overloads", "answered", "full after");
    for warm_up in [WarmUp::On, WarmUp::Off] {
        let settings = PolicySettings { warm_up, ..PolicySettings::default() };
        let mut world = World::new(seed, 1, settings);
        world.target(&target()).restart();
        let start = world.now;
        let mut completions = Vec::new();
        let mut full_after = None;
        for _ in 0..150 {
            let demand = [Demand::new("s", CAPACITY)];
            completions.extend(world.run_load_without_drain(&target(), &demand, MINUTE / 600));
            restart_if_crashed(&mut world);
            let limit = world.core.status(world.now, None)[0].limit;
            if limit == 3 && full_after.is_none() {
                full_after = Some(world.now.since(start));
            }
        }
        let answered = ratio(&completions, |_| true, |it| it.missing.is_none());
        let full_after =
            full_after.map_or("-".to_owned(), |it| format!("{:.1} s", it.as_secs_f64()));
        println!(
            "{:<28}{:>12}{:>11.1}%{full_after:>12}",
            format!("warm-up {warm_up:?}"),
            world.targets[&target()].overloads,
            100.0 * answered
        );
    }
    println!();
}

fn early_refusal(seed: u64) {
    println!("twice the capacity from {SERVICES} equal services");
    println!(
        "{:<28}{:>10}{:>14}{:>16}{:>14}{:>14}",
        "", "answered", "refused p50", "missed deadline", "answer p50", "answer p99"
    );
    for early_refusal in [EarlyRefusal::On, EarlyRefusal::Off] {
        let settings = PolicySettings { early_refusal, ..PolicySettings::default() };
        let demands = (0..SERVICES).map(|i| Demand::new(format!("s{i}"), 2.0 * FAIR_SHARE));
        let completions = run(seed, &settings, &demands.collect::<Vec<_>>());
        let is_answer = |it: &Completion| it.missing.is_none();
        let is_late =
            |it: &Completion| it.missing == Some(Missing::Deadline) && it.latency >= DEADLINE;
        let refused = quantile(&completions, 0.5, |it| it.missing.is_some());
        println!(
            "{:<28}{:>9.1}%{:>11.1} ms{:>15.1}%{:>11.1} ms{:>11.1} ms",
            format!("early refusal {early_refusal:?}"),
            100.0 * ratio(&completions, |_| true, is_answer),
            millis(refused),
            100.0 * ratio(&completions, |_| true, is_late),
            millis(quantile(&completions, 0.5, is_answer)),
            millis(quantile(&completions, 0.99, is_answer)),
        );
    }
    println!();
}

const DEADLINE: Duration = Duration::from_millis(100);

/// Measures the CPU time of the state machine for submit, send, answer and part.
fn cost() {
    const ROUNDS: u64 = 300_000;
    let mut world = World::new(1, 1, PolicySettings::default());
    world.run_for(Duration::from_millis(100));
    let mut core = world.core;
    let mut now = world.now;
    let services = (0..30).map(|i| ServiceName::from(format!("s{i}"))).collect::<Vec<_>>();
    let mut actions = Vec::new();
    let start = Instant::now();
    for i in 0..ROUNDS {
        now += Duration::from_micros(100);
        let batch = batch_of(&services[(i % 30) as usize], i + 1_000_000);
        let submit = Input::Submit { requester: RequesterId(i), batch };
        core.handle(now, submit, &mut actions);
        for action in std::mem::take(&mut actions) {
            answer(&mut core, now, action, &mut actions);
        }
        actions.clear();
    }
    let each = start.elapsed() / u32::try_from(ROUNDS).unwrap_or(u32::MAX);
    println!("state machine: {} ns a subquery (submit, send, answer, part)", each.as_nanos());
}

fn answer(core: &mut policy::owner::OwnerCore, now: Time, action: Action, out: &mut Vec<Action>) {
    let input = match action {
        Action::Send { target, connection, job, .. } => {
            let head = AnswerHead {
                attempt: Some(job.attempt),
                shard: Some(job.shard),
                snapshot: Some(SNAPSHOT),
                incarnation: Some(Incarnation(1)),
                is_leaving: false,
                snapshots: Some(vec![SNAPSHOT]),
            };
            let result = AttemptResult::Answer { head, body: Arc::default() };
            Input::AttemptFinished { target, connection, attempt: job.attempt, result }
        }
        Action::Open { target, connection, .. } => {
            let snapshots = vec![SNAPSHOT];
            let incarnation = Incarnation(1);
            let report = LoadReport { incarnation, is_leaving: false, is_healthy: true, snapshots };
            Input::Opened { target, connection, report }
        }
        _ => return,
    };
    core.handle(now, input, out);
}

fn batch_of(service: &ServiceName, id: u64) -> Batch {
    let attempt = AttemptId(u128::from(id));
    Batch {
        request: RequestId(attempt.0),
        service: service.clone(),
        pool: "p".into(),
        snapshot: SNAPSHOT,
        time_left: DEADLINE,
        is_idempotent: true,
        is_extra: false,
        fingerprint: 0,
        body: Arc::default(),
        subqueries: vec![Subquery { attempt, shard: ShardId(0), target: target() }],
    }
}

fn run(seed: u64, settings: &PolicySettings, demands: &[Demand]) -> Vec<Completion> {
    let mut world = World::new(seed, 1, settings.clone());
    world.run_load(&target(), &[Demand::new("warm-up", CAPACITY)], MINUTE / 6);
    world.run_load(&target(), demands, MINUTE)
}

/// Restarts the target, cold, if it has crashed.
fn restart_if_crashed(world: &mut World) {
    if !world.targets[&target()].is_alive {
        world.target(&target()).restart();
    }
}

fn others() -> Vec<Demand> {
    (1..SERVICES).map(|i| Demand::new(format!("s{i}"), 0.8 * FAIR_SHARE)).collect()
}

fn ratio(
    completions: &[Completion],
    among: impl Fn(&Completion) -> bool,
    wanted: impl Fn(&Completion) -> bool,
) -> f64 {
    let all = completions.iter().filter(|it| among(it)).count();
    let picked = completions.iter().filter(|it| among(it) && wanted(it)).count();
    picked as f64 / all as f64
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn target() -> TargetName {
    TargetName::new("t0")
}
