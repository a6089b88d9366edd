//! Targets as the platform runs them: they register in the store, serve, leave, crash,
//! and start again.

mod serve;
mod stated;

use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::json;
use tokio::{net::TcpSocket, task::JoinHandle, time};

use self::{serve::Serving, stated::StatedCell};
use super::{
    addresses,
    record::{Leave, Place, Recorder},
    store::Store,
};

pub use self::stated::Pause;

/// Requests that a target runs at a time.
const SLOTS: u32 = 6;
/// Queue of new connections.
const BACKLOG: u32 = 256;
/// Attempts to bind an address that a target before has left, and the pause between.
const BIND_ATTEMPTS: u32 = 50;
const BIND_PAUSE: Duration = Duration::from_millis(20);
/// Time after which the address of a target that ended is used again: `addr_reuse_s`.
const ADDRESS_REUSED_AFTER: Duration = Duration::from_secs(2);
/// Time for which a target is listed as ready that says in its answers that it leaves.
const STATED_FOR: Duration = Duration::from_secs(14);
/// Prefix of the targets' keys in the store.
const PREFIX: &str = "servers/";

/// A service and what its requests take.
#[derive(Clone, Debug)]
pub struct Service {
    pub name: String,
    pub targets: usize,
    pub work: Work,
}

/// Times that requests take.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    usual: Duration,
    long: Duration,
    /// One request in so many takes long.
    long_one_in: u64,
}

impl Work {
    pub const fn new(usual_ms: u64, long_ms: u64, long_one_in: u64) -> Self {
        let (usual, long) = (Duration::from_millis(usual_ms), Duration::from_millis(long_ms));
        Work { usual, long, long_one_in }
    }

    /// Returns the time that the request of this number takes.
    pub fn of(&self, number: u64) -> Duration {
        if number.is_multiple_of(self.long_one_in) { self.long } else { self.usual }
    }
}

/// How a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It says `draining`, serves on for the drain time and is gone.
    Drains,
    /// Its entry is removed without a word; it serves on for the drain time.
    Withdraws,
    /// It says so in its answers only, on connections that stay open, and is listed as
    /// ready for `STATED_FOR`.
    States,
}

/// All targets of a run; clones share them.
#[derive(Clone)]
pub struct Targets {
    cx: Arc<Context>,
}

struct Context {
    store: Store,
    recorder: Recorder,
    drain: Duration,
    domains: Vec<String>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// The running targets, by place; a place that is empty has none.
    places: Vec<Option<Target>>,
    /// Places whose target is leaving or away.
    busy: BTreeSet<usize>,
    processes: usize,
}

/// One process of a target.
struct Target {
    process: usize,
    id: String,
    service: Service,
    domain: String,
    addr: SocketAddr,
    born_ms: u64,
    stated: Arc<StatedCell>,
    task: JoinHandle<()>,
}

impl Targets {
    pub fn new(store: Store, recorder: Recorder, drain: Duration, domains: &[String]) -> Self {
        let state = Mutex::default();
        let cx = Context { store, recorder, drain, domains: domains.to_vec(), state };
        Targets { cx: Arc::new(cx) }
    }

    /// Starts the targets of a service.
    pub async fn add_service(&self, service: &Service) -> eyre::Result<()> {
        for _ in 0..service.targets {
            let place = self.cx.lock().places.len();
            self.cx.lock().places.push(None);
            self.start(place, service.clone(), None, None).await?;
        }
        Ok(())
    }

    /// Returns the number of places, which does not change once the run has begun.
    pub fn len(&self) -> usize {
        self.cx.lock().places.len()
    }

    /// A target leaves as planned; another one starts at its place, at the address that
    /// it had if `reuses_address`.
    pub async fn replace(
        &self,
        place: usize,
        how: Departure,
        reuses_address: bool,
    ) -> eyre::Result<()> {
        if !self.cx.lock().busy.insert(place) {
            return Ok(());
        }
        let replaced = self.leave_and_replace(place, how, reuses_address).await;
        self.cx.lock().busy.remove(&place);
        replaced
    }

    /// A target crashes; after `down` it is back, under the id that it had if `keeps_id`.
    pub async fn crash(&self, place: usize, down: Duration, keeps_id: bool) -> eyre::Result<()> {
        if !self.cx.lock().busy.insert(place) {
            return Ok(());
        }
        let disruption = self.cx.recorder.begin_disruption(Place::Target, "target crashes", false);
        let target = self.cx.lock().places.get_mut(place).and_then(Option::take);
        let restarted = match target {
            Some(target) => self.restart_later(place, target, down, keeps_id).await,
            None => Ok(()),
        };
        self.cx.recorder.end_disruption(disruption);
        self.cx.lock().busy.remove(&place);
        restarted
    }

