//! Answers of some leafs don't end: their bodies come in chunks of one byte. The
//! platform kills a process that exceeds its memory, and starts it again.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    thread,
    time::Duration,
};

use super::{SERVICE, TOTAL_RATES, loads};
use crate::{
    client::{self, Outcome, Sent},
    deployment::{Deployment, configuration, route},
    host::MEMORY_MB,
    leaf::{Behaviour, Reaction},
    record::Record,
};

const LEAFS: usize = 9;

/// Leafs in trouble. A `garble` of the site file, "unframed", has `share` 0.5 (the
/// default), `x` 0.05 and `for_s` 5.0.
const BAD_LEAFS: std::ops::Range<usize> = 0..4;

/// One answer in so many of theirs does not end.
const ENDLESS_ONE_IN: u64 = 20;

/// Each spell of trouble, and the calm before each.
const SPELL: Duration = Duration::from_secs(5);
const SPELLS: u32 = 8;

/// A process that ended is started again after this time.
const RESTART_AFTER: Duration = Duration::from_millis(500);

/// Time between two looks at a process's memory.
const MEMORY_POLL: Duration = Duration::from_millis(5);

/// `Fault`: so many ends of processes on so many machines.
const MAX_ENDS: usize = 3;
const MACHINES: usize = 2;

pub fn play(record: &Record, has_trouble: bool) -> Result<usize, String> {
    let is_trouble = Arc::new(AtomicBool::new(false));
    let answers = AtomicU64::new(0);
    let trouble = is_trouble.clone();
    let behaviour = Behaviour::new(move |leaf| {
        let is_bad = trouble.load(Relaxed) && BAD_LEAFS.contains(&leaf);
        if is_bad && answers.fetch_add(1, Relaxed) % ENDLESS_ONE_IN == ENDLESS_ONE_IN - 1 {
            return Reaction::EndlessChunks;
        }
        Reaction::Answers(Duration::from_millis(220))
    });
    let zones = [("bajio-a", 1), ("bajio-b", 1)];
    let deployment = Arc::new(Deployment::new(record, &zones, &[(SERVICE, LEAFS)], &behaviour)?);
    let routes = [route("r-1", super::PATH, "idempotent", SERVICE)];
    deployment.store.put("op/config", &configuration(7, &routes, &[SERVICE]));
    let ingress = deployment.start(record)?;
    let ends = Arc::new(Mutex::new(vec![0; deployment.hosts.len()]));
    for index in 0..deployment.hosts.len() {
        let (deployment, record, ends) = (deployment.clone(), record.clone(), ends.clone());
        thread::spawn(move || watch(&deployment, index, &record, &ends));
    }
    thread::spawn(move || {
        for _ in 0..SPELLS {
            thread::sleep(SPELL);
            is_trouble.store(has_trouble, Relaxed);
            thread::sleep(SPELL);
            is_trouble.store(false, Relaxed);
        }
    });
    let sent =
        client::run(&loads(&TOTAL_RATES, "GET", ""), SPELL * (2 * SPELLS + 1), &ingress, record);
    let sent = sent.lock().unwrap();
    let is_answered = |it: &&Sent| matches!(&it.outcome, Outcome::Answer(it) if it.status() == 200);
    record.line(&format!(
        "{} requests, {} served",
        sent.len(),
        sent.iter().filter(is_answered).count()
    ));
    let ends = ends.lock().unwrap();
    for (host, ends) in deployment.hosts.iter().zip(ends.iter()) {
        record.line(&format!("{}: {ends} ends over the limit on memory", host.name));
    }
    let often = ends.iter().filter(|it| **it >= MAX_ENDS).count();
    Ok(if often >= MACHINES { often } else { 0 })
}

/// Kills and restarts a host each time that it exceeds its memory.
fn watch(deployment: &Deployment, index: usize, record: &Record, ends: &Mutex<Vec<usize>>) {
    let host = &deployment.hosts[index];
    let mut peak = 0;
    loop {
        thread::sleep(MEMORY_POLL);
        let memory = host.memory_mb();
        if memory > peak + 20 {
            peak = memory;
            record.note(&format!("platform: {} uses {memory} MB", host.name));
        }
        if memory <= MEMORY_MB {
            continue;
        }
        host.kill();
        peak = 0;
        ends.lock().unwrap()[index] += 1;
        record.line(&format!(
            "platform: {} is killed, it uses {memory} of {MEMORY_MB} MB",
            host.name
        ));
        thread::sleep(RESTART_AFTER);
        if let Err(err) = host.start() {
            record.line(&format!("platform: cannot start {}: {err}", host.name));
        }
    }
}
