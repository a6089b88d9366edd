//! The two hosts of a zone that read the store for the others are cut off from it, and a
//! leaf is taken away.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    thread,
    time::Duration,
};

use crate::{
    client::{self, Load, Outcome, Sent},
    deployment::{Deployment, configuration, route},
    leaf::{Behaviour, Reaction},
    record::Record,
};

/// A zone of arriaga-pasarela-grown, with fewer hosts: 6 of 33.
const ZONE: &str = "bajio-a";
const HOSTS: usize = 6;
const PATHS: [&str; 5] = ["/ruta1/", "/ruta2/", "/ruta3/", "/ruta4/", "/ruta5/"];
const SERVICES: [&str; 5] = ["serv1a", "serv2b", "serv3c", "serv4d", "serv5e"];

/// Calm before each cut.
const CALM: Duration = Duration::from_secs(9);
/// The leaf's entry is removed so long after the cut began.
const REMOVED_AFTER: Duration = Duration::from_millis(100);
/// Time after which the kernel's keep-alive probes show a cut.
const NOTICED_AFTER: Duration = Duration::from_secs(3);
/// `node_cut` has `share` up to 0.35, two of six, and lasts up to 12 s.
const CUT: Duration = Duration::from_millis(5_500);
/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_secs(5);

struct Round {
    cut: Vec<String>,
    leaf: String,
    gone: Duration,
}

pub fn play(record: &Record, has_trouble: bool) -> Result<usize, String> {
    let requests = AtomicU64::new(0);
    let behaviour = Behaviour::new(move |_| {
        let is_long = requests.fetch_add(1, Relaxed) % 12 == 0;
        Reaction::Answers(Duration::from_millis(if is_long { 210 } else { 28 }))
    });
    let services: Vec<(&str, usize)> = SERVICES.iter().map(|it| (*it, 2)).collect();
    let deployment = Deployment::with_proxies(
        record,
        &[(ZONE, HOSTS)],
        &services,
        &behaviour,
        DRAIN.as_millis() as u64,
    )?;
    let routes: Vec<String> = (0..PATHS.len())
        .map(|i| route(&format!("r-{i}"), PATHS[i], "idempotent", SERVICES[i]))
        .collect();
    deployment.store.put("op/config", &configuration(7, &routes, &SERVICES));
    let ingress = deployment.start(record)?;
    let load = |path: &&'static str| Load {
        zone: ZONE,
        method: "GET",
        path,
        body: String::new(),
        deadline: Duration::from_millis(1_200),
        per_s: 42.4,
        swing: 0.0,
    };
    let loads: Vec<Load> = PATHS.iter().map(load).collect();
    let time = (CALM + CUT) * PATHS.len() as u32 + Duration::from_secs(6);
    let (all, rounds) = thread::scope(|scope| {
        let cutting = scope.spawn(|| cut_all(&deployment, record, has_trouble));
        let all = client::run(&loads, time, &ingress, record);
        (all, cutting.join().unwrap_or_default())
    });
    let all = all.lock().unwrap();
    let runs = deployment.runs.lock().unwrap();
    let is_answered = |it: &&Sent| matches!(&it.outcome, Outcome::Answer(it) if it.status() == 200);
    record.line(&format!(
        "{} requests, {} served",
        all.len(),
        all.iter().filter(is_answered).count()
    ));
    let mut broken = 0;
    for it in all.iter() {
        let Some(ran) = runs.get(&it.id) else { continue };
        for round in rounds.iter().filter(|round| !round.cut.contains(&it.host)) {
            let late =
                ran.iter().filter(|run| run.leaf == round.leaf && run.at > round.gone + DRAIN);
            for run in late {
                broken += 1;
                record.line(&format!(
                    "DRAIN: {} reaches {} from {} {:.3} s after it was gone",
                    it.id,
                    run.leaf,
                    it.host,
                    (run.at - round.gone).as_secs_f64()
                ));
            }
        }
    }
    Ok(broken)
}

fn cut_all(deployment: &Deployment, record: &Record, has_trouble: bool) -> Vec<Round> {
    let mut rounds = Vec::new();
    for index in 0..PATHS.len() {
        thread::sleep(CALM);
        let readers: Vec<usize> =
            (0..HOSTS).filter(|it| deployment.hosts[*it].reads_store()).collect();
        let names: Vec<String> =
            readers.iter().map(|it| deployment.hosts[*it].name.clone()).collect();
        record.line(&format!("readers of the store: {}", names.join(" ")));
        let each = |act: fn(&crate::proxy::Proxy)| {
            if has_trouble {
                readers.iter().take(2).for_each(|it| act(&deployment.proxies[*it]));
            }
        };
        each(crate::proxy::Proxy::hold);
        thread::sleep(REMOVED_AFTER);
        let leaf = &deployment.leafs[index * 2];
        deployment.store.remove(&format!("servers/{}", leaf.id));
        let gone = record.now();
        record.line(&format!("store: {} of {} is gone", leaf.id, leaf.service));
        rounds.push(Round { cut: names, leaf: leaf.id.clone(), gone });
        thread::sleep(NOTICED_AFTER - REMOVED_AFTER);
        each(crate::proxy::Proxy::close);
        thread::sleep(CUT - NOTICED_AFTER);
        each(crate::proxy::Proxy::heal);
    }
    rounds
}
