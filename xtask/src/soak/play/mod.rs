//! Plays one run: starts the store, the targets, the hosts and the clients, carries out
//! the plan, and ends everything.

mod stage;

use std::{
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{SeedableRng, rngs::StdRng};
use tokio::{
    signal::unix::{SignalKind, signal},
    time,
};

use self::stage::Stage;
use super::{
    addresses, clients, customers,
    hosts::Host,
    ingress::Ingress,
    operator::{self, Operator, SERVICES, ShardSets},
    plan::{self, Days, Size},
    programs::Programs,
    quota,
    record::{Record, Recorder},
    settings::{self, Bounds, DOMAINS},
    store::{self, Store},
    targets::{Service, Targets, Work},
};

/// Limit on the time until all hosts are ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between the start of the hosts and that of the clients, after all are ready.
const SETTLE: Duration = Duration::from_secs(3);
/// Connections that each target accepts if nothing else is asked for.
pub const CONNECTIONS: u32 = 96;
/// Number of clients.
const CLIENTS: usize = 60;
/// Targets of each single service and of each shard.
const SERVICE_TARGETS: usize = 6;
const SHARD_TARGETS: usize = 2;
/// Times of a request, usual and long, in milliseconds.
const SERVICE_WORK_MS: (u64, u64) = (40, 1_300);
const SHARD_WORK: Work = Work::new(10, 100, 10);

/// One run of a program.
pub struct Run<'a> {
    pub programs: &'a Programs,
    pub folder: &'a Path,
    pub seed: u64,
    pub hosts: usize,
    pub time: Duration,
    pub days: Days,
    /// Share of a core that each host gets, or no limit.
    pub cpu_share: Option<f64>,
    pub load: LoadSize,
}

/// How much the clients of a run ask for.
#[derive(Clone, Copy, Debug)]
pub struct LoadSize {
    /// Requests per second of all clients.
    pub per_s: f64,
    /// Number of shards of the gather route.
    pub shards: usize,
    /// Weight of the gather route beside that of the others, which is 24 in all.
    pub gather_weight: u32,
    /// One request of a single route in so many takes long.
    pub long_one_in: u64,
    /// Connections that each target accepts; with fewer than hosts, requests are passed on.
    pub connections: u32,
}

impl Default for LoadSize {
    fn default() -> LoadSize {
        LoadSize {
            per_s: 100.0,
            shards: 6,
            gather_weight: 2,
            long_one_in: 10,
            connections: CONNECTIONS,
        }
    }
}

impl Run<'_> {
    /// Plays the run; returns what was seen, and the names of the hosts.
    pub async fn play(&self) -> eyre::Result<(Record, Vec<String>)> {
        let stage = Arc::new(self.set_up().await?);
        let played = tokio::select! {
            played = self.play_on(&stage) => played,
            stopped = wait_stop_signal() => stopped,
        };
        stage.stop.store(true, Ordering::Relaxed);
        // Requests that the end of the hosts cuts are not part of the record.
        let record = stage.recorder.snapshot();
        stage.hosts.iter().for_each(|it| it.end());
        played?;
        let names = stage.hosts.iter().map(|it| it.name.clone()).collect();
        Ok((record, names))
    }

    async fn set_up(&self) -> eyre::Result<Stage> {
        let recorder = Recorder::new();
        let store = Store::new(self.hosts);
        for host in 0..self.hosts {
            store::serve(store.clone(), host, addresses::store(host)).await?;
        }
        let domains = DOMAINS.map(str::to_owned);
        let targets = Targets::new(store.clone(), recorder.clone(), Bounds::DRAIN, &domains);
        let shards = ShardSets::new(self.load.shards);
        for service in services(&shards, self.load.long_one_in) {
            targets.add_service(&service).await?;
        }
        let hosts: eyre::Result<Vec<Arc<Host>>> = (0..self.hosts)
            .map(|it| {
                Host::new(
                    it,
                    settings::domain(it),
                    self.hosts,
                    self.programs,
                    self.folder,
                    &recorder,
                )
            })
            .collect();
        let hosts = hosts?;
        let ingress = Ingress::start(&hosts, &recorder);
        let operator = Operator::new(
            store.clone(),
            recorder.clone(),
            ingress.clone(),
            shards,
            self.load.connections,
            if self.days == Days::Keys { customers::first() } else { Vec::new() },
            self.seed,
        );
        let stop = Arc::new(AtomicBool::new(false));
        let rng = Mutex::new(StdRng::seed_from_u64(self.seed));
        let heat = Arc::new(AtomicU64::new(100));
        Ok(Stage { store, targets, hosts, recorder, ingress, operator, rng, stop, heat })
    }

    async fn play_on(&self, stage: &Arc<Stage>) -> eyre::Result<()> {
        stage.operator.begin().await;
        for host in &stage.hosts {
            host.start()?;
        }
        if let Some(share) = self.cpu_share {
            quota::spawn(stage.hosts.clone(), share, Arc::clone(&stage.stop));
        }
        stage.wait_ready().await?;
        for host in &stage.hosts {
            tokio::spawn(Arc::clone(host).watch());
        }
        time::sleep(SETTLE).await;
        stage.recorder.note("clients begin".to_owned());
        let load = clients::Load {
            calls: Arc::new(operator::calls(self.load.gather_weight)),
            ingress: stage.ingress.clone(),
            recorder: stage.recorder.clone(),
            stop: Arc::clone(&stage.stop),
            pause: Duration::from_secs_f64(CLIENTS as f64 / self.load.per_s),
            keys: stage.operator.ring.clone(),
            heat: Arc::clone(&stage.heat),
        };
        let clients: Vec<_> = (0..CLIENTS)
            .map(|it| tokio::spawn(clients::run(load.clone(), self.seed, it)))
            .collect();
        self.carry_out(stage).await;
        stage.stop.store(true, Ordering::Relaxed);
        for client in clients {
            client.await?;
        }
        Ok(())
    }

    async fn carry_out(&self, stage: &Arc<Stage>) {
        let size = Size { hosts: self.hosts, targets: stage.targets.len(), time: self.time };
        let begun = time::Instant::now();
        for (at, action) in plan::draw(self.days, self.seed, size) {
            time::sleep_until(begun + at).await;
            let stage = Arc::clone(stage);
            tokio::spawn(async move { stage.act((at, action)).await });
        }
        time::sleep_until(begun + self.time).await;
    }
}

fn services(shards: &ShardSets, long_one_in: u64) -> Vec<Service> {
    let (usual, long) = SERVICE_WORK_MS;
    let work = Work::new(usual, long, long_one_in);
    let service = |name: &str, targets, work| Service { name: name.to_owned(), targets, work };
    let single = SERVICES.iter().map(|it| service(it, SERVICE_TARGETS, work));
    let shards = shards.names().map(|it| service(it, SHARD_TARGETS, SHARD_WORK));
    single.chain(shards).collect()
}

/// Waits for a signal to stop, on which the hosts must end as well.
async fn wait_stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    eyre::bail!("stopped by a signal")
}

/// Returns the folder of a run among those of `root`.
pub fn folder(root: &Path, days: Days, seed: u64) -> PathBuf {
    root.join(format!("{days:?}-{seed}").to_lowercase())
}
