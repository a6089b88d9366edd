//! Slopes of the fleet's cost for docs/CAPACITY.md: many nodes in one process
//! on virtual time, with the bytes that the wire format gives.
//!
//! `cargo run --release -p godwityard-fleet --example capacity [HOSTS ...]`

#![allow(clippy::print_stdout)]

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{DomainName, HashMap, HostName, Incarnation, Revision, Time};
use documents::model::SeedHost;
use fleet::{
    Action, IndexEntry, Input, MemberState, Message, Node, NodeSettings,
    message::{Body, DocumentRecord, Documents, Record},
};
use peer::Frame;

const DOMAINS: usize = 14;

/// Targets at the long-run size, for 1,700 hosts; fewer hosts have fewer.
const TARGETS: usize = 7_500;
const LONG_RUN_HOSTS: usize = 1_700;

/// The long-run size itself takes over a quarter of an hour.
const DEFAULT_SIZES: [usize; 3] = [100, 400, 800];

/// Pools that the targets are spread over.
const POOLS: usize = 12;

/// Headers of IP and UDP and our code of authenticity, in bytes.
const DATAGRAM_OVERHEAD: usize = 28 + 16;

const DELAY: Duration = Duration::from_millis(1);
const SETTLE: Duration = Duration::from_secs(30);
const REST: Duration = Duration::from_secs(20);
const CHANGES: u32 = 10;
const RESTARTS: usize = 10;
const PHASE: Duration = Duration::from_secs(20);

/// One domain's hosts at the long-run size, and the targets of a wide query.
const DOMAIN_HOSTS: usize = 121;
const QUERY_TARGETS: usize = 220;
const DOMAIN_TARGETS: usize = TARGETS / DOMAINS;

fn main() {
    [1, 2, 4, 8, 16].into_iter().for_each(group_size);
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|it| it.parse().ok()).collect();
    let sizes = if sizes.is_empty() { DEFAULT_SIZES.to_vec() } else { sizes };
    for size in sizes {
        measure(size);
    }
}

fn measure(size: usize) {
    println!("{size} hosts, {DOMAINS} domains, {} targets", TARGETS * size / LONG_RUN_HOSTS);
    let before = resident_kb();
    let mut machine = Machine::new(size);
    machine.start();
    let converged = machine.run_until_converged(SETTLE * 6);
    println!("  all hosts know each other after {converged:?} from an empty start");
    machine.run(SETTLE);
    let memory = resident_kb().saturating_sub(before) / size as u64;
    println!("  memory {memory} KB a host, its share of the messages under way included");

    machine.clear();
    machine.run(REST);
    machine.report("at rest", REST);
    let rest = machine.mean_bytes(|it| it.membership) / REST.as_secs_f64();

    machine.clear();
    let mut worst = Duration::ZERO;
    for weight in 1..=CHANGES {
        worst = worst.max(machine.publish(weight + 1));
    }
    let bytes = machine.mean_bytes(|it| it.configuration);
    println!(
        "  a change of {} B: in force everywhere after {worst:?} at most, {:.0} B a host",
        machine.document_bytes(),
        bytes / f64::from(CHANGES)
    );

    machine.clear();
    for _ in 0..RESTARTS {
        machine.restart_one();
        machine.run(PHASE / RESTARTS as u32);
    }
    machine.run(PHASE);
    let bytes = machine.mean_bytes(|it| it.membership) - rest * (PHASE * 2).as_secs_f64();
    println!("  a restart: {:.0} B of membership a host", bytes / RESTARTS as f64);

    machine.clear();
    machine.is_cut = true;
    machine.run(SETTLE / 2);
    machine.calls = 0;
    machine.run(REST);
    let calls = machine.calls as f64 / REST.as_secs_f64();
    println!("  every host cut off: {calls:.0} platform calls a second in all");
}

