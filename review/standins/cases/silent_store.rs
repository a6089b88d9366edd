//! The store is silent for some seconds, just after a change of the configuration.
//! Later a route moves to another service.

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

/// A `platform_down` of the site file, "silent".
const SILENT_FOR: Duration = Duration::from_millis(4_500);

/// Calm before the first change, time from it to the silence, and from it to the
/// change that moves the route.
const CALM: Duration = Duration::from_secs(6);
const SILENT_AFTER: Duration = Duration::from_millis(200);
const MOVED_AFTER: Duration = Duration::from_secs(12);

/// Time for which clients send.
const TIME: Duration = Duration::from_secs(45);

/// Bounds of the site.
const CONTACT: Duration = Duration::from_millis(4_000);
const CONFIG: Duration = Duration::from_millis(3_000);

pub fn play(record: &Record, has_trouble: bool) -> Result<usize, String> {
    let behaviour = Behaviour::new(|_| Reaction::Answers(Duration::from_millis(60)));
    let zones = [("bajio-a", 3), ("bajio-b", 2), ("bajio-c", 1)];
    let services = [(SERVICE, 9), (NEW_SERVICE, 9)];
    let deployment = Deployment::new(record, &zones, &services, &behaviour)?;
    let names = [SERVICE, NEW_SERVICE];
    let to = |service| route("r-1", super::PATH, "idempotent", service);
    let added = route("r-2", "/fuka22/", "idempotent", NEW_SERVICE);
    let put = |version, routes: &[String]| {
        deployment.store.put("op/config", &configuration(version, routes, &names));
        record.line(&format!("operator: version {version} is acknowledged"));
        record.now()
    };
    put(7, &[to(SERVICE)]);
    let ingress = deployment.start(record)?;
    let mut due = Duration::ZERO;
    let all = thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(CALM);
            put(9, &[to(SERVICE), added.clone()]);
            thread::sleep(SILENT_AFTER);
            deployment.store.set_silent(has_trouble);
            thread::sleep(SILENT_FOR);
            deployment.store.set_silent(false);
            let stable = record.now() + CONTACT;
            thread::sleep(MOVED_AFTER - SILENT_AFTER - SILENT_FOR);
            // The route moves.
            let moved = put(11, &[to(NEW_SERVICE), added.clone()]);
            due = (moved + CONFIG).max(stable);
        });
        client::run(&loads(&RATES, "GET", ""), TIME, &ingress, record)
    });
    record.line(&format!("version 11 is due at {:.3}", due.as_secs_f64()));
    let all = all.lock().unwrap();
    let is_answered = |it: &&Sent| matches!(&it.outcome, Outcome::Answer(it) if it.status() == 200);
    let served = all.iter().filter(is_answered).count();
    record.line(&format!("{} requests, {served} served", all.len()));
    if served * 2 < all.len() {
        return Err("fewer than half of the requests were served".to_owned());
    }
    let runs = deployment.runs.lock().unwrap();
    let is_run_by_old =
        |it: &&Sent| runs.get(&it.id).is_some_and(|it| it.iter().any(|it| it.service == SERVICE));
    let late: Vec<&Sent> = all.iter().filter(|it| it.sent > due).filter(is_run_by_old).collect();
    for it in &late {
        record.note(&format!("CONFIG: {} was run by the old service", it.id));
    }
    for host in &deployment.hosts {
        let of_host = late.iter().filter(|it| it.host == host.name);
        if let Some(last) = of_host.clone().map(|it| it.sent).max() {
            record.line(&format!(
                "CONFIG: {} sent {} requests to the old service, the last at {:.3}",
                host.name,
                of_host.count(),
                last.as_secs_f64()
            ));
        }
    }
    Ok(late.len())
}
