//! Tickets over many hosts: resends through any host, kills, restarts, late
//! messages, paused hosts. Each ticket runs at most once, and "not run" is
//! true for ever after it was said.

use std::time::Duration;

use assert_matches::assert_matches;
use base::{HashMap, HostName, Incarnation, Outcome, Reason, ServiceName, Time};
use policy::{
    message::{RedemptionReply, Refusal, Ticket},
    request::{
        RECORD_LIFETIME, TICKET_LIFETIME, TicketStatus, TicketTable, parse_ticket, ticket_text,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const HOSTS: usize = 6;
const DEFAULT_STEPS: u64 = 100_000;

fn service() -> ServiceName {
    "grand-livre".into()
}

fn recorded() -> RedemptionReply {
    RedemptionReply { status: 200, body: b"{}".as_slice().into() }
}

fn table() -> TicketTable {
    TicketTable::new("a-1".into(), Incarnation(1))
}

struct Host {
    name: HostName,
    incarnation: u64,
    table: TicketTable,
    /// While set, messages and finished runs wait.
    is_paused: bool,
    running: Vec<(Ticket, u64)>,
    inbox: Vec<(Ticket, u64)>,
}

#[derive(Default)]
struct Record {
    runs: u32,
    is_vouched_not_run: bool,
}

struct World {
    now: Time,
    hosts: Vec<Host>,
    tickets: Vec<Ticket>,
    records: HashMap<u128, Record>,
}

impl World {
    fn new() -> Self {
        let host = |i: usize| {
            let name: HostName = format!("host.{i}").into();
            let table = TicketTable::new(name.clone(), Incarnation(1));
            Host { name, incarnation: 1, table, is_paused: false, running: vec![], inbox: vec![] }
        };
        let hosts = (0..HOSTS).map(host).collect();
        World { now: Time::ZERO, hosts, tickets: Vec::new(), records: HashMap::default() }
    }

    fn step(&mut self, rng: &mut SmallRng) {
        self.now += Duration::from_millis(rng.random_range(0..40));
        let i = rng.random_range(0..HOSTS);
        match rng.random_range(0..100) {
            0..15 => self.mint(i, rng),
            15..40 => self.send(rng),
            40..80 => (0..8).for_each(|_| self.deliver(i, rng)),
            80..92 => self.finish(i, rng),
            92..94 => self.restart(i),
            94..97 => self.hosts[i].is_paused = true,
            _ => self.hosts[i].is_paused = false,
        }
    }

    fn mint(&mut self, i: usize, rng: &mut SmallRng) {
        let minted = self.hosts[i].table.mint(self.now, &service(), rng.random());
        self.tickets.extend(minted);
    }

    /// Sends a ticket's request, perhaps again, perhaps with another body, to
    /// whichever process now goes by the minter's name.
    fn send(&mut self, rng: &mut SmallRng) {
        if self.tickets.is_empty() {
            return;
        }
        let recent = self.tickets.len().saturating_sub(20);
        let ticket = self.tickets[rng.random_range(recent..self.tickets.len())].clone();
        let fingerprint = u64::from(rng.random_ratio(1, 20));
        let copies = rng.random_range(1..4);
        let Some(host) = self.hosts.iter_mut().find(|it| it.name == ticket.minter) else { return };
        host.inbox.extend((0..copies).map(|_| (ticket.clone(), fingerprint)));
    }

    fn deliver(&mut self, i: usize, rng: &mut SmallRng) {
        let host = &mut self.hosts[i];
        if host.is_paused || host.inbox.is_empty() {
            return;
        }
        let (ticket, fingerprint) = host.inbox.swap_remove(rng.random_range(0..host.inbox.len()));
        let record = self.records.entry(ticket.secret).or_default();
        match host.table.status(self.now, &ticket, &service(), fingerprint) {
            Ok(TicketStatus::Unused) => {
                // A second message may come between the two calls.
                let is_first = host.table.begin(self.now, &ticket, &service(), fingerprint);
                let is_second = host.table.begin(self.now, &ticket, &service(), fingerprint);
                assert!(is_first && !is_second);
                record.runs += 1;
                assert_eq!(record.runs, 1, "a second run of {ticket:?}");
                assert!(!record.is_vouched_not_run, "run after not run: {ticket:?}");
                host.running.push((ticket, fingerprint));
            }
            Ok(TicketStatus::Running | TicketStatus::Recorded(_)) => assert_eq!(record.runs, 1),
            Err(Refusal { outcome: Outcome::NotRun, .. }) => {
                assert_eq!(record.runs, 0, "not run is untrue: {ticket:?}");
                record.is_vouched_not_run = true;
            }
            Err(_) => (),
        }
    }

    fn finish(&mut self, i: usize, rng: &mut SmallRng) {
        let host = &mut self.hosts[i];
        if host.is_paused || host.running.is_empty() {
            return;
        }
        let at = rng.random_range(0..host.running.len());
        let (ticket, fingerprint) = host.running.swap_remove(at);
        host.table.complete(self.now, &ticket, recorded());
        let status = host.table.status(self.now, &ticket, &service(), fingerprint);
        assert_eq!(status, Ok(TicketStatus::Recorded(recorded())));
    }

    /// The process dies and a new one takes its name; messages on their way
    /// reach the new one.
    fn restart(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        host.incarnation += 1;
        host.table = TicketTable::new(host.name.clone(), Incarnation(host.incarnation));
        host.running.clear();
        host.is_paused = false;
    }
}

#[test]
fn a_ticket_runs_at_most_once_under_faults() {
    base::invariant::panic_when_broken();
    let steps = std::env::var("GODWITYARD_STEPS").ok().and_then(|it| it.parse().ok());
    let seed = 1;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new();
    for _ in 0..steps.unwrap_or(DEFAULT_STEPS) {
        world.step(&mut rng);
    }
    let runs: u32 = world.records.values().map(|it| it.runs).sum();
    let vouched = world.records.values().filter(|it| it.is_vouched_not_run).count();
    assert!(runs > 1_000 && vouched > 10, "the run met too few cases: {runs}, {vouched}");
}

#[test]
fn an_unused_ticket_expires_and_says_truly_that_it_did_not_run() {
    let mut table = table();
    let ticket = table.mint(Time::ZERO, &service(), 1).unwrap();
    let late = Time::ZERO + TICKET_LIFETIME;
    assert!(!table.begin(late, &ticket, &service(), 0));
    assert_matches!(
        table.status(late, &ticket, &service(), 0),
        Err(Refusal { reason: Reason::TicketExpired, outcome: Outcome::NotRun, .. })
    );
}

#[test]
fn a_record_that_was_forgotten_is_unknown_and_does_not_run_again() {
    let mut table = table();
    let ticket = table.mint(Time::ZERO, &service(), 1).unwrap();
    assert!(table.begin(Time::ZERO, &ticket, &service(), 0));
    table.complete(Time::ZERO, &ticket, recorded());
    let late = Time::ZERO + RECORD_LIFETIME;
    table.mint(late, &service(), 2).unwrap();
    assert_matches!(
        table.status(late, &ticket, &service(), 0),
        Err(Refusal { reason: Reason::TicketUnknown, outcome: Outcome::MayHaveRun, .. })
    );
    assert!(!table.begin(late, &ticket, &service(), 0));
}

#[test]
fn a_ticket_serves_one_body_of_one_service() {
    let mut table = table();
    let ticket = table.mint(Time::ZERO, &service(), 1).unwrap();
    let other = "vitrine".into();
    assert_matches!(
        table.status(Time::ZERO, &ticket, &other, 0),
        Err(Refusal { reason: Reason::BadRequest, outcome: Outcome::NotRun, .. })
    );
    assert!(table.begin(Time::ZERO, &ticket, &service(), 0));
    assert_matches!(
        table.status(Time::ZERO, &ticket, &service(), 1),
        Err(Refusal { reason: Reason::BadRequest, outcome: Outcome::MayHaveRun, .. })
    );
}

#[test]
fn a_full_table_refuses_to_mint() {
    let mut table = table();
    let refusal = (0..).find_map(|it| table.mint(Time::ZERO, &service(), it).err()).unwrap();
    assert_eq!(refusal.reason, Reason::TicketTableFull);
    table.mint(Time::ZERO + TICKET_LIFETIME, &service(), u128::MAX).unwrap();
    assert_eq!(table.len(), 1);
}

#[test]
fn a_stopping_host_mints_no_more_but_honours_what_it_minted() {
    let mut table = table();
    let ticket = table.mint(Time::ZERO, &service(), 1).unwrap();
    table.stop();
    assert_matches!(
        table.mint(Time::ZERO, &service(), 2),
        Err(Refusal { reason: Reason::Stopping, .. })
    );
    assert!(table.is_busy(Time::ZERO));
    assert!(table.begin(Time::ZERO, &ticket, &service(), 0));
    table.complete(Time::ZERO, &ticket, recorded());
    assert!(!table.is_busy(Time::ZERO));
}

#[test]
fn a_ticket_survives_its_text() {
    let ticket = Ticket { minter: "bajio.a-1".into(), incarnation: Incarnation(17), secret: 0xabc };
    assert_eq!(parse_ticket(&ticket_text(&ticket)), Some(ticket));
    for text in ["", "a.1.x", "a.b.00000000000000000000000000000abc", "a.1.+bc"] {
        assert_eq!(parse_ticket(text), None, "{text:?}");
    }
}
