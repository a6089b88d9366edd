//! All machines are stopped and started in turn, while requests take as long as the
//! site's longest.

use std::{thread, time::Duration};

use super::{RATES, SERVICE, loads};
use crate::{
    client::{self, Outcome, Sent},
    deployment::{Deployment, configuration, route},
    leaf::{Behaviour, Reaction},
    record::Record,
};

/// The site's longest work of `conciliacion-proveedor`, a quarter of what its clients
/// wait.
const WORK: Duration = Duration::from_millis(1_300);

/// Time between two stops: `gap_s` of `roll_term` on day `trouble-2` of the site.
const GAP: Duration = Duration::from_secs(2);

/// `grace_s` of the site, after which the platform kills.
const GRACE: Duration = Duration::from_secs(6);

/// A process that ended is started again after this time.
const RESTART_AFTER: Duration = Duration::from_secs(1);

/// A request that was sent by then after the SIGTERM may be cut late in `grace_s`.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);

/// Rounds in which every machine is stopped once, and the calm before each.
const ROUNDS: u32 = 5;
const CALM: Duration = Duration::from_secs(6);

/// A stop of a host.
struct Stop {
    host: String,
    at: Duration,
}

pub fn play(record: &Record, has_trouble: bool) -> Result<usize, String> {
    let behaviour = Behaviour::new(|_| Reaction::Answers(WORK));
    let zones = [("bajio-a", 3), ("bajio-b", 2), ("bajio-c", 1)];
    let deployment = Deployment::new(record, &zones, &[(SERVICE, 9)], &behaviour)?;
    let routes = [route("r-1", super::PATH, "idempotent", SERVICE)];
    deployment.store.put("op/config", &configuration(7, &routes, &[SERVICE]));
    let ingress = deployment.start(record)?;
    let round = CALM + GAP * deployment.hosts.len() as u32;
    let time = round * ROUNDS + CALM;
    let (all, stops) = thread::scope(|scope| {
        let stopping =
            scope.spawn(|| if has_trouble { stop_all(&deployment, record) } else { Vec::new() });
        let all = client::run(&loads(&RATES, "GET", ""), time, &ingress, record);
        (all, stopping.join().unwrap_or_default())
    });
    let all = all.lock().unwrap();
    let is_answered = |it: &&Sent| matches!(it.outcome, Outcome::Answer(_));
    record.line(&format!(
        "{} requests, {} answered",
        all.len(),
        all.iter().filter(is_answered).count()
    ));
    if all.iter().filter(is_answered).count() * 2 < all.len() {
        return Err("fewer than half of the requests were answered".to_owned());
    }
    let runs = deployment.runs.lock().unwrap();
    let mut lost = 0;
    for it in all.iter().filter(|it| matches!(it.outcome, Outcome::Closed)) {
        let run = runs.get(&it.id).and_then(|it| it.last());
        let before = stops.iter().filter(|stop| stop.host == it.host && stop.at <= it.sent);
        let Some(stop) = before.last() else { continue };
        let after = it.sent - stop.at;
        let Some(run) = run.filter(|_| after <= GRACE + Duration::from_secs(1)) else { continue };
        let what = format!(
            "{} was sent to {} {:.3} s after its SIGTERM, {} began to run it, and the connection \
             ended after {:.3} s without an answer",
            it.id,
            it.host,
            after.as_secs_f64(),
            run.leaf,
            (it.ended - it.sent).as_secs_f64()
        );
        if after <= EXCUSED_UNTIL {
            record.line(&format!("excused: {what}"));
        } else {
            lost += 1;
            record.line(&format!("LOST: {what}"));
        }
    }
    Ok(lost)
}

/// Stops and starts all machines in turn.
fn stop_all(deployment: &Deployment, record: &Record) -> Vec<Stop> {
    let mut stops = Vec::new();
    thread::scope(|scope| {
        for _ in 0..ROUNDS {
            thread::sleep(CALM);
            for host in &deployment.hosts {
                stops.push(Stop { host: host.name.clone(), at: record.now() });
                record.line(&format!("platform: SIGTERM to {}", host.name));
                host.terminate();
                scope.spawn(move || {
                    let has_ended = host.wait_end(GRACE);
                    let how = if has_ended { "ended" } else { "is killed" };
                    record.note(&format!("platform: {} {how}", host.name));
                    host.kill();
                    thread::sleep(RESTART_AFTER);
                    if let Err(err) = host.start() {
                        record.line(&format!("platform: cannot start {}: {err}", host.name));
                    }
                });
                thread::sleep(GAP);
            }
        }
    });
    stops
}
