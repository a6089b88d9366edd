//! The store is busy for some seconds, and some leafs send second copies of answers
//! late, also of those to health requests.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    thread,
    time::Duration,
};

use super::{SERVICE, TOTAL_RATES, loads};
use crate::{
    client::{self, Outcome, Sent},
    deployment::{Deployment, configuration_with_warmup, route},
    leaf::{Behaviour, Reaction, Run},
    record::Record,
};

const LEAFS: usize = 9;

/// Leafs in trouble. A `garble` of the site file, "extra late across", has `share`
/// 0.5, `x` 0.04 and `for_s` 5.0.
const BAD_LEAFS: std::ops::Range<usize> = 0..4;

/// One answer in so many of theirs comes twice.
const REPEATED_ONE_IN: u64 = 25;

/// Each spell of trouble, and the calm before each. In the site file `platform_down`
/// lasts up to 5.6 s for all machines; "busy" is one of its variants.
const SPELL: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(5);
const SPELLS: u32 = 9;

/// Each leaf runs so many requests at a time and queues a few more. The load is near
/// what the leafs can run, so some are full at times.
const SLOTS: usize = 3;
const QUEUE: usize = 18;
const WORK: Duration = Duration::from_millis(220);

/// Part of the site's rates by which they swing.
const SWING: f64 = 0.15;

/// Requests per second that a cold leaf tolerates. No leaf turns cold here.
const WARMUP_PER_S: f64 = 20.0;

pub fn play(record: &Record, has_trouble: bool) -> Result<usize, String> {
    let is_trouble = Arc::new(AtomicBool::new(false));
    let answers = AtomicU64::new(0);
    let trouble = is_trouble.clone();
    let mut behaviour = Behaviour::new(|_| Reaction::Answers(WORK));
    (behaviour.slots, behaviour.queue) = (SLOTS, QUEUE);
    behaviour.is_repeated = Arc::new(move |leaf| {
        let is_bad = trouble.load(Relaxed) && BAD_LEAFS.contains(&leaf);
        is_bad && answers.fetch_add(1, Relaxed) % REPEATED_ONE_IN == REPEATED_ONE_IN - 1
    });
    let zones = [("bajio-a", 1), ("bajio-b", 1), ("bajio-c", 1)];
    let deployment = Deployment::new(record, &zones, &[(SERVICE, LEAFS)], &behaviour)?;
    let routes = [route("r-1", super::PATH, "non_idempotent", SERVICE)];
    let cfg = configuration_with_warmup(7, &routes, &[SERVICE], WARMUP_PER_S);
    deployment.store.put("op/config", &cfg);
    let ingress = deployment.start(record)?;
    let store = deployment.store.clone();
    thread::spawn(move || {
        for _ in 0..SPELLS {
            thread::sleep(CALM);
            is_trouble.store(has_trouble, Relaxed);
            store.set_busy(has_trouble);
            thread::sleep(SPELL);
            is_trouble.store(false, Relaxed);
            store.set_busy(false);
        }
    });
    let time = (CALM + SPELL) * SPELLS + CALM;
    let mut loads = loads(&TOTAL_RATES, "POST", &"x".repeat(300));
    loads.iter_mut().for_each(|it| it.swing = SWING);
    let sent = client::run(&loads, time, &ingress, record);
    let sent = sent.lock().unwrap();
    let runs = deployment.runs.lock().unwrap();
    let successes = sent.iter().filter(|it| status(it) / 100 == 2).count();
    record.line(&format!("{} requests, {successes} successes", sent.len()));
    for it in sent.iter() {
        let ran = runs.get(&it.id).map_or(&[][..], Vec::as_slice);
        record_other_rules(it, ran, record);
    }
    let mut twice = 0;
    for (id, runs) in runs.iter().filter(|(_, runs)| runs.len() > 1) {
        twice += 1;
        let leafs: Vec<&str> = runs.iter().map(|it| it.leaf.as_str()).collect();
        record.line(&format!("TWICE: {id} ran at {}", leafs.join(" and ")));
    }
    if successes * 2 < sent.len() {
        return Err("fewer than half of the requests were served".to_owned());
    }
    Ok(twice)
}

fn status(sent: &Sent) -> u16 {
    match &sent.outcome {
        Outcome::Answer(answer) => answer.status(),
        Outcome::Closed | Outcome::NotConnected | Outcome::TimedOut => 0,
    }
}

/// Records other rules that the answer breaks; these don't count for the result.
fn record_other_rules(sent: &Sent, runs: &[Run], record: &Record) {
    let Outcome::Answer(answer) = &sent.outcome else { return };
    let (id, status) = (&sent.id, answer.status());
    if matches!(status, 503 | 429 | 408 | 421) && !runs.is_empty() {
        record.line(&format!("also REFUSED: {id} was answered {status} and ran"));
    }
    let stamp = answer.header("x-server-stamp").unwrap_or_default();
    let is_own = runs.iter().any(|it| it.stamp == stamp && it.body == answer.body);
    if status / 100 == 2 && !is_own {
        let of = answer.header("x-instance-id").unwrap_or("no instance");
        record.line(&format!(
            "also MIXED: {id} got a success with the stamp \"{stamp}\", {} bytes and \
             X-Instance-Id {of}",
            answer.body.len()
        ));
    }
}