    /// The targets of `places` ask for a pause for `time`, as they reject requests.
    pub async fn pause(&self, places: &[usize], pause: Pause, time: Duration) {
        let cells: Vec<Arc<StatedCell>> = {
            let state = self.cx.lock();
            let running = places.iter().filter_map(|it| state.places.get(*it)?.as_ref());
            running.map(|it| Arc::clone(&it.stated)).collect()
        };
        cells.iter().for_each(|it| it.set_pause(Some(pause)));
        time::sleep(time).await;
        cells.iter().for_each(|it| it.set_pause(None));
    }

    async fn restart_later(
        &self,
        place: usize,
        target: Target,
        down: Duration,
        keeps_id: bool,
    ) -> eyre::Result<()> {
        target.task.abort();
        self.cx.recorder.note(format!("target {} of {} crashes", target.id, target.service.name));
        time::sleep(down).await;
        let id = keeps_id.then(|| target.id.clone());
        if !keeps_id {
            self.cx.remove(&target);
        }
        self.start(place, target.service, id, Some(target.addr)).await
    }

    async fn leave_and_replace(
        &self,
        place: usize,
        how: Departure,
        reuses_address: bool,
    ) -> eyre::Result<()> {
        let target = self.cx.lock().places.get_mut(place).and_then(Option::take);
        let Some(target) = target else { return Ok(()) };
        match how {
            Departure::Drains => {
                target.stated.leave(true);
                self.cx.put(&target, true);
                self.cx.record_leave(&target, "drains");
            }
            Departure::Withdraws => {
                self.cx.remove(&target);
                self.cx.record_leave(&target, "is withdrawn");
            }
            Departure::States => {
                target.stated.leave(false);
                self.cx.note(&target, "says in its answers that it leaves");
                time::sleep(STATED_FOR).await;
                self.cx.remove(&target);
                self.cx.record_leave(&target, "is withdrawn");
            }
        }
        // Longer than the rule asks for, so that the target sees who comes late.
        time::sleep(self.cx.drain * 2).await;
        self.cx.remove(&target);
        time::sleep(self.cx.drain).await;
        target.task.abort();
        self.cx.recorder.note(format!("target {} has ended", target.id));
        time::sleep(ADDRESS_REUSED_AFTER).await;
        let addr = reuses_address.then_some(target.addr);
        self.start(place, target.service, None, addr).await
    }

    async fn start(
        &self,
        place: usize,
        service: Service,
        id: Option<String>,
        addr: Option<SocketAddr>,
    ) -> eyre::Result<()> {
        let addr = addr.unwrap_or_else(|| SocketAddr::new(addresses::targets(), 0));
        let listener = listen(addr).await?;
        let process = {
            let mut state = self.cx.lock();
            state.processes += 1;
            state.processes
        };
        let id = id.unwrap_or_else(|| format!("i-{process:08x}"));
        let stated = Arc::new(StatedCell::default());
        let addr = listener.local_addr()?;
        let serving = Serving::new(
            process,
            id.clone(),
            service.clone(),
            self.cx.recorder.clone(),
            Arc::clone(&stated),
        );
        let domain = self.cx.domains[place % self.cx.domains.len()].clone();
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
        let task = tokio::spawn(serving.accept(listener));
        let target = Target { process, id, service, domain, addr, born_ms, stated, task };
        self.cx.put(&target, false);
        if let Some(entry) = self.cx.lock().places.get_mut(place) {
            *entry = Some(target);
        }
        Ok(())
    }
}

impl Context {
    fn put(&self, target: &Target, is_draining: bool) {
        let state = if is_draining { "draining" } else { "ready" };
        let entry = json!({
            "service": target.service.name, "addr": target.addr.to_string(),
            "zone": target.domain, "version": "v1", "slots": SLOTS, "state": state,
            "warmup_left_ms": 0, "seq": if is_draining { 9 } else { 1 }, "born": target.born_ms,
        });
        self.store.put(&format!("{PREFIX}{}", target.id), &entry.to_string());
    }

    fn remove(&self, target: &Target) {
        self.store.remove(&format!("{PREFIX}{}", target.id));
    }

    fn record_leave(&self, target: &Target, how: &str) {
        let acked = self.recorder.now();
        let leave = Leave { process: target.process, acked };
        self.recorder.lock().leaves.push(leave);
        self.note(target, how);
    }

    fn note(&self, target: &Target, what: &str) {
        self.recorder.note(format!("target {} of {} {what}", target.id, target.service.name));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Listens at an address, which an earlier target may just have left.
async fn listen(addr: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let mut attempt = 0;
    loop {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        match socket.bind(addr) {
            Ok(()) => return socket.listen(BACKLOG),
            Err(_) if attempt < BIND_ATTEMPTS => time::sleep(BIND_PAUSE).await,
            Err(err) => return Err(err),
        }
        attempt += 1;
    }
}
