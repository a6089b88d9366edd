//! Many nodes in one process over a bag of messages that loses, doubles,
//! delays and reorders them; each node has a clock of its own rate.

#![allow(dead_code)]

mod platform;

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, time::Duration};

use base::{DomainName, HashMap, HostName, Incarnation, Revision, TargetName, Time};
use documents::model::SeedHost;
use fleet::{Action, Input, ListedHost, Message, Node, NodeSettings};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub use self::platform::{Platform, limits};

/// How far a clock may be off its true rate, to either side.
const CLOCK_ERROR: f64 = 0.02;

/// How old the platform's list of hosts is.
const LIST_LAG: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub loss: f64,
    pub doubled: f64,
    pub max_delay: Duration,
}

pub const CALM: Network = Network { loss: 0.0, doubled: 0.0, max_delay: Duration::from_millis(2) };

pub struct Host {
    pub seed: SeedHost,
    pub node: Option<Node>,
    /// Hosts of different sides do not reach each other; 0 is everyone's.
    pub side: u32,
    pub paused_until: Time,
    pub reaches_platform: bool,
    incarnation: u64,
    rate: f64,
    started: Time,
    highest: Revision,
    /// Inputs that came while the host was paused.
    backlog: Vec<Input>,
}

/// Shares of one target, summed over all hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Used {
    /// Slots by right.
    pub slots: u32,
    /// Slots without a right, for want of voters.
    pub last_resort: u32,
    pub connections: u32,
}

pub struct Simulation {
    pub now: Time,
    pub rng: SmallRng,
    pub hosts: Vec<Host>,
    pub network: Network,
    pub platform: Platform,
    pub sent: u64,
    pub left: Vec<usize>,
    /// Revisions that came into force anywhere, in order.
    pub in_force: Vec<Revision>,
    seq: u64,
    group_size: u32,
    /// Hosts that the settings name as seeds, from the first.
    pub seeds: usize,
    messages: BinaryHeap<Reverse<(Time, u64)>>,
    in_flight: HashMap<u64, (usize, u64, Input)>,
}

impl Simulation {
    /// `domains` gives the number of hosts of each domain.
    pub fn new(seed: u64, domains: &[usize]) -> Simulation {
        let mut sim = Simulation {
            now: Time::from_millis(1),
            rng: SmallRng::seed_from_u64(seed),
            hosts: Vec::new(),
            network: CALM,
            platform: Platform::default(),
            sent: 0,
            left: Vec::new(),
            in_force: Vec::new(),
            seq: 0,
            group_size: 1,
            seeds: domains.iter().sum(),
            messages: BinaryHeap::new(),
            in_flight: HashMap::default(),
        };
        for (d, &count) in domains.iter().enumerate() {
            for h in 0..count {
                sim.add_host(&format!("d{d}"), &format!("h{d}-{h}"));
            }
        }
        sim
    }

    pub fn add_host(&mut self, domain: &str, host: &str) -> usize {
        let port = 10_000 + self.hosts.len() as u16;
        let seed = SeedHost {
            host: HostName::new(host),
            domain: DomainName::new(domain),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
        };
        self.hosts.push(Host {
            seed,
            node: None,
            side: 0,
            paused_until: Time::ZERO,
            reaches_platform: true,
            incarnation: 0,
            rate: 1.0,
            started: Time::ZERO,
            highest: Revision(0),
            backlog: Vec::new(),
        });
        self.hosts.len() - 1
    }

    pub fn start(&mut self, at: usize) {
        // Settings stay as they were written for the first hosts.
        let first = &self.hosts[..self.seeds];
        let seeds: Vec<_> = first.iter().map(|it| it.seed.clone()).collect();
        let rate = 1.0 + self.rng.random_range(-CLOCK_ERROR..CLOCK_ERROR);
        let host = &mut self.hosts[at];
        host.incarnation += 1;
        host.rate = rate;
        host.started = self.now;
        host.highest = Revision(0);
        host.backlog.clear();
        host.paused_until = Time::ZERO;
        let SeedHost { host: name, domain, address } = host.seed.clone();
        let cfg = NodeSettings::builder(name, domain, address, Incarnation(host.incarnation))
            .seeds(seeds)
            .seed(host.incarnation * 1_000 + at as u64)
            .group_size(self.group_size)
            .build();
        host.node = Some(Node::new(cfg, Time::from_millis(1)));
        self.input(at, Input::Tick);
    }

    pub fn start_all(&mut self) {
        (0..self.hosts.len()).for_each(|it| self.start(it));
    }

    pub fn kill(&mut self, at: usize) {
        self.hosts[at].node = None;
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &Host, &Node)> {
        let all = self.hosts.iter().enumerate();
        all.filter_map(|(at, host)| Some((at, host, host.node.as_ref()?)))
    }

    /// The host's own clock.
    pub fn local(&self, at: usize) -> Time {
        let host = &self.hosts[at];
        let age = self.now.since(host.started).mul_f64(host.rate);
        Time::from_millis(1) + age
    }

    /// Handles one event; time moves to it, by `limit` at most.
    pub fn step(&mut self, limit: Time) -> bool {
        let wakeups = self.running().map(|(at, host, _)| (self.due(at).max(host.paused_until), at));
        let wakeup = wakeups.min();
        let message = self.messages.peek().map(|Reverse(it)| *it);
        let next_message = message.map(|(at, _)| at);
        let next = wakeup.map(|(at, _)| at).into_iter().chain(next_message).min();
        let Some(next) = next.filter(|it| *it <= limit) else {
            self.now = limit;
            return false;
        };
        self.now = self.now.max(next);
        match (wakeup, message) {
            (_, Some((at, seq))) if at == next => {
                self.messages.pop();
                self.deliver(seq);
            }
            (Some((_, at)), _) => self.wake(at),
            _ => {}
        }
        true
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.step(end) {}
    }