/// Owners that a wide query meets, and how unevenly targets are spread.
fn group_size(size: u32) {
    let seeds: Vec<SeedHost> = (0..DOMAIN_HOSTS).map(|it| seed(it * DOMAINS)).collect();
    let SeedHost { host, domain, address } = seeds[0].clone();
    let cfg = NodeSettings::builder(host, domain, address, Incarnation(1)).group_size(size).build();
    let now = Time::from_millis(1);
    let mut node = Node::new(cfg, now);
    let mut send = |body: Body| {
        let sender = seeds[1].host.clone();
        let message = Message { sender, incarnation: Incarnation(1), body };
        node.handle(now, Input::Message { from: seeds[1].address, message });
    };
    send(Body::Members { records: seeds.iter().skip(1).map(serving).collect() });
    let widths = [QUERY_TARGETS, DOMAIN_TARGETS - QUERY_TARGETS];
    let records = widths.into_iter().enumerate().map(|(pool, shards)| DocumentRecord {
        key: format!("pool/p{pool}").into(),
        revision: Revision(pool as u64 + 1),
        text: Some(pool_text(pool, shards, 1).into()),
    });
    let revision = Revision(2);
    let (after, upto) = (Revision(0), revision);
    let records = records.collect();
    send(Body::Documents(Documents { after, upto, revision, is_confirmed: true, records }));

    let mut owned: HashMap<HostName, usize> = HashMap::default();
    let mut met: HashMap<HostName, usize> = HashMap::default();
    let configuration = node.configuration();
    for target in configuration.targets() {
        let Some((owner, _)) = node.owners(&target.name) else { continue };
        *owned.entry(owner.clone()).or_default() += 1;
        if target.pool.as_str() == "p0" {
            *met.entry(owner).or_default() += 1;
        }
    }
    println!(
        "group size {size}: a query to {QUERY_TARGETS} targets meets {} owners of {DOMAIN_HOSTS}; \
         {} hosts own some of {DOMAIN_TARGETS} targets, {} at most",
        met.len(),
        owned.len(),
        owned.values().max().unwrap_or(&0),
    );
}

fn serving(seed: &SeedHost) -> Record {
    Record {
        host: seed.host.clone(),
        domain: seed.domain.clone(),
        address: seed.address,
        incarnation: Incarnation(1),
        epoch: 1,
        state: MemberState::Alive,
        is_leaving: false,
        is_serving: true,
        is_voter: true,
        seniority: 0,
    }
}

struct Machine {
    now: Time,
    hosts: Vec<Host>,
    by_address: HashMap<SocketAddr, usize>,
    events: BinaryHeap<Reverse<(Time, u64, usize)>>,
    inputs: HashMap<u64, Input>,
    seq: u64,
    documents: Vec<(Arc<str>, Revision, Arc<str>)>,
    polls: Vec<(usize, Revision)>,
    calls: u64,
    is_cut: bool,
}

struct Host {
    seed: SeedHost,
    node: Node,
    incarnation: u64,
    wakeup: Time,
    sent: Traffic,
    received: Traffic,
    busy: Duration,
    has_polled: bool,
}

/// Messages and bytes by kind.
#[derive(Clone, Copy, Default)]
struct Traffic {
    messages: u64,
    membership: u64,
    rights: u64,
    configuration: u64,
}

impl Traffic {
    fn count(&mut self, body: &Body, len: usize) {
        let bytes = (len + DATAGRAM_OVERHEAD) as u64;
        self.messages += 1;
        match body {
            Body::Claim { .. }
            | Body::Verdict { .. }
            | Body::Release { .. }
            | Body::Borrow { .. }
            | Body::Loan { .. } => self.rights += bytes,
            Body::Announce { .. } | Body::Pull { .. } | Body::Documents(_) => {
                self.configuration += bytes;
            }
            _ => self.membership += bytes,
        }
    }

    fn bytes(&self) -> u64 {
        self.membership + self.rights + self.configuration
    }
}

impl Machine {
    fn new(size: usize) -> Machine {
        let seeds: Vec<SeedHost> = (0..size).map(seed).collect();
        let mut machine = Machine {
            now: Time::from_millis(1),
            hosts: Vec::new(),
            by_address: HashMap::default(),
            events: BinaryHeap::new(),
            inputs: HashMap::default(),
            seq: 0,
            documents: Vec::new(),
            polls: Vec::new(),
            calls: 0,
            is_cut: false,
        };
        machine.publish_all(size);
        for (at, seed) in seeds.iter().enumerate() {
            machine.by_address.insert(seed.address, at);
            let node = node(seed, &seeds, 1, machine.now);
            machine.hosts.push(Host {
                seed: seed.clone(),
                node,
                incarnation: 1,
                wakeup: machine.now,
                sent: Traffic::default(),
                received: Traffic::default(),
                busy: Duration::ZERO,
                has_polled: false,
            });
        }
        machine
    }

    fn start(&mut self) {
        (0..self.hosts.len()).for_each(|at| self.input(at, Input::Tick));
    }

    fn publish_all(&mut self, size: usize) {
        let per_domain = (TARGETS * size / LONG_RUN_HOSTS).div_ceil(DOMAINS);
        for pool in 0..POOLS {
            let text = pool_text(pool, per_domain.div_ceil(POOLS), DOMAINS);
            self.document(&format!("pool/p{pool}"), &text);
        }
        for domain in 0..DOMAINS {
            let text = format!("kind: domain\nname: d{domain}\nregion: r\nstate: in\n");
            self.document(&format!("domain/d{domain}"), &text);
        }
        self.document("service/s", &service_text(1));
    }

