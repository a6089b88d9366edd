//! The store loses some answers for some seconds, in which routes move to another
//! service.

use std::{thread, time::Duration};

use super::{RATES, SERVICE, loads};
use crate::{
    client::{self, Outcome, Sent},
    deployment::{Deployment, configuration, route},
    leaf::{Behaviour, Reaction},
    record::Record,
};

/// Service to which the route moves.
const NEW_SERVICE: &str = "galu17b";

/// `platform_lost` in the site file: 4.5 s, 0.35 of the answers.
const LOSES_FOR: Duration = Duration::from_millis(4_500);
const LOST_ONE_IN: u64 = 3;

/// Calm before the trouble, and time from its begin to the change.
const CALM: Duration = Duration::from_secs(8);
const CHANGE_AFTER: Duration = Duration::from_secs(2);

/// Bounds of the site.
const CONTACT: Duration = Duration::from_millis(4_000);
const CONFIG: Duration = Duration::from_millis(3_000);

pub fn play(record: &Record, has_trouble: bool) -> Result<usize, String> {
    let behaviour = Behaviour::new(|_| Reaction::Answers(Duration::from_millis(60)));
    let zones = [("bajio-a", 3), ("bajio-b", 2), ("bajio-c", 1)];
    let services = [(SERVICE, 9), (NEW_SERVICE, 9)];
    let deployment = Deployment::new(record, &zones, &services, &behaviour)?;
    let names = [SERVICE, NEW_SERVICE];
    let to = |service| [route("r-1", super::PATH, "idempotent", service)];
    deployment.store.put("op/config", &configuration(7, &to(SERVICE), &names));
    let ingress = deployment.start(record)?;
    let mut changed = Duration::ZERO;
    let mut healed = Duration::ZERO;
    let all = thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(CALM);
            if has_trouble {
                record.line("store: answers are lost from now on");
                deployment.store.lose_answers(LOST_ONE_IN);
            }
            thread::sleep(CHANGE_AFTER);
            deployment.store.put("op/config", &configuration(9, &to(NEW_SERVICE), &names));
            changed = record.now();
            record.line("operator: version 9 is acknowledged, the route moves");
            thread::sleep(LOSES_FOR - CHANGE_AFTER);
            deployment.store.lose_answers(0);
            healed = record.now();
            record.line("store: no more answers are lost");
        });
        client::run(&loads(&RATES, "GET", ""), Duration::from_secs(45), &ingress, record)
    });
    // From then on the store is stable, the machines are in touch and the change is due.
    let due = (changed + CONFIG).max(healed + CONTACT);
    record.line(&format!("the change is due at {:.3}", due.as_secs_f64()));
    let all = all.lock().unwrap();
    let runs = deployment.runs.lock().unwrap();
    let is_answered = |it: &&Sent| matches!(&it.outcome, Outcome::Answer(it) if it.status() == 200);
    record.line(&format!(
        "{} requests, {} served",
        all.len(),
        all.iter().filter(is_answered).count()
    ));
    let mut late: Vec<(&str, Duration)> = Vec::new();
    for it in all.iter().filter(|it| it.sent > due) {
        if runs.get(&it.id).is_some_and(|it| it.iter().any(|it| it.service == SERVICE)) {
            record.note(&format!("CONFIG: {} was run by the old service", it.id));
            late.push((&it.host, it.sent));
        }
    }
    for host in &deployment.hosts {
        let of_host = late.iter().filter(|(name, _)| *name == host.name);
        if let Some((_, last)) = of_host.clone().max_by_key(|(_, at)| *at) {
            record.line(&format!(
                "CONFIG: {} sent {} requests to the old service, the last {:.1} s after the \
                 acknowledgement",
                host.name,
                of_host.count(),
                (*last - changed).as_secs_f64()
            ));
        }
    }
    Ok(late.len())
}
