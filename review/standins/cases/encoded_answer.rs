//! Some leafs hand out wrong bytes, marked by `Content-Encoding`, to requests that may
//! run once only.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    thread,
    time::Duration,
};

use super::{RATES, SERVICE, loads};
use crate::{
    client::{self, Outcome, Sent},
    deployment::{Deployment, configuration, route},
    leaf::{Behaviour, Reaction, Runs},
    record::Record,
};

const LEAFS: usize = 9;

/// Leafs that spoil answers. A `garble` of the site file, "unframed", has `share` 0.5
/// (the default), `x` 0.05 and `for_s` 5.0.
const BAD_LEAFS: usize = 4;

/// A bad leaf spoils one answer in so many.
const SPOILT_ONE_IN: u64 = 20;

/// Each spell of trouble, and the calm before each.
const SPELL: Duration = Duration::from_secs(5);
const SPELLS: u32 = 3;

pub fn play(record: &Record, has_trouble: bool) -> Result<usize, String> {
    let is_trouble = Arc::new(AtomicBool::new(false));
    let answers = AtomicU64::new(0);
    let trouble = is_trouble.clone();
    let behaviour = Behaviour::new(move |leaf| {
        let is_bad = trouble.load(Relaxed) && leaf < BAD_LEAFS;
        if is_bad && answers.fetch_add(1, Relaxed) % SPOILT_ONE_IN == SPOILT_ONE_IN - 1 {
            return Reaction::Encoded;
        }
        Reaction::Answers(Duration::from_millis(60))
    });
    let zones = [("bajio-a", 1), ("bajio-b", 1), ("bajio-c", 1)];
    let deployment = Deployment::new(record, &zones, &[(SERVICE, LEAFS)], &behaviour)?;
    let routes = [route("r-1", super::PATH, "non_idempotent", SERVICE)];
    deployment.store.put("op/config", &configuration(7, &routes, &[SERVICE]));
    let ingress = deployment.start(record)?;
    thread::spawn(move || {
        for _ in 0..SPELLS {
            thread::sleep(SPELL);
            is_trouble.store(has_trouble, Relaxed);
            thread::sleep(SPELL);
            is_trouble.store(false, Relaxed);
        }
    });
    let body = "x".repeat(300);
    let time = SPELL * (2 * SPELLS + 1);
    let sent = client::run(&loads(&RATES, "POST", &body), time, &ingress, record);
    let sent = sent.lock().unwrap();
    let successes = sent.iter().filter(|it| is_success(it)).count();
    record.line(&format!("{} requests, {successes} successes", sent.len()));
    let wrong = sent.iter().filter(|it| is_success(it) && !is_whole(it, &deployment.runs));
    let mut count = 0;
    for it in wrong {
        count += 1;
        record.line(&format!("MIXED: {} got a success with a body that isn't the leaf's", it.id));
    }
    if successes * 2 < sent.len() {
        return Err("fewer than half of the requests were served".to_owned());
    }
    Ok(count)
}

fn is_success(sent: &Sent) -> bool {
    matches!(&sent.outcome, Outcome::Answer(answer) if answer.status() / 100 == 2)
}

/// Returns whether the answer bears the stamp and the whole body of a leaf that ran
/// the request.
fn is_whole(sent: &Sent, runs: &Runs) -> bool {
    let Outcome::Answer(answer) = &sent.outcome else { return false };
    let runs = runs.lock().unwrap();
    let mut own = runs.get(&sent.id).into_iter().flatten();
    let stamp = answer.header("x-server-stamp").unwrap_or_default();
    own.any(|it| it.stamp == stamp && it.body == answer.body)
        && answer.header("content-encoding").is_none()
}