    fn document(&mut self, key: &str, text: &str) {
        let revision = Revision(self.documents.last().map_or(1, |it| it.1.0 + 1));
        self.documents.retain(|it| *it.0 != *key);
        self.documents.push((key.into(), revision, text.into()));
    }

    fn document_bytes(&self) -> usize {
        self.documents.last().map_or(0, |it| it.2.len())
    }

    fn newest(&self) -> Revision {
        self.documents.last().map_or(Revision(0), |it| it.1)
    }

    /// Publishes a change; returns the time until it is in force everywhere.
    fn publish(&mut self, weight: u32) -> Duration {
        let text = service_text(weight);
        self.document("service/s", &text);
        let begin = self.now;
        for (at, after) in std::mem::take(&mut self.polls) {
            let input = self.index(after);
            self.put(at, DELAY, input);
        }
        let newest = self.newest();
        while self.hosts.iter().any(|it| it.node.configuration().revision < newest) {
            self.run(Duration::from_millis(5));
        }
        let took = self.now.since(begin);
        self.run(Duration::from_secs(2));
        took
    }

    fn restart_one(&mut self) {
        self.seq += 1;
        let at = (self.seq % self.hosts.len() as u64) as usize;
        let seeds: Vec<SeedHost> = self.hosts.iter().map(|it| it.seed.clone()).collect();
        let host = &mut self.hosts[at];
        host.incarnation += 1;
        host.node = node(&host.seed, &seeds, host.incarnation, self.now);
        self.input(at, Input::Tick);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(&Reverse((due, seq, at))) = self.events.peek() {
            if due > end {
                break;
            }
            self.events.pop();
            self.now = due;
            match self.inputs.remove(&seq) {
                Some(input) => self.input(at, input),
                None if self.hosts[at].wakeup <= due => self.input(at, Input::Tick),
                None => {}
            }
        }
        self.now = end;
    }

    fn run_until_converged(&mut self, limit: Duration) -> Duration {
        let begin = self.now;
        let size = self.hosts.len();
        loop {
            self.run(Duration::from_secs(1));
            let knows_all = |it: &Host| it.node.members().filter(|it| it.is_serving).count();
            let is_done = self.hosts.iter().all(|it| knows_all(it) == size);
            if is_done || self.now.since(begin) > limit {
                return self.now.since(begin);
            }
        }
    }

    fn input(&mut self, at: usize, input: Input) {
        let begin = Instant::now();
        let host = &mut self.hosts[at];
        let actions = host.node.handle(self.now, input);
        let wakeup = host.node.next_wakeup();
        host.busy += begin.elapsed();
        if host.wakeup != wakeup {
            host.wakeup = wakeup;
            self.seq += 1;
            self.events.push(Reverse((wakeup, self.seq, at)));
        }
        for action in actions {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(at, to, message),
            Action::ReadIndex { after, wait } => {
                self.calls += 1;
                self.hosts[at].has_polled = true;
                if self.newest() > after || wait.is_zero() {
                    let input = self.index(after);
                    self.put(at, DELAY, input);
                } else {
                    self.polls.push((at, after));
                }
            }
            Action::ReadDocument { key } => {
                self.calls += 1;
                let found = self.documents.iter().find(|it| it.0 == key);
                let input = match found {
                    Some((key, revision, text)) => Input::PlatformDocument {
                        key: Arc::clone(key),
                        revision: *revision,
                        text: Arc::clone(text),
                    },
                    None => Input::PlatformDocumentMissing { key },
                };
                self.put(at, DELAY, input);
            }
            Action::ReadHosts => self.calls += 1,
            Action::ConfigurationChanged | Action::SharesChanged | Action::Left => {}
        }
    }

    fn index(&self, after: Revision) -> Input {
        let newer = self.documents.iter().filter(|it| it.1 > after);
        let entry = |it: &(Arc<str>, Revision, Arc<str>)| IndexEntry {
            key: Arc::clone(&it.0),
            revision: it.1,
            is_deleted: false,
        };
        Input::PlatformIndex { revision: self.newest(), entries: newer.map(entry).collect() }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let begin = Instant::now();
        let frame = Frame::Fleet(message);
        let bytes = frame.encode();
        self.hosts[from].busy += begin.elapsed();
        let Frame::Fleet(message) = frame else { return };
        self.hosts[from].sent.count(&message.body, bytes.len());
        let Some(&at) = self.by_address.get(&to) else { return };
        if self.is_cut {
            return;
        }
        self.hosts[at].received.count(&message.body, bytes.len());
        let begin = Instant::now();
        let Ok(Frame::Fleet(message)) = Frame::decode(&bytes) else { return };
        self.hosts[at].busy += begin.elapsed();
        let from = self.hosts[from].seed.address;
        self.put(at, DELAY, Input::Message { from, message });
    }

