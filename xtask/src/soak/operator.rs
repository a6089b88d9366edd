//! The operator: writes versions of the configuration, which move, add and remove
//! routes, and has probes sent to the routes that changed.

use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::{sync::Mutex, time};

use super::{
    clients::{self, Call},
    configuration::{Destination, Route, Version, document},
    customers::{self, Customer, KeyRing},
    ingress::Ingress,
    record::Recorder,
    store::Store,
};

/// Services of the single routes, between which routes move.
pub const SERVICES: [&str; 2] = ["kafi81c", "galu17b"];
/// Version numbers begin above it.
const NUMBER_BEFORE_FIRST: u64 = 6;
/// Number of routes that move.
const MOVING_ROUTES: usize = 4;
const GATHER_PREFIX: &str = "/gather/";
/// Added routes that stay at most.
const MAX_ADDED: usize = 24;
const IDLE_TIMEOUTS_MS: [u64; 3] = [15_000, 12_000, 20_000];
const TIMEOUTS_MS: [u64; 3] = [5_000, 4_000, 3_000];
const PROBE_DEADLINE: Duration = Duration::from_secs(3);
/// Times after an acknowledgement at which probes are sent.
const PROBES_AFTER: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_millis(3_300),
    Duration::from_millis(4_800),
    Duration::from_millis(8_000),
];

/// How a version differs from the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// All moving routes go to the other service.
    MovesAll,
    /// One route goes to the other service.
    MovesOne,
    AddsRoutes(usize),
    RemovesRoutes(usize),
    /// The gather route goes to the other set of shards.
    Reshards,
    /// Times and limits change, no route.
    Limits,
    RevokesKey,
    AddsKey,
    /// The limit of a customer is lowered, or raised again.
    ChangesCustomer,
}

#[derive(Clone)]
pub struct Operator {
    store: Store,
    recorder: Recorder,
    ingress: Ingress,
    shards: ShardSets,
    /// Connections that each target accepts.
    connections: u32,
    /// Keys that clients use.
    pub ring: KeyRing,
    state: Arc<Mutex<State>>,
}

/// The two sets of shards into which the index is cut.
#[derive(Clone, Debug)]
pub struct ShardSets {
    first: Vec<String>,
    second: Vec<String>,
}

impl ShardSets {
    /// Cuts the index into `count` shards, and into half as many again.
    pub fn new(count: usize) -> Self {
        let first = (0..count).map(|it| format!("shard{it}")).collect();
        let second = (0..count + count.div_ceil(2)).map(|it| format!("piece{it}")).collect();
        ShardSets { first, second }
    }

    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.first.iter().chain(&self.second)
    }
}

struct State {
    rng: StdRng,
    number: u64,
    routes: Vec<Route>,
    customers: Vec<Customer>,
    ring: KeyRing,
    idle_timeout_ms: u64,
    added: u64,
}

/// Returns the routes that are there all the time, to which clients send, with the
/// weight of each; `gather_weight` is that of the gather route.
pub fn calls(gather_weight: u32) -> Vec<(u32, Call)> {
    let call = |prefix: String, is_idempotent, deadline| Call {
        prefix,
        is_idempotent,
        deadline: Duration::from_millis(deadline),
    };
    let mut calls = vec![
        (8, call("/core/".to_owned(), true, 5_000)),
        (2, call("/once/".to_owned(), false, 5_000)),
        (gather_weight, call(GATHER_PREFIX.to_owned(), true, 1_200)),
    ];
    let moving = (0..MOVING_ROUTES).map(|it| (3, call(moving_prefix(it), true, 5_000)));
    calls.extend(moving);
    calls
}

fn moving_prefix(number: usize) -> String {
    format!("/move{number}/")
}

fn to_service(prefix: String, service: &str, is_idempotent: bool) -> Route {
    Route {
        prefix,
        is_idempotent,
        timeout_ms: TIMEOUTS_MS[0],
        destination: Destination::Service(service.to_owned()),
    }
}

fn first_routes(shards: &ShardSets) -> Vec<Route> {
    let [first, _] = SERVICES;
    let gather = Route {
        prefix: GATHER_PREFIX.to_owned(),
        is_idempotent: true,
        timeout_ms: 1_200,
        destination: Destination::Gather(shards.first.clone()),
    };
    let mut routes = vec![
        to_service("/core/".to_owned(), first, true),
        to_service("/once/".to_owned(), first, false),
        gather,
    ];
    routes.extend((0..MOVING_ROUTES).map(|it| to_service(moving_prefix(it), first, true)));
    routes
}

impl Operator {
    pub fn new(
        store: Store,
        recorder: Recorder,
        ingress: Ingress,
        shards: ShardSets,
        connections: u32,
        customers: Vec<Customer>,
        seed: u64,
    ) -> Self {
        let ring = KeyRing::new(&customers);
        let state = State {
            rng: StdRng::seed_from_u64(seed),
            number: NUMBER_BEFORE_FIRST,
            routes: first_routes(&shards),
            customers,
            ring: ring.clone(),
            idle_timeout_ms: IDLE_TIMEOUTS_MS[0],
            added: 0,
        };
        let state = Arc::new(Mutex::new(state));
        Operator { store, recorder, ingress, shards, connections, ring, state }
    }

    /// Writes the version with which the run begins.
    pub async fn begin(&self) {
        let mut state = self.state.lock().await;
        self.write(&mut state);
    }