    /// When the host's next wakeup is due, in true time.
    fn due(&self, at: usize) -> Time {
        let host = &self.hosts[at];
        let Some(node) = &host.node else { return Time::ZERO };
        let wait = node.next_wakeup().since(self.local(at)).div_f64(host.rate);
        self.now + wait + Duration::from_micros(1)
    }

    fn wake(&mut self, at: usize) {
        let backlog = std::mem::take(&mut self.hosts[at].backlog);
        for input in backlog {
            self.input(at, input);
        }
        self.input(at, Input::Tick);
    }

    fn deliver(&mut self, seq: u64) {
        let Some((at, incarnation, input)) = self.in_flight.remove(&seq) else { return };
        let host = &mut self.hosts[at];
        // A datagram reaches whoever has the address; a call only its caller.
        let is_late = !matches!(input, Input::Message { .. }) && host.incarnation != incarnation;
        if is_late || host.node.is_none() {
            return;
        }
        if host.paused_until > self.now {
            host.backlog.push(input);
            return;
        }
        self.input(at, input);
    }

    pub fn input(&mut self, at: usize, input: Input) {
        let local = self.local(at);
        let Some(node) = &mut self.hosts[at].node else { return };
        let actions = node.handle(local, input);
        let revision = node.configuration().revision;
        let host = &mut self.hosts[at];
        assert!(revision >= host.highest, "revision fell at {}", host.seed.host);
        host.highest = revision;
        for action in actions {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(at, to, message),
            Action::ReadIndex { after, wait } => {
                let (delay, input) = self.platform.index(self.now, after, wait);
                self.answer(at, delay, input);
            }
            Action::ReadDocument { key } => {
                let input = self.platform.document(&key);
                self.answer(at, Duration::from_millis(5), input);
            }
            Action::ReadHosts => self.list(at),
            Action::ConfigurationChanged => {
                let node = self.hosts[at].node.as_ref();
                self.in_force.extend(node.map(|it| it.configuration().revision));
            }
            Action::SharesChanged => {}
            Action::Left => {
                self.hosts[at].node = None;
                self.left.push(at);
            }
        }
    }

    fn list(&mut self, at: usize) {
        if self.platform.is_down || !self.hosts[at].reaches_platform {
            return;
        }
        let listed = self.running().map(|(_, host, _)| {
            let SeedHost { host, domain, address } = host.seed.clone();
            ListedHost { host, domain, address, is_leaving: false }
        });
        let listed = listed.collect();
        self.put(at, LIST_LAG, Input::PlatformHosts(listed));
    }

    fn answer(&mut self, at: usize, delay: Duration, input: Input) {
        let input = if self.hosts[at].reaches_platform { input } else { Input::PlatformFailed };
        self.put(at, delay, input);
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        self.sent += 1;
        let Some(at) = self.hosts.iter().position(|it| it.seed.address == to) else { return };
        let (a, b) = (self.hosts[from].side, self.hosts[at].side);
        if a != b || self.rng.random_bool(self.network.loss) {
            return;
        }
        let from = self.hosts[from].seed.address;
        let copies = 1 + u32::from(self.rng.random_bool(self.network.doubled));
        for _ in 0..copies {
            let delay = self.network.max_delay.mul_f64(self.rng.random());
            self.put(at, delay, Input::Message { from, message: message.clone() });
        }
    }

    fn put(&mut self, at: usize, delay: Duration, input: Input) {
        self.seq += 1;
        self.messages.push(Reverse((self.now + delay, self.seq)));
        self.in_flight.insert(self.seq, (at, self.hosts[at].incarnation, input));
    }

    /// What all hosts together may use of each target now.
    pub fn used(&self) -> HashMap<TargetName, Used> {
        let mut used: HashMap<TargetName, Used> = HashMap::default();
        for (at, _, node) in self.running() {
            let local = self.local(at);
            for (target, share) in node.shares(local) {
                if share.valid_until.is_none_or(|it| it <= local) {
                    continue;
                }
                let sum = used.entry(target).or_default();
                sum.connections += share.connections;
                // No right to these targets allows so few connections.
                if share.connections == 1 {
                    sum.last_resort += share.slots;
                } else {
                    sum.slots += share.slots;
                }
            }
        }
        used
    }

    /// Rights never exceed a target's limits. The last resort may add a slot,
    /// and only where a domain is split or hosts died together.
    pub fn assert_within_limits(&self) {
        for (target, used) in self.used() {
            let (max_slots, max_connections) = limits(&target);
            if used.slots > max_slots || used.connections > max_connections {
                self.explain(&target);
                panic!("{target}: {used:?}, limits {max_slots} and {max_connections}");
            }
        }
    }

    /// Prints who holds what of a target.
    #[allow(clippy::print_stderr)]
    pub fn explain(&self, target: &TargetName) {
        for (at, host, node) in self.running() {
            let local = self.local(at);
            let share = node.shares(local).into_iter().find(|it| it.0 == *target);
            eprintln!("{:?} {} side {}: {share:?}", self.now, host.seed.host, host.side);
        }
    }
}
