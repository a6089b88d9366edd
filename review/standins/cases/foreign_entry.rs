//! Another writer puts entries with missing fields under the ids of leafs. They name
//! another service than the leafs' own.

use std::{thread, time::Duration};

use super::{PATH, RATES, SERVICE, loads};
use crate::{
    client::{self, Outcome},
    deployment::{Deployment, configuration, route},
    leaf::{Behaviour, Reaction},
    record::Record,
};

/// A service that the route never goes to, and its path.
const OTHER_SERVICE: &str = "galu17b";
const OTHER_PATH: &str = "/fuka22/";

const LEAFS: usize = 9;
const OTHER_LEAFS: usize = 4;

/// Calm before each spell, and the time until the leafs write their own entries again.
const CALM: Duration = Duration::from_secs(5);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SPELLS: u32 = 4;

pub fn play(record: &Record, has_trouble: bool) -> Result<usize, String> {
    let behaviour = Behaviour::new(|_| Reaction::Answers(Duration::from_millis(60)));
    let zones = [("bajio-a", 1), ("bajio-b", 1), ("bajio-c", 1)];
    let services = [(SERVICE, LEAFS), (OTHER_SERVICE, OTHER_LEAFS)];
    let deployment = Deployment::new(record, &zones, &services, &behaviour)?;
    let routes = [
        route("r-1", PATH, "non_idempotent", SERVICE),
        route("r-2", OTHER_PATH, "non_idempotent", OTHER_SERVICE),
    ];
    let names = [SERVICE, OTHER_SERVICE];
    deployment.store.put("op/config", &configuration(7, &routes, &names));
    let ingress = deployment.start(record)?;
    let body = "x".repeat(300);
    let sent = thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..SPELLS {
                thread::sleep(CALM);
                if has_trouble {
                    put_foreign_entries(&deployment, record);
                }
                thread::sleep(HEARTBEAT);
                put_own_entries(&deployment);
                record.line("the leafs have written their entries again");
            }
        });
        let time = (CALM + HEARTBEAT) * SPELLS + CALM;
        client::run(&loads(&RATES, "POST", &body), time, &ingress, record)
    });
    let sent = sent.lock().unwrap();
    let is_served = |it: &Outcome| matches!(it, Outcome::Answer(it) if it.status() == 200);
    let served = sent.iter().filter(|it| is_served(&it.outcome)).count();
    record.line(&format!("{} requests, {served} served", sent.len()));
    if served * 2 < sent.len() {
        return Err("fewer than half of the requests were served".to_owned());
    }
    let runs = deployment.runs.lock().unwrap();
    let mut count = 0;
    for it in sent.iter() {
        let foreign = runs.get(&it.id).into_iter().flatten().filter(|it| it.service != SERVICE);
        for run in foreign {
            count += 1;
            record.line(&format!("ROUTE: {} ran at {} of {}", it.id, run.leaf, run.service));
        }
    }
    Ok(count)
}

/// Puts entries without `version`, `warmup_left_ms`, `seq` and `born` in place of those
/// of the other service's leafs.
fn put_foreign_entries(deployment: &Deployment, record: &Record) {
    for leaf in deployment.leafs.iter().filter(|it| it.service == OTHER_SERVICE) {
        let entry = format!(
            r#"{{"service":"{SERVICE}","addr":"{}","zone":"{}","slots":6,"state":"ready"}}"#,
            leaf.addr, leaf.zone
        );
        deployment.store.put(&format!("servers/{}", leaf.id), &entry);
        record.line(&format!("another writer puts servers/{}: {entry}", leaf.id));
    }
}

fn put_own_entries(deployment: &Deployment) {
    for leaf in deployment.leafs.iter().filter(|it| it.service == OTHER_SERVICE) {
        deployment.store.put(&format!("servers/{}", leaf.id), &leaf.entry());
    }
}