    /// Writes the next version, and probes the routes that it changes.
    pub async fn apply(&self, change: Change) {
        let changed = {
            let mut state = self.state.lock().await;
            let changed = state.change(change, &self.shards);
            self.write(&mut state);
            changed
        };
        let acked = time::Instant::now();
        for after in PROBES_AFTER {
            time::sleep_until(acked + after).await;
            self.probe(&changed).await;
        }
    }

    fn write(&self, state: &mut State) {
        state.number += state.rng.random_range(1..5);
        let single = SERVICES.iter().map(|it| (*it).to_owned());
        let services: Vec<String> = single.chain(self.shards.names().cloned()).collect();
        let idle_timeout_ms = state.idle_timeout_ms;
        let State { number, routes, customers, .. } = &*state;
        let text =
            document(*number, routes, customers, &services, self.connections, idle_timeout_ms);
        let sent = self.recorder.now();
        let index = {
            let mut record = self.recorder.lock();
            let (number, routes) = (state.number, state.routes.clone());
            let (acked, customers) = (Duration::MAX, state.customers.clone());
            record.versions.push(Version { number, sent, acked, routes, customers });
            record.versions.len() - 1
        };
        self.store.put("op/config", &text);
        let acked = self.recorder.now();
        if let Some(version) = self.recorder.lock().versions.get_mut(index) {
            version.acked = acked;
        }
        self.recorder.note(format!("operator: version {} is acknowledged", state.number));
    }

    /// Sends a request on each of these routes to each ready host, and on a route that
    /// never existed.
    async fn probe(&self, prefixes: &[String]) {
        let never = "/never/".to_owned();
        let customers = self.state.lock().await.customers.clone();
        let key = customers.first().and_then(|it| it.keys.first()).cloned();
        let mut sent = Vec::new();
        for prefix in prefixes.iter().chain([&never]) {
            for host in self.ingress.ready() {
                let call =
                    Call { prefix: prefix.clone(), is_idempotent: true, deadline: PROBE_DEADLINE };
                let recorder = self.recorder.clone();
                let key = key.clone();
                sent.push(tokio::spawn(async move {
                    clients::probe(&host, &call, key, &recorder).await;
                }));
            }
        }
        futures::future::join_all(sent).await;
    }
}

impl State {
    /// Changes the routes; returns the prefixes to probe.
    fn change(&mut self, change: Change, shards: &ShardSets) -> Vec<String> {
        match change {
            Change::MovesAll => {
                (0..MOVING_ROUTES).for_each(|it| self.move_route(&moving_prefix(it)));
                vec![moving_prefix(0)]
            }
            Change::MovesOne => {
                let prefix = moving_prefix(self.rng.random_range(0..MOVING_ROUTES));
                self.move_route(&prefix);
                vec![prefix]
            }
            Change::AddsRoutes(count) => self.add_routes(count),
            Change::RemovesRoutes(count) => self.remove_routes(count),
            Change::Reshards => {
                self.reshard(shards);
                vec![GATHER_PREFIX.to_owned()]
            }
            Change::Limits => {
                let &idle = IDLE_TIMEOUTS_MS.choose(&mut self.rng).unwrap_or(&IDLE_TIMEOUTS_MS[0]);
                self.idle_timeout_ms = idle;
                let &timeout = TIMEOUTS_MS.choose(&mut self.rng).unwrap_or(&TIMEOUTS_MS[0]);
                if let Some(route) = self.routes.iter_mut().find(|it| it.prefix == "/core/") {
                    route.timeout_ms = timeout;
                }
                Vec::new()
            }
            Change::RevokesKey => {
                customers::revoke_key(&mut self.customers, &mut self.rng);
                Vec::new()
            }
            Change::AddsKey => {
                customers::add_key(&mut self.customers, &self.ring, &mut self.rng);
                Vec::new()
            }
            Change::ChangesCustomer => {
                customers::change_limit(&mut self.customers, &mut self.rng);
                Vec::new()
            }
        }
    }

    fn move_route(&mut self, prefix: &str) {
        let [first, second] = SERVICES;
        let Some(route) = self.routes.iter_mut().find(|it| it.prefix == prefix) else { return };
        let is_first = route.destination == Destination::Service(first.to_owned());
        let next = if is_first { second } else { first };
        route.destination = Destination::Service(next.to_owned());
    }

    fn reshard(&mut self, shards: &ShardSets) {
        let gather = self.routes.iter_mut().find(|it| it.prefix == GATHER_PREFIX);
        let Some(route) = gather else { return };
        let is_first = route.destination == Destination::Gather(shards.first.clone());
        let next = if is_first { &shards.second } else { &shards.first };
        route.destination = Destination::Gather(next.clone());
    }

    fn add_routes(&mut self, count: usize) -> Vec<String> {
        let mut added = Vec::new();
        for _ in 0..count {
            self.added += 1;
            let prefix = format!("/added{}/", self.added);
            let &service = SERVICES.choose(&mut self.rng).unwrap_or(&SERVICES[0]);
            self.routes.push(to_service(prefix.clone(), service, true));
            added.push(prefix);
        }
        let here = self.added_routes().len();
        if here > MAX_ADDED {
            self.remove_routes(here - MAX_ADDED);
        }
        added.truncate(2);
        added
    }

    fn remove_routes(&mut self, count: usize) -> Vec<String> {
        let mut removed: Vec<String> = self.added_routes().into_iter().take(count).collect();
        self.routes.retain(|it| !removed.contains(&it.prefix));
        removed.truncate(2);
        removed
    }

    fn added_routes(&self) -> Vec<String> {
        let added = self.routes.iter().filter(|it| it.prefix.starts_with("/added"));
        added.map(|it| it.prefix.clone()).collect()
    }
}