    fn put(&mut self, at: usize, delay: Duration, input: Input) {
        self.seq += 1;
        self.events.push(Reverse((self.now + delay, self.seq, at)));
        self.inputs.insert(self.seq, input);
    }

    fn clear(&mut self) {
        for host in &mut self.hosts {
            host.sent = Traffic::default();
            host.received = Traffic::default();
            host.busy = Duration::ZERO;
        }
    }

    /// Bytes sent and received a host since the last clear.
    fn mean_bytes(&self, kind: impl Fn(&Traffic) -> u64) -> f64 {
        let both = |it: &Host| kind(&it.sent) + kind(&it.received);
        let bytes: u64 = self.hosts.iter().map(both).sum();
        bytes as f64 / self.hosts.len() as f64
    }

    fn report(&self, phase: &str, time: Duration) {
        let seconds = time.as_secs_f64();
        let per_second = |it: u64| it as f64 / seconds;
        let both = |it: &Host| it.sent.bytes() + it.received.bytes();
        let worst = self.hosts.iter().map(both).max().unwrap_or_default();
        let watching = self.hosts.iter().filter(|it| it.has_polled).map(both).max();
        let size = self.hosts.len() as f64;
        let messages: u64 = self.hosts.iter().map(|it| it.sent.messages).sum();
        let busy: Duration = self.hosts.iter().map(|it| it.busy).sum();
        let busiest = self.hosts.iter().map(|it| it.busy).max().unwrap_or_default();
        println!(
            "  {phase}: {:.0} B/s a host both ways ({:.0} at most, {:.0} where it watches), \
             {:.1} messages/s sent, {:.0} us/s of processor ({:.0} at most)",
            self.mean_bytes(Traffic::bytes) / seconds,
            per_second(worst),
            per_second(watching.unwrap_or_default()),
            per_second(messages) / size,
            busy.as_micros() as f64 / seconds / size,
            busiest.as_micros() as f64 / seconds,
        );
        println!(
            "    of which membership {:.0} B/s, rights {:.0} B/s, configuration {:.0} B/s",
            self.mean_bytes(|it| it.membership) / seconds,
            self.mean_bytes(|it| it.rights) / seconds,
            self.mean_bytes(|it| it.configuration) / seconds,
        );
    }
}

fn seed(at: usize) -> SeedHost {
    let [.., high, low] = at.to_be_bytes();
    SeedHost {
        host: HostName::new(&format!("host-{at:04}")),
        domain: DomainName::new(&format!("d{}", at % DOMAINS)),
        address: SocketAddr::from(([10, 0, high, low], 7_201)),
    }
}

/// A node that has the hosts of its own domain and a few more as seeds.
fn node(seed: &SeedHost, all: &[SeedHost], incarnation: u64, now: Time) -> Node {
    let is_near = |it: &&SeedHost| it.domain == seed.domain;
    let far = all.iter().filter(|it| it.domain != seed.domain).take(DOMAINS);
    let seeds = all.iter().filter(is_near).chain(far).cloned().collect();
    let SeedHost { host, domain, address } = seed.clone();
    let cfg = NodeSettings::builder(host, domain, address, Incarnation(incarnation))
        .seeds(seeds)
        .seed(u64::from_be_bytes([0, 0, 0, 0, 10, 0, 0, 0]) + incarnation)
        .build();
    Node::new(cfg, now)
}

fn service_text(weight: u32) -> String {
    format!(
        "kind: service\nname: s\nteam: t\npool: p0\nweight: {weight}\ndeadline-ms: 100\n\
         prefer: latency\n"
    )
}

fn pool_text(pool: usize, shards: usize, domains: usize) -> String {
    let mut text = format!(
        "kind: pool\nname: p{pool}\nteam: t\nmap: 1\nshards: {shards}\nslots: 3\n\
         connections: 30\ncold-slots: 1\ntargets:\n"
    );
    for domain in 0..domains {
        for shard in 0..shards {
            let port = 10_000 + shard;
            text += &format!(
                "  - {{name: p{pool}-{shard}-d{domain}, shard: {shard}, domain: d{domain}, \
                 address: \"10.1.{pool}.{domain}:{port}\"}}\n"
            );
        }
    }
    text
}

/// Resident memory of this process; 0 where the system does not tell.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|it| it.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or_default()
}
